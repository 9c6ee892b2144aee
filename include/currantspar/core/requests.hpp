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
struct step_context;

/// One attempt to run a request at an engine or a backend server.
struct attempt
{
    request_id request;
    engine_request_id engine_request;
    engine_id engine;      ///< model services
    backend_id backend;    ///< plain services
    bool prefill = false;  ///< computes the prompt; another engine decodes
    bool resuming = false; ///< requests the engine to resume an earlier attempt
    bool written = false;
    instant started{};
    instant idle_deadline{}; ///< the attempt times out when nothing arrives before
};

/// An active request to a model service.
struct generation
{
    generate_arrived arrived;
    policy::request_shape shape;
    std::string key_hash;                  ///< of the caller's organisation, for event ids
    std::uint32_t first_kept_position = 0; ///< position of tokens[0]; not 0 only after a caller reconnected
    std::vector<std::string> tokens;       ///< of the response so far
    std::uint32_t delivered = 0;           ///< number of tokens sent to the caller, by any node
    attempt_id current;                    ///< 0: waiting for an engine
    attempt_id routed;                     ///< the attempt registered with the dispatcher, 0: none
    policy::route route;                   ///< of the current engine
    engine_request_id engine_request;      ///< of the current attempt
    currantspar::kv_handle kv_handle;      ///< of the exported KV cache at the prefill engine
    unsigned attempts = 0;                 ///< engines that accepted the request and lost it
    unsigned resumptions = 0;              ///< at the same engine, since the last token
    std::set<engine_id> failed;            ///< engines excluded from selection
    bool may_have_run = false;
    bool caller_disconnected = false;
    instant
        cancel_at{};    ///< with caller_disconnected: when the attempt is cancelled to free the engine's slot
    instant retry_at{}; ///< without a current attempt: when to select an engine again

    /// Position of the next token.
    [[nodiscard]] std::uint32_t next_position() const
    {
        return first_kept_position + static_cast<std::uint32_t>(tokens.size());
    }
};

/// Progress of a call with an Idempotency-Key.
enum class key_stage
{
    none,              ///< a call without a key, or one that may be repeated
    recording,         ///< its key is being appended to the log
    awaiting_outcome,  ///< another request recorded the key first; waits for its outcome
    running,           ///< this request recorded the key and was dispatched
    recording_not_run, ///< the call didn't run; the reply waits until the log has that outcome
};

/// An active request to a plain service.
struct call
{
    call_arrived arrived;
    bool may_repeat = false;
    attempt_id current;
    unsigned attempts = 0;
    bool forwarded = false; ///< the response head was forwarded to the caller
    bool may_have_run = false;
    bool caller_disconnected = false;
    std::set<backend_id> failed;
    instant deadline{};
    key_stage stage = key_stage::none;
    instant stage_deadline{};
    reply_end not_run_reply; ///< sent once the outcome NOT RUN is recorded
};

struct request_state
{
    std::map<request_id, generation> generations;
    std::map<request_id, call> calls;
    std::map<attempt_id, attempt> attempts;
    std::uint64_t last_attempt = 0;
    std::uint64_t dropped_answers = 0; ///< late, mismatched, repeated or invalid responses
    std::uint64_t resumed_streams = 0; ///< continued after a break, at the same engine or another one
    std::map<service_id, policy::retry_budget> service_budgets;
    std::map<organisation_id, policy::retry_budget> organisation_budgets;
    instant scan_due{};
};

namespace requests {

void on_generate(step_context& context, const generate_arrived& incoming);
void on_resumed(step_context& context, const stream_resumed& incoming);
void on_call(step_context& context, const call_arrived& incoming);
void on_caller_gone(step_context& context, const caller_gone& incoming);
void on_written(step_context& context, const attempt_written& incoming);
void on_accepted(step_context& context, const attempt_accepted& incoming);
void on_tokens(step_context& context, const attempt_tokens& incoming);
void on_head(step_context& context, const answer_head& incoming);
void on_ended(step_context& context, const attempt_ended& incoming);
void on_kv_moved(step_context& context, const kv_moved& incoming);
void on_tick(step_context& context);

/// Number of active requests.
[[nodiscard]] std::size_t in_flight(const node_state& state);
/// Number of a service's active requests whose caller is still connected.
[[nodiscard]] std::size_t open_requests(const node_state& state, const service_id& service);

} // namespace requests
} // namespace currantspar::core

#endif
