#include "currantspar/policy/backend_health.hpp"

#include <algorithm>

namespace currantspar::policy {

void backend_health::on_started(const backend_id& backend)
{
    views_[backend].open += 1;
}

void backend_health::on_ended(const backend_id& backend, bool good, duration latency, instant now)
{
    view& seen = views_[backend];
    seen.open -= seen.open > 0 ? 1 : 0;
    if (good) {
        const double latest = to_seconds(latency);
        seen.failures = 0;
        seen.latency =
            seen.latency == 0 ? latest : seen.latency + options_.smoothing * (latest - seen.latency);
        return;
    }
    seen.failures += 1;
    if (seen.failures >= options_.failures_to_open) {
        const unsigned doublings = std::min(seen.failures - options_.failures_to_open, 10U);
        seen.open_until =
            now + std::min(options_.max_open_time, options_.initial_open_time * (1U << doublings));
    }
}

void backend_health::on_cancelled(const backend_id& backend)
{
    view& seen = views_[backend];
    seen.open -= seen.open > 0 ? 1 : 0;
}

const backend_health::view& backend_health::of(const backend_id& backend) const
{
    static const view unseen;
    const auto found = views_.find(backend);
    return found == views_.end() ? unseen : found->second;
}

double backend_health::median_latency() const
{
    std::vector<double> known;
    for (const auto& [id, seen] : views_) {
        if (seen.latency > 0) {
            known.push_back(seen.latency);
        }
    }
    if (known.empty()) {
        return 0;
    }
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>((known.size() - 1) / 2);
    std::nth_element(known.begin(), middle, known.end());
    return *middle;
}

backend_condition backend_health::condition(const backend_id& backend) const
{
    const view& seen = of(backend);
    if (seen.failures >= options_.failures_to_open) {
        return backend_condition::failing;
    }
    const double median = median_latency();
    const bool slow = seen.latency > options_.slow_factor * median &&
                      seen.latency > median + to_seconds(options_.min_latency_gap);
    return slow ? backend_condition::slow : backend_condition::good;
}

std::uint32_t backend_health::open_calls(const backend_id& backend) const
{
    return of(backend).open;
}

bool backend_health::avoided(const backend_id& backend, instant now) const
{
    switch (condition(backend)) {
    case backend_condition::good:
        return false;
    case backend_condition::slow:
        return true;
    case backend_condition::failing:
        // Half-open state: after the wait, a single call at a time may probe the server.
        return now < of(backend).open_until || of(backend).open > 0;
    }
    return false;
}

double backend_health::cost(const backend_id& backend) const
{
    constexpr double unknown_latency = 0.001;
    const view& seen = of(backend);
    return (seen.open + 1.0) * std::max(seen.latency, unknown_latency);
}

std::optional<backend_id> backend_health::choose(const std::vector<backend_id>& candidates, instant now,
                                                 random_generator& random) const
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::vector<backend_id> usable;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(usable),
                 [&](const backend_id& id) { return !avoided(id, now); });
    const auto min_usable = static_cast<double>(candidates.size()) * (1.0 - options_.max_avoided_fraction);
    if (usable.empty() || static_cast<double>(usable.size()) < min_usable ||
        random.unit() < options_.probe_fraction) {
        usable = candidates;
    }
    const backend_id& first = usable[random.below(usable.size())];
    const backend_id& second = usable[random.below(usable.size())];
    return cost(second) < cost(first) ? second : first;
}

} // namespace currantspar::policy
