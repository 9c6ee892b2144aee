#include <array>

#include "currantspar/core/effect.hpp"

namespace currantspar::core {

using nlohmann::json;

namespace {

constexpr std::array<std::string_view, std::variant_size_v<effect>> kinds = {
    "append_records",    "read_log",          "read_vm_list",   "send_peer",        "read_report",
    "read_cache_events", "read_engine_state", "send_order",     "start_generation", "start_prefill",
    "start_call",        "cancel_attempt",    "forward_answer", "reply_tokens",     "reply_end",
    "set_ready",         "add_timeline",      "set_alarm",      "exit_process",
};

constexpr std::array<std::string_view, 6> alarm_names = {
    "state_divergence", "ledger_difference",  "late_order",
    "log_unreachable",  "checkpoint_overdue", "unverified_start",
};

} // namespace

static void to_json(json& out, const append_records& value)
{
    json records = json::array();
    for (const agreement::record_body& record : value.records) {
        records.push_back(agreement::encode_record(record));
    }
    out = {{"append", value.append}, {"records", records}};
}

static void to_json(json& out, const send_peer& value)
{
    out = {{"to", value.to}, {"counter", value.counter}};
    to_json(out["message"], value.message);
}

static void to_json(json& out, const set_alarm& value)
{
    out = {{"which", alarm_name(value.which)}, {"raised", value.raised}, {"detail", value.detail}};
}

CURRANTSPAR_JSON(read_log, from)
CURRANTSPAR_JSON_EMPTY(read_vm_list)
CURRANTSPAR_JSON(read_report, engine, address)
CURRANTSPAR_JSON(read_cache_events, engine, address, from_sequence)
CURRANTSPAR_JSON(read_engine_state, engine, address)
CURRANTSPAR_JSON(send_order, engine, address, order, held, goal, deadline)
CURRANTSPAR_JSON(start_generation, attempt, request, engine_request, engine, address, new_connection, resume,
                 from_position, prefix, kv_handle, kv_address, priority, idle_limit)
CURRANTSPAR_JSON(start_prefill, attempt, request, engine_request, engine, address, priority, idle_limit,
                 from_position, prefix)
CURRANTSPAR_JSON(start_call, attempt, request, backend, address, new_connection, keep_body, idle_limit)
CURRANTSPAR_JSON(cancel_attempt, attempt, cancel_at_engine)
CURRANTSPAR_JSON(forward_answer, request, attempt)
CURRANTSPAR_JSON(reply_tokens, request, position, tokens, event_id)
CURRANTSPAR_JSON(reply_end, request, outcome, status, code, message, retry_after, finish_reason, total_tokens,
                 content_type, body)
CURRANTSPAR_JSON(set_ready, ready)
CURRANTSPAR_JSON(add_timeline, entry)
CURRANTSPAR_JSON(exit_process, code)

std::string_view effect_kind(const effect& value)
{
    return kinds[value.index()];
}

std::string_view alarm_name(alarm which)
{
    return alarm_names[static_cast<std::size_t>(which)];
}

json effect_to_json(const effect& value)
{
    json body = std::visit([](const auto& alternative) { return json(alternative); }, value);
    return {{"effect", effect_kind(value)}, {"body", std::move(body)}};
}

} // namespace currantspar::core
