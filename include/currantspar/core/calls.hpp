#ifndef CURRANTSPAR_CORE_CALLS_HPP
#define CURRANTSPAR_CORE_CALLS_HPP

#include "currantspar/core/requests.hpp"

namespace currantspar::core::calls {

/// Whether the operators' text lets this call run more than once, and whether it must carry a key.
[[nodiscard]] config::call_rule rule_of(const config::service_spec& service, const call_arrived& arrived);

/// Takes in a call that was admitted.
void accept(step_context& context, const call_arrived& incoming, const config::service_spec& service);

/// Sends the call to a backend server, or ends it when there is none.
void dispatch(step_context& context, call& request);

/// Ends a call: tells the caller, if it is still there, and forgets the request.
void finish(step_context& context, const request_id& request, reply_end reply);

void on_head(step_context& context, attempt_id id, const attempt& from);
/// `ended` was wanted and is already forgotten.
void on_ended(step_context& context, const attempt& ended, const attempt_ended& incoming);
void on_caller_gone(step_context& context, const request_id& request);
void on_tick(step_context& context);

} // namespace currantspar::core::calls

#endif
