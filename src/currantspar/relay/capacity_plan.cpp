#include "currantspar/relay/capacity_plan.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>
#include <vector>

namespace currantspar::relay {

namespace {

constexpr double ms_per_second = 1000.0;
/// The number of data centres from which on none may hold more than half of the servers.
constexpr std::size_t data_centres_for_half = 3;

unsigned rounded_up(double servers)
{
    // Products such as 1.1 * 1000 / 1100 are a little above the whole number.
    constexpr double rounding = 1e-9;
    return static_cast<unsigned>(std::max(0.0, std::ceil(servers - rounding)));
}

unsigned half_of(unsigned servers)
{
    return (servers + 1) / 2;
}

/// The numbers of servers while a plan is made.
class draft
{
public:
    draft(const capacity_input& input, const capacity_options& options)
        : input_(input), options_(options), counts_(input.expected)
    {
        std::set<data_centre_id> data_centres = input.data_centres;
        for (const auto& [kind, servers] : input.expected) {
            data_centres.insert(kind.data_centre);
        }
        for (const data_centre_id& data_centre : data_centres) {
            counts_.try_emplace({data_centre, false}, 0);
            if (input.scaling.reclaimable_price) {
                counts_.try_emplace({data_centre, true}, 0);
            }
        }
        data_centres_.assign(data_centres.begin(), data_centres.end());
    }

    [[nodiscard]] const capacity_counts& counts() const { return counts_; }

    [[nodiscard]] unsigned total() const
    {
        return count([](const capacity_kind&) { return true; });
    }
    [[nodiscard]] unsigned total(bool reclaimable) const
    {
        return count([&](const capacity_kind& kind) { return kind.reclaimable == reclaimable; });
    }
    [[nodiscard]] unsigned total(const data_centre_id& data_centre) const
    {
        return count([&](const capacity_kind& kind) { return kind.data_centre == data_centre; });
    }
    /// The servers that accept work now and aren't removed by this plan.
    [[nodiscard]] unsigned running() const
    {
        unsigned sum = 0;
        for (const auto& [kind, servers] : counts_) {
            sum += std::min(running(kind), servers);
        }
        return sum;
    }
    /// The servers that remain when the data centre with the most reclaimable ones takes them back.
    [[nodiscard]] unsigned remaining_after_reclaim() const { return total() - most_reclaimable(); }

