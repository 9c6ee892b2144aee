#ifndef CURRANTSPAR_CORE_ROUTING_HPP
#define CURRANTSPAR_CORE_ROUTING_HPP

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "currantspar/core/event.hpp"
#include "currantspar/policy/dispatcher.hpp"

namespace currantspar::core {

struct node_state;
struct step_context;

/// Latest view of one pool, as sent by its controller.
struct received_view
{
    fence held;
    std::uint64_t version = 0;
    instant valid_until{};
    std::set<engine_id> closed;
    node_id from;
    bool ack_due = false; ///< applied, but work for a closed engine may still be in flight
};

/// Lookup tables into the configuration in force.
struct fleet_index
{
    config::fleet_ptr fleet; ///< owns the objects that the index points to
    std::unordered_map<engine_id, const config::engine_spec*> engines;
    std::unordered_map<engine_id, const config::service_spec*> services;
    std::map<pool_id, std::vector<const config::engine_spec*>> pools;
};

/// Engines to which this node may send work.
struct routing_state
{
    explicit routing_state(policy::dispatcher_options options) : dispatcher(std::move(options)) {}

    policy::dispatcher dispatcher;
    std::map<pool_id, received_view> views;
    fleet_index index;
    std::set<engine_id> unresponsive;            ///< closed because their reports have stopped
    std::set<attempt_id> accepted_attempts;      ///< attempts accepted by their engine
    std::map<pool_id, instant> view_request_due; ///< earliest next request to the pool's controller
    instant review_due{};
};

namespace routing {

/// Applies a new configuration.
void on_fleet(step_context& context);
void on_view(step_context& context, const peer_received& from, const pool_routing_view& view);
void on_tick(step_context& context);
/// Handles an engine's report. An engine receives work from its first report on, unless the report says that
/// it is leaving.
void on_report(step_context& context, const policy::engine_report& report);
/// Records that an engine accepted an attempt; the engine's reports include the attempt from then on.
void on_attempt_accepted(step_context& context, attempt_id attempt);
/// Applies a view that this node made or received, unless a newer one is in force.
void apply_view(step_context& context, const node_id& from, const pool_routing_view& view);

/// Whether nodes of one data centre send work to engines of another.
[[nodiscard]] bool reaches(const node_state& state, const data_centre_id& from, const data_centre_id& to);

/// True when a report of every engine to which this node may send work has arrived.
[[nodiscard]] bool all_engines_reported(const node_state& state);

/// The engine of that name in the configuration in force, or null.
[[nodiscard]] const config::engine_spec* find_engine(const node_state& state, const engine_id& engine);

} // namespace routing
} // namespace currantspar::core

#endif
