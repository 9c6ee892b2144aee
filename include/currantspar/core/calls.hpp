#ifndef CURRANTSPAR_CORE_CALLS_HPP
#define CURRANTSPAR_CORE_CALLS_HPP

#include "currantspar/core/requests.hpp"

namespace currantspar::core::calls {

/// Whether the operators' text lets this call run more than once, and whether it must carry a key.
[[nodiscard]] config::call_rule rule_of(const config::service_spec& service, const call_arrived& arrived);

/// Takes in a call that was admitted.
void accept(step_context& run, const call_arrived& happened, const config::service_spec& service);

/// Sends the call to a backend server, or ends it when there is none.
void dispatch(step_context& run, call& request);

/// Ends a call: tells the caller, if it is still there, and forgets the request.
void finish(step_context& run, const request_id& request, reply_end reply);

void on_head(step_context& run, attempt_id id, const attempt& from);
/// `ended` was wanted and is already forgotten.
void on_ended(step_context& run, const attempt& ended, const attempt_ended& happened);
void on_caller_gone(step_context& run, const request_id& request);
void on_tick(step_context& run);

} // namespace currantspar::core::calls

#endif
