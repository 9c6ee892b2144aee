#ifndef CURRANTSPAR_GATEWAY_CAPACITY_CONTROL_HPP
#define CURRANTSPAR_GATEWAY_CAPACITY_CONTROL_HPP

#include <map>
#include <string>
#include <vector>

#include "currantspar/gateway/load_digest.hpp"
#include "currantspar/gateway/wire_protocol.hpp"
#include "currantspar/relay/relay_core.hpp"
#include "currantspar/relay/scale_duty.hpp"

namespace currantspar::gateway {

/// Collects the demand for servers that can be ordered, and gives the duty that orders them what it plans
/// from. Does nothing unless the settings name capacity as a duty. Not thread safe.
class capacity_control
{
public:
    capacity_control(const relay::relay_core& core, const gateway_settings& settings)
        : core_(core), node_(settings.peer_address), data_centre_(settings.data_centre),
          enabled_(settings.duties.capacity && !settings.duties.address.empty()), duty_(duty_options())
    {}

    /// Returns what this node had to refuse of the demand for each service whose servers can be ordered, also
    /// if that is nothing: a collector must get it at least once a second, or it takes the node for one that
    /// it can't hear.
    [[nodiscard]] std::map<service_id, double> own_demand(instant now) const;
    /// A peer's digest arrived; one without demand comes from a peer that has none to report to this node.
    void on_digest(const load_digest& digest, instant now)
    {
        on_peer_demand(digest.sender, digest.demand_ms, now, digest.data_centre);
    }
    void on_peer_demand(const std::string& sender, const std::map<service_id, double>& demand_ms, instant now,
                        const data_centre_id& data_centre = {});
    /// `recent_peers` are the nodes heard of lately; `duty_now` is of the clock that the duty gets its times
    /// from.
    void on_tick(const std::vector<std::string>& recent_peers, instant now, instant duty_now);

    /// The duty that orders servers; lives as long as this object.
    [[nodiscard]] relay::duty& duty() { return duty_; }
    [[nodiscard]] std::vector<relay::capacity_figure> figures() const { return duty_.figures(); }

private:
    [[nodiscard]] static relay::scale_options duty_options();
    /// Samples how many engines of each service work for the callers of all nodes.
    void sample_engines(instant now);
    /// Returns the services whose servers can be ordered.
    [[nodiscard]] std::vector<const relay::relayed_service*> services() const;
    [[nodiscard]] relay::service_capacity view(const relay::relayed_service& service, instant now) const;

    const relay::relay_core& core_;
    std::string node_;
    data_centre_id data_centre_;
    bool enabled_;
    relay::fleet_demand demand_;
    relay::scale_duty duty_;
    std::map<service_id, double> served_ms_; ///< of a server's time a second, mean of the samples
    instant sample_due_{};
    instant update_due_{};
};

} // namespace currantspar::gateway

#endif
