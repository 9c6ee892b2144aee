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

const config::service_spec* service_of(const step_context& context, const service_id& id)
{
    const config::fleet_ptr& fleet = context.state.configuration.replica.state().fleet;
    return fleet ? fleet->find_service(id) : nullptr;
}

/// Why no request to this service can be accepted, whichever organisation sent it.
std::optional<policy::refusal> service_refusal(const step_context& context,
                                               const config::service_spec* service)
{
    if (!lifecycle::accepting(context.state)) {
        return policy::refusal{policy::refusal_reason::stopping, std::chrono::seconds(1)};
    }
    if (service == nullptr) {
        return policy::refusal{policy::refusal_reason::no_engine, std::chrono::seconds(1)};
    }
    return std::nullopt;
}

bool is_generation(const step_context& context, const attempt& from)
{
    return context.state.requests.generations.contains(from.request);
}

} // namespace

void on_generate(step_context& context, const generate_arrived& incoming)
{
    lifecycle::on_arrival(context);
    const config::service_spec* service = service_of(context, incoming.service);
    auto reason = service_refusal(context, service);
    if (!reason) {
        reason = admission::check(context, incoming.organisation, *service);
    }
    if (reason) {
        replies::refuse(context, incoming.request, *reason);
        return;
    }
    generations::accept(context, incoming, *service);
}

void on_resumed(step_context& context, const stream_resumed& incoming)
{
    lifecycle::on_arrival(context);
    const config::service_spec* service = service_of(context, incoming.service);
    if (const auto reason = service_refusal(context, service)) {
        replies::refuse(context, incoming.request, *reason, true);
        return;
    }
    generations::accept_resumed(context, incoming, *service);
}

void on_call(step_context& context, const call_arrived& incoming)
{
    lifecycle::on_arrival(context);
    const config::service_spec* service = service_of(context, incoming.service);
    auto reason = service_refusal(context, service);
    const bool keyed = !incoming.idempotency_key.empty();
    if (!reason && calls::rule_of(*service, incoming).require_key && !keyed) {
        context.emit(replies::failure(incoming.request, request_outcome::not_run, replies::status_bad_request,
                                      "key_required"));
        return;
    }
    if (!reason) {
        reason = admission::check(context, incoming.organisation, *service);
    }
    if (reason) {
        replies::refuse(context, incoming.request, *reason, keyed);
        return;
    }
    calls::accept(context, incoming, *service);
}

void on_caller_gone(step_context& context, const caller_gone& incoming)
{
    request_state& state = context.state.requests;
    if (state.generations.contains(incoming.request)) {
        generations::on_caller_gone(context, incoming.request);
    } else if (state.calls.contains(incoming.request)) {
        calls::on_caller_gone(context, incoming.request);
    }
}

void on_written(step_context& context, const attempt_written& incoming)
{
    const auto found = context.state.requests.attempts.find(incoming.attempt);
    if (found != context.state.requests.attempts.end()) {
        found->second.written = true;
    }
}

void on_accepted(step_context& context, const attempt_accepted& incoming)
{
    if (attempt* from = attempts::find_active(context, incoming.attempt)) {
        generations::on_accepted(context, *from, incoming);
    }
}

void on_tokens(step_context& context, const attempt_tokens& incoming)
{
    attempt* from = attempts::find_active(context, incoming.attempt);
    if (from == nullptr) {
        return;
    }
    const bool mismatched = from->engine_request != incoming.engine_request;
    if (mismatched && context.state.options.fault != injected_fault::crossed_accepted) {
        generations::on_mismatched_response(context, incoming.attempt);
        return;
    }
    generations::on_tokens(context, *from, incoming);
}

void on_head(step_context& context, const answer_head& incoming)
{
    if (const attempt* from = attempts::find_active(context, incoming.attempt)) {
        calls::on_head(context, incoming.attempt, *from);
    }
}

void on_ended(step_context& context, const attempt_ended& incoming)
{
    request_state& state = context.state.requests;
    const auto found = state.attempts.find(incoming.attempt);
    if (found == state.attempts.end()) {
        attempts::drop(context, incoming.attempt);
        return;
    }
    const bool is_complete = incoming.how == attempt_result::complete;
    if (is_complete && is_generation(context, found->second) &&
        found->second.engine_request != incoming.engine_request) {
        generations::on_mismatched_response(context, incoming.attempt);
        return;
    }
    const attempt ended = found->second;
    state.attempts.erase(found);
    if (is_generation(context, ended)) {
        generations::on_ended(context, ended, incoming);
    } else if (state.calls.contains(ended.request)) {
        calls::on_ended(context, ended, incoming);
    }
}

void on_kv_moved(step_context& context, const kv_moved& incoming)
{
    if (const attempt* from = attempts::find_active(context, incoming.attempt)) {
        const attempt copy = *from;
        generations::on_kv_moved(context, copy, incoming);
    }
}

void on_tick(step_context& context)
{
    if (context.now < context.state.requests.scan_due) {
        return;
    }
    context.state.requests.scan_due = context.now + scan_interval;
    generations::on_tick(context);
    calls::on_tick(context);
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
