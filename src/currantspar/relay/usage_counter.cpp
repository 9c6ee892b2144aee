#include "currantspar/relay/usage_counter.hpp"

#include <algorithm>

namespace currantspar::relay {

namespace {

constexpr unsigned sends_per_change = 2;

} // namespace

void usage_counter::add(std::uint64_t window, const organisation_id& organisation)
{
    entry& counted = windows_[std::max(window, reported_ + 1)][organisation];
    counted.requests += 1;
    if (counted.sends_left == 0) {
        unsent_ += 1;
    }
    counted.sends_left = sends_per_change;
    if (windows_.size() > max_windows_) {
        discard_first();
    }
}

void usage_counter::on_reported(std::uint64_t window)
{
    reported_ = std::max(reported_, window);
    while (!windows_.empty() && windows_.begin()->first <= reported_) {
        discard_first();
    }
}

void usage_counter::discard_first()
{
    for (const auto& [organisation, counted] : windows_.begin()->second) {
        unsent_ -= counted.sends_left > 0 ? 1 : 0;
    }
    windows_.erase(windows_.begin());
}

std::vector<usage_count> usage_counter::take_changes()
{
    std::vector<usage_count> changes;
    if (unsent_ == 0) {
        return changes;
    }
    for (auto& [window, counts] : windows_) {
        for (auto& [organisation, counted] : counts) {
            if (counted.sends_left > 0) {
                changes.push_back({window, organisation, counted.requests});
                counted.sends_left -= 1;
                unsent_ -= counted.sends_left == 0 ? 1 : 0;
            }
        }
    }
    return changes;
}

std::vector<usage_count> usage_counter::all() const
{
    std::vector<usage_count> result;
    for (const auto& [window, counts] : windows_) {
        for (const auto& [organisation, counted] : counts) {
            result.push_back({window, organisation, counted.requests});
        }
    }
    return result;
}

} // namespace currantspar::relay
