#ifndef CURRANTSPAR_GATEWAY_GATEWAY_METRICS_HPP
#define CURRANTSPAR_GATEWAY_GATEWAY_METRICS_HPP

#include <memory>
#include <string>
#include <vector>

#include "currantspar/base/time.hpp"
#include "currantspar/relay/relay_core.hpp"
#include "currantspar/relay/scale_duty.hpp"

namespace currantspar::gateway {

/// Metrics that aren't part of the relay's accounts.
struct gateway_counts
{
    std::uint64_t server_connects = 0;
    std::uint64_t caller_connections = 0;
    std::uint64_t live_nodes = 0;
    std::uint64_t configuration = 0;  ///< version of the configuration in force
    std::uint64_t buffered_bytes = 0; ///< of incomplete responses
    std::uint64_t charged_bytes = 0;  ///< of the memory budget
    std::uint64_t connections_closed_for_resources = 0;
    std::uint64_t requests_refused_for_memory = 0;
    std::uint64_t dropped_log_lines = 0;
    bool ready = false;
    std::uint64_t usage_windows_reported = 0;
    std::uint64_t usage_windows_missed = 0; ///< dropped without a report
};

/// Counters and latency histograms of one node. Not thread safe.
class gateway_metrics
{
public:
    gateway_metrics();
    ~gateway_metrics();

    /// Records the time from a request's arrival to its end.
    void on_ended(duration after);
    /// Records the measured and the predicted time from a request's arrival to its stream's first event.
    void on_first_event(duration measured, duration predicted);
    /// Records how much later than scheduled the node's periodic work began.
    void on_tick_delay(duration delay);
    /// All metrics in the Prometheus text format.
    [[nodiscard]] std::string text(const relay::relay_core& core, const gateway_counts& counts,
                                   const std::vector<relay::capacity_figure>& capacity = {});

private:
    struct families;
    std::unique_ptr<families> families_;
};

} // namespace currantspar::gateway

#endif
