#ifndef CURRANTSPAR_CORE_EVENT_HPP
#define CURRANTSPAR_CORE_EVENT_HPP

#include <string_view>
#include <variant>

#include "currantspar/core/engine_events.hpp"
#include "currantspar/core/peer_messages.hpp"
#include "currantspar/core/platform_events.hpp"
#include "currantspar/core/request_events.hpp"

namespace currantspar::core {

/// All inputs of the reducer.
using event_body =
    std::variant<tick, log_read, log_read_failed, append_finished, vm_list_read, vm_list_failed,
                 stop_requested, report_received, report_failed, cache_events_received, engine_state_read,
                 engine_state_failed, order_answered, peer_received, peer_unreachable, generate_arrived,
                 stream_resumed, call_arrived, caller_gone, attempt_written, attempt_accepted, attempt_tokens,
                 answer_head, attempt_ended, kv_moved>;

/// An input with the node's monotonic time. The wall clock's time is for display only.
struct event
{
    instant at{};
    wall_time wall{};
    event_body body;
};

/// The name of an event's kind, such as `tick` or `log_read`. Thread safe.
[[nodiscard]] std::string_view event_kind(const event_body& body);

/// One JSON object, `{"at":..,"wall":..,"event":KIND,"body":{..}}`. Thread safe.
void to_json(nlohmann::json& out, const event& value);
/// Parses the output of to_json; throws nlohmann::json::exception on malformed input. Thread safe.
void from_json(const nlohmann::json& in, event& value);

} // namespace currantspar::core

#endif
