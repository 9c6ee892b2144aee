#include "currantspar/core/orders.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "currantspar/core/order_views.hpp"

namespace currantspar::core::orders {

namespace {

constexpr duration review_every = std::chrono::milliseconds(100);
/// An order that the engine didn't take is sent this often before it is cancelled.
constexpr unsigned sends_most = 3;
/// A result or intent that wasn't read back by then is looked at again.
constexpr duration record_wait = std::chrono::seconds(15);

const agreement::open_order* open_order_of(const node_state& state, const engine_id& engine)
{
    const auto& orders = state.configuration.replica.state().orders;
    const auto found = orders.find(engine);
    return found == orders.end() ? nullptr : &found->second;
}

void trace(step_context& run, const char* kind, const engine_id& engine, const engine_change& change)
{
    timeline_entry entry;
    entry.kind = kind;
    entry.engine = engine;
    entry.service = change.pool.service;
    entry.offset = log_offset(change.order.value());
    entry.detail = "fence=" + std::to_string(change.held.value()) +
                   " role=" + nlohmann::json(change.goal.role).get<std::string>() + " " + change.reason;
    run.trace(std::move(entry));
}

void enter(step_context& run, engine_change& change, change_phase phase)
{
    change.phase = phase;
    change.since = run.now;
    change.read_due = run.now;
}

/// Opens the engine again without an order.
void give_up(step_context& run, const engine_id& engine, const char* why)
{
    engine_change& change = run.state.orders.changes[engine];
    change.reason = why;
    trace(run, "order.given_up", engine, change);
    run.state.orders.changes.erase(engine);
    run.state.orders.not_before[engine] = run.now + run.state.options.change_pause;
}

/// Asks for the engine's state, if it is due and no answer is awaited.
void ask_state(step_context& run, const engine_id& engine, engine_change& change)
{
    const core_options& options = run.state.options;
    const bool lost = run.now - change.read_sent >= options.read_timeout;
    const config::engine_spec* spec = routing::find_engine(run.state, engine);
    if (spec == nullptr || (change.read_open && !lost) || run.now < change.read_due) {
        return;
    }
    change.read_open = true;
    change.read_in = change.phase;
    change.read_sent = run.now;
    change.read_due = run.now + options.state_read_every;
    run.emit(read_engine_state{engine, spec->address});
}

void append_intent(step_context& run, const engine_id& engine, engine_change& change)
{
    agreement::intent_record intent;
    intent.engine = engine;
    intent.pool = change.pool;
    intent.held = change.held;
    intent.from = change.from;
    intent.to = change.goal;
    intent.reason = change.reason;
    intent.sequence = ++run.state.orders.intent_sequence;
    change.sequence = intent.sequence;
    log_writer::append(run, std::move(intent));
    enter(run, change, change_phase::recording);
}

void append_result(step_context& run, const engine_id& engine, engine_change& change,
                   agreement::order_outcome outcome, const agreement::engine_goal& state)
{
    log_writer::append(run, agreement::result_record{change.order, engine, outcome, state});
    enter(run, change, change_phase::closing_order);
    static constexpr const char* kinds[] = {"order.done", "order.cancelled", "order.failed"};
    trace(run, kinds[static_cast<std::size_t>(outcome)], engine, change);
    if (outcome != agreement::order_outcome::done) {
        run.state.orders.not_before[engine] = run.now + run.state.options.change_pause;
    }
}

/// The engine has nothing in flight and gets nothing new.
void on_drained(step_context& run, const engine_id& engine, engine_change& change)
{
    if (!all_acknowledged(run, change.pool)) {
        enter(run, change, change_phase::closing);
        return;
    }
    trace(run, "order.drained", engine, change);
    if (change.order.value() != 0) {
        enter(run, change, change_phase::sending);
        return;
    }
    append_intent(run, engine, change);
}

void send(step_context& run, const engine_id& engine, engine_change& change, fence acting)
{
    const config::engine_spec* spec = routing::find_engine(run.state, engine);
    const bool settled = spec != nullptr && (spec->checks_fence || former_holders_settled(run, change.pool));
    if (!settled) {
        return;
    }
    if (!all_acknowledged(run, change.pool)) {
        enter(run, change, change_phase::closing);
        return;
    }
    change.on_the_way = true;
    change.sent = run.now;
    change.sends += 1;
    enter(run, change, change_phase::reading);
    change.read_due = run.now + run.state.options.state_read_every;
    const instant deadline = authority::acts_until(run.state, change.pool);
    run.emit(send_order{engine, spec->address, change.order, acting, change.goal, deadline});
    trace(run, "order.sent", engine, change);
}

/// Takes the next step of a change that depends on time alone.
void drive(step_context& run, const engine_id& engine, engine_change& change, fence acting)
{
    const core_options& options = run.state.options;
    const duration waited = run.now - change.since;
    const bool cancellable = change.order.value() == 0;
    switch (change.phase) {
    case change_phase::idle:
        break;
    case change_phase::closing:
        if (options.fault == injected_fault::drain_skipped && waited >= options.state_read_every) {
            on_drained(run, engine, change);
        } else if (all_acknowledged(run, change.pool)) {
            ask_state(run, engine, change);
        } else if (cancellable && waited >= options.closing_most) {
            give_up(run, engine, "closing took too long");
        }
        break;
    case change_phase::draining:
        if (cancellable && waited >= options.draining_most) {
            give_up(run, engine, "draining took too long");
        } else {
            ask_state(run, engine, change);
        }
        break;
    case change_phase::recording:
        if (waited >= record_wait) {
            give_up(run, engine, "the intent had no effect");
        }
        break;
    case change_phase::sending:
        send(run, engine, change, acting);
        break;
    case change_phase::reading:
        if (!change.on_the_way) {
            ask_state(run, engine, change);
        }
        break;
    case change_phase::closing_order:
        if (waited >= record_wait) {
            enter(run, change, change_phase::reading);
        }
        break;
    }
}

/// An order without a result that this node didn't begin, or began under an earlier fence: it is carried
/// through before any other order.
void take_over(step_context& run, const engine_id& engine, const agreement::open_order& order, fence held)
{
    engine_change change;
    change.pool = order.intent.pool;
    change.held = held;
    change.from = order.intent.from;
    change.goal = order.intent.to;
    change.reason = order.intent.reason;
    change.order = order.id;
    change.began = run.now;
    enter(run, change, change_phase::closing);
    trace(run, "order.taken_over", engine, change);
    run.state.orders.changes[engine] = std::move(change);
}

/// Operators' wishes and the role policy's, merged.
agreement::engine_goal goal_of(const step_context& run, const config::engine_spec& spec,
                               const policy::engine_report& report)
{
    agreement::engine_goal goal;
    goal.load = run.state.routing.index.services.at(spec.id)->load;
    const auto wanted = run.state.orders.wanted.find(spec.id);
    const config::engine_role policy_role =
        wanted == run.state.orders.wanted.end() ? report.role : wanted->second.role;
    goal.role = spec.fixed_role.value_or(policy_role);
    return goal;
}

struct running_changes
{
    unsigned roles = 0;
    unsigned loads = 0;
};

running_changes count_changes(const step_context& run, const pool_id& pool)
{
    running_changes count;
    for (const auto& [engine, change] : run.state.orders.changes) {
        if (change.pool == pool) {
            (change.from.load == change.goal.load ? count.roles : count.loads) += 1;
        }
    }
    return count;
}

bool may_begin(const step_context& run, const config::engine_spec& spec, const pool_id& pool, bool loads)
{
    const running_changes running = count_changes(run, pool);
    const auto pause = run.state.orders.not_before.find(spec.id);
    const bool rested = pause == run.state.orders.not_before.end() || run.now >= pause->second;
    const unsigned most = run.state.routing.index.services.at(spec.id)->roles.max_simultaneous_changes;
    const bool room =
        loads ? running.loads < run.state.options.weight_loads_most : running.roles < std::max(1U, most);
    return rested && room && (spec.checks_fence || former_holders_settled(run, pool));
}

/// Begins a change when the engine isn't in the state that is wanted.
void begin_when_wanted(step_context& run, const config::engine_spec& spec, const pool_id& pool, fence acting)
{
    const policy::engine_report* report = run.state.routing.dispatcher.report(spec.id);
    const bool settled = report != nullptr && report->condition != policy::engine_condition::changing &&
                         report->condition != policy::engine_condition::leaving;
    if (!settled || spec.drained) {
        return;
    }
    const agreement::engine_goal now{report->role, report->load};
    const agreement::engine_goal goal = goal_of(run, spec, *report);
    const bool fresh_start = report->condition == policy::engine_condition::unknown;
    if (now == goal && !fresh_start) {
        return;
    }
    if (!may_begin(run, spec, pool, !(now.load == goal.load))) {
        return;
    }
    engine_change change;
    change.pool = pool;
    change.held = acting;
    change.from = now;
    change.goal = goal;
    const auto why = run.state.orders.wanted_why.find(spec.id);
    change.reason = why == run.state.orders.wanted_why.end() ? "configuration" : why->second;
    change.began = run.now;
    enter(run, change, change_phase::closing);
    trace(run, "order.wanted", spec.id, change);
    run.state.orders.changes[spec.id] = std::move(change);
}

void review_engine(step_context& run, const config::engine_spec& spec, const pool_id& pool, fence acting)
{
    auto& changes = run.state.orders.changes;
    const agreement::open_order* order = open_order_of(run.state, spec.id);
    auto found = changes.find(spec.id);
    const bool closed_by_other = found != changes.end() && found->second.order.value() != 0 &&
                                 !found->second.on_the_way && order == nullptr;
    if (closed_by_other) {
        changes.erase(found);
        found = changes.end();
    }
    const bool own = found != changes.end() && found->second.held == acting;
    if (order != nullptr &&
        !(own && (found->second.order == order->id || found->second.phase == change_phase::recording))) {
        const bool ignored = run.state.options.fault == injected_fault::open_order_ignored;
        if (!ignored) {
            take_over(run, spec.id, *order, acting);
        }
        return;
    }
    if (found != changes.end() && !own) {
        changes.erase(found);
        return;
    }
    if (found != changes.end()) {
        drive(run, spec.id, found->second, acting);
        return;
    }
    begin_when_wanted(run, spec, pool, acting);
}

/// Orders for engines that the operators have taken out of the text.
void close_orphans(step_context& run, const pool_id& pool)
{
    for (const auto& [engine, order] : run.state.configuration.replica.state().orders) {
        const bool known = run.state.routing.index.engines.contains(engine);
        if (known || order.intent.pool != pool ||
            log_writer::holds<agreement::result_record>(run.state.log_writer)) {
            continue;
        }
        log_writer::append(run,
                           agreement::result_record{order.id, engine, agreement::order_outcome::cancelled,
                                                    order.intent.from});
    }
}

void review(step_context& run)
{
    for (const auto& [pool, engines] : run.state.routing.index.pools) {
        const fence held = authority::held_fence(run.state, pool);
        if (held.value() == 0) {
            continue;
        }
        const fence acting = authority::acting_fence(run.state, pool, run.now);
        if (acting.value() != 0) {
            for (const config::engine_spec* spec : engines) {
                review_engine(run, *spec, pool, acting);
            }
            close_orphans(run, pool);
        }
        send_views(run, pool, held);
    }
}

/// Forgets changes of pools that this node doesn't hold any more; an order on its way is still awaited.
void forget_lost(step_context& run)
{
    std::erase_if(run.state.orders.changes, [&](const auto& entry) {
        const engine_change& change = entry.second;
        return !change.on_the_way && authority::held_fence(run.state, change.pool) != change.held;
    });
}

void judge_reading(step_context& run, const engine_id& engine, engine_change& change,
                   const engine_state& state)
{
    const core_options& options = run.state.options;
    if (state.condition == policy::engine_condition::changing) {
        return;
    }
    const bool taken = state.last_order == change.order;
    const bool reached = state.goal == change.goal && state.condition != policy::engine_condition::unknown;
    if (taken) {
        append_result(run, engine, change,
                      reached ? agreement::order_outcome::done : agreement::order_outcome::failed,
                      state.goal);
        return;
    }
    if (run.now - change.sent < options.order_flight) {
        return;
    }
    if (change.sends < sends_most) {
        enter(run, change, change_phase::closing);
        return;
    }
    append_result(run, engine, change, agreement::order_outcome::cancelled, state.goal);
}

bool idle_since_closed(const step_context& run, const engine_change& change, engine_time at)
{
    return at > change.drained_after || run.state.options.fault == injected_fault::report_by_receipt;
}

} // namespace

void want(step_context& run, const engine_id& engine, const agreement::engine_goal& goal,
          const std::string& reason)
{
    run.state.orders.wanted[engine] = goal;
    run.state.orders.wanted_why[engine] = reason;
}

void on_change(step_context& run, const agreement::applied_change& change)
{
    const engine_id& engine = *change.order;
    const auto found = run.state.orders.changes.find(engine);
    if (found == run.state.orders.changes.end()) {
        return;
    }
    engine_change& own = found->second;
    const agreement::open_order* order = open_order_of(run.state, engine);
    if (order == nullptr) {
        if (own.phase == change_phase::closing_order || own.phase == change_phase::recording) {
            run.state.orders.changes.erase(found);
        }
        return;
    }
    const bool mine = order->intent.held == own.held && order->intent.sequence == own.sequence;
    if (own.phase == change_phase::recording && mine) {
        own.order = order->id;
        enter(run, own, change_phase::sending);
        trace(run, "order.intent", engine, own);
    }
}

void on_base(step_context& run)
{
    std::erase_if(run.state.orders.changes, [](const auto& entry) { return !entry.second.on_the_way; });
}

void on_fleet(step_context& run)
{
    const auto& known = run.state.routing.index.engines;
    order_state& state = run.state.orders;
    std::erase_if(state.wanted, [&](const auto& entry) { return !known.contains(entry.first); });
    std::erase_if(state.wanted_why, [&](const auto& entry) { return !known.contains(entry.first); });
    std::erase_if(state.not_before, [&](const auto& entry) { return !known.contains(entry.first); });
    std::erase_if(state.changes, [&](const auto& entry) {
        return !known.contains(entry.first) && !entry.second.on_the_way;
    });
}

void on_order_answered(step_context& run, const order_answered& happened)
{
    const auto found = run.state.orders.changes.find(happened.engine);
    if (found == run.state.orders.changes.end() || found->second.order != happened.order) {
        return;
    }
    engine_change& change = found->second;
    change.on_the_way = false;
    if (happened.late) {
        run.emit(set_alarm{alarm::late_order, true, "engine=" + happened.engine.str()});
    }
    if (happened.answer == order_answer::refused_fence) {
        authority::on_greater_fence(run, change.pool, change.held.next());
    }
    if (happened.answer == order_answer::unknown && run.state.options.fault == injected_fault::no_read_back) {
        append_result(run, happened.engine, change, agreement::order_outcome::done, change.goal);
    }
    if (happened.answer == order_answer::not_sent) {
        change.sends -= 1;
        enter(run, change, change_phase::closing);
    }
}

void on_state_read(step_context& run, const engine_state_read& happened)
{
    const engine_state& state = happened.state;
    const auto found = run.state.orders.changes.find(state.engine);
    if (found == run.state.orders.changes.end()) {
        return;
    }
    engine_change& change = found->second;
    const bool current = std::exchange(change.read_open, false) && change.read_in == change.phase;
    if (!current) {
        return;
    }
    if (change.phase == change_phase::closing && all_acknowledged(run, change.pool)) {
        change.drained_after = state.now;
        enter(run, change, change_phase::draining);
    } else if (change.phase == change_phase::draining) {
        if (state.in_flight == 0 && idle_since_closed(run, change, state.now)) {
            on_drained(run, state.engine, change);
        }
    } else if (change.phase == change_phase::reading && !change.on_the_way) {
        judge_reading(run, state.engine, change, state);
    }
}

void on_state_failed(step_context& run, const engine_state_failed& happened)
{
    const auto found = run.state.orders.changes.find(happened.engine);
    if (found != run.state.orders.changes.end()) {
        found->second.read_open = false;
    }
}

void on_report(step_context& run, const policy::engine_report& report)
{
    const auto found = run.state.orders.changes.find(report.engine);
    if (found == run.state.orders.changes.end() || found->second.phase != change_phase::draining) {
        return;
    }
    if (report.running + report.queued == 0 && idle_since_closed(run, found->second, report.taken_at)) {
        on_drained(run, report.engine, found->second);
    }
}

void on_tick(step_context& run)
{
    if (run.now < run.state.orders.review_due || !run.state.routing.index.fleet) {
        return;
    }
    run.state.orders.review_due = run.now + review_every;
    forget_lost(run);
    review(run);
}

bool on_the_way(const node_state& state, const pool_id& pool)
{
    const auto& changes = state.orders.changes;
    return std::any_of(changes.begin(), changes.end(), [&](const auto& entry) {
        return entry.second.on_the_way && entry.second.pool == pool;
    });
}

bool watches(const node_state& state, const engine_id& engine)
{
    return state.orders.changes.contains(engine);
}

} // namespace currantspar::core::orders
