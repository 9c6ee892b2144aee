#include "currantspar/standin/piece_memory.hpp"

#include <algorithm>

namespace currantspar::standin {

std::uint32_t piece_memory::cached_prefix(const std::vector<std::uint64_t>& prefix) const
{
    const auto missing = std::find_if(prefix.begin(), prefix.end(),
                                      [this](std::uint64_t piece) { return !shared_.contains(piece); });
    return static_cast<std::uint32_t>(missing - prefix.begin());
}

void piece_memory::use(std::uint64_t piece)
{
    shared_piece& entry = shared_.at(piece);
    if (entry.users == 0) {
        idle_.erase(entry.idle);
    }
    entry.users += 1;
}

void piece_memory::evict_one()
{
    const std::uint64_t piece = idle_.front();
    idle_.pop_front();
    shared_.erase(piece);
    changes_.push_back({piece, false});
}

bool piece_memory::reserve(const std::vector<std::uint64_t>& prefix, std::uint32_t hits, std::uint32_t needed)
{
    std::uint32_t idle_hits = 0;
    for (std::uint32_t i = 0; i < hits; ++i) {
        idle_hits += shared_.at(prefix[i]).users == 0 ? 1 : 0;
    }
    const std::uint32_t fresh = needed - std::min(needed, hits);
    const std::uint32_t room = total_ - std::min(total_, used());
    const auto evictable = static_cast<std::uint32_t>(idle_.size()) - idle_hits;
    if (fresh > room + evictable) {
        return false;
    }
    for (std::uint32_t i = 0; i < hits; ++i) {
        use(prefix[i]);
    }
    while (used() + fresh > total_) {
        evict_one();
    }
    private_ += fresh;
    return true;
}

std::uint32_t piece_memory::share(const std::vector<std::uint64_t>& prefix, std::uint32_t hits)
{
    std::uint32_t moved = 0;
    for (std::size_t i = hits; i < prefix.size(); ++i) {
        const auto [entry, fresh] = shared_.try_emplace(prefix[i]);
        if (fresh) {
            entry->second.users = 1;
            changes_.push_back({prefix[i], true});
        } else {
            use(prefix[i]);
        }
        private_ -= 1;
        moved += 1;
    }
    return moved;
}

void piece_memory::release(const std::vector<std::uint64_t>& prefix, std::uint32_t shared,
                           std::uint32_t owned)
{
    private_ -= owned;
    for (std::uint32_t i = shared; i > 0; --i) {
        shared_piece& entry = shared_.at(prefix[i - 1]);
        entry.users -= 1;
        if (entry.users == 0) {
            entry.idle = idle_.insert(idle_.end(), prefix[i - 1]);
        }
    }
}

void piece_memory::clear()
{
    for (const auto& [piece, entry] : shared_) {
        changes_.push_back({piece, false});
    }
    std::sort(changes_.begin(), changes_.end(),
              [](const auto& left, const auto& right) { return left.piece < right.piece; });
    shared_.clear();
    idle_.clear();
    private_ = 0;
}

std::vector<policy::cache_event_batch::change> piece_memory::take_changes()
{
    return std::exchange(changes_, {});
}

} // namespace currantspar::standin
