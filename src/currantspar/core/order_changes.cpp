#include "currantspar/core/order_changes.hpp"

#include <utility>

#include "currantspar/core/order_views.hpp"

namespace currantspar::core::orders {

namespace {

/// Time after which a result or intent that wasn't read back from the log is reconsidered.
constexpr duration record_wait = std::chrono::seconds(15);

/// Abandons the change and opens the engine again without an order.
void abandon_change(step_context& context, const engine_id& engine, const char* why)
{
    engine_change& change = context.state.orders.changes[engine];
    change.reason = why;
    trace(context, "order.given_up", engine, change);
    context.state.orders.changes.erase(engine);
    context.state.orders.not_before[engine] = context.now + context.state.options.change_pause;
}

/// Requests the engine's state when due, unless a request is pending.
void request_state(step_context& context, const engine_id& engine, engine_change& change)
{
    const core_options& options = context.state.options;
    const bool timed_out = context.now - change.read_sent >= options.read_timeout;
    const config::engine_spec* spec = routing::find_engine(context.state, engine);
    if (spec == nullptr || (change.read_open && !timed_out) || context.now < change.read_due) {
        return;
    }
    change.read_open = true;
    change.read_in = change.phase;
    change.read_sent = context.now;
    change.read_due = context.now + options.state_read_every;
    context.emit(read_engine_state{engine, spec->address});
}

void append_intent(step_context& context, const engine_id& engine, engine_change& change)
{
    agreement::intent_record intent;
    intent.engine = engine;
    intent.pool = change.pool;
    intent.held = change.held;
    intent.from = change.from;
    intent.to = change.goal;
    intent.reason = change.reason;
    intent.sequence = ++context.state.orders.intent_sequence;
    change.sequence = intent.sequence;
    log_writer::append(context, std::move(intent));
    enter(context, change, change_phase::recording_intent);
}

void send(step_context& context, const engine_id& engine, engine_change& change, fence acting)
{
    const config::engine_spec* spec = routing::find_engine(context.state, engine);
    const bool settled =
        spec != nullptr && (spec->checks_fence || former_holders_settled(context, change.pool));
    if (!settled) {
        return;
    }
    if (!all_acknowledged(context, change.pool)) {
        enter(context, change, change_phase::closing);
        return;
    }
    change.order_in_flight = true;
    change.sent = context.now;
    change.attempts_made += 1;
    enter(context, change, change_phase::reading);
    change.read_due = context.now + context.state.options.state_read_every;
    const instant deadline = authority::lease_expiry(context.state, change.pool);
    context.emit(send_order{engine, spec->address, change.order, acting, change.goal, deadline});
    trace(context, "order.sent", engine, change);
}

} // namespace

void trace(step_context& context, const char* kind, const engine_id& engine, const engine_change& change)
{
    timeline_entry entry;
    entry.kind = kind;
    entry.engine = engine;
    entry.service = change.pool.service;
    entry.offset = log_offset(change.order.value());
    entry.detail = "fence=" + std::to_string(change.held.value()) +
                   " role=" + nlohmann::json(change.goal.role).get<std::string>() + " " + change.reason;
    context.trace(std::move(entry));
}

void enter(step_context& context, engine_change& change, change_phase phase)
{
    change.phase = phase;
    change.since = context.now;
    change.read_due = context.now;
}

void append_result(step_context& context, const engine_id& engine, engine_change& change,
                   agreement::order_outcome outcome, const agreement::engine_goal& state)
{
    log_writer::append(context, agreement::result_record{change.order, engine, outcome, state});
    enter(context, change, change_phase::recording_result);
    static constexpr const char* kinds[] = {"order.done", "order.cancelled", "order.failed"};
    trace(context, kinds[static_cast<std::size_t>(outcome)], engine, change);
    if (outcome != agreement::order_outcome::done) {
        context.state.orders.not_before[engine] = context.now + context.state.options.change_pause;
    }
}

void on_drained(step_context& context, const engine_id& engine, engine_change& change)
{
    if (!all_acknowledged(context, change.pool)) {
        enter(context, change, change_phase::closing);
        return;
    }
    trace(context, "order.drained", engine, change);
    if (change.order.value() != 0) {
        enter(context, change, change_phase::sending);
        return;
    }
    append_intent(context, engine, change);
}

void advance_change(step_context& context, const engine_id& engine, engine_change& change, fence acting)
{
    const core_options& options = context.state.options;
    const duration waited = context.now - change.since;
    const bool cancellable = change.order.value() == 0;
    switch (change.phase) {
    case change_phase::idle:
        break;
    case change_phase::closing:
        if (options.fault == injected_fault::drain_skipped && waited >= options.state_read_every) {
            on_drained(context, engine, change);
        } else if (all_acknowledged(context, change.pool)) {
            request_state(context, engine, change);
        } else if (cancellable && waited >= options.closing_most) {
            abandon_change(context, engine, "closing took too long");
        }
        break;
    case change_phase::draining:
        if (cancellable && waited >= options.draining_most) {
            abandon_change(context, engine, "draining took too long");
        } else {
            request_state(context, engine, change);
        }
        break;
    case change_phase::recording_intent:
        if (waited >= record_wait) {
            abandon_change(context, engine, "the intent had no effect");
        }
        break;
    case change_phase::sending:
        send(context, engine, change, acting);
        break;
    case change_phase::reading:
        if (!change.order_in_flight) {
            request_state(context, engine, change);
        }
        break;
    case change_phase::recording_result:
        if (waited >= record_wait) {
            enter(context, change, change_phase::reading);
        }
        break;
    }
}

void resume_order(step_context& context, const engine_id& engine, const agreement::open_order& order,
                  fence held)
{
    engine_change change;
    change.pool = order.intent.pool;
    change.held = held;
    change.from = order.intent.from;
    change.goal = order.intent.to;
    change.reason = order.intent.reason;
    change.order = order.id;
    change.began = context.now;
    enter(context, change, change_phase::closing);
    trace(context, "order.taken_over", engine, change);
    context.state.orders.changes[engine] = std::move(change);
}

} // namespace currantspar::core::orders
