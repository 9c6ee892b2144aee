#include "currantspar/policy/limits.hpp"

#include <algorithm>
#include <cmath>

namespace currantspar::policy {

namespace {

constexpr duration concurrency_retry_after = std::chrono::seconds(1);
constexpr double min_burst = 1.0;

} // namespace

void retry_budget::set_options(retry_budget_options options)
{
    options_ = options;
    left_ = std::min(left_, options_.reserve);
}

void retry_budget::earn()
{
    left_ = std::min(options_.reserve, left_ + options_.per_first_attempt);
}

bool token_bucket::take(double rate, double burst, instant now)
{
    if (!started_) {
        started_ = true;
        tokens_ = burst;
        refilled_ = now;
    }
    tokens_ = std::min(burst, tokens_ + rate * to_seconds(now - refilled_));
    refilled_ = now;
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

duration token_bucket::until_next(double rate) const
{
    return from_seconds(std::max(0.0, 1.0 - tokens_) / rate);
}

void lateness_margin::observe(duration predicted, duration measured, duration target)
{
    if (predicted > target) {
        return;
    }
    const bool late = measured > target;
    const bool exceeded = late && to_seconds(measured) > to_seconds(predicted) * factor_;
    const double change = exceeded ? options_.on_time_fraction : options_.on_time_fraction - 1;
    factor_ = std::clamp(factor_ * std::exp(options_.step * change), 1.0, options_.max_factor);
}

void usage_limiter::on_digest(const work_digest& digest, instant now)
{
    peer_use& peer = peers_[digest.node];
    peer.received = now;
    peer.organisations.clear();
    for (const work_digest::usage& use : digest.organisations) {
        peer.organisations[use.organisation] = use;
    }
}

void usage_limiter::forget_node(const node_id& node)
{
    peers_.erase(node);
}

void usage_limiter::measure(own_use& use, double arrivals, instant now) const
{
    const double window = to_seconds(options_.rate_window);
    use.demand *= std::exp(-to_seconds(now - use.measured) / window);
    use.demand += arrivals / window;
    use.measured = now;
}

usage_limiter::peer_totals usage_limiter::sum_peers(const organisation_id& organisation, instant now) const
{
    peer_totals sum;
    for (const auto& [node, peer] : peers_) {
        if (now - peer.received > options_.digest_max_age) {
            continue;
        }
        sum.known += 1;
        if (const auto use = peer.organisations.find(organisation); use != peer.organisations.end()) {
            sum.demand += use->second.requests_per_second;
            sum.concurrent += use->second.concurrent;
        }
    }
    return sum;
}

double usage_limiter::limit_fraction(const own_use& use, const peer_totals& totals, std::size_t nodes) const
{
    const double equal = 1.0 / static_cast<double>(nodes);
    const std::size_t unknown = nodes - 1 - std::min(nodes - 1, totals.known);
    // Nodes without a current digest are assumed to have the same demand as this node.
    const double all = use.demand * static_cast<double>(1 + unknown) + totals.demand;
    const double by_demand = all > 0 ? use.demand / all : equal;
    return std::max(by_demand, options_.min_fraction * equal);
}

std::optional<refusal> usage_limiter::admit(const organisation_id& organisation,
                                            const config::organisation_limits& limits, std::size_t nodes,
                                            instant now)
{
    own_use& use = own_[organisation];
    measure(use, 1.0, now);
    const peer_totals totals = sum_peers(organisation, now);
    const std::uint32_t grown = use.running - std::min(use.running, use.running_at_digest);
    const std::size_t expected = use.running + totals.concurrent + grown * (nodes - 1);
    const bool full = use.running + totals.concurrent >= limits.concurrent_requests;
    if (full || (grown > 0 && expected >= limits.concurrent_requests)) {
        return refusal{refusal_reason::concurrency_limited, concurrency_retry_after};
    }
    const double rate = limits.requests_per_second * limit_fraction(use, totals, nodes);
    const double burst = std::max(min_burst, rate * to_seconds(options_.burst));
    if (!use.bucket.take(rate, burst, now)) {
        return refusal{refusal_reason::rate_limited, use.bucket.until_next(rate)};
    }
    return std::nullopt;
}

void usage_limiter::on_started(const organisation_id& organisation)
{
    own_[organisation].running += 1;
    total_running_ += 1;
}

void usage_limiter::on_finished(const organisation_id& organisation)
{
    own_use& use = own_[organisation];
    if (use.running > 0) {
        use.running -= 1;
        total_running_ -= 1;
    }
}

std::vector<work_digest::usage> usage_limiter::take_usage(instant now)
{
    constexpr double idle_demand = 0.01;
    std::vector<work_digest::usage> used;
    for (auto& [organisation, use] : own_) {
        measure(use, 0.0, now);
        use.running_at_digest = use.running;
        if (use.running > 0 || use.demand > idle_demand) {
            used.push_back({organisation, use.demand, use.running});
        }
    }
    std::erase_if(own_, [&](const auto& entry) {
        return entry.second.running == 0 && entry.second.demand < idle_demand / 1000;
    });
    return used;
}

std::uint32_t usage_limiter::running(const organisation_id& organisation) const
{
    const auto found = own_.find(organisation);
    return found == own_.end() ? 0 : found->second.running;
}

bool usage_limiter::over_fair_share(const organisation_id& organisation,
                                    const std::map<organisation_id, double>& weights) const
{
    const auto weight_of = [&](const organisation_id& id) {
        const auto found = weights.find(id);
        return found == weights.end() ? 1.0 : found->second;
    };
    double active = 0;
    for (const auto& [id, use] : own_) {
        active += use.running > 0 || id == organisation ? weight_of(id) : 0.0;
    }
    const double fair = total_running_ * weight_of(organisation) / active;
    return running(organisation) > fair;
}

} // namespace currantspar::policy
