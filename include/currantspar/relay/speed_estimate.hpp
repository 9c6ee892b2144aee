#ifndef CURRANTSPAR_RELAY_SPEED_ESTIMATE_HPP
#define CURRANTSPAR_RELAY_SPEED_ESTIMATE_HPP

#include <map>
#include <string>

#include "currantspar/base/time.hpp"

namespace currantspar::relay {

/// What one node has measured of the speed of a service's engines.
struct speed_report
{
    double log_factor = 0; ///< natural logarithm of the speed relative to the nominal cost model
    double weight = 0;     ///< grows with the number of samples, bounded; 0: too few
};

/// A prefill whose duration is known.
struct prefill_sample
{
    double nominal_ms = 0;       ///< predicted by the nominal cost model, with the work queued before it
    double nominal_queue_ms = 0; ///< of that, the work queued before it
    duration measured{};
};

struct speed_estimate_options
{
    double max_weight = 48;      ///< samples after which an estimate only follows changes
    double prior_weight = 8;     ///< of the nominal speed; falls as measurements gain weight
    double ignored_samples = 4;  ///< first samples of a node, which say little about the speed by themselves
    double max_log_change = 1.5; ///< bounds what a single outlier can change
    double max_log_factor = 3.5; ///< bounds the estimate in both directions
    /// Weight of a sample that is faster than the estimate. Unknown work of other nodes makes samples slower
    /// than the engine, so slower samples count less.
    double faster_weight = 0.9;
    double min_size = 0.5; ///< smaller prefills, relative to the mean, are ignored: overheads dominate them
    duration peer_max_age = std::chrono::seconds(30); ///< older reports of peers are discarded
};

/// Estimates how fast the engines of one service are, relative to a nominal cost model, from the durations of
/// prefills and from the estimates of peers. Not thread safe.
class speed_estimate
{
public:
    explicit speed_estimate(speed_estimate_options options = {}) : options_(options) {}

    /// Adds a measured prefill of this node.
    void on_prefill(const prefill_sample& sample);
    /// A peer sent its measurements.
    void on_peer(const std::string& peer, const speed_report& report, instant now);
    /// Discards the measurements of peers that no longer report.
    void on_tick(instant now);

    /// Returns this node's own measurements, to be sent to peers.
    [[nodiscard]] const speed_report& own() const { return own_; }
    /// Returns the speed relative to the nominal cost model; above 1: faster.
    [[nodiscard]] double factor() const { return factor_; }

private:
    struct peer_report
    {
        speed_report report;
        instant received{};
    };

    void update_factor();

    speed_estimate_options options_;
    speed_report own_;
    double samples_ = 0; ///< bounded by max_weight
    double mean_nominal_ms_ = 0;
    std::map<std::string, peer_report> peers_;
    speed_report peer_sum_; ///< log_factor: sum of the products with the weights
    double factor_ = 1;
};

} // namespace currantspar::relay

#endif
