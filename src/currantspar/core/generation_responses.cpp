#include <algorithm>
#include <utility>

#include "currantspar/core/attempts.hpp"
#include "currantspar/core/generations.hpp"
#include "currantspar/core/replies.hpp"
#include "currantspar/core/step.hpp"
#include "currantspar/core/stream_token.hpp"

namespace currantspar::core::generations {

namespace {

/// How many times the predicted time the first token may take before the connection times out.
constexpr int first_token_factor = 4;
/// How many times its target the interval between two tokens may be before the connection times out.
constexpr int between_tokens_factor = 30;
constexpr duration min_first_token_limit = std::chrono::seconds(2);
constexpr duration max_first_token_limit = std::chrono::seconds(20);
constexpr duration min_between_tokens_limit = std::chrono::seconds(1);
constexpr duration max_between_tokens_limit = std::chrono::seconds(5);

duration first_token_limit(const generation& request)
{
    const duration limit = request.route.predicted_first_token * first_token_factor;
    return std::clamp(limit, min_first_token_limit, max_first_token_limit);
}

duration between_tokens_limit(const generation& request)
{
    const duration limit = request.shape.between_tokens_target * between_tokens_factor;
    return std::clamp(limit, min_between_tokens_limit, max_between_tokens_limit);
}

/// When a connection that just received something times out; the limit grows with each resumption.
instant next_idle_deadline(const step& run, const generation& request, bool has_tokens)
{
    const duration limit = has_tokens ? between_tokens_limit(request) : first_token_limit(request);
    return run.now + limit * (1 + request.resumptions);
}

/// Sends the caller the tokens that it hasn't received yet.
void deliver(step& run, generation& request)
{
    const std::uint32_t next = request.next_position();
    if (request.caller_disconnected || next <= request.delivered) {
        return;
    }
    reply_tokens reply;
    reply.request = request.arrived.request;
    reply.position = request.delivered;
    const auto first = request.tokens.begin() + (request.delivered - request.first_kept_position);
    reply.tokens.assign(first, request.tokens.end());
    if (request.arrived.stream && !request.key_hash.empty()) {
        const stream_position position{request.arrived.service, request.route.engine, request.engine_request,
                                       next};
        reply.event_id = make_stream_token(position, request.key_hash);
    }
    request.delivered = next;
    run.emit(std::move(reply));
}

/// True when the received tokens match those that this node already has at the same positions.
bool overlap_matches(const generation& request, const attempt_tokens& happened, std::size_t overlap)
{
    for (std::size_t index = 0; index < overlap; ++index) {
        const std::uint32_t position = happened.position + static_cast<std::uint32_t>(index);
        const bool kept = position >= request.first_kept_position;
        if (kept && request.tokens[position - request.first_kept_position] != happened.tokens[index]) {
            return false;
        }
    }
    return true;
}

void abandon_invalid_response(step& run, generation& request, attempt_id id)
{
    attempts::drop(run, id);
    attempts::abandon(run, id, false);
    request.current = attempt_id();
    request.may_have_run = true;
    continue_after_break(run, request);
}

bool is_complete(const step& run, const generation& request, const attempt_ended& happened)
{
    return happened.total_tokens == request.next_position() ||
           run.state.options.fault == injected_fault::truncated_accepted;
}

void finish_complete(step& run, generation& request, const attempt_ended& happened)
{
    reply_end reply;
    reply.request = request.arrived.request;
    reply.finish_reason = happened.finish_reason;
    reply.total_tokens = happened.total_tokens;
    deliver(run, request);
    release_engine(run, request, policy::attempt_end::complete);
    finish(run, request, std::move(reply));
}

/// The engine refused the request or no longer has it. This doesn't count as a failure; another engine may
/// accept the request.
void reroute_after_refusal(step& run, generation& request, const attempt& ended)
{
    if (!ended.resuming) {
        request.failed.insert(ended.engine);
    }
    release_engine(run, request, policy::attempt_end::cancelled);
    if (request.first_kept_position > 0 || request.next_position() < request.delivered) {
        fail(run, request, replies::status_gone, "stream_lost");
        return;
    }
    run.state.requests.resumed_streams += request.delivered > 0 ? 1 : 0;
    route(run, request);
}

} // namespace

void on_accepted(step& run, attempt& from, const attempt_accepted& happened)
{
    const auto found = run.state.requests.generations.find(from.request);
    if (found == run.state.requests.generations.end()) {
        return;
    }
    from.idle_deadline = next_idle_deadline(run, found->second, !found->second.tokens.empty());
    if (!from.resuming) {
        run.state.routing.dispatcher.on_accepted(found->second.routed, happened.at);
    }
}

void on_tokens(step& run, attempt& from, const attempt_tokens& happened)
{
    const auto found = run.state.requests.generations.find(from.request);
    if (found == run.state.requests.generations.end() || from.prefill) {
        attempts::drop(run, happened.attempt);
        return;
    }
    generation& request = found->second;
    if (run.state.options.fault == injected_fault::positions_ignored) {
        request.tokens.insert(request.tokens.end(), happened.tokens.begin(), happened.tokens.end());
        deliver(run, request);
        return;
    }
    const bool first_of_resumed = from.resuming && request.tokens.empty() && request.first_kept_position == 0;
    if (first_of_resumed && happened.position <= request.delivered) {
        request.first_kept_position = happened.position;
    }
    const std::uint32_t next = request.next_position();
    if (happened.position > next) {
        abandon_invalid_response(run, request, happened.attempt);
        return;
    }
    const std::size_t overlap = std::min<std::size_t>(next - happened.position, happened.tokens.size());
    if (!overlap_matches(request, happened, overlap)) {
        abandon_invalid_response(run, request, happened.attempt);
        return;
    }
    if (overlap == happened.tokens.size()) {
        attempts::drop(run, happened.attempt);
        return;
    }
    request.tokens.insert(request.tokens.end(),
                          happened.tokens.begin() + static_cast<std::ptrdiff_t>(overlap),
                          happened.tokens.end());
    request.may_have_run = true;
    request.resumptions = 0;
    from.idle_deadline = next_idle_deadline(run, request, true);
    run.state.routing.dispatcher.on_tokens(
        request.routed, static_cast<std::uint32_t>(happened.tokens.size() - overlap), run.now);
    if (request.arrived.stream) {
        deliver(run, request);
    }
}

void on_mismatched_response(step& run, attempt_id id)
{
    const attempt& from = run.state.requests.attempts.at(id);
    const auto found = run.state.requests.generations.find(from.request);
    if (found != run.state.requests.generations.end()) {
        abandon_invalid_response(run, found->second, id);
    }
}

void on_ended(step& run, const attempt& ended, const attempt_ended& happened)
{
    const auto found = run.state.requests.generations.find(ended.request);
    if (found == run.state.requests.generations.end()) {
        return;
    }
    generation& request = found->second;
    request.current = attempt_id();
    if (request.caller_disconnected) {
        release_engine(run, request, policy::attempt_end::cancelled);
        finish(run, request, {});
        return;
    }
    switch (happened.how) {
    case attempt_result::complete:
        request.may_have_run = true;
        if (!ended.prefill && is_complete(run, request, happened)) {
            finish_complete(run, request, happened);
            return;
        }
        attempts::drop(run, happened.attempt);
        continue_after_break(run, request);
        return;
    case attempt_result::not_written:
    case attempt_result::refused:
        reroute_after_refusal(run, request, ended);
        return;
    case attempt_result::broken:
    case attempt_result::silent:
    case attempt_result::wrong:
        request.may_have_run = true;
        continue_after_break(run, request);
        return;
    }
}

} // namespace currantspar::core::generations
