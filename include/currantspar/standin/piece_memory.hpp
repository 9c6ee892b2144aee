#ifndef CURRANTSPAR_STANDIN_PIECE_MEMORY_HPP
#define CURRANTSPAR_STANDIN_PIECE_MEMORY_HPP

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "currantspar/policy/views.hpp"

namespace currantspar::standin {

/// The KV memory of one engine, counted in pieces: private ones of running sequences, and prefix pieces that
/// stay cached until their room is needed, least recently used first. Not thread safe.
class piece_memory
{
public:
    explicit piece_memory(std::uint32_t total) : total_(total) {}

    /// Leading pieces of a prompt that are cached.
    [[nodiscard]] std::uint32_t cached_prefix(const std::vector<std::uint64_t>& prefix) const;
    /// Takes `needed` pieces, the first `hits` of them shared with the cache; false when there is no room.
    bool reserve(const std::vector<std::uint64_t>& prefix, std::uint32_t hits, std::uint32_t needed);
    /// Turns a sequence's private pieces into shared ones after its prompt was computed; returns how many.
    std::uint32_t share(const std::vector<std::uint64_t>& prefix, std::uint32_t hits);
    /// Gives back what a sequence holds: its first `shared` prefix pieces and `owned` private ones.
    void release(const std::vector<std::uint64_t>& prefix, std::uint32_t shared, std::uint32_t owned);
    /// Drops every piece.
    void clear();

    [[nodiscard]] std::uint32_t used() const { return static_cast<std::uint32_t>(shared_.size()) + private_; }
    [[nodiscard]] std::uint32_t total() const { return total_; }
    /// What changed in the cache since the last call.
    [[nodiscard]] std::vector<policy::cache_event_batch::change> take_changes();

private:
    struct shared_piece
    {
        std::uint32_t users = 0;
        std::list<std::uint64_t>::iterator idle; ///< valid while nobody uses the piece
    };

    void use(std::uint64_t piece);
    void evict_one();

    std::uint32_t total_;
    std::uint32_t private_ = 0;
    std::unordered_map<std::uint64_t, shared_piece> shared_;
    std::list<std::uint64_t> idle_; ///< least recently used first
    std::vector<policy::cache_event_batch::change> changes_;
};

} // namespace currantspar::standin

#endif
