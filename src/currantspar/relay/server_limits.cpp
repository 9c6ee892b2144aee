#include "currantspar/relay/server_limits.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "currantspar/base/hash.hpp"

namespace currantspar::relay {

void server_limits::on_response(const server_entry& server, std::optional<double> per_second, instant sent,
                                instant now)
{
    if (!per_second && !limits_.contains(server.id)) {
        return;
    }
    // A response without a limit may have been written before another one named it: only that it was asked
    // for later proves that it is the later word.
    const instant said = per_second ? now : sent;
    if (adopt(server, per_second, said, {}, now)) {
        limits_.at(server.id).is_reported = false;
    }
}

void server_limits::on_peer_report(const server_entry& server, const limit_report& report,
                                   const std::string& peer, instant now)
{
    if (report.server_started_ms != server.started_ms) {
        return;
    }
    adopt(server, report.per_second, now - report.age, peer, now);
}

void server_limits::on_entry(const server_entry& server)
{
    const auto known = limits_.find(server.id);
    if (known != limits_.end() && known->second.started_ms != server.started_ms) {
        limits_.erase(known);
    }
}

bool server_limits::adopt(const server_entry& server, std::optional<double> per_second, instant said,
                          const std::string& source, instant now)
{
    const auto [known, is_new] = limits_.try_emplace(server.id);
    limit& state = known->second;
    if (!is_new && said <= state.said) {
        return false;
    }
    const bool is_other = is_new ? per_second.has_value() : state.per_second != per_second;
    state.started_ms = server.started_ms;
    state.said = said;
    if (!is_other) {
        return false;
    }
    state.per_second = per_second;
    update_share(server.id, state, now);
    const double own_share = state.shared ? 1 / to_seconds(state.interval) : 0;
    changes_.push_back({server.id, per_second, own_share, source});
    return true;
}

void server_limits::set_nodes(const std::string& self, const std::vector<std::string>& nodes, instant now)
{
    std::vector<std::uint64_t> peers;
    peers.reserve(nodes.size());
    for (const std::string& node : nodes) {
        if (node != self) {
            peers.push_back(fast_hash(node));
        }
    }
    std::sort(peers.begin(), peers.end());
    if (peers == peers_ && self_ == fast_hash(self)) {
        return;
    }
    self_ = fast_hash(self);
    peers_ = std::move(peers);
    for (auto& [server, state] : limits_) {
        update_share(server, state, now);
    }
}

std::size_t server_limits::rank(const backend_id& server) const
{
    const auto place = [&](std::uint64_t node) { return fast_hash(server.str(), node); };
    const std::uint64_t own = place(self_);
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](std::uint64_t peer) {
        const std::uint64_t other = place(peer);
        return other != own ? other > own : peer > self_;
    }));
}

void server_limits::update_share(const backend_id& server, limit& state, instant now) const
{
    const bool was_shared = state.shared;
    state.shared = false;
    if (!state.per_second) {
        return;
    }
    const double rate = std::max(*state.per_second, options_.min_rate);
    const double sharing =
        std::min(static_cast<double>(peers_.size() + 1), std::floor(rate) + options_.spare_nodes);
    const auto own_rank = static_cast<double>(rank(server));
    if (own_rank >= sharing) {
        return;
    }
    state.shared = true;
    state.interval = from_seconds(sharing / rate);
    // The sharing nodes begin one after the other, and none begins with requests saved from before.
    const instant first = now + from_seconds((own_rank + 1) / rate);
    state.next = was_shared ? std::min(state.next, now + state.interval) : first;
}

bool server_limits::admits(const backend_id& server, instant now) const
{
    const auto next = next_admission(server, now);
    return next && *next <= now;
}

std::optional<instant> server_limits::next_admission(const backend_id& server, instant now) const
{
    const auto known = limits_.find(server);
    if (known == limits_.end() || !known->second.per_second) {
        return now;
    }
    return known->second.shared ? std::optional(std::max(known->second.next, now)) : std::nullopt;
}

void server_limits::on_sent(const backend_id& server, instant now)
{
    const auto known = limits_.find(server);
    if (known != limits_.end() && known->second.shared) {
        limit& state = known->second;
        state.next = std::max(state.next, now - options_.max_saved) + state.interval;
    }
}

limit_report server_limits::report(const backend_id& server, limit& state, instant now)
{
    state.is_reported = true;
    return {server, state.started_ms, state.per_second,
            std::chrono::duration_cast<duration>(now - state.said)};
}

std::vector<limit_report> server_limits::make_report(bool full, instant now)
{
    std::vector<limit_report> reports;
    if (!full) {
        for (auto& [server, state] : limits_) {
            if (!state.is_reported && reports.size() < options_.max_reported) {
                reports.push_back(report(server, state, now));
            }
        }
        return reports;
    }
    auto each = limits_.upper_bound(last_reported_);
    for (std::size_t left = std::min(limits_.size(), options_.max_reported); left > 0; --left) {
        each = each == limits_.end() ? limits_.begin() : each;
        last_reported_ = each->first;
        reports.push_back(report(each->first, each->second, now));
        ++each;
    }
    return reports;
}

std::vector<limit_change> server_limits::take_changes()
{
    return std::exchange(changes_, {});
}

void server_limits::on_tick(instant now)
{
    std::erase_if(limits_, [&](const auto& each) {
        const duration retention = each.second.per_second ? options_.max_silence : options_.ended_retention;
        return now - each.second.said > retention;
    });
}

std::size_t server_limits::size() const
{
    return static_cast<std::size_t>(std::count_if(
        limits_.begin(), limits_.end(), [](const auto& each) { return each.second.per_second.has_value(); }));
}

} // namespace currantspar::relay
