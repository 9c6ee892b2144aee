#ifndef CURRANTSPAR_POLICY_BACKEND_HEALTH_HPP
#define CURRANTSPAR_POLICY_BACKEND_HEALTH_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "currantspar/base/ids.hpp"
#include "currantspar/base/random.hpp"
#include "currantspar/base/time.hpp"

namespace currantspar::policy {

struct backend_health_options
{
    unsigned failures_to_open = 3; ///< consecutive
    duration initial_open_time = std::chrono::seconds(1);
    duration max_open_time = std::chrono::seconds(30);
    double slow_factor = 3; ///< a server above this multiple of the median latency is slow
    duration min_latency_gap = std::chrono::milliseconds(20); ///< smaller differences are ignored
    double smoothing = 0.2;            ///< weight of the newest sample in the average latency
    double max_avoided_fraction = 0.5; ///< of the servers; above it all are used
    double probe_fraction = 0.02;      ///< of the calls, sent without regard to health
};

enum class backend_condition
{
    good,
    slow,   ///< responds, but far slower than its peers
    failing ///< several consecutive calls failed
};

/// Tracks the health of one service's backend servers from the calls of this node and selects a server for
/// each call. Servers are only avoided while enough others are healthy: when most are unhealthy, all are
/// used. Not thread safe.
class backend_health
{
public:
    explicit backend_health(backend_health_options options = {}) : options_(options) {}

    void on_started(const backend_id& backend);
    /// Records the end of a call; `latency` is the time to the response head or to the failure.
    void on_ended(const backend_id& backend, bool good, duration latency, instant now);

    /// Records a call that the caller cancelled; the health of the server is unchanged.
    void on_cancelled(const backend_id& backend);

    /// Selects the server for the next call, the cheaper of two random ones; nothing without candidates.
    [[nodiscard]] std::optional<backend_id> choose(const std::vector<backend_id>& candidates, instant now,
                                                   random_generator& random) const;
    [[nodiscard]] backend_condition condition(const backend_id& backend) const;
    [[nodiscard]] std::uint32_t open_calls(const backend_id& backend) const;

private:
    struct view
    {
        std::uint32_t open = 0;
        unsigned failures = 0; ///< consecutive
        instant open_until{};  ///< a failing server gets no calls before this time
        double latency = 0;    ///< moving average in seconds; 0: unknown
    };

    [[nodiscard]] const view& of(const backend_id& backend) const;
    [[nodiscard]] double median_latency() const;
    [[nodiscard]] bool avoided(const backend_id& backend, instant now) const;
    [[nodiscard]] double cost(const backend_id& backend) const;

    backend_health_options options_;
    std::map<backend_id, view> views_;
};

} // namespace currantspar::policy

#endif
