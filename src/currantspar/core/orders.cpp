#include "currantspar/core/orders.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "currantspar/core/order_changes.hpp"
#include "currantspar/core/order_views.hpp"

namespace currantspar::core::orders {

namespace {

constexpr duration review_every = std::chrono::milliseconds(100);
/// Number of times an order is sent before it is cancelled because the engine hasn't accepted it.
constexpr unsigned max_order_attempts = 3;

const agreement::open_order* open_order_of(const node_state& state, const engine_id& engine)
{
    const auto& orders = state.configuration.replica.state().orders;
    const auto found = orders.find(engine);
    return found == orders.end() ? nullptr : &found->second;
}

/// Merges the configuration with the goal requested by the role policy. A role fixed by the configuration
/// takes precedence.
agreement::engine_goal goal_of(const step_context& context, const config::engine_spec& spec,
                               const policy::engine_report& report)
{
    agreement::engine_goal goal;
    goal.load = context.state.routing.index.services.at(spec.id)->load;
    const auto requested = context.state.orders.requested.find(spec.id);
    const config::engine_role policy_role =
        requested == context.state.orders.requested.end() ? report.role : requested->second.role;
    goal.role = spec.fixed_role.value_or(policy_role);
    return goal;
}

struct running_changes
{
    unsigned roles = 0;
    unsigned loads = 0;
};

running_changes count_changes(const step_context& context, const pool_id& pool)
{
    running_changes count;
    for (const auto& [engine, change] : context.state.orders.changes) {
        if (change.pool == pool) {
            (change.from.load == change.goal.load ? count.roles : count.loads) += 1;
        }
    }
    return count;
}

bool may_begin(const step_context& context, const config::engine_spec& spec, const pool_id& pool, bool loads)
{
    const running_changes running = count_changes(context, pool);
    const auto pause = context.state.orders.not_before.find(spec.id);
    const bool pause_elapsed = pause == context.state.orders.not_before.end() || context.now >= pause->second;
    const unsigned limit = context.state.routing.index.services.at(spec.id)->roles.max_simultaneous_changes;
    const bool below_limit =
        loads ? running.loads < context.state.options.weight_loads_most : running.roles < std::max(1U, limit);
    return pause_elapsed && below_limit && (spec.checks_fence || former_holders_settled(context, pool));
}

/// Begins a change when the engine's role or load differs from its goal.
void begin_change_if_needed(step_context& context, const config::engine_spec& spec, const pool_id& pool,
                            fence acting)
{
    const policy::engine_report* report = context.state.routing.dispatcher.report(spec.id);
    const bool settled = report != nullptr && report->condition != policy::engine_condition::changing &&
                         report->condition != policy::engine_condition::leaving;
    if (!settled || spec.drained) {
        return;
    }
    const agreement::engine_goal now{report->role, report->load};
    const agreement::engine_goal goal = goal_of(context, spec, *report);
    const bool fresh_start = report->condition == policy::engine_condition::unknown;
    if (now == goal && !fresh_start) {
        return;
    }
    if (!may_begin(context, spec, pool, !(now.load == goal.load))) {
        return;
    }
    engine_change change;
    change.pool = pool;
    change.held = acting;
    change.from = now;
    change.goal = goal;
    const auto why = context.state.orders.requested_reason.find(spec.id);
    change.reason = why == context.state.orders.requested_reason.end() ? "configuration" : why->second;
    change.began = context.now;
    enter(context, change, change_phase::closing);
    trace(context, "order.wanted", spec.id, change);
    context.state.orders.changes[spec.id] = std::move(change);
}

void review_engine(step_context& context, const config::engine_spec& spec, const pool_id& pool, fence acting)
{
    auto& changes = context.state.orders.changes;
    const agreement::open_order* order = open_order_of(context.state, spec.id);
    auto found = changes.find(spec.id);
    const bool closed_by_other = found != changes.end() && found->second.order.value() != 0 &&
                                 !found->second.order_in_flight && order == nullptr;
    if (closed_by_other) {
        changes.erase(found);
        found = changes.end();
    }
    const bool own = found != changes.end() && found->second.held == acting;
    if (order != nullptr && !(own && (found->second.order == order->id ||
                                      found->second.phase == change_phase::recording_intent))) {
        const bool ignored = context.state.options.fault == injected_fault::open_order_ignored;
        if (!ignored) {
            resume_order(context, spec.id, *order, acting);
        }
        return;
    }
    if (found != changes.end() && !own) {
        changes.erase(found);
        return;
    }
    if (found != changes.end()) {
        advance_change(context, spec.id, found->second, acting);
        return;
    }
    begin_change_if_needed(context, spec, pool, acting);
}

/// Cancels orders for engines that are no longer in the configuration.
void cancel_orphaned_orders(step_context& context, const pool_id& pool)
{
    for (const auto& [engine, order] : context.state.configuration.replica.state().orders) {
        const bool known = context.state.routing.index.engines.contains(engine);
        if (known || order.intent.pool != pool ||
            log_writer::has_pending<agreement::result_record>(context.state.log_writer)) {
            continue;
        }
        log_writer::append(context,
                           agreement::result_record{order.id, engine, agreement::order_outcome::cancelled,
                                                    order.intent.from});
    }
}

void review(step_context& context)
{
    for (const auto& [pool, engines] : context.state.routing.index.pools) {
        const fence held = authority::held_fence(context.state, pool);
        if (held.value() == 0) {
            continue;
        }
        const fence acting = authority::acting_fence(context.state, pool, context.now);
        if (acting.value() != 0) {
            for (const config::engine_spec* spec : engines) {
                review_engine(context, *spec, pool, acting);
            }
            cancel_orphaned_orders(context, pool);
        }
        send_views(context, pool, held);
    }
}

/// Removes changes of pools that this node no longer holds, except while an order is in flight.
void remove_lost_changes(step_context& context)
{
    std::erase_if(context.state.orders.changes, [&](const auto& entry) {
        const engine_change& change = entry.second;
        return !change.order_in_flight && authority::held_fence(context.state, change.pool) != change.held;
    });
}

void evaluate_state_read(step_context& context, const engine_id& engine, engine_change& change,
                         const engine_state& state)
{
    const core_options& options = context.state.options;
    if (state.condition == policy::engine_condition::changing) {
        return;
    }
    const bool accepted_by_engine = state.last_order == change.order;
    const bool reached = state.goal == change.goal && state.condition != policy::engine_condition::unknown;
    if (accepted_by_engine) {
        append_result(context, engine, change,
                      reached ? agreement::order_outcome::done : agreement::order_outcome::failed,
                      state.goal);
        return;
    }
    if (context.now - change.sent < options.order_flight) {
        return;
    }
    if (change.attempts_made < max_order_attempts) {
        enter(context, change, change_phase::closing);
        return;
    }
    append_result(context, engine, change, agreement::order_outcome::cancelled, state.goal);
}

bool idle_since_closed(const step_context& context, const engine_change& change, engine_time at)
{
    return at > change.drained_after || context.state.options.fault == injected_fault::report_by_receipt;
}

} // namespace

void request_goal(step_context& context, const engine_id& engine, const agreement::engine_goal& goal,
                  const std::string& reason)
{
    context.state.orders.requested[engine] = goal;
    context.state.orders.requested_reason[engine] = reason;
}

void on_change(step_context& context, const agreement::applied_change& change)
{
    const engine_id& engine = *change.order;
    const auto found = context.state.orders.changes.find(engine);
    if (found == context.state.orders.changes.end()) {
        return;
    }
    engine_change& own = found->second;
    const agreement::open_order* order = open_order_of(context.state, engine);
    if (order == nullptr) {
        if (own.phase == change_phase::recording_result || own.phase == change_phase::recording_intent) {
            context.state.orders.changes.erase(found);
        }
        return;
    }
    const bool own_intent = order->intent.held == own.held && order->intent.sequence == own.sequence;
    if (own.phase == change_phase::recording_intent && own_intent) {
        own.order = order->id;
        enter(context, own, change_phase::sending);
        trace(context, "order.intent", engine, own);
    }
}

void on_base(step_context& context)
{
    std::erase_if(context.state.orders.changes,
                  [](const auto& entry) { return !entry.second.order_in_flight; });
}

void on_fleet(step_context& context)
{
    const auto& known = context.state.routing.index.engines;
    order_state& state = context.state.orders;
    std::erase_if(state.requested, [&](const auto& entry) { return !known.contains(entry.first); });
    std::erase_if(state.requested_reason, [&](const auto& entry) { return !known.contains(entry.first); });
    std::erase_if(state.not_before, [&](const auto& entry) { return !known.contains(entry.first); });
    std::erase_if(state.changes, [&](const auto& entry) {
        return !known.contains(entry.first) && !entry.second.order_in_flight;
    });
}

void on_order_answered(step_context& context, const order_answered& incoming)
{
    const auto found = context.state.orders.changes.find(incoming.engine);
    if (found == context.state.orders.changes.end() || found->second.order != incoming.order) {
        return;
    }
    engine_change& change = found->second;
    change.order_in_flight = false;
    if (incoming.late) {
        context.emit(set_alarm{alarm::late_order, true, "engine=" + incoming.engine.str()});
    }
    if (incoming.answer == order_answer::refused_fence) {
        authority::on_greater_fence(context, change.pool, change.held.next());
    }
    if (incoming.answer == order_answer::unknown &&
        context.state.options.fault == injected_fault::no_read_back) {
        append_result(context, incoming.engine, change, agreement::order_outcome::done, change.goal);
    }
    if (incoming.answer == order_answer::not_sent) {
        change.attempts_made -= 1;
        enter(context, change, change_phase::closing);
    }
}

void on_state_read(step_context& context, const engine_state_read& incoming)
{
    const engine_state& state = incoming.state;
    const auto found = context.state.orders.changes.find(state.engine);
    if (found == context.state.orders.changes.end()) {
        return;
    }
    engine_change& change = found->second;
    const bool current = std::exchange(change.read_open, false) && change.read_in == change.phase;
    if (!current) {
        return;
    }
    if (change.phase == change_phase::closing && all_acknowledged(context, change.pool)) {
        change.drained_after = state.now;
        enter(context, change, change_phase::draining);
    } else if (change.phase == change_phase::draining) {
        if (state.in_flight == 0 && idle_since_closed(context, change, state.now)) {
            on_drained(context, state.engine, change);
        }
    } else if (change.phase == change_phase::reading && !change.order_in_flight) {
        evaluate_state_read(context, state.engine, change, state);
    }
}

void on_state_failed(step_context& context, const engine_state_failed& incoming)
{
    const auto found = context.state.orders.changes.find(incoming.engine);
    if (found != context.state.orders.changes.end()) {
        found->second.read_open = false;
    }
}

void on_report(step_context& context, const policy::engine_report& report)
{
    const auto found = context.state.orders.changes.find(report.engine);
    if (found == context.state.orders.changes.end() || found->second.phase != change_phase::draining) {
        return;
    }
    if (report.running + report.queued == 0 && idle_since_closed(context, found->second, report.taken_at)) {
        on_drained(context, report.engine, found->second);
    }
}

void on_tick(step_context& context)
{
    if (context.now < context.state.orders.review_due || !context.state.routing.index.fleet) {
        return;
    }
    context.state.orders.review_due = context.now + review_every;
    remove_lost_changes(context);
    review(context);
}

bool has_order_in_flight(const node_state& state, const pool_id& pool)
{
    const auto& changes = state.orders.changes;
    return std::any_of(changes.begin(), changes.end(), [&](const auto& entry) {
        return entry.second.order_in_flight && entry.second.pool == pool;
    });
}

bool has_active_change(const node_state& state, const engine_id& engine)
{
    return state.orders.changes.contains(engine);
}

} // namespace currantspar::core::orders
