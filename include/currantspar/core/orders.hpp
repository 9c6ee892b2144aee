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

/// Phase of an engine's change of role or weights, which the pool's controller makes by an order to it.
enum class change_phase
{
    idle,
    closing,          ///< waiting until every node has acknowledged that it sends no new work
    draining,         ///< waiting until the engine has no request in flight
    recording_intent, ///< the append of the intent record is in flight
    sending,          ///< the order is due to be sent
    reading,          ///< reading the engine's state back to verify the order
    recording_result, ///< the append of the result record is in flight
};

struct engine_change
{
    change_phase phase = change_phase::idle;
    pool_id pool;
    fence held; ///< this node's fence when the change began
    agreement::engine_goal from;
    agreement::engine_goal goal;
    std::string reason;
    order_id order;              ///< 0 until the intent is in the log
    std::uint64_t sequence = 0;  ///< sequence number of the intent record
    engine_time drained_after{}; ///< the drain ends when the engine is idle later than this (engine clock)
    instant since{};             ///< when the phase began
    instant began{};
    instant read_due{};
    change_phase read_in = change_phase::idle; ///< phase in which the pending state read was issued
    bool read_open = false;
    instant read_sent{};
    bool order_in_flight = false; ///< passed to the adapter, result pending
    instant sent{};
    unsigned attempts_made = 0;
};

/// Acknowledgement of a routing view by one node.
struct view_acknowledgement
{
    incarnation process;
    std::uint64_t version = 0;
    instant at{};
};

/// Routing view of a pool that this node controls, with the acknowledgements received for it.
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
    std::map<engine_id, agreement::engine_goal> requested; ///< goals requested by the role policy
    std::map<engine_id, std::string> requested_reason;
    std::map<engine_id, instant> not_before; ///< earliest start of the next change after an abandoned one
    std::map<pool_id, pool_view_state> views;
    std::uint64_t intent_sequence = 0;
    instant review_due{};
};

namespace orders {

/// Records the goal that the role policy requests for an engine; it is merged with the operators'
/// configuration into one goal.
void request_goal(step_context& context, const engine_id& engine, const agreement::engine_goal& goal,
                  const std::string& reason);
void on_change(step_context& context, const agreement::applied_change& change);
/// The agreed state was replaced by that of a checkpoint.
void on_base(step_context& context);
/// Applies a new configuration.
void on_fleet(step_context& context);
void on_order_answered(step_context& context, const order_answered& incoming);
void on_state_read(step_context& context, const engine_state_read& incoming);
void on_state_failed(step_context& context, const engine_state_failed& incoming);
void on_report(step_context& context, const policy::engine_report& report);
void on_view_ack(step_context& context, const peer_received& from, const routing_view_ack& ack);
/// Records that this node itself has applied its own view.
void on_own_ack(step_context& context, const routing_view_ack& ack);
void on_tick(step_context& context);

/// True while this process may still write an order to an engine of the pool.
[[nodiscard]] bool has_order_in_flight(const node_state& state, const pool_id& pool);
/// True while this node changes the engine, and therefore reads its reports directly.
[[nodiscard]] bool has_active_change(const node_state& state, const engine_id& engine);

} // namespace orders
} // namespace currantspar::core

#endif
