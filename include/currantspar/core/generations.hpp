#ifndef CURRANTSPAR_CORE_GENERATIONS_HPP
#define CURRANTSPAR_CORE_GENERATIONS_HPP

#include "currantspar/core/requests.hpp"
#include "currantspar/policy/dispatcher.hpp"

namespace currantspar::core::generations {

/// Maximum number of times that a stream is resumed at one engine without a token in between.
inline constexpr unsigned max_resumptions = 1;

/// Registers an admitted request and routes it.
void accept(step& run, const generate_arrived& happened, const config::service_spec& service);

/// Registers the request of a caller that reconnected with a stream token, and resumes its stream.
void accept_resumed(step& run, const stream_resumed& happened, const config::service_spec& service);

/// Selects an engine and starts an attempt there, from the first missing token. When no engine is available,
/// a request of which nothing has run yet is refused; any other request waits for an engine.
void route(step& run, generation& request);

/// Requests the same engine, on a new connection, to resume its response.
void resume_on_same_engine(step& run, generation& request);

/// Detaches the request from its engine and reports to the dispatcher how its attempt ended.
void release_engine(step& run, generation& request, policy::attempt_end how);

/// Continues after a broken attempt: resumes at the same engine first, then moves to another one.
void continue_after_break(step& run, generation& request);

/// Ends a request without a complete response. The outcome is NOT RUN when nothing can have run, otherwise
/// unknown.
void fail(step& run, generation& request, int status, const char* code, duration retry_after = {});

/// Ends a request: sends the reply, unless the caller disconnected, and removes the request.
void finish(step& run, generation& request, reply_end reply);

void on_accepted(step& run, attempt& from, const attempt_accepted& happened);
void on_tokens(step& run, attempt& from, const attempt_tokens& happened);
/// The attempt's connection carried the response of another request: closes the connection and continues the
/// request.
void on_mismatched_response(step& run, attempt_id id);
/// `ended` was an active attempt and is already removed.
void on_ended(step& run, const attempt& ended, const attempt_ended& happened);
void on_kv_moved(step& run, const attempt& from, const kv_moved& happened);
void on_caller_gone(step& run, const request_id& request);
void on_tick(step& run);

} // namespace currantspar::core::generations

#endif
