#ifndef CURRANTSPAR_RELAY_SCALE_DUTY_HPP
#define CURRANTSPAR_RELAY_SCALE_DUTY_HPP

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "currantspar/relay/capacity_plan.hpp"
#include "currantspar/relay/duty.hpp"
#include "currantspar/relay/relay_effect.hpp"

namespace currantspar::relay {

struct scale_options
{
    capacity_options plan{};
    duration change_period = std::chrono::seconds(2);  ///< between two changes of a plan that lacks no server
    duration boot_tolerance = std::chrono::seconds(2); ///< after the boot time, before an order is repeated
    duration unavailable_time = std::chrono::seconds(5); ///< of a kind after a conflict or a reclaim
    duration min_backoff = std::chrono::seconds(1);      ///< after an order without effect; doubles each time
    duration max_backoff = std::chrono::seconds(8);
    /// Servers that drain within this time after an order for fewer were removed by it, not reclaimed.
    duration drain_time = std::chrono::seconds(60);
};

/// A service whose servers can be ordered, as this node sees it.
struct service_capacity
{
    service_id service;
    scaling_traits scaling;
    capacity_counts open;     ///< servers that accept work
    capacity_counts draining; ///< servers that are about to leave
    std::set<data_centre_id> data_centres;
    fleet_demand_figures demand;
};

/// The wanted and the present servers of a kind, for metrics.
struct capacity_figure
{
    service_id service;
    capacity_kind kind;
    unsigned wanted = 0;
    unsigned present = 0;
};

/// Orders servers so that their numbers match the plan. It keeps nothing in the shared store: an order names
/// the whole number of a kind, so a later holder plans from what it sees and orders the same. Not thread
/// safe.
class scale_duty : public duty
{
public:
    explicit scale_duty(scale_options options = {}) : options_(options) {}

    /// Plans from what is known now. Call it several times a second, at every node. With `is_first`, this
    /// node is to order before the others. Another one doesn't know what was ordered and still boots; it has
    /// work to do only when servers differ from its plan for longer than they boot, so that it doesn't take
    /// the duty over and repeat the orders.
    void update(const std::vector<service_capacity>& services, instant now, bool is_first = true);

    [[nodiscard]] bool pending(instant now) const override;
    void on_records(const std::vector<duty_record>&, instant) override {}
    [[nodiscard]] std::optional<duty_step> next(instant now) override;
    void on_recorded(const duty_record&, instant) override {}
    void on_called(const duty_call& call, duty_outcome outcome, instant now) override;
    void on_lost(instant now) override;

    /// Returns the decisions since the last call, to be logged.
    [[nodiscard]] std::vector<log_decision> take_log() { return std::exchange(log_, {}); }
    [[nodiscard]] std::vector<capacity_figure> figures() const;

private:
    struct sent_order
    {
        unsigned servers = 0;
        instant at{};
    };
    struct kind_state
    {
        std::optional<sent_order> accepted; ///< the last one
        bool over = false;                  ///< the servers were as many as it asked for, or were taken back
        instant unavailable_until{};
        instant retry_at{};
        duration backoff{};
    };
    struct service_state
    {
        service_capacity seen;
        std::map<capacity_kind, kind_state> kinds;
        capacity_plan plan;
        instant change_due{};
    };

    /// Returns the time from an order until it has surely taken effect.
    [[nodiscard]] duration effect_time(const service_state& service) const;
    /// Returns the servers of a kind once its last order has taken effect.
    [[nodiscard]] unsigned expected(const service_state& service, const capacity_kind& kind,
                                    instant now) const;
    void observe(service_state& service, const service_capacity& seen, instant now);
    void make_plan(service_state& service, instant now);
    /// Returns the next order: one for more servers if there is any, otherwise one for fewer.
    [[nodiscard]] std::optional<capacity_order> find_order(instant now) const;
    [[nodiscard]] bool may_order(const service_state& service, const capacity_kind& kind, unsigned wanted,
                                 unsigned expected_servers, instant now) const;

    scale_options options_;
    std::map<service_id, service_state> services_;
    std::optional<capacity_order> in_flight_;
    bool is_first_ = true;
    bool is_holder_ = false;
    std::optional<instant> differs_since_; ///< there has been an order to send without a pause
    std::vector<log_decision> log_;
};

} // namespace currantspar::relay

#endif
