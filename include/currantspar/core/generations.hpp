#ifndef CURRANTSPAR_CORE_GENERATIONS_HPP
#define CURRANTSPAR_CORE_GENERATIONS_HPP

#include "currantspar/core/requests.hpp"
#include "currantspar/policy/dispatcher.hpp"

namespace currantspar::core::generations {

/// Times that a stream goes on at one engine without a token in between.
inline constexpr unsigned max_resumptions = 1;

/// Takes in a request that was admitted, and routes it.
void accept(step& run, const generate_arrived& happened, const config::service_spec& service);

/// Takes in a caller that came back with a stream token.
void accept_resumed(step& run, const stream_resumed& happened, const config::service_spec& service);

/// Chooses an engine and starts there, from the first token that is missing. Ends the request when no engine
/// may take it and nothing has run yet; otherwise it waits for an engine.
void route(step& run, generation& request);

/// Asks the same engine, on a new connection, to go on with its answer.
void resume_on_same_engine(step& run, generation& request);

/// The request's engine won't bring it to its end: tells the dispatcher.
void release_engine(step& run, generation& request, policy::attempt_end how);

/// The attempt at `request`'s engine broke: goes on at the same engine first, then at another one.
void continue_after_break(step& run, generation& request);

/// Ends a request without a whole answer: NOT RUN when nothing can have run, otherwise unknown.
void fail(step& run, generation& request, int status, const char* code, duration retry_after = {});

/// Ends a request: tells the caller, unless it left, and forgets the request.
void finish(step& run, generation& request, reply_end reply);

void on_accepted(step& run, attempt& from, const attempt_accepted& happened);
void on_tokens(step& run, attempt& from, const attempt_tokens& happened);
/// The attempt's connection carried another request's answer: it is closed and the request goes on.
void on_mismatched_response(step& run, attempt_id id);
/// `ended` was wanted and is already forgotten.
void on_ended(step& run, const attempt& ended, const attempt_ended& happened);
void on_kv_moved(step& run, const attempt& from, const kv_moved& happened);
void on_caller_gone(step& run, const request_id& request);
void on_tick(step& run);

} // namespace currantspar::core::generations

#endif
