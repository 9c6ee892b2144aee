#ifndef CURRANTSPAR_POLICY_PREFIX_INDEX_HPP
#define CURRANTSPAR_POLICY_PREFIX_INDEX_HPP

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace currantspar::policy {

/// A bounded index of the engines that are believed to cache each prefix piece; evicts the oldest pieces
/// first. Not thread safe.
class prefix_index
{
public:
    using engine_number = std::uint32_t;

    /// An engine and the number of consecutive leading pieces that it caches.
    struct match
    {
        engine_number engine = 0;
        std::uint32_t pieces = 0;
    };

    /// `max_entries` bounds the number of pieces, `max_holders` the engines listed for one piece.
    explicit prefix_index(std::size_t max_entries = 65536, std::size_t max_holders = 8)
        : max_entries_(max_entries), max_holders_(max_holders)
    {}

    void add(std::uint64_t piece, engine_number engine);
    void remove(std::uint64_t piece, engine_number engine);
    /// Removes an engine from all pieces, in time linear in the size of the index.
    void forget(engine_number engine);
    /// Returns the engines that cache the first piece and how many leading pieces each caches.
    [[nodiscard]] std::vector<match> find(const std::vector<std::uint64_t>& prefix) const;

    [[nodiscard]] std::size_t size() const { return holders_.size(); }
    /// Approximate memory use, for capacity planning.
    [[nodiscard]] std::size_t memory_bytes() const;

private:
    std::size_t max_entries_;
    std::size_t max_holders_;
    std::unordered_map<std::uint64_t, std::vector<engine_number>> holders_;
    std::deque<std::uint64_t> insertion_order_; ///< oldest first; may contain removed pieces
};

} // namespace currantspar::policy

#endif
