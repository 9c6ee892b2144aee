#ifndef CURRANTSPAR_RELAY_SERVICE_DEMAND_HPP
#define CURRANTSPAR_RELAY_SERVICE_DEMAND_HPP

#include <deque>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "currantspar/relay/engine_choice.hpp"

namespace currantspar::relay {

/// Returns the engine time that a request occupies. 1,000 ms a second are one fully busy engine: one that
/// prefills without pause, or one that decodes with as many requests at once as its slots and memory hold.
/// The prefill counts as predicted for `chosen`, or of the whole prompt if it is null; a decode step counts
/// by the request's part of a full batch, and its context by the time that it adds to each step. Thread safe.
[[nodiscard]] double request_work_ms(const engine_speed& speed, const engine_traits& traits,
                                     const request_info& request, const placement* chosen);

/// Amounts by intervals of a fixed length, for rates over the recent past. Not thread safe.
class amount_history
{
public:
    /// Precondition: interval > 0, and `kept` is at least as long.
    amount_history(duration interval, duration kept) : interval_(interval), kept_(kept) {}

    /// Precondition: `now` isn't before that of an earlier call.
    void add(double amount, instant now);
    /// Returns the sum of the complete intervals of the last `window`. Thread safe for concurrent readers.
    [[nodiscard]] double sum(duration window, instant now) const;

private:
    struct interval_amount
    {
        std::int64_t number = 0;
        double amount = 0;
    };

    [[nodiscard]] std::int64_t number_at(instant time) const { return time.time_since_epoch() / interval_; }

    duration interval_;
    duration kept_;
    std::deque<interval_amount> amounts_;
};

/// The work that this node's callers asked for, served or refused for overload, by service. Not thread safe.
class service_demand
{
public:
    /// A request asked for this much of a server's time.
    void on_request(const service_id& service, double work_ms, instant now);
    /// Returns the milliseconds of a server's time a second, averaged over the last two seconds; 0 for a
    /// service without requests.
    [[nodiscard]] double per_second(const service_id& service, instant now) const;

private:
    std::map<service_id, amount_history> services_;
};

struct fleet_demand_options
{
    duration report_max_age = std::chrono::milliseconds(3500); ///< older reports of nodes are dropped
    duration sample_period = std::chrono::milliseconds(250);
    duration kept = std::chrono::seconds(60); ///< samples, and the largest number of nodes
    /// Of the largest number of nodes in the time above. A part of the nodes gives a lower bound of the
    /// demand; from half of them on, servers are ordered for it. Servers are removed only when most nodes
    /// were heard of all the time, so a partition or a change of the collectors removes none.
    double partly_known_fraction = 0.5;
    double known_fraction = 0.75;
};

/// The demand for a service's servers as a collector knows it.
struct fleet_demand_figures
{
    double mean_ms = 0;                 ///< of a server's time a second, over the last 10 s
    double peak_ms = 0;                 ///< the highest sample of the last 10 s
    double held_mean_ms = 0;            ///< the highest mean of the time that a lower demand must have lasted
    double held_peak_ms = 0;            ///< the highest sample of that time
    bool usable = false;                ///< at least half of the nodes report, and there has been demand
    duration known_for{};               ///< most nodes have reported without a gap
    std::set<data_centre_id> callers{}; ///< where nodes report
    /// The first sample of that time, and the highest since the start of the process. Without samples nothing
    /// speaks against a removal.
    double oldest_held_ms = std::numeric_limits<double>::infinity();
    double highest_ms = std::numeric_limits<double>::infinity();
};

/// Sums the demand that nodes report. Not thread safe.
class fleet_demand
{
public:
    explicit fleet_demand(fleet_demand_options options = {}) : options_(options) {}

    /// A node, or this one, reported the demand of its callers. What it reported of other services remains
    /// valid, since a large digest is split.
    void on_report(const std::string& node, const data_centre_id& data_centre,
                   const std::map<service_id, double>& demand_ms, instant now);
    /// Samples the sum. `nodes` is the number of live nodes, including this one.
    void on_tick(std::size_t nodes, instant now);
    /// Returns the demand for a service; a lower one must have lasted for `hold`.
    [[nodiscard]] fleet_demand_figures figures(const service_id& service, duration hold, instant now) const;

private:
    struct report
    {
        data_centre_id data_centre;
        std::map<service_id, double> demand_ms;
        instant received{};
    };
    struct sample
    {
        instant at{};
        double demand_ms = 0;
        double mean_ms = 0; ///< over the 10 s before
    };
    struct node_count
    {
        instant at{};
        std::size_t nodes = 0;
    };

    fleet_demand_options options_;
    std::map<std::string, report> reports_;
    std::map<service_id, std::deque<sample>> samples_; ///< of services that had demand
    std::map<service_id, double> highest_ms_;
    std::deque<node_count> nodes_;
    double heard_fraction_ = 0;
    instant known_since_{};
    bool known_ = false;
    instant sample_due_{};
};

} // namespace currantspar::relay

#endif
