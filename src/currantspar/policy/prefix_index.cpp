#include "currantspar/policy/prefix_index.hpp"

#include <algorithm>

namespace currantspar::policy {

void prefix_index::add(std::uint64_t piece, engine_number engine)
{
    const auto [entry, fresh] = holders_.try_emplace(piece);
    std::vector<engine_number>& engines = entry->second;
    if (std::find(engines.begin(), engines.end(), engine) != engines.end()) {
        return;
    }
    if (engines.size() >= max_holders_) {
        engines.erase(engines.begin());
    }
    engines.push_back(engine);
    if (!fresh) {
        return;
    }
    insertion_order_.push_back(piece);
    while (holders_.size() > max_entries_ || insertion_order_.size() > 2 * max_entries_) {
        holders_.erase(insertion_order_.front());
        insertion_order_.pop_front();
    }
}

void prefix_index::remove(std::uint64_t piece, engine_number engine)
{
    const auto entry = holders_.find(piece);
    if (entry == holders_.end()) {
        return;
    }
    std::erase(entry->second, engine);
    if (entry->second.empty()) {
        holders_.erase(entry);
    }
}

void prefix_index::forget(engine_number engine)
{
    for (auto entry = holders_.begin(); entry != holders_.end();) {
        std::erase(entry->second, engine);
        entry = entry->second.empty() ? holders_.erase(entry) : std::next(entry);
    }
}

std::vector<prefix_index::match> prefix_index::find(const std::vector<std::uint64_t>& prefix) const
{
    std::vector<match> matches;
    for (std::uint32_t depth = 0; depth < prefix.size(); ++depth) {
        const auto entry = holders_.find(prefix[depth]);
        if (entry == holders_.end()) {
            break;
        }
        bool longer = false;
        for (const engine_number engine : entry->second) {
            if (depth == 0) {
                matches.push_back({engine, 1});
                longer = true;
                continue;
            }
            for (match& known : matches) {
                const bool next = known.engine == engine && known.pieces == depth;
                known.pieces += next ? 1 : 0;
                longer = longer || next;
            }
        }
        if (!longer) {
            break;
        }
    }
    return matches;
}

std::size_t prefix_index::memory_bytes() const
{
    constexpr std::size_t node_bytes = 64; ///< approximate size of a hash table node and its bucket
    std::size_t bytes = insertion_order_.size() * sizeof(std::uint64_t);
    for (const auto& [piece, engines] : holders_) {
        bytes += node_bytes + engines.capacity() * sizeof(engine_number);
    }
    return bytes;
}

} // namespace currantspar::policy
