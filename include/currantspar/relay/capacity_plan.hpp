#ifndef CURRANTSPAR_RELAY_CAPACITY_PLAN_HPP
#define CURRANTSPAR_RELAY_CAPACITY_PLAN_HPP

#include <compare>
#include <map>
#include <set>

#include "currantspar/relay/model.hpp"
#include "currantspar/relay/service_demand.hpp"

namespace currantspar::relay {

/// The servers of a service in one data centre that are ordered together.
struct capacity_kind
{
    data_centre_id data_centre;
    bool reclaimable = false;

    friend auto operator<=>(const capacity_kind&, const capacity_kind&) = default;
    friend bool operator==(const capacity_kind&, const capacity_kind&) = default;
};

using capacity_counts = std::map<capacity_kind, unsigned>;

struct capacity_options
{
    /// Of the needed servers at the peak demand. Only a part of the engines prefills, so these are busier
    /// than the mean, and waiting prompts miss their objective well before all engines are busy.
    double target_utilisation = 0.65;
    /// Of the servers that remain when a data centre takes its reclaimable ones back, at the mean demand.
    double full_utilisation = 0.9;
    /// Added to the peak demand when servers take longer to boot than demand takes to double.
    double swing_margin = 0.1;
    duration swing_time = std::chrono::seconds(3);
    /// The demand may rise by this fraction after a removal without a new order; otherwise the number of
    /// servers would follow the noise of the demand.
    double dead_band = 0.08;
    duration min_known = std::chrono::seconds(5); ///< demand, before servers are removed
    /// A fleet of which less than this fraction was ever needed waits for its callers and keeps its servers.
    double min_used_fraction = 0.15;
    /// Demand that was below this fraction of its peak at the begin of the hold still rises.
    double min_settled_fraction = 0.3;
    duration min_hold = std::chrono::seconds(10); ///< of a lower demand; the boot time if longer
    duration max_hold = std::chrono::seconds(60);
    double max_removed_fraction = 0.25; ///< of the servers in one step: each takes its cached segments along
    double min_saving = 0.15;           ///< of a server's price, for replacing it by a cheaper one
};

/// What a plan starts from.
struct capacity_input
{
    scaling_traits scaling;
    capacity_counts running;  ///< servers that accept work
    capacity_counts expected; ///< once all orders have taken effect; a kind that isn't named has none
    std::set<data_centre_id> data_centres;
    std::set<capacity_kind> unavailable; ///< kinds of which no further server can be had now
    fleet_demand_figures demand;
    bool may_remove = false; ///< the last step of removals was long enough ago
};

/// The wanted numbers of a service's servers.
struct capacity_plan
{
    capacity_counts wanted;  ///< of each kind that has servers or gets some
    unsigned needed = 0;     ///< servers at the peak demand
    bool missing = false;    ///< more servers are wanted than expected, to carry the demand
    const char* reason = ""; ///< of the change, for the log; empty: there is none
};

/// Returns how long a lower demand must have lasted before servers of the service are removed. Thread safe.
[[nodiscard]] duration removal_hold(const scaling_traits& scaling, const capacity_options& options);

/// Returns the servers that a demand in milliseconds of a server's time a second needs. Thread safe.
[[nodiscard]] unsigned servers_for_peak(double demand_ms, const scaling_traits& scaling,
                                        const capacity_options& options);

/// Plans the servers of a service. Servers are added at once; they are removed in steps, and only while most
/// nodes report their demand. The result depends on the arguments alone, so all collectors plan alike. Thread
/// safe.
[[nodiscard]] capacity_plan plan_capacity(const capacity_input& input, const capacity_options& options);

} // namespace currantspar::relay

#endif
