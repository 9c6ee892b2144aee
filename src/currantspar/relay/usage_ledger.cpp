#include "currantspar/relay/usage_ledger.hpp"

#include <algorithm>

namespace currantspar::relay {

void usage_ledger::set_current(std::uint64_t window)
{
    current_ = window;
    std::erase_if(windows_,
                  [&](const auto& entry) { return entry.first + options_.max_windows <= current_; });
}

void usage_ledger::on_count(const std::string& sender, std::uint64_t incarnation, std::uint64_t window,
                            const organisation_id& organisation, std::uint64_t requests)
{
    if (window <= reported_ || window + options_.max_windows <= current_ ||
        window > current_ + options_.max_windows_ahead) {
        return;
    }
    window_counts& all = windows_[window];
    auto position = all.positions.find(organisation);
    if (position == all.positions.end()) {
        if (all.positions.size() >= options_.max_organisations) {
            return;
        }
        position = all.positions.emplace(organisation, all.positions.size()).first;
    }
    auto from = all.senders.find({sender, incarnation});
    if (from == all.senders.end()) {
        if (all.senders.size() >= options_.max_senders) {
            return;
        }
        from = all.senders.emplace(std::pair(sender, incarnation), std::vector<std::uint64_t>()).first;
    }
    std::vector<std::uint64_t>& list = from->second;
    if (list.size() <= position->second) {
        list.resize(position->second + 1);
    }
    list[position->second] = std::max(list[position->second], requests);
}

void usage_ledger::on_reported(std::uint64_t window)
{
    reported_ = std::max(reported_, window);
    windows_.erase(windows_.begin(), windows_.upper_bound(reported_));
}

usage_ledger::counts usage_ledger::sums(std::uint64_t window) const
{
    counts result;
    const auto found = windows_.find(window);
    if (found == windows_.end()) {
        return result;
    }
    for (const auto& [organisation, position] : found->second.positions) {
        std::uint64_t sum = 0;
        for (const auto& [sender, list] : found->second.senders) {
            sum += position < list.size() ? list[position] : 0;
        }
        if (sum > 0) {
            result.emplace(organisation, sum);
        }
    }
    return result;
}

std::optional<std::uint64_t> usage_ledger::first_window(std::uint64_t window) const
{
    const auto found = windows_.lower_bound(window);
    return found == windows_.end() ? std::nullopt : std::optional(found->first);
}

} // namespace currantspar::relay
