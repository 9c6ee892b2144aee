#ifndef CURRANTSPAR_CORE_CALLS_HPP
#define CURRANTSPAR_CORE_CALLS_HPP

#include "currantspar/core/requests.hpp"

namespace currantspar::core::calls {

/// Returns a service's rule for a call (a request to a plain service): whether it may run more than once and
/// whether it must carry a key. Without a rule in the configuration document, GET and HEAD may be repeated.
[[nodiscard]] config::call_rule rule_of(const config::service_spec& service, const call_arrived& arrived);

/// Registers an admitted call. Dispatches it, unless its key has to be recorded first.
void accept(step_context& context, const call_arrived& incoming, const config::service_spec& service);

/// Sends the call to a backend server, or ends it when there is none.
void dispatch(step_context& context, call& request);

/// Ends a call: sends the reply, unless the caller disconnected, and removes the request.
void finish(step_context& context, const request_id& request, reply_end reply);

void on_head(step_context& context, attempt_id id, const attempt& from);
/// `ended` was an active attempt and is already removed.
void on_ended(step_context& context, const attempt& ended, const attempt_ended& incoming);
void on_caller_gone(step_context& context, const request_id& request);
void on_tick(step_context& context);

} // namespace currantspar::core::calls

#endif
