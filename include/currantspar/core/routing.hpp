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

/// The view of one pool that its controller sent last.
struct received_view
{
    fence held;
    std::uint64_t version = 0;
    instant valid_until{};
    std::set<engine_id> closed;
    node_id from;
    bool ack_due = false; ///< taken, but work for a closed engine may still be on its way
};

/// Where things stand in the configuration in force.
struct fleet_index
{
    config::fleet_ptr fleet; ///< owns what the index points to
    std::unordered_map<engine_id, const config::engine_spec*> engines;
    std::unordered_map<engine_id, const config::service_spec*> services;
    std::map<pool_id, std::vector<const config::engine_spec*>> pools;
};

/// Where this node may send work.
struct routing_state
{
    explicit routing_state(policy::dispatcher_options options) : dispatcher(std::move(options)) {}

    policy::dispatcher dispatcher;
    std::map<pool_id, received_view> views;
    fleet_index index;
    std::set<engine_id>
        unresponsive; ///< closed because nothing is heard of them, though they reported before
    std::set<attempt_id> accepted_attempts;      ///< attempts that their engine has accepted
    std::map<pool_id, instant> view_request_due; ///< when this node asked the pool's controller for a view
    instant review_due{};
};

namespace routing {

/// A new configuration is in force.
void on_fleet(step_context& context);
void on_view(step_context& context, const peer_received& from, const pool_routing_view& view);
void on_tick(step_context& context);
/// An engine's report: from its first one on the engine gets work, unless it says that it leaves.
void on_report(step_context& context, const policy::engine_report& report);
/// An engine accepted an attempt: its reports count it from now on.
void on_attempt_accepted(step_context& context, attempt_id attempt);
/// Takes over a view that this node made or received.
void apply_view(step_context& context, const node_id& from, const pool_routing_view& view);

/// Whether nodes of one data centre send work to engines of another.
[[nodiscard]] bool reaches(const node_state& state, const data_centre_id& from, const data_centre_id& to);

/// True when every engine that this node may send work to has reported to it.
[[nodiscard]] bool all_engines_reported(const node_state& state);

/// The engine of that name in the configuration in force, or null.
[[nodiscard]] const config::engine_spec* find_engine(const node_state& state, const engine_id& engine);

} // namespace routing
} // namespace currantspar::core

#endif
