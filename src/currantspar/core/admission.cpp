#include "currantspar/core/admission.hpp"

#include <algorithm>

#include "currantspar/core/step.hpp"

namespace currantspar::core::admission {

namespace {

constexpr duration fair_share_time = std::chrono::seconds(1);
constexpr duration full_retry_after = std::chrono::seconds(1);

/// Number of a service's requests that have received no token yet.
std::size_t count_queued(const node_state& state, const service_id& service)
{
    const auto& generations = state.requests.generations;
    return static_cast<std::size_t>(
        std::count_if(generations.begin(), generations.end(), [&](const auto& entry) {
            return entry.second.arrived.service == service && entry.second.tokens.empty();
        }));
}

std::map<organisation_id, double> weights(const config::fleet& fleet)
{
    std::map<organisation_id, double> shares;
    for (const config::organisation_spec& organisation : fleet.organisations) {
        shares[organisation.id] = organisation.limits.share;
    }
    return shares;
}

} // namespace

std::optional<policy::refusal> check(step_context& context, const organisation_id& organisation,
                                     const config::service_spec& service)
{
    const config::fleet& fleet = *context.state.configuration.replica.state().fleet;
    const auto spec = std::find_if(fleet.organisations.begin(), fleet.organisations.end(),
                                   [&](const auto& candidate) { return candidate.id == organisation; });
    const auto limits = spec == fleet.organisations.end() ? config::organisation_limits{} : spec->limits;
    policy::usage_limiter& limiter = context.state.admission.limiter;
    const std::size_t nodes = 1 + membership::live_members(context.state).size();
    if (const auto why = limiter.admit(organisation, limits, nodes, context.now)) {
        return why;
    }
    if (count_queued(context.state, service.id) >= service.max_queued) {
        return policy::refusal{policy::refusal_reason::queue_full, full_retry_after};
    }
    const bool fair_share_enforced = context.now < context.state.admission.fair_share_until;
    if (fair_share_enforced && limiter.over_fair_share(organisation, weights(fleet))) {
        return policy::refusal{policy::refusal_reason::fair_share, full_retry_after};
    }
    return std::nullopt;
}

void on_started(step_context& context, const organisation_id& organisation)
{
    context.state.admission.limiter.on_started(organisation);
}

void on_finished(step_context& context, const organisation_id& organisation)
{
    context.state.admission.limiter.on_finished(organisation);
}

void on_no_capacity(step_context& context)
{
    context.state.admission.fair_share_until = context.now + fair_share_time;
}

void on_digest(step_context& context, const policy::work_digest& digest)
{
    context.state.admission.limiter.on_digest(digest, context.now);
}

std::vector<policy::work_digest::usage> take_usage(step_context& context)
{
    return context.state.admission.limiter.take_usage(context.now);
}

} // namespace currantspar::core::admission
