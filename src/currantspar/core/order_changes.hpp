#ifndef CURRANTSPAR_CORE_ORDER_CHANGES_HPP
#define CURRANTSPAR_CORE_ORDER_CHANGES_HPP

#include "currantspar/core/step.hpp"

/// The steps of one engine's change of role or weights, from closing the engine to the result of its order.
namespace currantspar::core::orders {

/// Records a step of the change in the timeline.
void trace(step_context& context, const char* kind, const engine_id& engine, const engine_change& change);

/// Begins a phase of the change.
void enter(step_context& context, engine_change& change, change_phase phase);

/// Records the result of the change's order.
void append_result(step_context& context, const engine_id& engine, engine_change& change,
                   agreement::order_outcome outcome, const agreement::engine_goal& state);

/// The engine has no request in flight and receives no new work: sends the order, or records its intent
/// first.
void on_drained(step_context& context, const engine_id& engine, engine_change& change);

/// Advances a change by what depends on time alone: requests, sending and timeouts.
void advance_change(step_context& context, const engine_id& engine, engine_change& change, fence acting);

/// Resumes an order without a result that another node began, or this node under an earlier fence. It is
/// completed before any other order to the engine.
void resume_order(step_context& context, const engine_id& engine, const agreement::open_order& order,
                  fence held);

} // namespace currantspar::core::orders

#endif
