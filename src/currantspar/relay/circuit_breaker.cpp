#include "currantspar/relay/circuit_breaker.hpp"

#include <algorithm>

namespace currantspar::relay {

void circuit_breaker::on_success(const backend_id& server)
{
    states_.erase(server);
}

void circuit_breaker::on_failure(const backend_id& server, bool unreachable, instant now)
{
    server_state& state = states_[server];
    state.failures =
        unreachable ? std::max(state.failures + 1, options_.failures_to_open) : state.failures + 1;
    if (state.failures < options_.failures_to_open) {
        return;
    }
    const unsigned doublings = std::min(state.failures - options_.failures_to_open, 8U);
    state.open_until = now + std::min(options_.initial_open_time * (1U << doublings), options_.max_open_time);
}

std::set<backend_id> circuit_breaker::avoided(const std::vector<server_entry>& servers, instant now) const
{
    std::set<backend_id> result;
    for (const server_entry& server : servers) {
        const auto found = states_.find(server.id);
        if (found != states_.end() && now < found->second.open_until) {
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
