#ifndef CURRANTSPAR_RELAY_USAGE_LEDGER_HPP
#define CURRANTSPAR_RELAY_USAGE_LEDGER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "currantspar/base/ids.hpp"

namespace currantspar::relay {

struct usage_ledger_options
{
    std::uint64_t max_windows = 8;        ///< up to the current one; older ones are forgotten
    std::uint64_t max_windows_ahead = 1;  ///< clocks of nodes differ; later windows are ignored
    std::size_t max_senders = 1024;       ///< of one window: starts of nodes
    std::size_t max_organisations = 1024; ///< of one window
};

/// The usage counts that all nodes sent, at a collector: the latest cumulative count by sender, start of the
/// sender's process, window and organisation. Datagrams may be lost, repeated and reordered. Not thread safe.
class usage_ledger
{
public:
    using counts = std::map<organisation_id, std::uint64_t>;

    explicit usage_ledger(usage_ledger_options options = {}) : options_(options) {}

    /// Sets the current window, from which the range of windows follows that are kept.
    void set_current(std::uint64_t window);
    /// Sets a cumulative count of one start of a sender; a lower one than before has no effect, nor has one
    /// of a window outside the range.
    void on_count(const std::string& sender, std::uint64_t incarnation, std::uint64_t window,
                  const organisation_id& organisation, std::uint64_t requests);
    /// Forgets the windows up to this one.
    void on_reported(std::uint64_t window);

    /// Returns a window's sums by organisation.
    [[nodiscard]] counts sums(std::uint64_t window) const;
    /// Returns the first window with counts that isn't before `window`.
    [[nodiscard]] std::optional<std::uint64_t> first_window(std::uint64_t window) const;

private:
    struct window_counts
    {
        std::map<organisation_id, std::size_t> positions; ///< of the organisations in the lists of counts
        std::map<std::pair<std::string, std::uint64_t>, std::vector<std::uint64_t>> senders;
    };

    usage_ledger_options options_;
    std::map<std::uint64_t, window_counts> windows_;
    std::uint64_t current_ = 0;
    std::uint64_t reported_ = 0;
};

} // namespace currantspar::relay

#endif
