// Timers of generations: deadlines, idle timeouts, retries and disconnected callers.

#include <set>

#include "currantspar/core/attempts.hpp"
#include "currantspar/core/generations.hpp"
#include "currantspar/core/replies.hpp"
#include "currantspar/core/step.hpp"

namespace currantspar::core::generations {

namespace {

void cancel(step& run, generation& request)
{
    attempts::abandon(run, request.current, true);
    release_engine(run, request, policy::attempt_end::cancelled);
    admission::on_finished(run, request.arrived.organisation);
    run.state.requests.generations.erase(request_id(request.arrived.request));
}

void on_idle_timeout(step& run, generation& request)
{
    const bool leaving_engine = request.resumptions >= max_resumptions;
    request.may_have_run = true;
    replies::trace(run, "request.silent", request.arrived.request, request.arrived.service);
    attempts::abandon(run, request.current, leaving_engine);
    request.current = attempt_id();
    continue_after_break(run, request);
}

/// The deadline has passed, and either no attempt is active or no token has been received yet. A response in
/// progress may finish after the deadline.
bool deadline_exceeded(const step& run, const generation& request)
{
    const bool receiving = request.current != attempt_id() && !request.tokens.empty();
    return run.now >= request.shape.deadline && !receiving;
}

/// Whether a timer of the request is due, apart from its attempt's idle timeout. Runs for every request in
/// each scan, so it must be cheap.
bool is_timer_due(const step& run, const generation& request)
{
    if (request.caller_disconnected) {
        return run.now >= request.cancel_at;
    }
    const bool retries = request.current == attempt_id() && run.now >= request.retry_at;
    return retries || deadline_exceeded(run, request);
}

void apply_timers(step& run, generation& request)
{
    const auto current = run.state.requests.attempts.find(request.current);
    if (request.caller_disconnected) {
        if (run.now >= request.cancel_at) {
            cancel(run, request);
        }
    } else if (deadline_exceeded(run, request)) {
        attempts::abandon(run, request.current, true);
        release_engine(run, request, policy::attempt_end::cancelled);
        request.may_have_run = request.may_have_run || current != run.state.requests.attempts.end();
        fail(run, request, replies::status_timeout, "deadline");
    } else if (request.current == attempt_id()) {
        if (run.now >= request.retry_at) {
            route(run, request);
        }
    } else if (current != run.state.requests.attempts.end() && run.now >= current->second.idle_deadline &&
               run.state.options.fault != injected_fault::silence_ignored) {
        on_idle_timeout(run, request);
    }
}

} // namespace

void on_caller_gone(step& run, const request_id& id)
{
    generation& request = run.state.requests.generations.at(id);
    ledger::on_caller_gone(run, request.arrived.service);
    replies::trace(run, "request.caller_gone", id, request.arrived.service);
    request.caller_disconnected = true;
    const bool may_reconnect = request.arrived.stream && request.delivered > 0;
    if (may_reconnect && request.current != attempt_id()) {
        request.cancel_at = run.now + run.state.options.resume_grace;
    } else {
        cancel(run, request);
    }
}

void on_tick(step& run)
{
    std::set<request_id> due;
    for (const auto& [id, request] : run.state.requests.generations) {
        if (is_timer_due(run, request)) {
            due.insert(id);
        }
    }
    for (const auto& [id, open] : run.state.requests.attempts) {
        if (run.now >= open.idle_deadline) {
            due.insert(open.request);
        }
    }
    for (const request_id& id : due) {
        const auto found = run.state.requests.generations.find(id);
        if (found != run.state.requests.generations.end()) {
            apply_timers(run, found->second);
        }
    }
}

} // namespace currantspar::core::generations
