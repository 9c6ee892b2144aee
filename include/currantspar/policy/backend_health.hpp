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
    unsigned failures_to_open = 3; ///< in a row
    duration initial_open_time = std::chrono::seconds(1);
    duration max_open_time = std::chrono::seconds(30);
    double slow_factor = 3;                                   ///< times the peers' median latency
    duration min_latency_gap = std::chrono::milliseconds(20); ///< differences below this don't count
    double smoothing = 0.2;                                   ///< weight of the newest latency
    double max_avoided_fraction = 0.5;                        ///< share of the servers that may be avoided
    double probe_fraction = 0.02;                             ///< calls that may try an avoided server
};

enum class backend_condition
{
    good,
    slow,   ///< alive, but far slower than its peers
    failing ///< failed several times in a row
};

/// Which backend servers of one service are fit for calls, judged from the calls of this node. A server is
/// only ever avoided in comparison with its peers: when most of them are bad, all are used. Not thread safe.
class backend_health
{
public:
    explicit backend_health(backend_health_options options = {}) : options_(options) {}

    void on_started(const backend_id& backend);
    /// A call ended; `latency` is the time to the answer's head, or to the failure.
    void on_ended(const backend_id& backend, bool good, duration latency, instant now);

    /// A call was given up and says nothing of the server.
    void on_cancelled(const backend_id& backend);

    /// The server for the next call, or nothing when there are no candidates.
    [[nodiscard]] std::optional<backend_id> choose(const std::vector<backend_id>& candidates, instant now,
                                                   random_generator& random) const;
    [[nodiscard]] backend_condition condition(const backend_id& backend) const;
    [[nodiscard]] std::uint32_t open_calls(const backend_id& backend) const;

private:
    struct view
    {
        std::uint32_t open = 0;
        unsigned failures = 0; ///< in a row
        instant open_until{};  ///< no calls before this while failing
        double latency = 0;    ///< seconds, smoothed; 0: unknown
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
