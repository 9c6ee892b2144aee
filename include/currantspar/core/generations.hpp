#ifndef CURRANTSPAR_CORE_GENERATIONS_HPP
#define CURRANTSPAR_CORE_GENERATIONS_HPP

#include "currantspar/core/requests.hpp"
#include "currantspar/policy/dispatcher.hpp"

namespace currantspar::core::generations {

/// Maximum number of times that a stream is resumed at one engine without a token in between.
inline constexpr unsigned max_resumptions = 1;

/// Registers an admitted request to a model service and routes it to an engine.
void accept(step_context& context, const generate_arrived& incoming, const config::service_spec& service);

/// Registers the request of a caller that reconnected with a stream token, and resumes its stream.
void accept_resumed(step_context& context, const stream_resumed& incoming,
                    const config::service_spec& service);

/// Selects an engine and starts an attempt there, from the first missing token. When no engine is available,
/// a request of which nothing has run yet is refused; any other request waits for an engine.
void route(step_context& context, generation& request);

/// Requests the same engine, on a new connection, to resume its response.
void resume_on_same_engine(step_context& context, generation& request);

/// Detaches the request from its engine and reports to the dispatcher how its attempt ended.
void release_engine(step_context& context, generation& request, policy::attempt_end how);

/// Continues after a broken attempt: resumes at the same engine first, then moves to another one.
void continue_after_break(step_context& context, generation& request);

/// Ends a request without a complete response. The outcome is NOT RUN when nothing can have run, otherwise
/// unknown.
void fail(step_context& context, generation& request, int status, const char* code,
          duration retry_after = {});

/// Ends a request: sends the reply, unless the caller disconnected, and removes the request.
void finish(step_context& context, generation& request, reply_end reply);

void on_accepted(step_context& context, attempt& from, const attempt_accepted& incoming);
void on_tokens(step_context& context, attempt& from, const attempt_tokens& incoming);
/// The attempt's connection carried the response of another request: closes the connection and continues the
/// request.
void on_mismatched_response(step_context& context, attempt_id id);
/// `ended` was an active attempt and is already removed.
void on_ended(step_context& context, const attempt& ended, const attempt_ended& incoming);
void on_kv_moved(step_context& context, const attempt& from, const kv_moved& incoming);
void on_caller_gone(step_context& context, const request_id& request);
void on_tick(step_context& context);

} // namespace currantspar::core::generations

#endif
