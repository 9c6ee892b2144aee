#ifndef CURRANTSPAR_CORE_PEER_MESSAGES_HPP
#define CURRANTSPAR_CORE_PEER_MESSAGES_HPP

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "currantspar/agreement/record.hpp"
#include "currantspar/core/engine_events.hpp"
#include "currantspar/policy/views.hpp"

namespace currantspar::core {

/// Description of the sender in every probe and probe response.
struct node_summary
{
    data_centre_id data_centre;
    revision current;
    log_offset applied;
    std::uint64_t state_hash = 0; ///< of the agreed state at `hashed_at`
    log_offset hashed_at;
    bool stopping = false;
    std::string version;
};

/// Health probe of a peer. With `target` set it requests an indirect probe: the peer probes the target on the
/// sender's behalf.
struct probe
{
    std::uint64_t sequence = 0;
    node_id target;
    node_summary sender;
};

struct probe_answer
{
    std::uint64_t sequence = 0;
    node_id target; ///< set when the response is about the target of an indirect probe
    bool alive = true;
    node_summary sender;
};

/// Sent by a pool's controller: the engines that accept no new work. A view is valid for `valid_for` after
/// its receipt. A node without a valid view sends no new work to an engine that may be closing.
struct pool_routing_view
{
    pool_id pool;
    fence held;
    std::uint64_t version = 0;
    duration valid_for{};
    std::vector<engine_id> closed;
};

/// The sender has applied that view and has no new work in flight to the closed engines.
struct routing_view_ack
{
    pool_id pool;
    fence held;
    std::uint64_t version = 0;
};

/// Reports collected by the sender, and the work that the sender has dispatched itself.
struct load_digest
{
    std::vector<policy::engine_report> reports;
    std::vector<duration> report_ages; ///< time since the sender received each report
    policy::work_digest work;
    std::vector<policy::cache_event_batch> cache_events;
};

/// Requests the agreed state; used while the log can't be read.
struct checkpoint_request
{};

struct checkpoint_answer
{
    std::vector<agreement::checkpoint_record> parts;
};

/// Requests the data centre's relay to append these keys or outcomes on the sender's behalf.
struct key_relay
{
    std::vector<agreement::key_record> keys;
    std::vector<agreement::key_outcome_record> outcomes;
};

using peer_message = std::variant<probe, probe_answer, pool_routing_view, routing_view_ack, load_digest,
                                  checkpoint_request, checkpoint_answer, key_relay>;

/// A message from another node was received.
struct peer_received
{
    node_id from;
    incarnation process;
    std::uint64_t counter = 0; ///< message counter of the sender; orders entries of the timeline
    peer_message message;
};

/// A message could not be delivered.
struct peer_unreachable
{
    node_id node;
    std::string reason;
};

CURRANTSPAR_JSON(node_summary, data_centre, current, applied, state_hash, hashed_at, stopping, version)
CURRANTSPAR_JSON(probe, sequence, target, sender)
CURRANTSPAR_JSON(probe_answer, sequence, target, alive, sender)
CURRANTSPAR_JSON(pool_routing_view, pool, held, version, valid_for, closed)
CURRANTSPAR_JSON(routing_view_ack, pool, held, version)
CURRANTSPAR_JSON(load_digest, reports, report_ages, work, cache_events)
CURRANTSPAR_JSON_EMPTY(checkpoint_request)
CURRANTSPAR_JSON(checkpoint_answer, parts)
CURRANTSPAR_JSON(key_relay, keys, outcomes)
void to_json(nlohmann::json& out, const peer_message& value);
void from_json(const nlohmann::json& in, peer_message& value);
void to_json(nlohmann::json& out, const peer_received& value);
void from_json(const nlohmann::json& in, peer_received& value);
CURRANTSPAR_JSON(peer_unreachable, node, reason)

/// The name of a message's kind, such as `probe` or `load_digest`. Thread safe.
[[nodiscard]] std::string_view message_kind(const peer_message& message);

} // namespace currantspar::core

#endif
