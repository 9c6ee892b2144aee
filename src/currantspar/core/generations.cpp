#include "currantspar/core/generations.hpp"

#include <algorithm>
#include <utility>

#include "currantspar/base/hash.hpp"
#include "currantspar/core/attempts.hpp"
#include "currantspar/core/replies.hpp"
#include "currantspar/core/step.hpp"
#include "currantspar/core/stream_token.hpp"

namespace currantspar::core::generations {

namespace {

constexpr std::size_t engine_request_digits = 32;
constexpr unsigned max_retry_doublings = 5;

/// Derives an unguessable engine request id for one attempt from the request's own secret.
engine_request_id derive_engine_request(const generation& request, attempt_id attempt)
{
    return engine_request_id(
        hmac_sha256_hex(request.arrived.engine_request.str(), std::to_string(attempt.value()))
            .substr(0, engine_request_digits));
}

std::string key_hash_of(const step_context& context, const organisation_id& id)
{
    const config::fleet_ptr& fleet = context.state.configuration.replica.state().fleet;
    for (const config::organisation_spec& organisation : fleet->organisations) {
        if (organisation.id == id && !organisation.key_hashes.empty()) {
            return organisation.key_hashes.front();
        }
    }
    return {};
}

std::string address_of(const step_context& context, const engine_id& engine)
{
    const config::engine_spec* spec = routing::find_engine(context.state, engine);
    return spec == nullptr ? std::string() : spec->address;
}

policy::request_shape shape_of(const generate_arrived& arrived, const config::service_spec& service,
                               instant now)
{
    policy::request_shape shape;
    shape.service = arrived.service;
    shape.organisation = arrived.organisation;
    shape.prompt_tokens = arrived.prompt_tokens;
    shape.expected_output = arrived.max_output;
    shape.prefix_pieces = arrived.prefix_pieces;
    shape.priority = service.priority;
    shape.arrived = now;
    shape.deadline = now + service.targets.deadline;
    shape.first_token_target = service.targets.first_token;
    shape.between_tokens_target = service.targets.between_tokens;
    return shape;
}

generation& add_generation(step_context& context, generate_arrived arrived,
                           const config::service_spec& service, const char* kind)
{
    ledger::on_accepted(context, arrived.service);
    admission::on_started(context, arrived.organisation);
    attempts::earn_retry(context, arrived.service, arrived.organisation);
    replies::trace(context, kind, arrived.request, arrived.service);
    generation new_generation;
    new_generation.shape = shape_of(arrived, service, context.now);
    new_generation.key_hash = key_hash_of(context, arrived.organisation);
    const request_id id = arrived.request;
    new_generation.arrived = std::move(arrived);
    return context.state.requests.generations.insert_or_assign(id, std::move(new_generation)).first->second;
}

/// Registers an attempt of this request as its current one.
attempt_id begin_attempt(step_context& context, generation& request, const engine_id& engine, bool prefill)
{
    attempt new_attempt;
    new_attempt.request = request.arrived.request;
    new_attempt.engine = engine;
    new_attempt.prefill = prefill;
    new_attempt.idle_deadline = context.now + context.state.options.accept_limit;
    const attempt_id id = attempts::open(context, std::move(new_attempt));
    request.engine_request = derive_engine_request(request, id);
    context.state.requests.attempts.at(id).engine_request = request.engine_request;
    request.current = id;
    timeline_entry entry;
    entry.kind = prefill ? "request.prefill_routed" : "request.routed";
    entry.request = request.arrived.request;
    entry.attempt = id;
    entry.engine = engine;
    entry.service = request.arrived.service;
    entry.detail = "from=" + std::to_string(request.next_position());
    context.trace(std::move(entry));
    return id;
}

void start_prefill_at(step_context& context, generation& request)
{
    const engine_id& engine = request.route.prefill_engine;
    const attempt_id id = begin_attempt(context, request, engine, true);
    request.routed = id;
    context.state.routing.dispatcher.on_sent(id, request.route, request.shape, context.now);
    start_prefill start;
    start.attempt = id;
    start.request = request.arrived.request;
    start.engine_request = request.engine_request;
    start.engine = engine;
    start.address = address_of(context, engine);
    start.priority = request.shape.priority;
    start.idle_limit = context.state.options.attempt_idle_limit;
    start.from_position = request.next_position();
    start.prefix = request.tokens;
    context.emit(std::move(start));
}

void start_at_engine(step_context& context, generation& request)
{
    const attempt_id id = begin_attempt(context, request, request.route.engine, false);
    if (request.routed == attempt_id()) {
        request.routed = id;
        context.state.routing.dispatcher.on_sent(id, request.route, request.shape, context.now);
    }
    start_generation start;
    start.attempt = id;
    start.request = request.arrived.request;
    start.engine_request = request.engine_request;
    start.engine = request.route.engine;
    start.address = address_of(context, request.route.engine);
    start.from_position = request.next_position();
    start.prefix = request.tokens;
    if (!request.kv_handle.empty()) {
        start.kv_handle = request.kv_handle;
        start.kv_address = address_of(context, request.route.prefill_engine);
    }
    start.priority = request.shape.priority;
    start.idle_limit = context.state.options.attempt_idle_limit;
    context.emit(std::move(start));
}

/// Delay until the next engine selection. It doubles with each engine that lost the request, up to a limit,
/// so that the attempts last until crashed engines have recovered.
duration engine_retry_delay(const step_context& context, const generation& request)
{
    return context.state.options.engine_retry * (1U << std::min(request.attempts, max_retry_doublings));
}

void wait_for_engine(step_context& context, generation& request, const policy::refusal& reason)
{
    admission::on_no_capacity(context);
    if (!request.may_have_run && request.delivered == 0) {
        policy::refusal jittered = reason;
        jittered.retry_after = replies::add_jitter(context, reason.retry_after);
        const reply_end reply = replies::refused(request.arrived.request, jittered);
        finish(context, request, reply);
        return;
    }
    request.failed.clear();
    request.retry_at = context.now + replies::add_jitter(context, engine_retry_delay(context, request));
}

void move_to_other_engine(step_context& context, generation& request, const engine_id& from)
{
    request.failed.insert(from);
    request.attempts += 1;
    release_engine(context, request, policy::attempt_end::broken);
    const bool partly_delivered = request.delivered > 0;
    if (request.first_kept_position > 0 || request.next_position() < request.delivered) {
        fail(context, request, replies::status_gone, "stream_lost");
    } else if (!partly_delivered &&
               !attempts::spend_retry(context, request.arrived.service, request.arrived.organisation)) {
        fail(context, request, replies::status_unavailable, "retry_budget", std::chrono::seconds(1));
    } else {
        context.state.requests.resumed_streams += partly_delivered ? 1 : 0;
        route(context, request);
    }
}

/// Adopts the tokens and the dispatcher registration that this node already has for the same stream. Closes
/// the previous connection and ends the previous request.
void adopt_stream(step_context& context, generation& request)
{
    auto& active = context.state.requests.generations;
    const auto found = std::find_if(active.begin(), active.end(), [&](const auto& entry) {
        return &entry.second != &request && entry.second.engine_request == request.engine_request;
    });
    if (found == active.end()) {
        return;
    }
    generation& previous = found->second;
    attempts::abandon(context, previous.current, false);
    if (previous.first_kept_position <= request.delivered) {
        request.first_kept_position = previous.first_kept_position;
        request.tokens = std::move(previous.tokens);
    }
    request.routed = std::exchange(previous.routed, attempt_id());
    request.route = previous.route;
    if (previous.caller_disconnected) {
        admission::on_finished(context, previous.arrived.organisation);
        active.erase(found);
        return;
    }
    finish(context, previous,
           replies::failure(found->first, request_outcome::unknown, replies::status_conflict, "superseded"));
}

} // namespace

void accept(step_context& context, const generate_arrived& incoming, const config::service_spec& service)
{
    route(context, add_generation(context, incoming, service, "request.accepted"));
}

void accept_resumed(step_context& context, const stream_resumed& incoming,
                    const config::service_spec& service)
{
    const config::fleet_ptr& fleet = context.state.configuration.replica.state().fleet;
    const auto organisation =
        std::find_if(fleet->organisations.begin(), fleet->organisations.end(),
                     [&](const auto& candidate) { return candidate.id == incoming.organisation; });
    const auto position = organisation == fleet->organisations.end()
                              ? std::nullopt
                              : read_stream_token(incoming.token, incoming.service, *organisation);
    if (!position || routing::find_engine(context.state, position->engine) == nullptr) {
        context.emit(replies::failure(incoming.request, request_outcome::not_run, replies::status_bad_request,
                                      "bad_event_id"));
        return;
    }
    generate_arrived arrived;
    arrived.request = incoming.request;
    arrived.organisation = incoming.organisation;
    arrived.service = incoming.service;
    arrived.prompt_tokens = incoming.prompt_tokens;
    arrived.max_output = incoming.max_output;
    arrived.prefix_pieces = incoming.prefix_pieces;
    arrived.stream = true;
    arrived.engine_request = engine_request_id(hmac_sha256_hex(
        position->engine_request.str(),
        incoming.request.str() + "/" + std::to_string(context.state.options.process.value())));
    generation& request = add_generation(context, std::move(arrived), service, "request.stream_resumed");
    request.may_have_run = true;
    request.delivered = position->next;
    request.engine_request = position->engine_request;
    request.route.engine = position->engine;
    adopt_stream(context, request);
    resume_on_same_engine(context, request);
    request.resumptions = 0;
}

void route(step_context& context, generation& request)
{
    if (request.attempts >= context.state.options.attempts_most) {
        fail(context, request, replies::status_bad_gateway, "attempts_exhausted", std::chrono::seconds(1));
        return;
    }
    const auto chosen = context.state.routing.dispatcher.choose(request.shape, context.now,
                                                                context.state.random, request.failed);
    if (!chosen) {
        wait_for_engine(context, request, chosen.error());
        return;
    }
    request.route = *chosen;
    request.resumptions = 0;
    request.kv_handle = {};
    if (chosen->prefill_engine.empty()) {
        start_at_engine(context, request);
    } else {
        start_prefill_at(context, request);
    }
}

void resume_on_same_engine(step_context& context, generation& request)
{
    request.resumptions += 1;
    if (request.routed == attempt_id()) {
        request.routed = attempt_id(context.state.requests.last_attempt + 1);
        context.state.routing.dispatcher.on_sent(request.routed, request.route, request.shape, context.now);
    }
    attempt new_attempt;
    new_attempt.request = request.arrived.request;
    new_attempt.engine = request.route.engine;
    new_attempt.engine_request = request.engine_request;
    new_attempt.resuming = true;
    new_attempt.idle_deadline = context.now + context.state.options.accept_limit;
    request.current = attempts::open(context, std::move(new_attempt));
    start_generation start;
    start.attempt = request.current;
    start.request = request.arrived.request;
    start.engine_request = request.engine_request;
    start.engine = request.route.engine;
    start.address = address_of(context, request.route.engine);
    start.new_connection = true;
    start.resume = true;
    start.from_position = request.next_position();
    start.priority = request.shape.priority;
    start.idle_limit = context.state.options.attempt_idle_limit;
    context.emit(std::move(start));
}

void release_engine(step_context& context, generation& request, policy::attempt_end how)
{
    request.current = attempt_id();
    if (request.routed != attempt_id()) {
        context.state.routing.dispatcher.on_ended(std::exchange(request.routed, attempt_id()), how,
                                                  context.now);
    }
}

void continue_after_break(step_context& context, generation& request)
{
    const bool at_prefill = !request.route.prefill_engine.empty() && request.kv_handle.empty();
    if (!at_prefill && request.resumptions < max_resumptions) {
        context.state.requests.resumed_streams += request.delivered > 0 ? 1 : 0;
        resume_on_same_engine(context, request);
        return;
    }
    move_to_other_engine(context, request, at_prefill ? request.route.prefill_engine : request.route.engine);
}

void fail(step_context& context, generation& request, int status, const char* code, duration retry_after)
{
    const request_outcome outcome =
        request.may_have_run ? request_outcome::unknown : request_outcome::not_run;
    const duration wait = retry_after == duration() ? duration() : replies::add_jitter(context, retry_after);
    finish(context, request, replies::failure(request.arrived.request, outcome, status, code, wait));
}

void finish(step_context& context, generation& request, reply_end reply)
{
    const generate_arrived& arrived = request.arrived;
    admission::on_finished(context, arrived.organisation);
    if (!request.caller_disconnected) {
        ledger::on_outcome(context, arrived.service, reply.outcome);
        replies::trace(context, "request.ended", arrived.request, arrived.service,
                       "outcome=" + nlohmann::json(reply.outcome).get<std::string>() + " code=" + reply.code);
        context.emit(std::move(reply));
    }
    context.state.requests.generations.erase(request_id(arrived.request));
}

namespace {

/// Starts decoding. Routes the request again when the decode engine was closed during the prefill.
void decode_after_prefill(step_context& context, generation& request)
{
    if (context.state.routing.dispatcher.takes_new_work(request.route.engine, context.now)) {
        start_at_engine(context, request);
        return;
    }
    release_engine(context, request, policy::attempt_end::cancelled);
    route(context, request);
}

} // namespace

void on_kv_moved(step_context& context, const attempt& from, const kv_moved& incoming)
{
    const auto found = context.state.requests.generations.find(from.request);
    if (found == context.state.requests.generations.end() || incoming.step == kv_step::imported) {
        return;
    }
    generation& request = found->second;
    if (incoming.step == kv_step::exported && from.prefill) {
        context.state.requests.attempts.erase(incoming.attempt);
        request.may_have_run = true;
        request.kv_handle = incoming.handle;
        context.state.routing.dispatcher.on_prefilled(request.routed, context.now);
        decode_after_prefill(context, request);
        return;
    }
    replies::trace(context, "request.kv_failed", request.arrived.request, request.arrived.service);
    const engine_id prefill_engine = request.route.prefill_engine;
    attempts::abandon(context, incoming.attempt, true);
    request.may_have_run = true;
    move_to_other_engine(context, request, prefill_engine);
}

} // namespace currantspar::core::generations
