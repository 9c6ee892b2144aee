#include "currantspar/relay/circuit_breaker.hpp"

#include <algorithm>

namespace currantspar::relay {

void circuit_breaker::on_success(const backend_id& server)
{
    views_.erase(server);
}

void circuit_breaker::on_failure(const backend_id& server, bool unreachable, instant now)
{
    view& known = views_[server];
    known.failures =
        unreachable ? std::max(known.failures + 1, options_.failures_to_open) : known.failures + 1;
    if (known.failures < options_.failures_to_open) {
        return;
    }
    const unsigned doublings = std::min(known.failures - options_.failures_to_open, 8U);
    known.open_until = now + std::min(options_.initial_open_time * (1U << doublings), options_.max_open_time);
}

std::set<backend_id> circuit_breaker::avoided(const std::vector<server_entry>& servers, instant now) const
{
    std::set<backend_id> result;
    for (const server_entry& server : servers) {
        const auto found = views_.find(server.id);
        if (found != views_.end() && now < found->second.open_until) {
            result.insert(server.id);
        }
    }
    if (static_cast<double>(result.size()) >
        options_.max_open_fraction * static_cast<double>(servers.size())) {
        result.clear();
    }
    return result;
}

} // namespace currantspar::relay
