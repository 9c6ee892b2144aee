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
void end_unanswered(step_context& context, call& request, request_outcome outcome, int status,
                    const char* code)
{
    reply_end reply = replies::failure(request.arrived.request, outcome, status, code);
    if (request.stage == key_stage::running) {
        keyed_calls::on_unanswered(context, request, std::move(reply));
    } else {
        finish(context, request.arrived.request, std::move(reply));
    }
}

void end_unavailable(step_context& context, call& request, const char* code)
{
    const request_outcome outcome =
        request.may_have_run ? request_outcome::unknown : request_outcome::not_run;
    end_unanswered(context, request, outcome, replies::status_unavailable, code);
}

void on_answered(step_context& context, call& request, const attempt_ended& incoming)
{
    const request_id id = request.arrived.request;
    if (!request.forwarded && !request.caller_disconnected) {
        context.emit(forward_answer{id, incoming.attempt});
    }
    if (request.stage == key_stage::running) {
        keyed_calls::on_answered(context, request, incoming);
    }
    reply_end reply;
    reply.request = id;
    finish(context, id, std::move(reply));
}

void retry(step_context& context, call& request, const attempt& ended, const char* code)
{
    const call_arrived& arrived = request.arrived;
    request.failed.insert(ended.backend);
    const bool allowed = request.attempts < max_attempts && arrived.body_replayable;
    if (allowed && attempts::spend_retry(context, arrived.service, arrived.organisation)) {
        dispatch(context, request);
    } else {
        end_unavailable(context, request, code);
    }
}

void on_broken(step_context& context, call& request, const attempt& ended, attempt_result how)
{
    request.may_have_run = context.state.options.fault != injected_fault::not_run_guessed;
    const bool repeatable =
        request.may_repeat || context.state.options.fault == injected_fault::booking_repeated;
    if (repeatable && !request.forwarded && !request.caller_disconnected) {
        retry(context, request, ended, "backend_failed");
        return;
    }
    const bool silent = how == attempt_result::silent;
    end_unanswered(context, request,
                   request.may_have_run ? request_outcome::unknown : request_outcome::not_run,
                   silent ? replies::status_timeout : replies::status_bad_gateway,
                   request.forwarded ? "answer_cut" : "backend_failed");
}

void record_health(step_context& context, const service_id& service, const attempt& ended, bool succeeded)
{
    context.state.backends.services[service].on_ended(ended.backend, succeeded, context.now - ended.started,
                                                      context.now);
}

