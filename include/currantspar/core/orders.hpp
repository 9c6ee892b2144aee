#ifndef CURRANTSPAR_CORE_ORDERS_HPP
#define CURRANTSPAR_CORE_ORDERS_HPP

#include <map>
#include <set>
#include <string>

#include "currantspar/agreement/agreed_state.hpp"
#include "currantspar/core/event.hpp"

namespace currantspar::core {

struct node_state;
struct step_context;

/// Where the change of one engine stands at the pool's controller.
enum class change_phase
{
    idle,
    closing,       ///< waiting until every node has stopped sending new work
    draining,      ///< waiting until the engine has nothing in flight
    recording,     ///< the intent is on its way to the log
    sending,       ///< the order is to be sent
    reading,       ///< reading the engine's state back
    closing_order, ///< the result is on its way to the log
};

struct engine_change
{
    change_phase phase = change_phase::idle;
    pool_id pool;
    fence held; ///< this node's, when the change began
    agreement::engine_goal from;
    agreement::engine_goal goal;
    std::string reason;
    order_id order;              ///< 0: the intent isn't in the log yet
    std::uint64_t sequence = 0;  ///< of the intent
    engine_time drained_after{}; ///< nothing in flight after this ends the drain
    instant since{};             ///< when the phase began
    instant began{};
    instant read_due{};
    change_phase read_in = change_phase::idle; ///< the phase in which the engine's state was asked for
    bool read_open = false;
    instant read_sent{};
    bool order_in_flight = false; ///< the order was handed to the adapter, which hasn't answered
    instant sent{};
    unsigned attempts_made = 0;
};

/// A node's acknowledgement of a routing view.
struct view_acknowledgement
{
    incarnation process;
    std::uint64_t version = 0;
    instant at{};
};

/// The routing view of a pool that this node controls, and who has acknowledged it.
struct pool_view_state
{
    fence held;
    std::uint64_t version = 0;
    std::set<engine_id> closed;
    std::map<node_id, view_acknowledgement> acknowledged;
    std::map<node_id, instant> last_sent;
};

struct order_state
{
    std::map<engine_id, engine_change> changes;
    std::map<engine_id, agreement::engine_goal> requested; ///< by the role policy
    std::map<engine_id, std::string> requested_reason;
    std::map<engine_id, instant> not_before; ///< after a change that was given up
    std::map<pool_id, pool_view_state> views;
    std::uint64_t intent_sequence = 0;
    instant review_due{};
};

namespace orders {

/// The role policy wants an engine in a role; merged with the operators' wishes into one goal.
void request_goal(step_context& context, const engine_id& engine, const agreement::engine_goal& goal,
                  const std::string& reason);
void on_change(step_context& context, const agreement::applied_change& change);
/// The agreed state was taken from a checkpoint.
void on_base(step_context& context);
/// A new configuration is in force.
void on_fleet(step_context& context);
void on_order_answered(step_context& context, const order_answered& incoming);
void on_state_read(step_context& context, const engine_state_read& incoming);
void on_state_failed(step_context& context, const engine_state_failed& incoming);
void on_report(step_context& context, const policy::engine_report& report);
void on_view_ack(step_context& context, const peer_received& from, const routing_view_ack& ack);
/// This node itself routes by its own view.
void on_own_ack(step_context& context, const routing_view_ack& ack);
void on_tick(step_context& context);

/// True while an order for an engine of the pool may still be written by this process.
[[nodiscard]] bool has_order_in_flight(const node_state& state, const pool_id& pool);
/// True while this node changes the engine and so wants its reports at first hand.
[[nodiscard]] bool has_active_change(const node_state& state, const engine_id& engine);

} // namespace orders
} // namespace currantspar::core

#endif
