#include "currantspar/relay/wall_clock_estimate.hpp"

#include <algorithm>
#include <vector>

namespace currantspar::relay {

namespace {

duration offset_of(wall_time wall, instant now)
{
    return std::chrono::duration_cast<duration>(wall.time_since_epoch()) - now.time_since_epoch();
}

wall_time at_offset(instant at, duration offset)
{
    return wall_time(std::chrono::floor<std::chrono::milliseconds>(at.time_since_epoch() + offset));
}

} // namespace

std::uint64_t window_at(wall_time time, duration length)
{
    const auto since_epoch = std::chrono::duration_cast<duration>(time.time_since_epoch());
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, since_epoch / length));
}

void wall_clock_estimate::on_own_clock(wall_time wall, instant now)
{
    if (!own_) {
        own_ = offset_of(wall, now);
        offset_ = *own_;
    }
}

void wall_clock_estimate::on_peer_clock(const std::string& peer, wall_time wall, instant now)
{
    peers_[peer] = {offset_of(wall, now), now};
}

void wall_clock_estimate::update(instant now)
{
    std::erase_if(peers_,
                  [&](const auto& peer) { return now - peer.second.received > options_.peer_timeout; });
    if (!own_ || peers_.size() + 1 < options_.min_clocks) {
        candidate_.reset();
        return;
    }
    if (!settled_at_) {
        settled_at_ = now + options_.settling;
    }
    const duration middle = median();
    if (now < *settled_at_) {
        offset_ = middle;
        return;
    }
    if (std::chrono::abs(middle - offset_) <= options_.max_slew) {
        candidate_.reset();
        adopt(middle, now);
        return;
    }
    if (!candidate_ || std::chrono::abs(middle - *candidate_) > options_.max_slew) {
        candidate_ = middle;
        candidate_since_ = now;
    } else if (now - candidate_since_ >= options_.min_persistence) {
        candidate_.reset();
        adopt(middle, now);
    }
}

duration wall_clock_estimate::median() const
{
    std::vector<duration> offsets{*own_};
    for (const auto& [address, peer] : peers_) {
        offsets.push_back(peer.offset);
    }
    std::sort(offsets.begin(), offsets.end());
    const duration upper = offsets[offsets.size() / 2];
    const duration lower = offsets[(offsets.size() - 1) / 2];
    return std::chrono::abs(lower - offset_) <= std::chrono::abs(upper - offset_) ? lower : upper;
}

void wall_clock_estimate::adopt(duration offset, instant now)
{
    if (offset < offset_) {
        const auto step = std::chrono::ceil<std::chrono::milliseconds>(options_.max_step_back);
        earliest_ = std::max(earliest_, at_offset(now, offset_) - step);
    }
    offset_ = offset;
}

wall_time wall_clock_estimate::true_time(instant at) const
{
    return std::max(at_offset(at, offset_), earliest_);
}

} // namespace currantspar::relay
