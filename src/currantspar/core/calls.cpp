#include "currantspar/core/calls.hpp"

#include <algorithm>
#include <utility>

#include "currantspar/core/attempts.hpp"
#include "currantspar/core/replies.hpp"
#include "currantspar/core/step.hpp"

namespace currantspar::core::calls {

namespace {

constexpr unsigned max_attempts = 4;

/// Ends a call without a response. If this node recorded the call's key, its outcome is recorded too.
void end_unanswered(step& run, call& request, request_outcome outcome, int status, const char* code)
{
    reply_end reply = replies::failure(request.arrived.request, outcome, status, code);
    if (request.stage == key_stage::running) {
        keyed_calls::on_unanswered(run, request, std::move(reply));
    } else {
        finish(run, request.arrived.request, std::move(reply));
    }
}

void end_unavailable(step& run, call& request, const char* code)
{
    const request_outcome outcome =
        request.may_have_run ? request_outcome::unknown : request_outcome::not_run;
    end_unanswered(run, request, outcome, replies::status_unavailable, code);
}

void on_answered(step& run, call& request, const attempt_ended& happened)
{
    const request_id id = request.arrived.request;
    if (!request.forwarded && !request.caller_disconnected) {
        run.emit(forward_answer{id, happened.attempt});
    }
    if (request.stage == key_stage::running) {
        keyed_calls::on_answered(run, request, happened);
    }
    reply_end reply;
    reply.request = id;
    finish(run, id, std::move(reply));
}

void retry(step& run, call& request, const attempt& ended, const char* code)
{
    const call_arrived& arrived = request.arrived;
    request.failed.insert(ended.backend);
    const bool allowed = request.attempts < max_attempts && arrived.body_replayable;
    if (allowed && attempts::spend_retry(run, arrived.service, arrived.organisation)) {
        dispatch(run, request);
    } else {
        end_unavailable(run, request, code);
    }
}

void on_broken(step& run, call& request, const attempt& ended, attempt_result how)
{
    request.may_have_run = run.state.options.fault != injected_fault::not_run_guessed;
    const bool repeatable = request.may_repeat || run.state.options.fault == injected_fault::booking_repeated;
    if (repeatable && !request.forwarded && !request.caller_disconnected) {
        retry(run, request, ended, "backend_failed");
        return;
    }
    const bool silent = how == attempt_result::silent;
    end_unanswered(run, request, request.may_have_run ? request_outcome::unknown : request_outcome::not_run,
                   silent ? replies::status_timeout : replies::status_bad_gateway,
                   request.forwarded ? "answer_cut" : "backend_failed");
}

void record_health(step& run, const service_id& service, const attempt& ended, bool succeeded)
{
    run.state.backends.services[service].on_ended(ended.backend, succeeded, run.now - ended.started, run.now);
}

/// Ends a call whose deadline has passed, unless it waits for its key's record or outcome.
void on_deadline(step& run, call& request)
{
    const bool dispatched = request.stage == key_stage::none || request.stage == key_stage::running;
    if (!dispatched) {
        return;
    }
    request.may_have_run = request.may_have_run || request.current != attempt_id();
    const auto current = run.state.requests.attempts.find(request.current);
    if (current != run.state.requests.attempts.end()) {
        record_health(run, request.arrived.service, current->second, false);
    }
    attempts::abandon(run, request.current, false);
    const request_outcome outcome =
        request.may_have_run ? request_outcome::unknown : request_outcome::not_run;
    end_unanswered(run, request, outcome, replies::status_timeout, "deadline");
}

} // namespace

config::call_rule rule_of(const config::service_spec& service, const call_arrived& arrived)
{
    const auto rule =
        std::find_if(service.calls.begin(), service.calls.end(), [&](const config::call_rule& candidate) {
            const bool method = candidate.method == "*" || candidate.method == arrived.method;
            return method && arrived.path.starts_with(candidate.path_prefix);
        });
    if (rule != service.calls.end()) {
        return *rule;
    }
    const bool safe = arrived.method == "GET" || arrived.method == "HEAD";
    return config::call_rule{arrived.method, {}, safe, false};
}

void accept(step& run, const call_arrived& happened, const config::service_spec& service)
{
    ledger::on_accepted(run, happened.service);
    admission::on_started(run, happened.organisation);
    attempts::earn_retry(run, happened.service, happened.organisation);
    replies::trace(run, "request.accepted", happened.request, happened.service);
    call new_call;
    new_call.arrived = happened;
    new_call.may_repeat = rule_of(service, happened).may_repeat;
    new_call.deadline = run.now + service.targets.deadline;
    auto& active = run.state.requests.calls;
    call& request = active.insert_or_assign(happened.request, std::move(new_call)).first->second;
    const bool keyed = !request.may_repeat && !happened.idempotency_key.empty() &&
                       run.state.options.fault != injected_fault::key_not_recorded;
    if (!keyed) {
        dispatch(run, request);
    } else {
        keyed_calls::on_call(run, request);
    }
}

void dispatch(step& run, call& request)
{
    const config::fleet_ptr fleet = run.state.configuration.replica.state().fleet;
    const config::service_spec* service = fleet->find_service(request.arrived.service);
    const config::backend_spec* spec =
        service == nullptr ? nullptr : backends::choose(run, *service, request.failed);
    request.current = attempt_id();
    if (spec == nullptr) {
        end_unavailable(run, request, "no_backend");
        return;
    }
    attempt new_attempt;
    new_attempt.request = request.arrived.request;
    new_attempt.backend = spec->id;
    new_attempt.idle_deadline = run.now + run.state.options.call_idle_limit;
    request.current = attempts::open(run, std::move(new_attempt));
    request.attempts += 1;
    run.state.backends.services[service->id].on_started(spec->id);
    start_call start;
    start.attempt = request.current;
    start.request = request.arrived.request;
    start.backend = spec->id;
    start.address = spec->address;
    start.new_connection = request.attempts > 1;
    start.keep_body = request.stage == key_stage::running;
    start.idle_limit = run.state.options.call_idle_limit;
    run.emit(std::move(start));
    timeline_entry entry;
    entry.kind = "request.routed";
    entry.request = request.arrived.request;
    entry.attempt = request.current;
    entry.backend = spec->id;
    entry.service = service->id;
    run.trace(std::move(entry));
}

void finish(step& run, const request_id& request, reply_end reply)
{
    const auto found = run.state.requests.calls.find(request);
    const call& ended = found->second;
    admission::on_finished(run, ended.arrived.organisation);
    if (!ended.caller_disconnected) {
        ledger::on_outcome(run, ended.arrived.service, reply.outcome);
        replies::trace(run, "request.ended", request, ended.arrived.service,
                       "outcome=" + nlohmann::json(reply.outcome).get<std::string>() + " code=" + reply.code);
        run.emit(std::move(reply));
    }
    run.state.requests.calls.erase(found);
}

void on_head(step& run, attempt_id id, const attempt& from)
{
    const auto found = run.state.requests.calls.find(from.request);
    if (found == run.state.requests.calls.end() || found->second.forwarded) {
        return;
    }
    found->second.forwarded = true;
    if (!found->second.caller_disconnected) {
        run.emit(forward_answer{from.request, id});
    }
}

void on_ended(step& run, const attempt& ended, const attempt_ended& happened)
{
    call& request = run.state.requests.calls.at(ended.request);
    const bool is_complete = happened.how == attempt_result::complete;
    record_health(run, request.arrived.service, ended, is_complete);
    request.current = attempt_id();
    switch (happened.how) {
    case attempt_result::complete:
        on_answered(run, request, happened);
        return;
    case attempt_result::not_written:
    case attempt_result::refused:
        retry(run, request, ended, "backend_unreachable");
        return;
    case attempt_result::broken:
    case attempt_result::silent:
    case attempt_result::wrong:
        on_broken(run, request, ended, happened.how);
        return;
    }
}

void on_caller_gone(step& run, const request_id& id)
{
    call& request = run.state.requests.calls.at(id);
    ledger::on_caller_gone(run, request.arrived.service);
    replies::trace(run, "request.caller_gone", id, request.arrived.service);
    request.caller_disconnected = true;
    if (request.stage == key_stage::recording || request.stage == key_stage::awaiting_outcome) {
        keyed_calls::on_abandoned(run, request);
        finish(run, id, {});
    } else if (request.may_repeat) {
        const auto current = run.state.requests.attempts.find(request.current);
        if (current != run.state.requests.attempts.end()) {
            run.state.backends.services[request.arrived.service].on_cancelled(current->second.backend);
        }
        attempts::abandon(run, request.current, false);
        finish(run, id, {});
    }
    // A call that may not be repeated continues to its end, so that its outcome is known.
}

void on_tick(step& run)
{
    std::vector<request_id> overdue;
    for (const auto& [id, request] : run.state.requests.calls) {
        if (run.now >= request.deadline) {
            overdue.push_back(id);
        }
    }
    for (const request_id& id : overdue) {
        const auto found = run.state.requests.calls.find(id);
        if (found != run.state.requests.calls.end()) {
            on_deadline(run, found->second);
        }
    }
}

} // namespace currantspar::core::calls
