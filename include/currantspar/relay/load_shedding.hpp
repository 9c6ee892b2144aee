#ifndef CURRANTSPAR_RELAY_LOAD_SHEDDING_HPP
#define CURRANTSPAR_RELAY_LOAD_SHEDDING_HPP

#include <map>

#include "currantspar/base/ids.hpp"
#include "currantspar/relay/decaying_rate.hpp"

namespace currantspar::relay {

struct load_shedding_options
{
    /// Backlog that the most urgent requests may meet, relative to their latency objective.
    double late_backlog = 0.5;
    /// Backlog up to which a less urgent request is admitted, relative to that of the next more urgent one.
    double next_priority_fraction = 0.75;
    /// Fraction of the requests above their limit that is admitted nevertheless, so that no priority and no
    /// organisation is starved by the others.
    double guaranteed_fraction = 0.3;
    /// How long a priority counts as in use after its last request.
    duration priority_ttl = std::chrono::seconds(3);
    /// A request that asks for less work than the mean of its priority tolerates more backlog, one that asks
    /// for more less, within these factors: rejecting it frees less, or more.
    double min_work_factor = 0.7;
    double max_work_factor = 1.4;
    /// Factor for a caller that has no time left to come back: a rejection loses its request.
    double last_chance_factor = 1.5;
    /// An organisation that asks for more than this multiple of an equal share is above its share.
    double organisation_excess = 4;
    double excess_factor = 1; ///< for its requests, of `late_backlog`
    duration share_window = std::chrono::seconds(5);
};

/// A request as load shedding sees it.
struct sheddable_request
{
    unsigned priority = 0;        ///< 0 is the highest
    organisation_id organisation; ///< empty: none is known
    double work_ms = 0;           ///< of an engine's time
    duration target{};            ///< the latency objective
    duration deadline_left{};
};

/// Largest backlog at which a request is admitted, and which rule lowered it.
struct backlog_limit
{
    duration backlog = duration::max();
    const char* reason = ""; ///< of a rejection above that
};

/// Decides whose requests are rejected first while the engines' backlog grows: less urgent ones before they
/// make more urgent ones late, and those of organisations that ask for far more than others; within a
/// priority those that need the most work or can still come back. It knows this node's requests only, so it
/// needs no messages; callers are spread over all nodes. Not thread safe.
class load_shedding
{
public:
    explicit load_shedding(load_shedding_options options = {})
        : options_(options), total_work_(options.share_window)
    {}

    /// Records a request that was made, admitted or not.
    void on_request(const sheddable_request& req, instant now);
    /// Returns the mean backlog of the engines above which the request is rejected. Precondition:
    /// on_request() was called for it.
    [[nodiscard]] backlog_limit limit(const sheddable_request& req, duration backlog, instant now) const;

private:
    struct priority_state
    {
        duration target{}; ///< the shortest objective of its recent requests
        instant last{};
        double mean_work_ms = 0;
    };

    /// Returns the backlog that keeps room for more urgent requests; duration::max() if there are none.
    [[nodiscard]] duration room_limit(unsigned priority, instant now) const;
    [[nodiscard]] double work_factor(const sheddable_request& req) const;
    [[nodiscard]] bool above_share(const organisation_id& organisation, instant now) const;

    load_shedding_options options_;
    std::map<unsigned, priority_state> priorities_;
    std::map<organisation_id, decaying_rate> work_by_organisation_;
    decaying_rate total_work_;
};

} // namespace currantspar::relay

#endif
