#include <algorithm>

#include "currantspar/relay/relay_core.hpp"

// The part of relay_core that keeps to the limits which servers name.

namespace currantspar::relay {

relay_effects relay_core::on_peer_limits(const std::string& peer, const std::vector<limit_report>& reports,
                                         instant now)
{
    relay_effects out;
    for (const limit_report& report : reports) {
        if (const server_entry* server = directory_.find(report.server)) {
            limits_.on_peer_report(*server, report, peer, now);
        }
    }
    log_limit_changes(out);
    return out;
}

const char* relay_core::unavailable_reason(const std::vector<server_entry>& servers, instant now) const
{
    if (servers.empty()) {
        return "no_server";
    }
    const bool is_limited = std::any_of(servers.begin(), servers.end(), [&](const server_entry& server) {
        return !limits_.admits(server.id, now);
    });
    return is_limited ? limited_reason : "all_servers_tried";
}

duration relay_core::limits_wait(const service_id& service, instant now) const
{
    // Another node may have a share left, so a caller needn't wait longer than for a server to appear.
    duration wait = options_.no_server_retry;
    for (const server_entry& server : directory_.open_servers(service)) {
        if (const auto next = limits_.next_admission(server.id, now); next && *next > now) {
            wait = std::min(
                wait, std::max(options_.min_time_left, std::chrono::duration_cast<duration>(*next - now)));
        }
    }
    return wait;
}

void relay_core::log_limit_changes(relay_effects& out)
{
    for (const limit_change& change : limits_.take_changes()) {
        log_decision logged{
            change.per_second ? "server_limited" : "server_limit_ended",
            {},
            {{"server", change.server.str()}, {"source", change.source.empty() ? "own" : change.source}}};
        if (change.per_second) {
            logged.fields.emplace_back("per_second", std::to_string(*change.per_second));
            logged.fields.emplace_back("own_share", std::to_string(change.own_share));
        }
        out.push_back(std::move(logged));
    }
}

} // namespace currantspar::relay
