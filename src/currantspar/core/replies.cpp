#include "currantspar/core/replies.hpp"

#include "currantspar/core/step.hpp"

namespace currantspar::core::replies {

namespace {

const char* message_of(request_outcome outcome)
{
    switch (outcome) {
    case request_outcome::answered:
        return "the request was answered before";
    case request_outcome::not_run:
        return "the request was not run and may be sent again";
    case request_outcome::unknown:
        return "the request may have run";
    }
    return "";
}

int status_of(policy::refusal_reason reason)
{
    switch (reason) {
    case policy::refusal_reason::rate_limited:
    case policy::refusal_reason::concurrency_limited:
    case policy::refusal_reason::fair_share:
        return status_too_many_requests;
    default:
        return status_unavailable;
    }
}

} // namespace

reply_end failure(const request_id& request, request_outcome outcome, int status, std::string code,
                  duration retry_after)
{
    reply_end reply;
    reply.request = request;
    reply.outcome = outcome;
    reply.status = status;
    reply.code = std::move(code);
    reply.message = message_of(outcome);
    reply.retry_after = retry_after;
    return reply;
}

reply_end refused(const request_id& request, const policy::refusal& why)
{
    return failure(request, request_outcome::not_run, status_of(why.reason),
                   nlohmann::json(why.reason).get<std::string>(), why.retry_after);
}

void refuse(step_context& context, const request_id& request, const policy::refusal& why, bool keyed)
{
    reply_end reply = refused(request, why);
    reply.retry_after = add_jitter(context, why.retry_after);
    if (keyed) {
        reply.outcome = request_outcome::unknown;
        reply.message = message_of(reply.outcome);
    }
    context.emit(std::move(reply));
}

duration add_jitter(step_context& context, duration wait)
{
    const auto half = static_cast<std::uint64_t>(wait.count()) / 2;
    return wait + duration(static_cast<duration::rep>(context.state.random.below(half + 1)));
}

void trace(step_context& context, const char* kind, const request_id& request, const service_id& service,
           std::string detail)
{
    timeline_entry entry;
    entry.kind = kind;
    entry.request = request;
    entry.service = service;
    entry.detail = std::move(detail);
    context.trace(std::move(entry));
}

} // namespace currantspar::core::replies
