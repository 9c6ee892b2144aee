#ifndef CURRANTSPAR_CORE_REQUESTS_HPP
#define CURRANTSPAR_CORE_REQUESTS_HPP

#include <map>
#include <set>
#include <string>
#include <vector>

#include "currantspar/core/effect.hpp"
#include "currantspar/policy/limits.hpp"
#include "currantspar/policy/views.hpp"

namespace currantspar::core {

struct node_state;
struct step;

/// One attempt to run a request somewhere.
struct attempt
{
    request_id request;
    engine_request_id engine_request;
    engine_id engine;      ///< model services
    backend_id backend;    ///< plain services
    bool prefill = false;  ///< computes the prompt for another engine
    bool resuming = false; ///< asks the engine to go on with an earlier attempt
    bool written = false;
    instant started{};
    instant idle_deadline{}; ///< judged silent when nothing arrives before
};

/// A request to a model service that hasn't ended.
struct generation
{
    generate_arrived arrived;
    policy::request_shape shape;
    std::string key_hash;                  ///< of the caller's organisation, for event ids
    std::uint32_t first_kept_position = 0; ///< position of tokens[0]; not 0 only after a caller came back
    std::vector<std::string> tokens;       ///< of the answer so far
    std::uint32_t delivered = 0;           ///< tokens that the caller has
    attempt_id current;                    ///< 0: waiting for an engine
    attempt_id routed;                     ///< the attempt that the dispatcher counts, 0: none
    policy::route route;                   ///< of the current engine
    engine_request_id engine_request;      ///< of the current attempt
    std::string kv_handle;                 ///< names the prompt's cache at the prefill engine
    unsigned attempts = 0;                 ///< engines that took the request in and lost it
    unsigned resumptions = 0;              ///< at the same engine, since the last token
    std::set<engine_id> failed;            ///< engines not to choose again
    bool may_have_run = false;
    bool caller_disconnected = false;
    instant cancel_at{}; ///< with caller_disconnected: when the engine's slot is freed
    instant retry_at{};  ///< with no current attempt: when to look for an engine again

    /// The position that comes next.
    [[nodiscard]] std::uint32_t next_position() const
    {
        return first_kept_position + static_cast<std::uint32_t>(tokens.size());
    }
};

/// How far a call with an Idempotency-Key has come.
enum class key_stage
{
    none,              ///< a call without a key, or one that may be repeated
    recording,         ///< its key is on the way to the log
    awaiting_outcome,  ///< another request recorded the key first; waiting for its outcome
    running,           ///< this request recorded the key and was dispatched
    recording_not_run, ///< it didn't run; recording that before the caller is told
};

/// A request to a plain service that hasn't ended.
struct call
{
    call_arrived arrived;
    bool may_repeat = false;
    attempt_id current;
    unsigned attempts = 0;
    bool forwarded = false; ///< the answer's head went to the caller
    bool may_have_run = false;
    bool caller_disconnected = false;
    std::set<backend_id> failed;
    instant deadline{};
    key_stage stage = key_stage::none;
    instant stage_deadline{};
    reply_end not_run_reply; ///< told once the outcome NOT RUN is recorded
};

struct request_state
{
    std::map<request_id, generation> generations;
    std::map<request_id, call> calls;
    std::map<attempt_id, attempt> attempts;
    std::uint64_t last_attempt = 0;
    std::uint64_t dropped_answers = 0; ///< late, crossed, repeated or wrong
    std::uint64_t resumed_streams = 0; ///< went on after a break, at the same engine or another one
    std::map<service_id, policy::retry_budget> service_budgets;
    std::map<organisation_id, policy::retry_budget> organisation_budgets;
    instant scan_due{};
};

namespace requests {

void on_generate(step& run, const generate_arrived& happened);
void on_resumed(step& run, const stream_resumed& happened);
void on_call(step& run, const call_arrived& happened);
void on_caller_gone(step& run, const caller_gone& happened);
void on_written(step& run, const attempt_written& happened);
void on_accepted(step& run, const attempt_accepted& happened);
void on_tokens(step& run, const attempt_tokens& happened);
void on_head(step& run, const answer_head& happened);
void on_ended(step& run, const attempt_ended& happened);
void on_kv_moved(step& run, const kv_moved& happened);
void on_tick(step& run);

/// Number of requests that haven't ended.
[[nodiscard]] std::size_t in_flight(const node_state& state);
/// Number of a service's requests that haven't ended and whose caller is still there.
[[nodiscard]] std::size_t open_requests(const node_state& state, const service_id& service);

} // namespace requests
} // namespace currantspar::core

#endif
