#ifndef CURRANTSPAR_CORE_LIFECYCLE_HPP
#define CURRANTSPAR_CORE_LIFECYCLE_HPP

#include "currantspar/core/event.hpp"

namespace currantspar::core {

struct node_state;
struct step_context;

enum class lifecycle_phase
{
    starting,  ///< no configuration yet
    serving,   ///< becomes ready when its engines have reported
    draining,  ///< not ready; the load balancer may still send requests
    finishing, ///< new requests are refused, requests in flight are completed
    released,  ///< authority is released, waiting for the log
    stopped,
};

struct lifecycle_state
{
    lifecycle_phase phase = lifecycle_phase::starting;
    bool ready = false;
    instant serving_since{}; ///< when the first configuration was applied
    instant stop_began{};
    instant idle_since{};   ///< while finishing: since when no request has been in flight
    instant last_arrival{}; ///< of the last request
    instant released_at{};
};

namespace lifecycle {

void on_stop(step_context& context);
/// Records the arrival of a request, which shows that the load balancer still sends to this node.
void on_arrival(step_context& context);
/// Applies a configuration. After the first one the node becomes ready once its engines have reported.
void on_fleet(step_context& context);
void on_tick(step_context& context);

/// True while new requests are accepted.
[[nodiscard]] bool accepting(const node_state& state);

} // namespace lifecycle
} // namespace currantspar::core

#endif
