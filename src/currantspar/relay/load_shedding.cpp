#include "currantspar/relay/load_shedding.hpp"

#include <algorithm>
#include <cmath>

namespace currantspar::relay {

namespace {

/// Weight of one request in the mean work.
constexpr double mean_weight = 1.0 / 64;
/// Organisations whose work has decayed below this many milliseconds a second don't ask for a share.
constexpr double min_work_rate = 0.5;

duration scaled(duration value, double factor)
{
    return from_seconds(to_seconds(value) * factor);
}

} // namespace

void load_shedding::on_request(const sheddable_request& req, instant now)
{
    const auto known = priorities_.try_emplace(req.priority, priority_state{req.target, now, req.work_ms});
    priority_state& state = known.first->second;
    const bool outdated = now - state.last > options_.priority_ttl;
    state.target = outdated ? req.target : std::min(state.target, req.target);
    state.last = now;
    state.mean_work_ms += mean_weight * (req.work_ms - state.mean_work_ms);
    if (req.organisation.str().empty()) {
        return;
    }
    total_work_.add(req.work_ms, now);
    work_by_organisation_.try_emplace(req.organisation, options_.share_window)
        .first->second.add(req.work_ms, now);
    std::erase_if(work_by_organisation_,
                  [&](const auto& entry) { return entry.second.per_second(now) < min_work_rate; });
}

backlog_limit load_shedding::limit(const sheddable_request& req, duration backlog, instant now) const
{
    duration room = room_limit(req.priority, now);
    const char* reason = "room_for_urgent";
    if (above_share(req.organisation, now)) {
        const duration share = scaled(req.target, options_.late_backlog * options_.excess_factor);
        if (share < room) {
            room = share;
            reason = "organisation_share";
        }
    }
    if (room == duration::max()) {
        return {};
    }
    // It comes back when the backlog is gone, and has to meet its objective then.
    const bool last_chance = req.deadline_left < backlog + req.target;
    const double factor = work_factor(req) * (last_chance ? options_.last_chance_factor : 1.0);
    return {scaled(room, factor), reason};
}

duration load_shedding::room_limit(unsigned priority, instant now) const
{
    duration limit = duration::max();
    for (const auto& [urgent, state] : priorities_) {
        if (urgent >= priority) {
            break;
        }
        if (now - state.last > options_.priority_ttl) {
            continue;
        }
        const duration own = scaled(state.target, options_.late_backlog);
        limit = limit == duration::max() ? own : std::min(limit, own);
        limit = scaled(limit, options_.next_priority_fraction);
    }
    return limit;
}

double load_shedding::work_factor(const sheddable_request& req) const
{
    const auto known = priorities_.find(req.priority);
    if (known == priorities_.end() || req.work_ms <= 0 || known->second.mean_work_ms <= 0) {
        return options_.max_work_factor;
    }
    return std::clamp(std::sqrt(known->second.mean_work_ms / req.work_ms), options_.min_work_factor,
                      options_.max_work_factor);
}

bool load_shedding::above_share(const organisation_id& organisation, instant now) const
{
    const auto found = work_by_organisation_.find(organisation);
    if (found == work_by_organisation_.end() || work_by_organisation_.size() < 2) {
        return false;
    }
    const double equal_share =
        total_work_.per_second(now) / static_cast<double>(work_by_organisation_.size());
    return found->second.per_second(now) > equal_share * options_.organisation_excess;
}

} // namespace currantspar::relay