    /// Adds servers where a data centre has fewer than its minimum.
    bool add_minimum(unsigned steady)
    {
        bool added = false;
        for (const data_centre_id& data_centre : data_centres_) {
            while (total(data_centre) < minimum(data_centre)) {
                const bool reclaimable = total(false) >= steady;
                if (!add_if_possible({data_centre, reclaimable}) &&
                    !add_if_possible({data_centre, !reclaimable})) {
                    break;
                }
                added = true;
            }
        }
        return added;
    }
    /// Adds one server for the demand, of which `steady` servers shouldn't be reclaimable; false: there is
    /// none to be had.
    bool add(unsigned steady)
    {
        const bool reclaimable = total(false) >= steady;
        for (const bool strict : {true, false}) {
            for (const bool kind : {reclaimable, !reclaimable}) {
                if (const auto place = best_place(kind, strict)) {
                    counts_[*place] += 1;
                    return true;
                }
            }
        }
        return false;
    }
    /// Adds one server that remains when the data centre with the most reclaimable ones takes them back.
    bool add_for_reclaim()
    {
        for (const bool strict : {true, false}) {
            if (const auto place = best_place(false, strict)) {
                counts_[*place] += 1;
                return true;
            }
        }
        return add_reclaimable_elsewhere();
    }
    /// Removes the server that is the most expensive or in a data centre that holds too many, so that `low`
    /// servers accept work afterwards, and `steady` ones also if a data centre takes its own back.
    bool remove(unsigned low, unsigned steady)
    {
        for (const bool strict : {true, false}) {
            if (const auto kind = first_to_remove(low, steady, strict)) {
                counts_[*kind] -= 1;
                return true;
            }
        }
        return false;
    }
    /// Adds up to `step` servers that are to replace more expensive ones, or ones in a data centre that holds
    /// too many; later plans remove those. Returns whether any were added.
    bool add_replacements(unsigned step, unsigned steady)
    {
        draft target = *this;
        for (unsigned replaced = 0; replaced < step && target.replace(steady); ++replaced) {
        }
        bool added = false;
        for (const auto& [kind, servers] : target.counts_) {
            // A new server runs beside the old one for a time, which the maximum must allow.
            while (counts_[kind] < servers && can_add(kind)) {
                counts_[kind] += 1;
                added = true;
            }
        }
        return added;
    }

private:
    template <typename Condition>
    [[nodiscard]] unsigned count(const Condition& included) const
    {
        unsigned sum = 0;
        for (const auto& [kind, servers] : counts_) {
            sum += included(kind) ? servers : 0;
        }
        return sum;
    }
    [[nodiscard]] unsigned running(const capacity_kind& kind) const
    {
        const auto found = input_.running.find(kind);
        return found == input_.running.end() ? 0 : found->second;
    }
    [[nodiscard]] unsigned most_reclaimable() const
    {
        unsigned most = 0;
        for (const auto& [kind, servers] : counts_) {
            most = kind.reclaimable ? std::max(most, servers) : most;
        }
        return most;
    }
    [[nodiscard]] double price(const capacity_kind& kind) const
    {
        const auto found = input_.scaling.prices.find(kind.data_centre);
        const double base = found == input_.scaling.prices.end() ? 1 : found->second;
        return kind.reclaimable ? base * input_.scaling.reclaimable_price.value_or(1) : base;
    }
    [[nodiscard]] unsigned minimum(const data_centre_id& data_centre) const
    {
        const unsigned for_callers = input_.demand.callers.contains(data_centre) ? 1 : 0;
        return std::min(std::max(input_.scaling.min_servers, for_callers), input_.scaling.max_servers);
    }
    [[nodiscard]] bool can_add(const capacity_kind& kind) const
    {
        return input_.data_centres.contains(kind.data_centre) &&
               (!kind.reclaimable || input_.scaling.reclaimable_price) &&
               !input_.unavailable.contains(kind) && total(kind.data_centre) < input_.scaling.max_servers;
    }
    bool add_if_possible(const capacity_kind& kind)
    {
        if (!can_add(kind)) {
            return false;
        }
        counts_[kind] += 1;
        return true;
    }
    /// Adds a reclaimable server in a data centre that has fewer of them than another one. If all have as
    /// many, the first one added raises the most that can be taken back, and only those in the other data
    /// centres help.
    bool add_reclaimable_elsewhere()
    {
        const unsigned most = most_reclaimable();
        std::optional<capacity_kind> best;
        unsigned possible = 0;
        const auto rank = [&](const capacity_kind& kind) {
            return std::make_tuple(counts_.at(kind) >= most, price(kind), counts_.at(kind), kind.data_centre);
        };
        for (const auto& [kind, servers] : counts_) {
            if (kind.reclaimable && can_add(kind)) {
                possible += 1;
                best = !best || rank(kind) < rank(*best) ? kind : *best;
            }
        }
        if (!best || (possible < 2 && counts_[*best] >= most)) {
            return false;
        }
        counts_[*best] += 1;
        return true;
    }
    /// Returns whether a data centre holds more than half of the servers.
    [[nodiscard]] bool overfull(const data_centre_id& data_centre) const
    {
        return data_centres_.size() >= data_centres_for_half && total(data_centre) > half_of(total());
    }
    /// Returns whether another server of the kind leaves the servers spread over the data centres.
    [[nodiscard]] bool keeps_spread(const capacity_kind& kind) const
    {
        if (data_centres_.size() >= data_centres_for_half &&
            total(kind.data_centre) + 1 > half_of(total() + 1)) {
            return false;
        }
        return !kind.reclaimable || data_centres_.size() < 2 ||
               counts_.at(kind) + 1 <= half_of(total(true) + 1);
    }
    /// Returns the cheapest kind of which another server can be had; at equal prices that of the data centre
    /// with the fewest servers.
    [[nodiscard]] std::optional<capacity_kind> best_place(bool reclaimable, bool strict) const
    {
        std::optional<capacity_kind> best;
        const auto rank = [&](const capacity_kind& kind) {
            return std::make_tuple(price(kind), total(kind.data_centre), kind.data_centre);
        };
        for (const auto& [kind, servers] : counts_) {
            const bool possible =
                kind.reclaimable == reclaimable && can_add(kind) && (!strict || keeps_spread(kind));
            if (possible && (!best || rank(kind) < rank(*best))) {
                best = kind;
            }
        }
        return best;
    }
    [[nodiscard]] std::optional<capacity_kind> first_to_remove(unsigned low, unsigned steady,
                                                               bool strict) const
    {
        std::optional<capacity_kind> first;
        const auto rank = [&](const capacity_kind& kind) {
            return std::make_tuple(overfull(kind.data_centre), price(kind), counts_.at(kind),
                                   kind.data_centre);
        };
        for (const auto& [kind, servers] : counts_) {
            // Servers that still boot may be replacements, before which nothing else can be removed.
            const bool boots = servers > running(kind);
            if (servers == 0 || boots || total(kind.data_centre) <= minimum(kind.data_centre)) {
                continue;
            }
            draft after = *this;
            after.counts_[kind] -= 1;
            const bool enough =
                after.total() >= low && after.running() >= low &&
                after.remaining_after_reclaim() >= std::min(steady, remaining_after_reclaim());
            const bool keeps_steady = kind.reclaimable || after.total(false) >= steady || total(true) == 0;
            if (!enough || !keeps_steady || (strict && after.excess() > excess())) {
                continue;
            }
            if (!first || rank(*first) < rank(kind)) {
                first = kind;
            }
        }
        return first;
    }
    /// Returns how many servers are too many where they are: more than half in one data centre, or more than
    /// half of the reclaimable ones.
    [[nodiscard]] unsigned excess() const
    {
        unsigned sum = 0;
        if (data_centres_.size() >= data_centres_for_half) {
            for (const data_centre_id& data_centre : data_centres_) {
                const unsigned held = total(data_centre);
                sum += held - std::min(held, half_of(total()));
            }
        }
        if (data_centres_.size() > 1) {
            const unsigned most = most_reclaimable();
            sum += most - std::min(most, half_of(total(true)));
        }
        return sum;
    }
    /// Moves one server to another kind; false: there is no reason to.
    bool replace(unsigned steady)
    {
        std::vector<capacity_kind> kinds;
        for (const auto& [kind, servers] : counts_) {
            if (servers > 0) {
                kinds.push_back(kind);
            }
        }
        std::sort(kinds.begin(), kinds.end(), [&](const capacity_kind& left, const capacity_kind& right) {
            return std::make_tuple(overfull(left.data_centre), price(left), left) >
                   std::make_tuple(overfull(right.data_centre), price(right), right);
        });
        for (const capacity_kind& kind : kinds) {
            draft after = *this;
            after.counts_[kind] -= 1;
            const auto place = after.replacement(kind, overfull(kind.data_centre), steady);
            if (place) {
                counts_[kind] -= 1;
                counts_[*place] += 1;
                return true;
            }
        }
        return false;
    }
    /// Returns the cheapest kind of which a server can replace one of `removed`, which isn't counted any
    /// more: one at a noticeably lower price, or at any price if servers move away from a data centre.
    [[nodiscard]] std::optional<capacity_kind> replacement(const capacity_kind& removed, bool move,
                                                           unsigned steady) const
    {
        std::optional<capacity_kind> best;
        for (const bool reclaimable : {true, false}) {
            if (reclaimable && !removed.reclaimable && total(false) < steady) {
                continue;
            }
            const auto place = best_place(reclaimable, true);
            if (!place || (!move && price(*place) > price(removed) * (1 - options_.min_saving)) ||
                (move && place->data_centre == removed.data_centre)) {
                continue;
            }
            draft replaced = *this;
            replaced.counts_[*place] += 1;
            const bool enough = replaced.remaining_after_reclaim() >= steady &&
                                replaced.total(removed.data_centre) >= minimum(removed.data_centre);
            if (enough && (!best || price(*place) < price(*best))) {
                best = place;
            }
        }
        return best;
    }

