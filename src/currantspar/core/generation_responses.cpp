#include <algorithm>
#include <utility>

#include "currantspar/core/attempts.hpp"
#include "currantspar/core/generations.hpp"
#include "currantspar/core/replies.hpp"
#include "currantspar/core/step.hpp"
#include "currantspar/core/stream_token.hpp"

namespace currantspar::core::generations {

namespace {

/// Timeout of the connection until the first token, as a multiple of that token's predicted time.
constexpr int first_token_factor = 4;
/// Timeout of the connection between two tokens, as a multiple of the target for that interval.
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
instant next_idle_deadline(const step_context& context, const generation& request, bool has_tokens)
{
    const duration limit = has_tokens ? between_tokens_limit(request) : first_token_limit(request);
    return context.now + limit * (1 + request.resumptions);
}

/// Sends the caller the tokens that it hasn't received yet.
void deliver(step_context& context, generation& request)
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
    context.emit(std::move(reply));
}

/// True when the received tokens match those that this node already has at the same positions.
bool overlap_matches(const generation& request, const attempt_tokens& incoming, std::size_t overlap)
{
    for (std::size_t index = 0; index < overlap; ++index) {
        const std::uint32_t position = incoming.position + static_cast<std::uint32_t>(index);
        const bool kept = position >= request.first_kept_position;
        if (kept && request.tokens[position - request.first_kept_position] != incoming.tokens[index]) {
            return false;
        }
    }
    return true;
}

void abandon_invalid_response(step_context& context, generation& request, attempt_id id)
{
    attempts::drop(context, id);
    attempts::abandon(context, id, false);
    request.current = attempt_id();
    request.may_have_run = true;
    continue_after_break(context, request);
}

bool is_complete(const step_context& context, const generation& request, const attempt_ended& incoming)
{
    return incoming.total_tokens == request.next_position() ||
           context.state.options.fault == injected_fault::truncated_accepted;
}

void finish_complete(step_context& context, generation& request, const attempt_ended& incoming)
{
    reply_end reply;
    reply.request = request.arrived.request;
    reply.finish_reason = incoming.finish_reason;
    reply.total_tokens = incoming.total_tokens;
    deliver(context, request);
    release_engine(context, request, policy::attempt_end::complete);
    finish(context, request, std::move(reply));
}

/// The engine refused the request or no longer has it. This doesn't count as a failure; another engine may
/// accept the request.
void reroute_after_refusal(step_context& context, generation& request, const attempt& ended)
{
    if (!ended.resuming) {
        request.failed.insert(ended.engine);
    }
    release_engine(context, request, policy::attempt_end::cancelled);
    if (request.first_kept_position > 0 || request.next_position() < request.delivered) {
        fail(context, request, replies::status_gone, "stream_lost");
        return;
    }
    context.state.requests.resumed_streams += request.delivered > 0 ? 1 : 0;
    route(context, request);
}

} // namespace

void on_accepted(step_context& context, attempt& from, const attempt_accepted& incoming)
{
    const auto found = context.state.requests.generations.find(from.request);
    if (found == context.state.requests.generations.end()) {
        return;
    }
    from.idle_deadline = next_idle_deadline(context, found->second, !found->second.tokens.empty());
    if (!from.resuming) {
        context.state.routing.dispatcher.on_accepted(found->second.routed, incoming.at);
    }
}

void on_tokens(step_context& context, attempt& from, const attempt_tokens& incoming)
{
    const auto found = context.state.requests.generations.find(from.request);
    if (found == context.state.requests.generations.end() || from.prefill) {
        attempts::drop(context, incoming.attempt);
        return;
    }
    generation& request = found->second;
    if (context.state.options.fault == injected_fault::positions_ignored) {
        request.tokens.insert(request.tokens.end(), incoming.tokens.begin(), incoming.tokens.end());
        deliver(context, request);
        return;
    }
    const bool first_of_resumed = from.resuming && request.tokens.empty() && request.first_kept_position == 0;
    if (first_of_resumed && incoming.position <= request.delivered) {
        request.first_kept_position = incoming.position;
    }
    const std::uint32_t next = request.next_position();
    if (incoming.position > next) {
        abandon_invalid_response(context, request, incoming.attempt);
        return;
    }
    const std::size_t overlap = std::min<std::size_t>(next - incoming.position, incoming.tokens.size());
    if (!overlap_matches(request, incoming, overlap)) {
        abandon_invalid_response(context, request, incoming.attempt);
        return;
    }
    if (overlap == incoming.tokens.size()) {
        attempts::drop(context, incoming.attempt);
        return;
    }
    request.tokens.insert(request.tokens.end(),
                          incoming.tokens.begin() + static_cast<std::ptrdiff_t>(overlap),
                          incoming.tokens.end());
    request.may_have_run = true;
    request.resumptions = 0;
    from.idle_deadline = next_idle_deadline(context, request, true);
    context.state.routing.dispatcher.on_tokens(
        request.routed, static_cast<std::uint32_t>(incoming.tokens.size() - overlap), context.now);
    if (request.arrived.stream) {
        deliver(context, request);
    }
}

void on_mismatched_response(step_context& context, attempt_id id)
{
    const attempt& from = context.state.requests.attempts.at(id);
    const auto found = context.state.requests.generations.find(from.request);
    if (found != context.state.requests.generations.end()) {
        abandon_invalid_response(context, found->second, id);
    }
}

void on_ended(step_context& context, const attempt& ended, const attempt_ended& incoming)
{
    const auto found = context.state.requests.generations.find(ended.request);
    if (found == context.state.requests.generations.end()) {
        return;
    }
    generation& request = found->second;
    request.current = attempt_id();
    if (request.caller_disconnected) {
        release_engine(context, request, policy::attempt_end::cancelled);
        finish(context, request, {});
        return;
    }
    switch (incoming.how) {
    case attempt_result::complete:
        request.may_have_run = true;
        if (!ended.prefill && is_complete(context, request, incoming)) {
            finish_complete(context, request, incoming);
            return;
        }
        attempts::drop(context, incoming.attempt);
        continue_after_break(context, request);
        return;
    case attempt_result::not_written:
    case attempt_result::refused:
        reroute_after_refusal(context, request, ended);
        return;
    case attempt_result::broken:
    case attempt_result::silent:
    case attempt_result::wrong:
        request.may_have_run = true;
        continue_after_break(context, request);
        return;
    }
}

} // namespace currantspar::core::generations
