#include "currantspar/core/lifecycle.hpp"

#include "currantspar/core/step.hpp"

namespace currantspar::core::lifecycle {

namespace {

/// After the load balancer's drain time, it is considered to have stopped sending once no request has arrived
/// for 1/quiet_divisor of that time.
constexpr int quiet_divisor = 4;
/// After this many drain times, new requests are refused even if the load balancer still sends them.
constexpr int max_drain_periods = 4;
/// A node becomes ready after this time even without a report of every engine.
constexpr duration max_first_report_wait = std::chrono::seconds(2);

void enter(step_context& context, lifecycle_phase phase, const char* kind)
{
    context.state.lifecycle.phase = phase;
    timeline_entry entry;
    entry.kind = kind;
    entry.detail = "in_flight=" + std::to_string(requests::in_flight(context.state));
    context.trace(std::move(entry));
}

/// Until its engines have reported, the node could only queue requests. The wait is limited so that engines
/// that are down don't keep the node from becoming ready.
void become_ready(step_context& context)
{
    lifecycle_state& state = context.state.lifecycle;
    if (state.phase != lifecycle_phase::serving || state.ready) {
        return;
    }
    const bool waited = context.now - state.serving_since >= max_first_report_wait;
    if (waited || routing::all_engines_reported(context.state)) {
        state.ready = true;
        context.emit(set_ready{true});
    }
}

bool balancer_stopped(const step_context& context)
{
    const lifecycle_state& state = context.state.lifecycle;
    const duration drain = context.state.options.balancer_drain;
    const duration draining = context.now - state.stop_began;
    const bool quiet = context.now - state.last_arrival >= drain / quiet_divisor;
    return draining >= drain * max_drain_periods || (draining >= drain && quiet);
}

/// True when no request is in flight and the last response has had time to reach its caller.
bool all_responses_delivered(step_context& context)
{
    lifecycle_state& state = context.state.lifecycle;
    if (context.state.options.fault == injected_fault::stop_cuts) {
        return true;
    }
    if (requests::in_flight(context.state) != 0) {
        state.idle_since = instant();
        return false;
    }
    if (state.idle_since == instant()) {
        state.idle_since = context.now;
    }
    return context.now - state.idle_since >= context.state.options.reply_linger;
}

/// True when all records of this node have been appended to the log.
bool all_records_appended(const step_context& context)
{
    const log_writer_state& writer = context.state.log_writer;
    const keyed_call_state& keyed = context.state.keyed_calls;
    return writer.waiting.empty() && writer.open.value() == 0 && keyed.outcomes.empty();
}

} // namespace

void on_stop(step_context& context)
{
    lifecycle_state& state = context.state.lifecycle;
    if (state.phase >= lifecycle_phase::draining) {
        return;
    }
    state.ready = false;
    state.stop_began = context.now;
    enter(context, lifecycle_phase::draining, "lifecycle.draining");
    context.emit(set_ready{false});
}

void on_fleet(step_context& context)
{
    lifecycle_state& state = context.state.lifecycle;
    if (state.phase != lifecycle_phase::starting) {
        return;
    }
    state.phase = lifecycle_phase::serving;
    state.serving_since = context.now;
    become_ready(context);
}

void on_arrival(step_context& context)
{
    context.state.lifecycle.last_arrival = context.now;
}

void on_tick(step_context& context)
{
    lifecycle_state& state = context.state.lifecycle;
    become_ready(context);
    if (state.phase == lifecycle_phase::draining && balancer_stopped(context)) {
        enter(context, lifecycle_phase::finishing, "lifecycle.finishing");
    }
    if (state.phase == lifecycle_phase::finishing && all_responses_delivered(context)) {
        authority::release_all(context);
        state.released_at = context.now;
        enter(context, lifecycle_phase::released, "lifecycle.released");
    }
    const bool waited_enough = context.now - state.released_at >= context.state.options.release_wait;
    if (state.phase == lifecycle_phase::released && (all_records_appended(context) || waited_enough)) {
        enter(context, lifecycle_phase::stopped, "lifecycle.stopped");
        context.emit(exit_process{0});
    }
}

bool accepting(const node_state& state)
{
    return state.lifecycle.phase == lifecycle_phase::serving ||
           state.lifecycle.phase == lifecycle_phase::draining;
}

} // namespace currantspar::core::lifecycle