    const capacity_input& input_;
    const capacity_options& options_;
    capacity_counts counts_;
    std::vector<data_centre_id> data_centres_;
};

} // namespace

duration removal_hold(const scaling_traits& scaling, const capacity_options& options)
{
    return std::clamp(scaling.boot_time, options.min_hold, options.max_hold);
}

unsigned servers_for_peak(double demand_ms, const scaling_traits& scaling, const capacity_options& options)
{
    const double margin = scaling.boot_time > options.swing_time ? options.swing_margin : 0;
    return std::max(1U, rounded_up(demand_ms * (1 + margin) / (ms_per_second * options.target_utilisation)));
}

capacity_plan plan_capacity(const capacity_input& input, const capacity_options& options)
{
    capacity_plan plan;
    plan.wanted = input.expected;
    const fleet_demand_figures& demand = input.demand;
    if (!demand.usable || input.scaling.max_servers == 0) {
        return plan;
    }
    const auto steady_for = [&](double demand_ms) {
        return rounded_up(demand_ms / (ms_per_second * options.full_utilisation));
    };
    const unsigned steady = steady_for(demand.mean_ms);
    plan.needed = servers_for_peak(demand.peak_ms, input.scaling, options);
    draft numbers(input, options);
    if (numbers.add_minimum(steady)) {
        plan.reason = "minimum";
    }
    while (numbers.total() < plan.needed && numbers.add(steady)) {
        plan.missing = true;
        plan.reason = "demand";
    }
    while (numbers.remaining_after_reclaim() < steady && numbers.add_for_reclaim()) {
        plan.missing = true;
        plan.reason = "reclaim_margin";
    }
    const bool grown = *plan.reason != '\0';
    const duration known = std::max(options.min_known, removal_hold(input.scaling, options));
    const bool was_used = demand.highest_ms >= options.min_used_fraction * ms_per_second * numbers.total();
    const bool settled = demand.oldest_held_ms >= options.min_settled_fraction * demand.held_peak_ms;
    if (!grown && input.may_remove && demand.known_for >= known && was_used && settled) {
        const double band = 1 + options.dead_band;
        const unsigned low = servers_for_peak(demand.held_peak_ms * band, input.scaling, options);
        const unsigned steady_low = steady_for(demand.held_mean_ms * band);
        // A replacement must still be one when the new server runs and the old one is removed.
        const unsigned steady_later = steady_for(demand.held_mean_ms * band * band);
        const auto step = std::max(
            1U, static_cast<unsigned>(options.max_removed_fraction * static_cast<double>(numbers.total())));
        unsigned removed = 0;
        while (removed < step && numbers.remove(low, steady_low)) {
            removed += 1;
        }
        const bool all_run = numbers.running() == numbers.total();
        if (removed > 0) {
            plan.reason = "surplus";
        } else if (all_run && numbers.add_replacements(step, steady_later)) {
            plan.reason = "replacement";
        }
    }
    for (const auto& [kind, servers] : numbers.counts()) {
        if (servers > 0 || input.expected.contains(kind)) {
            plan.wanted[kind] = servers;
        }
    }
    return plan;
}

} // namespace currantspar::relay
