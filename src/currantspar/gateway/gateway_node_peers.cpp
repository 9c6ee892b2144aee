#include <cmath>
#include <utility>

#include "collectors.hpp"
#include "currantspar/base/hash.hpp"
#include "currantspar/base/random.hpp"
#include "currantspar/io/clock.hpp"
#include "currantspar/io/log.hpp"
#include "gateway_node.hpp"

// The part of gateway_node that exchanges knowledge with its peers and announces itself to them.

namespace currantspar::gateway {

namespace {

constexpr int status_ok = 200;
/// Between two reports of this node's demand to the collectors, which need one a second.
constexpr duration demand_period = std::chrono::milliseconds(500);
constexpr duration announce_retry = std::chrono::seconds(2);
/// After a rollback of the store, all nodes write their entries again within this time.
constexpr duration announce_spread = std::chrono::seconds(3);
constexpr duration speed_log_period = std::chrono::seconds(1);
/// Relative to the value that was logged last.
constexpr double min_logged_speed_change = 0.25;

} // namespace

void gateway_node::on_digest(const load_digest& digest, instant now)
{
    core_.engines().on_peer_work(digest.sender, digest.engines, digest.full, now);
    core_.engines().on_peer_segments(digest.segments, now);
    core_.engines().on_peer_speeds(digest.sender, digest.speeds, now);
    core_.quarantine().on_peer_report(digest.sender, digest.quarantine, now);
    run(core_.on_peer_limits(digest.sender, digest.limits, now), now);
    if (digest.servers && digest.store_era > 0) {
        apply_store_era(digest.store_era, now);
    }
    store_reader_.on_digest(digest, now);
    if (usage_.enabled()) {
        usage_.on_digest(digest, io::suspend_aware_now());
    }
    capacity_.on_digest(digest, now);
}

void gateway_node::update_peers(instant now)
{
    if (peers_.due(now)) {
        peers_.send_digest(core_.engines(), core_.quarantine(), core_.limits(), core_.routes().version(),
                           store_reader_.make_update(now), now);
    }
}

void gateway_node::update_usage(instant now)
{
    const instant clock = io::suspend_aware_now();
    if (usage_.due(clock)) {
        const auto& config = core_.routes().config();
        usage_.update(peers_.recent_peers(now), config && !config->organisations.empty(), io::wall_now(),
                      clock);
        peers_.announce_usage(usage_.duty().reported());
    }
}

void gateway_node::send_demand(instant now)
{
    if (now < demand_due_) {
        return;
    }
    demand_due_ = now + demand_period;
    load_digest digest;
    digest.demand_ms = capacity_.own_demand(now);
    if (!digest.demand_ms.empty()) {
        peers_.send_to(collectors(settings_.peer_address, peers_.recent_peers(now)), std::move(digest));
    }
}

void gateway_node::announce(instant now)
{
    if (announced_ || now < announce_due_ || settings_.peer_address.empty()) {
        return;
    }
    announce_due_ = now + announce_retry;
    calls_.start(
        store_, settings_.store_address,
        wire_.encode_append(shared_topic::nodes, settings_.peer_address, settings_.node), call_timeout,
        [this](const http_response* response) {
            announced_ = response != nullptr && response->status == status_ok &&
                         wire_.decode_store_era(response->fields) >= store_era_.value_or(0);
            io::log_event(io::log_level::info, "node_announced",
                          {{"written", announced_ ? "true" : "false"},
                           {"status", response == nullptr ? "none" : std::to_string(response->status)}});
        },
        now);
}

void gateway_node::apply_store_era(std::uint64_t era, instant now)
{
    if (store_era_ && era <= *store_era_) {
        return;
    }
    const std::optional<std::uint64_t> before = std::exchange(store_era_, era);
    roles_.on_store_era(era);
    duties_.on_store_era(era);
    usage_.on_store_era(era, io::suspend_aware_now());
    store_reader_.on_store_era(era, now);
    if (!before) {
        return;
    }
    io::log_event(io::log_level::warning, "store_era_changed",
                  {{"old", std::to_string(*before)},
                   {"new", std::to_string(era)},
                   {"follows", "lists_topics,announces_itself,claims_wait"}});
    random_generator draw(fast_hash(settings_.node));
    announced_ = false;
    announce_due_ = now + from_seconds(to_seconds(announce_spread) * draw.unit());
}

void gateway_node::log_engine_speeds(instant now)
{
    if (now < speed_log_due_) {
        return;
    }
    speed_log_due_ = now + speed_log_period;
    for (const auto& [service, factor] : core_.engines().speed_factors()) {
        double& logged = logged_speeds_.try_emplace(service, 1).first->second;
        if (std::abs(factor - logged) > logged * min_logged_speed_change) {
            logged = factor;
            io::log_event(io::log_level::info, "engine_speed_changed",
                          {{"service", service.str()}, {"relative_speed", std::to_string(factor)}});
        }
    }
}

} // namespace currantspar::gateway
