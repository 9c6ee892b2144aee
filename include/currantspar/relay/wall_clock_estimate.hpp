#ifndef CURRANTSPAR_RELAY_WALL_CLOCK_ESTIMATE_HPP
#define CURRANTSPAR_RELAY_WALL_CLOCK_ESTIMATE_HPP

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "currantspar/base/time.hpp"

namespace currantspar::relay {

/// Returns the number of the window of this length, counted from 1970, that holds `time`. Precondition:
/// length > 0. Thread safe.
[[nodiscard]] std::uint64_t window_at(wall_time time, duration length);

struct wall_clock_options
{
    duration peer_timeout =
        std::chrono::seconds(5); ///< a peer's clock without a digest for so long is forgotten
    std::size_t min_clocks = 3;  ///< with fewer known clocks, the estimate doesn't change
    /// From when `min_clocks` are known for the first time, the estimate follows the median at once.
    duration settling = std::chrono::seconds(5);
    /// Later, a change above `max_slew` counts once it has lasted for so long: after a freeze, a node reads
    /// digests that are seconds old, so all its peers' clocks seem to be behind.
    duration min_persistence = std::chrono::seconds(3);
    duration max_slew = std::chrono::milliseconds(100);
    duration max_step_back = std::chrono::seconds(1); ///< of the estimated time, after settling
};

/// Estimates true time as the median of the offsets (wall clock minus a clock that counts while the machine
/// is suspended) of this node and its peers, so the clocks of a minority have no effect. All instants are of
/// the clock that counts while the machine is suspended. Not thread safe.
class wall_clock_estimate
{
public:
    explicit wall_clock_estimate(wall_clock_options options = {}) : options_(options) {}

    /// Sets this node's wall clock; only the first call has an effect, because a later difference would be a
    /// jump.
    void on_own_clock(wall_time wall, instant now);
    /// A peer told its wall clock.
    void on_peer_clock(const std::string& peer, wall_time wall, instant now);
    /// Forgets the clocks of silent peers and computes the estimate.
    void update(instant now);

    /// Returns whether this node's wall clock is set, so that there is an estimate.
    [[nodiscard]] bool known() const { return own_.has_value(); }
    /// Returns the number of clocks that are known, with this node's: of the nodes that are heard.
    [[nodiscard]] std::size_t clocks() const { return peers_.size() + (own_ ? 1 : 0); }
    /// Returns the true time at `at`. Precondition: known(), `at` isn't before the last update().
    [[nodiscard]] wall_time true_time(instant at) const;
    /// Returns the window that holds the true time at `at`. Preconditions: those of true_time() and
    /// window_at().
    [[nodiscard]] std::uint64_t window(instant at, duration length) const
    {
        return window_at(true_time(at), length);
    }

private:
    struct clock
    {
        duration offset{};
        instant received{};
    };

    /// Returns the median of all known offsets; of the two in the middle, the one nearer to the estimate.
    [[nodiscard]] duration median() const;
    void adopt(duration offset, instant now);

    wall_clock_options options_;
    std::optional<duration> own_; ///< offset of this node's clock when it was first seen
    std::map<std::string, clock> peers_;
    duration offset_{}; ///< in use
    std::optional<instant> settled_at_;
    std::optional<duration> candidate_; ///< differs from offset_ since candidate_since_
    instant candidate_since_{};
    wall_time earliest_{}; ///< the estimated time doesn't go back beyond this
};

} // namespace currantspar::relay

#endif