/// Ends a call whose deadline has passed, unless it waits for its key's record or outcome.
void on_deadline(step_context& context, call& request)
{
    const bool dispatched = request.stage == key_stage::none || request.stage == key_stage::running;
    if (!dispatched) {
        return;
    }
    request.may_have_run = request.may_have_run || request.current != attempt_id();
    const auto current = context.state.requests.attempts.find(request.current);
    if (current != context.state.requests.attempts.end()) {
        record_health(context, request.arrived.service, current->second, false);
    }
    attempts::abandon(context, request.current, false);
    const request_outcome outcome =
        request.may_have_run ? request_outcome::unknown : request_outcome::not_run;
    end_unanswered(context, request, outcome, replies::status_timeout, "deadline");
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

void accept(step_context& context, const call_arrived& incoming, const config::service_spec& service)
{
    ledger::on_accepted(context, incoming.service);
    admission::on_started(context, incoming.organisation);
    attempts::earn_retry(context, incoming.service, incoming.organisation);
    replies::trace(context, "request.accepted", incoming.request, incoming.service);
    call new_call;
    new_call.arrived = incoming;
    new_call.may_repeat = rule_of(service, incoming).may_repeat;
    new_call.deadline = context.now + service.targets.deadline;
    auto& active = context.state.requests.calls;
    call& request = active.insert_or_assign(incoming.request, std::move(new_call)).first->second;
    const bool keyed = !request.may_repeat && !incoming.idempotency_key.empty() &&
                       context.state.options.fault != injected_fault::key_not_recorded;
    if (!keyed) {
        dispatch(context, request);
    } else {
        keyed_calls::on_call(context, request);
    }
}

void dispatch(step_context& context, call& request)
{
    const config::fleet_ptr fleet = context.state.configuration.replica.state().fleet;
    const config::service_spec* service = fleet->find_service(request.arrived.service);
    const config::backend_spec* spec =
        service == nullptr ? nullptr : backends::choose(context, *service, request.failed);
    request.current = attempt_id();
    if (spec == nullptr) {
        end_unavailable(context, request, "no_backend");
        return;
    }
    attempt new_attempt;
    new_attempt.request = request.arrived.request;
    new_attempt.backend = spec->id;
    new_attempt.idle_deadline = context.now + context.state.options.call_idle_limit;
    request.current = attempts::open(context, std::move(new_attempt));
    request.attempts += 1;
    context.state.backends.services[service->id].on_started(spec->id);
    start_call start;
    start.attempt = request.current;
    start.request = request.arrived.request;
    start.backend = spec->id;
    start.address = spec->address;
    start.new_connection = request.attempts > 1;
    start.keep_body = request.stage == key_stage::running;
    start.idle_limit = context.state.options.call_idle_limit;
    context.emit(std::move(start));
    timeline_entry entry;
    entry.kind = "request.routed";
    entry.request = request.arrived.request;
    entry.attempt = request.current;
    entry.backend = spec->id;
    entry.service = service->id;
    context.trace(std::move(entry));
}

void finish(step_context& context, const request_id& request, reply_end reply)
{
    const auto found = context.state.requests.calls.find(request);
    const call& ended = found->second;
    admission::on_finished(context, ended.arrived.organisation);
    if (!ended.caller_disconnected) {
        ledger::on_outcome(context, ended.arrived.service, reply.outcome);
        replies::trace(context, "request.ended", request, ended.arrived.service,
                       "outcome=" + nlohmann::json(reply.outcome).get<std::string>() + " code=" + reply.code);
        context.emit(std::move(reply));
    }
    context.state.requests.calls.erase(found);
}

void on_head(step_context& context, attempt_id id, const attempt& from)
{
    const auto found = context.state.requests.calls.find(from.request);
    if (found == context.state.requests.calls.end() || found->second.forwarded) {
        return;
    }
    found->second.forwarded = true;
    if (!found->second.caller_disconnected) {
        context.emit(forward_answer{from.request, id});
    }
}

void on_ended(step_context& context, const attempt& ended, const attempt_ended& incoming)
{
    call& request = context.state.requests.calls.at(ended.request);
    const bool is_complete = incoming.how == attempt_result::complete;
    record_health(context, request.arrived.service, ended, is_complete);
    request.current = attempt_id();
    switch (incoming.how) {
    case attempt_result::complete:
        on_answered(context, request, incoming);
        return;
    case attempt_result::not_written:
    case attempt_result::refused:
        retry(context, request, ended, "backend_unreachable");
        return;
    case attempt_result::broken:
    case attempt_result::silent:
    case attempt_result::wrong:
        on_broken(context, request, ended, incoming.how);
        return;
    }
}

void on_caller_gone(step_context& context, const request_id& id)
{
    call& request = context.state.requests.calls.at(id);
    ledger::on_caller_gone(context, request.arrived.service);
    replies::trace(context, "request.caller_gone", id, request.arrived.service);
    request.caller_disconnected = true;
    if (request.stage == key_stage::recording || request.stage == key_stage::awaiting_outcome) {
        keyed_calls::on_abandoned(context, request);
        finish(context, id, {});
    } else if (request.may_repeat) {
        const auto current = context.state.requests.attempts.find(request.current);
        if (current != context.state.requests.attempts.end()) {
            context.state.backends.services[request.arrived.service].on_cancelled(current->second.backend);
        }
        attempts::abandon(context, request.current, false);
        finish(context, id, {});
    }
    // A call that may not be repeated continues to its end, so that its outcome is known.
}

void on_tick(step_context& context)
{
    std::vector<request_id> overdue;
    for (const auto& [id, request] : context.state.requests.calls) {
        if (context.now >= request.deadline) {
            overdue.push_back(id);
        }
    }
    for (const request_id& id : overdue) {
        const auto found = context.state.requests.calls.find(id);
        if (found != context.state.requests.calls.end()) {
            on_deadline(context, found->second);
        }
    }
}

} // namespace currantspar::core::calls
