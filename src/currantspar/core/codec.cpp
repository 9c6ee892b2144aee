#include <array>
#include <string_view>
#include <utility>

#include "currantspar/core/effect.hpp"
#include "currantspar/core/event.hpp"

namespace currantspar::core {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, std::variant_size_v<event_body>> event_kinds = {
    "tick",
    "log_read",
    "log_read_failed",
    "append_finished",
    "vm_list_read",
    "vm_list_failed",
    "stop_requested",
    "report_received",
    "report_failed",
    "cache_events_received",
    "engine_state_read",
    "engine_state_failed",
    "order_answered",
    "peer_received",
    "peer_unreachable",
    "generate_arrived",
    "stream_resumed",
    "call_arrived",
    "caller_gone",
    "attempt_written",
    "attempt_accepted",
    "attempt_tokens",
    "answer_head",
    "attempt_ended",
    "kv_moved",
};

constexpr std::array<std::string_view, std::variant_size_v<peer_message>> message_kinds = {
    "probe",       "probe_answer",       "pool_routing_view", "routing_view_ack",
    "load_digest", "checkpoint_request", "checkpoint_answer", "key_relay",
};

/// Parses the alternative of a variant that `kind` names; throws when the name is unknown.
template <typename Variant, std::size_t Index = 0, typename Kinds>
Variant variant_from_json(const Kinds& kinds, std::string_view kind, const json& body)
{
    if constexpr (Index == std::variant_size_v<Variant>) {
        throw json::other_error::create(501, "unknown kind " + std::string(kind), &body);
    } else {
        if (kind == kinds[Index]) {
            return Variant(std::in_place_index<Index>,
                           body.get<std::variant_alternative_t<Index, Variant>>());
        }
        return variant_from_json<Variant, Index + 1>(kinds, kind, body);
    }
}

template <typename Variant>
json variant_body(const Variant& value)
{
    return std::visit([](const auto& body) { return json(body); }, value);
}

} // namespace

std::string_view event_kind(const event_body& body)
{
    return event_kinds[body.index()];
}

std::string_view message_kind(const peer_message& message)
{
    return message_kinds[message.index()];
}

void to_json(json& out, const log_read& value)
{
    json records = json::array();
    for (const agreement::log_record& record : value.batch.records) {
        records.push_back({{"offset", record.offset}, {"bytes", agreement::encode_record(record.body)}});
    }
    out = {{"first_retained", value.batch.first_retained}, {"head", value.batch.head}, {"records", records}};
}

void from_json(const json& in, log_read& value)
{
    in.at("first_retained").get_to(value.batch.first_retained);
    in.at("head").get_to(value.batch.head);
    for (const json& entry : in.at("records")) {
        const auto body = agreement::decode_record(entry.at("bytes").get<std::string>());
        if (body) {
            value.batch.records.push_back({entry.at("offset").get<log_offset>(), *body});
        }
    }
}

void to_json(json& out, const peer_message& value)
{
    out = {{"kind", message_kind(value)}, {"body", variant_body(value)}};
}

void from_json(const json& in, peer_message& value)
{
    value = variant_from_json<peer_message>(message_kinds, in.at("kind").get<std::string>(), in.at("body"));
}

void to_json(json& out, const peer_received& value)
{
    out = {{"from", value.from}, {"process", value.process}, {"counter", value.counter}};
    to_json(out["message"], value.message);
}

void from_json(const json& in, peer_received& value)
{
    in.at("from").get_to(value.from);
    in.at("process").get_to(value.process);
    in.at("counter").get_to(value.counter);
    from_json(in.at("message"), value.message);
}

void to_json(json& out, const event& value)
{
    out = {{"at", value.at},
           {"wall", value.wall},
           {"event", event_kind(value.body)},
           {"body", variant_body(value.body)}};
}

void from_json(const json& in, event& value)
{
    in.at("at").get_to(value.at);
    in.at("wall").get_to(value.wall);
    value.body = variant_from_json<event_body>(event_kinds, in.at("event").get<std::string>(), in.at("body"));
}

} // namespace currantspar::core
