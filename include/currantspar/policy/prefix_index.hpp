#ifndef CURRANTSPAR_POLICY_PREFIX_INDEX_HPP
#define CURRANTSPAR_POLICY_PREFIX_INDEX_HPP

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace currantspar::policy {

/// Which engines are thought to hold which prefix pieces, bounded in memory: the pieces learned first are
/// forgotten first. Not thread safe.
class prefix_index
{
public:
    using engine_number = std::uint32_t;

    /// An engine and the number of leading pieces that it holds.
    struct match
    {
        engine_number engine = 0;
        std::uint32_t pieces = 0;
    };

    /// `max_entries` bounds the pieces, `max_holders` the engines remembered for one piece.
    explicit prefix_index(std::size_t max_entries = 65536, std::size_t max_holders = 8)
        : max_entries_(max_entries), max_holders_(max_holders)
    {}

    void add(std::uint64_t piece, engine_number engine);
    void remove(std::uint64_t piece, engine_number engine);
    /// Forgets everything about an engine, in time proportional to the index.
    void forget(engine_number engine);
    /// The engines that hold the first piece, with the length of the run they hold.
    [[nodiscard]] std::vector<match> find(const std::vector<std::uint64_t>& prefix) const;

    [[nodiscard]] std::size_t size() const { return holders_.size(); }
    /// Bytes of the index, near enough for a capacity plan.
    [[nodiscard]] std::size_t memory_bytes() const;

private:
    std::size_t max_entries_;
    std::size_t max_holders_;
    std::unordered_map<std::uint64_t, std::vector<engine_number>> holders_;
    std::deque<std::uint64_t> insertion_order_; ///< oldest first; may name pieces that are gone
};

} // namespace currantspar::policy

#endif
