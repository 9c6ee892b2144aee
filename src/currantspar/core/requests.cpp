#include "currantspar/core/requests.hpp"

#include <algorithm>

#include "currantspar/core/attempts.hpp"
#include "currantspar/core/calls.hpp"
#include "currantspar/core/generations.hpp"
#include "currantspar/core/replies.hpp"
#include "currantspar/core/step.hpp"

namespace currantspar::core::requests {

namespace {

constexpr duration scan_interval = std::chrono::milliseconds(20);

const config::service_spec* service_of(const step& run, const service_id& id)
{
    const config::fleet_ptr& fleet = run.state.configuration.replica.state().fleet;
    return fleet ? fleet->find_service(id) : nullptr;
}

/// Why no request to this service can be accepted, whichever organisation sent it.
std::optional<policy::refusal> service_refusal(const step& run, const config::service_spec* service)
{
    if (!lifecycle::accepting(run.state)) {
        return policy::refusal{policy::refusal_reason::stopping, std::chrono::seconds(1)};
    }
    if (service == nullptr) {
        return policy::refusal{policy::refusal_reason::no_engine, std::chrono::seconds(1)};
    }
    return std::nullopt;
}

bool is_generation(const step& run, const attempt& from)
{
    return run.state.requests.generations.contains(from.request);
}

} // namespace

void on_generate(step& run, const generate_arrived& happened)
{
    lifecycle::on_arrival(run);
    const config::service_spec* service = service_of(run, happened.service);
    auto reason = service_refusal(run, service);
    if (!reason) {
        reason = admission::check(run, happened.organisation, *service);
    }
    if (reason) {
        replies::refuse(run, happened.request, *reason);
        return;
    }
    generations::accept(run, happened, *service);
}

void on_resumed(step& run, const stream_resumed& happened)
{
    lifecycle::on_arrival(run);
    const config::service_spec* service = service_of(run, happened.service);
    if (const auto reason = service_refusal(run, service)) {
        replies::refuse(run, happened.request, *reason, true);
        return;
    }
    generations::accept_resumed(run, happened, *service);
}

void on_call(step& run, const call_arrived& happened)
{
    lifecycle::on_arrival(run);
    const config::service_spec* service = service_of(run, happened.service);
    auto reason = service_refusal(run, service);
    const bool keyed = !happened.idempotency_key.empty();
    if (!reason && calls::rule_of(*service, happened).require_key && !keyed) {
        run.emit(replies::failure(happened.request, request_outcome::not_run, replies::status_bad_request,
                                  "key_required"));
        return;
    }
    if (!reason) {
        reason = admission::check(run, happened.organisation, *service);
    }
    if (reason) {
        replies::refuse(run, happened.request, *reason, keyed);
        return;
    }
    calls::accept(run, happened, *service);
}

void on_caller_gone(step& run, const caller_gone& happened)
{
    request_state& state = run.state.requests;
    if (state.generations.contains(happened.request)) {
        generations::on_caller_gone(run, happened.request);
    } else if (state.calls.contains(happened.request)) {
        calls::on_caller_gone(run, happened.request);
    }
}

void on_written(step& run, const attempt_written& happened)
{
    const auto found = run.state.requests.attempts.find(happened.attempt);
    if (found != run.state.requests.attempts.end()) {
        found->second.written = true;
    }
}

void on_accepted(step& run, const attempt_accepted& happened)
{
    if (attempt* from = attempts::find_active(run, happened.attempt)) {
        generations::on_accepted(run, *from, happened);
    }
}

void on_tokens(step& run, const attempt_tokens& happened)
{
    attempt* from = attempts::find_active(run, happened.attempt);
    if (from == nullptr) {
        return;
    }
    const bool mismatched = from->engine_request != happened.engine_request;
    if (mismatched && run.state.options.fault != injected_fault::crossed_accepted) {
        generations::on_mismatched_response(run, happened.attempt);
        return;
    }
    generations::on_tokens(run, *from, happened);
}

void on_head(step& run, const answer_head& happened)
{
    if (const attempt* from = attempts::find_active(run, happened.attempt)) {
        calls::on_head(run, happened.attempt, *from);
    }
}

void on_ended(step& run, const attempt_ended& happened)
{
    request_state& state = run.state.requests;
    const auto found = state.attempts.find(happened.attempt);
    if (found == state.attempts.end()) {
        attempts::drop(run, happened.attempt);
        return;
    }
    const bool is_complete = happened.how == attempt_result::complete;
    if (is_complete && is_generation(run, found->second) &&
        found->second.engine_request != happened.engine_request) {
        generations::on_mismatched_response(run, happened.attempt);
        return;
    }
    const attempt ended = found->second;
    state.attempts.erase(found);
    if (is_generation(run, ended)) {
        generations::on_ended(run, ended, happened);
    } else if (state.calls.contains(ended.request)) {
        calls::on_ended(run, ended, happened);
    }
}

void on_kv_moved(step& run, const kv_moved& happened)
{
    if (const attempt* from = attempts::find_active(run, happened.attempt)) {
        const attempt copy = *from;
        generations::on_kv_moved(run, copy, happened);
    }
}

void on_tick(step& run)
{
    if (run.now < run.state.requests.scan_due) {
        return;
    }
    run.state.requests.scan_due = run.now + scan_interval;
    generations::on_tick(run);
    calls::on_tick(run);
}

std::size_t in_flight(const node_state& state)
{
    return state.requests.generations.size() + state.requests.calls.size();
}

std::size_t open_requests(const node_state& state, const service_id& service)
{
    const auto open = [&](const auto& entry) {
        return !entry.second.caller_disconnected && entry.second.arrived.service == service;
    };
    const auto& generations = state.requests.generations;
    const auto& calls = state.requests.calls;
    return static_cast<std::size_t>(std::count_if(generations.begin(), generations.end(), open) +
                                    std::count_if(calls.begin(), calls.end(), open));
}

} // namespace currantspar::core::requests
