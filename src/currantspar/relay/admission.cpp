#include "currantspar/relay/admission.hpp"

#include <algorithm>

namespace currantspar::relay {

std::optional<admission_refusal> admission::check(const placement& chosen, const admission_request& req,
                                                  random_generator& random, instant now)
{
    const duration first_event = from_seconds(chosen.first_event_ms / 1000.0);
    const duration backlog = from_seconds(chosen.fleet_backlog_ms / 1000.0);
    const char* reason = nullptr;
    duration excess = backlog;
    backlog_limit limit;
    if (options_.ranks_requests) {
        const sheddable_request ranked{req.priority, req.organisation, chosen.prefill_ms, req.target,
                                       req.deadline_left};
        shedding_.on_request(ranked, now);
        limit = shedding_.limit(ranked, backlog, now);
    }
    if (first_event > req.deadline_left) {
        reason = "too_late_for_deadline";
    } else if (first_event * margin_.factor() > req.target_left &&
               backlog > req.target * options_.late_backlog) {
        reason = "engines_overloaded";
    } else if (backlog > limit.backlog && random.unit() >= options_.shedding.guaranteed_fraction) {
        reason = limit.reason;
        excess = backlog - limit.backlog;
    }
    refused_fraction_ += options_.refused_decay * ((reason != nullptr ? 1.0 : 0.0) - refused_fraction_);
    if (reason == nullptr) {
        return std::nullopt;
    }
    return admission_refusal{reason, retry_after(excess, req, random)};
}

duration admission::retry_after(duration excess, const admission_request& req, random_generator& random) const
{
    const duration longest =
        std::chrono::duration_cast<duration>(req.deadline_left * options_.max_retry_fraction);
    const duration drained = std::min(longest, excess);
    // The longer the overload lasts, the further the returns are spread.
    const duration spread =
        std::max(drained, std::chrono::duration_cast<duration>(longest * refused_fraction_));
    return std::min(longest, drained + std::chrono::duration_cast<duration>(spread * random.unit()));
}

} // namespace currantspar::relay
