#ifndef CURRANTSPAR_CORE_EFFECT_HPP
#define CURRANTSPAR_CORE_EFFECT_HPP

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "currantspar/core/event.hpp"
#include "currantspar/core/timeline_entry.hpp"

namespace currantspar::core {

// Effects on the platform.

/// Append these records in one batch, in this order.
struct append_records
{
    append_id append;
    std::vector<agreement::record_body> records;
};

/// Read the log from an offset. The result is log_read or log_read_failed. At most one read is in progress.
struct read_log
{
    log_offset from;
};

struct read_vm_list
{};

// Effects on peers.

struct send_peer
{
    node_id to;
    std::uint64_t counter = 0;
    peer_message message;
};

// Effects on engines' control interface.

struct read_report
{
    engine_id engine;
    std::string address;
};

struct read_cache_events
{
    engine_id engine;
    std::string address;
    std::uint64_t from_sequence = 0;
};

struct read_engine_state
{
    engine_id engine;
    std::string address;
};

/// Send an order. The adapter compares its clock with `deadline` immediately before the write, doesn't write
/// when the deadline has passed, and reports a write that ended after the deadline as late.
struct send_order
{
    engine_id engine;
    std::string address;
    order_id order;
    fence held;
    agreement::engine_goal goal;
    instant deadline{};
};

// Effects on requests.

/// Run a request on an engine. The adapter takes the prompt from the request's body.
struct start_generation
{
    attempt_id attempt;
    request_id request;
    engine_request_id engine_request;
    engine_id engine;
    std::string address;
    bool new_connection = false;
    bool resume = false; ///< continue `engine_request` on the same engine from `from_position`
    std::uint32_t from_position = 0;
    std::vector<std::string> prefix;  ///< output tokens so far, when another engine continues the generation
    currantspar::kv_handle kv_handle; ///< KV cache to import first; empty: none
    std::string kv_address;           ///< address of the engine that exported the KV cache
    unsigned priority = 1;
    duration idle_limit{}; ///< idle timeout: maximum time without a byte from the engine
};

/// Prefill a prompt on an engine and keep its KV cache for export. The result is kv_moved.
struct start_prefill
{
    attempt_id attempt;
    request_id request;
    engine_request_id engine_request;
    engine_id engine;
    std::string address;
    unsigned priority = 1;
    duration idle_limit{};
    std::uint32_t from_position = 0;
    std::vector<std::string> prefix; ///< output tokens so far, prefilled together with the prompt
};

/// Forward a call to a backend server. The adapter takes method, path, headers and body from the request.
struct start_call
{
    attempt_id attempt;
    request_id request;
    backend_id backend;
    std::string address;
    bool new_connection = false;
    bool keep_body = false; ///< return the response body in attempt_ended, for the recorded outcome
    duration idle_limit{};
};

/// Abandon an attempt: close its connection and, with `cancel_at_engine`, make the engine free the slot.
struct cancel_attempt
{
    attempt_id attempt;
    bool cancel_at_engine = false;
};

/// Forward the response of this attempt to the caller.
struct forward_answer
{
    request_id request;
    attempt_id attempt;
};

/// Send tokens to the caller, who can resume the stream at any node with `event_id`.
struct reply_tokens
{
    request_id request;
    std::uint32_t position = 0;
    std::vector<std::string> tokens;
    std::string event_id;
};

/// Outcome of a request, as reported to its caller.
enum class request_outcome
{
    answered,
    not_run,
    unknown,
};

NLOHMANN_JSON_SERIALIZE_ENUM(request_outcome, {{request_outcome::answered, "answered"},
                                               {request_outcome::not_run, "not_run"},
                                               {request_outcome::unknown, "unknown"}})

/// End the response. With `answered` and status 0 the response, forwarded or sent as tokens, is complete.
struct reply_end
{
    request_id request;
    request_outcome outcome = request_outcome::answered;
    int status = 0;         ///< HTTP status; 0 for a response forwarded or sent as tokens
    std::string code;       ///< machine-readable error code, such as `rate_limited`
    std::string message;    ///< human-readable error message
    duration retry_after{}; ///< 0: no Retry-After header
    std::string finish_reason;
    std::uint32_t total_tokens = 0;
    std::string content_type; ///< of a replayed recorded response
    std::string body;         ///< of a replayed recorded response
};

// Effects on the process.

/// Set the readiness that `/readyz` reports.
struct set_ready
{
    bool ready = false;
};

struct add_timeline
{
    timeline_entry entry;
};

enum class alarm
{
    state_divergence, ///< two nodes have different hashes of the agreed state at one offset
    ledger_difference,
    late_order,
    log_unreachable,
    checkpoint_overdue,
    unverified_start,
};

/// Raise or clear an alarm. Alarms are shown in `status` and in the metrics.
struct set_alarm
{
    alarm which = alarm::state_divergence;
    bool raised = true;
    std::string detail;
};

/// Exit the process with this code, after all work is completed.
struct exit_process
{
    int code = 0;
};

/// All outputs of the reducer.
using effect =
    std::variant<append_records, read_log, read_vm_list, send_peer, read_report, read_cache_events,
                 read_engine_state, send_order, start_generation, start_prefill, start_call, cancel_attempt,
                 forward_answer, reply_tokens, reply_end, set_ready, add_timeline, set_alarm, exit_process>;

using effect_list = std::vector<effect>;

/// The name of an effect's kind, such as `append_records`. Thread safe.
[[nodiscard]] std::string_view effect_kind(const effect& value);

/// The name of an alarm in the metrics, such as `state_divergence`. Thread safe.
[[nodiscard]] std::string_view alarm_name(alarm which);

/// One JSON object, `{"effect":KIND,"body":{..}}`. Thread safe.
[[nodiscard]] nlohmann::json effect_to_json(const effect& value);

} // namespace currantspar::core

#endif
