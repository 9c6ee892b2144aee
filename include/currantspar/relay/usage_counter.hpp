#ifndef CURRANTSPAR_RELAY_USAGE_COUNTER_HPP
#define CURRANTSPAR_RELAY_USAGE_COUNTER_HPP

#include <cstdint>
#include <map>
#include <vector>

#include "currantspar/base/ids.hpp"

namespace currantspar::relay {

/// Requests of one organisation that servers began in one usage window, so far.
struct usage_count
{
    std::uint64_t window = 0;
    organisation_id organisation;
    std::uint64_t requests = 0;
};

/// Counts the requests that servers began for this node, by window and organisation, until the window was
/// reported. Not thread safe.
class usage_counter
{
public:
    /// Precondition: max_windows > 0.
    explicit usage_counter(std::size_t max_windows = 8) : max_windows_(max_windows) {}

    /// Counts a request that a server began. One of a window that was reported already counts in the next
    /// window.
    void add(std::uint64_t window, const organisation_id& organisation);
    /// Discards the windows up to this one.
    void on_reported(std::uint64_t window);

    /// Returns whether take_changes() returns anything.
    [[nodiscard]] bool has_changes() const { return unsent_ > 0; }
    /// Returns the counts that changed since the last two calls: a count is returned twice, so that the loss
    /// of one datagram loses none.
    [[nodiscard]] std::vector<usage_count> take_changes();
    /// Returns all counts that are retained.
    [[nodiscard]] std::vector<usage_count> all() const;

private:
    struct entry
    {
        std::uint64_t requests = 0;
        unsigned sends_left = 0; ///< number of further take_changes() calls that return it
    };

    void discard_first();

    std::size_t max_windows_;
    std::map<std::uint64_t, std::map<organisation_id, entry>> windows_;
    std::uint64_t reported_ = 0;
    std::size_t unsent_ = 0; ///< entries with sends left
};

} // namespace currantspar::relay

#endif
