#ifndef CURRANTSPAR_RELAY_CIRCUIT_BREAKER_HPP
#define CURRANTSPAR_RELAY_CIRCUIT_BREAKER_HPP

#include <map>
#include <set>
#include <vector>

#include "currantspar/relay/model.hpp"

namespace currantspar::relay {

struct circuit_options
{
    unsigned failures_to_open = 2; ///< consecutive
    duration initial_open_time = std::chrono::milliseconds(800);
    duration max_open_time = std::chrono::seconds(4);
    double max_open_fraction = 0.6; ///< of a service's servers that may be avoided at the same time
};

/// Circuit breakers of servers, driven by the failures of this node's own requests. A server is avoided after
/// consecutive failures, for a time that doubles with each further one, and is then tried again. When more
/// than max_open_fraction of a service's servers would be avoided, none is. Not thread safe.
class circuit_breaker
{
public:
    explicit circuit_breaker(circuit_options options = {}) : options_(options) {}

    void on_success(const backend_id& server);
    /// A request failed at the server; `unreachable`: no connection could be made, which opens the circuit at
    /// once.
    void on_failure(const backend_id& server, bool unreachable, instant now);
    void forget(const backend_id& server) { states_.erase(server); }

    /// Returns the listed servers that must not get requests now.
    [[nodiscard]] std::set<backend_id> avoided(const std::vector<server_entry>& servers, instant now) const;

private:
    struct server_state
    {
        unsigned failures = 0;
        instant open_until{};
    };

    circuit_options options_;
    std::map<backend_id, server_state> states_;
};

} // namespace currantspar::relay

#endif
