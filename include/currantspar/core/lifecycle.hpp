#ifndef CURRANTSPAR_CORE_LIFECYCLE_HPP
#define CURRANTSPAR_CORE_LIFECYCLE_HPP

#include "currantspar/core/event.hpp"

namespace currantspar::core {

struct node_state;
struct step_context;

enum class lifecycle_phase
{
    starting,  ///< no configuration yet
    serving,   ///< ready as soon as its engines have reported
    draining,  ///< readiness is off, the balancer may still send
    finishing, ///< finishing what is in flight
    released,  ///< authority is given up, waiting for the log
    stopped,
};

struct lifecycle_state
{
    lifecycle_phase phase = lifecycle_phase::starting;
    bool ready = false;
    instant serving_since{}; ///< when the first configuration came into force
    instant stop_began{};
    instant idle_since{};   ///< while finishing, since when nothing has been in flight
    instant last_arrival{}; ///< of a request
    instant released_at{};
};

namespace lifecycle {

void on_stop(step_context& context);
/// A request arrived: the balancer still sends.
void on_arrival(step_context& context);
/// A configuration is in force: the node becomes ready once its engines have reported.
void on_fleet(step_context& context);
void on_tick(step_context& context);

/// True while new requests are taken.
[[nodiscard]] bool accepting(const node_state& state);

} // namespace lifecycle
} // namespace currantspar::core

#endif
