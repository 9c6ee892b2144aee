// Timers of generations: deadlines, idle timeouts, retries and disconnected callers.

#include <set>

#include "currantspar/core/attempts.hpp"
#include "currantspar/core/generations.hpp"
#include "currantspar/core/replies.hpp"
#include "currantspar/core/step.hpp"

namespace currantspar::core::generations {

namespace {

void cancel(step_context& context, generation& request)
{
    attempts::abandon(context, request.current, true);
    release_engine(context, request, policy::attempt_end::cancelled);
    admission::on_finished(context, request.arrived.organisation);
    context.state.requests.generations.erase(request_id(request.arrived.request));
}

void on_idle_timeout(step_context& context, generation& request)
{
    const bool leaving_engine = request.resumptions >= max_resumptions;
    request.may_have_run = true;
    replies::trace(context, "request.silent", request.arrived.request, request.arrived.service);
    attempts::abandon(context, request.current, leaving_engine);
    request.current = attempt_id();
    continue_after_break(context, request);
}

/// The deadline has passed, and either no attempt is active or no token has been received yet. A response in
/// progress may finish after the deadline.
bool deadline_exceeded(const step_context& context, const generation& request)
{
    const bool receiving = request.current != attempt_id() && !request.tokens.empty();
    return context.now >= request.shape.deadline && !receiving;
}

/// Whether a timer of the request is due, apart from its attempt's idle timeout. Runs for every request in
/// each scan, so it must be cheap.
bool is_timer_due(const step_context& context, const generation& request)
{
    if (request.caller_disconnected) {
        return context.now >= request.cancel_at;
    }
    const bool retries = request.current == attempt_id() && context.now >= request.retry_at;
    return retries || deadline_exceeded(context, request);
}

void apply_timers(step_context& context, generation& request)
{
    const auto current = context.state.requests.attempts.find(request.current);
    if (request.caller_disconnected) {
        if (context.now >= request.cancel_at) {
            cancel(context, request);
        }
    } else if (deadline_exceeded(context, request)) {
        attempts::abandon(context, request.current, true);
        release_engine(context, request, policy::attempt_end::cancelled);
        request.may_have_run = request.may_have_run || current != context.state.requests.attempts.end();
        fail(context, request, replies::status_timeout, "deadline");
    } else if (request.current == attempt_id()) {
        if (context.now >= request.retry_at) {
            route(context, request);
        }
    } else if (current != context.state.requests.attempts.end() &&
               context.now >= current->second.idle_deadline &&
               context.state.options.fault != injected_fault::silence_ignored) {
        on_idle_timeout(context, request);
    }
}

} // namespace

void on_caller_gone(step_context& context, const request_id& id)
{
    generation& request = context.state.requests.generations.at(id);
    ledger::on_caller_gone(context, request.arrived.service);
    replies::trace(context, "request.caller_gone", id, request.arrived.service);
    request.caller_disconnected = true;
    const bool may_reconnect = request.arrived.stream && request.delivered > 0;
    if (may_reconnect && request.current != attempt_id()) {
        request.cancel_at = context.now + context.state.options.resume_grace;
    } else {
        cancel(context, request);
    }
}

void on_tick(step_context& context)
{
    std::set<request_id> due;
    for (const auto& [id, request] : context.state.requests.generations) {
        if (is_timer_due(context, request)) {
            due.insert(id);
        }
    }
    for (const auto& [id, open] : context.state.requests.attempts) {
        if (context.now >= open.idle_deadline) {
            due.insert(open.request);
        }
    }
    for (const request_id& id : due) {
        const auto found = context.state.requests.generations.find(id);
        if (found != context.state.requests.generations.end()) {
            apply_timers(context, found->second);
        }
    }
}

} // namespace currantspar::core::generations
