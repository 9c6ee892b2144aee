#include "usage_collection.hpp"

#include <algorithm>
#include <utility>

#include "collectors.hpp"
#include "currantspar/io/log.hpp"

namespace currantspar::gateway {

namespace {
constexpr duration update_period = std::chrono::milliseconds(250);
constexpr duration send_period = std::chrono::milliseconds(500);
/// A datagram may be lost, so a new collector is sent all retained counts twice.
constexpr unsigned complete_sends = 2;
/// Until a new collector has received the retained counts of all nodes: they notice a lost collector within
/// about a second of each other.
constexpr duration collector_settling = std::chrono::seconds(2);
/// Then a smaller number of nodes counts as usual.
constexpr duration isolation_time = std::chrono::seconds(30);

relay::usage_duty_options to_options(const duty_settings& settings)
{
    relay::usage_duty_options options;
    options.window = settings.usage_window;
    options.deadline = settings.usage_deadline;
    return options;
}

} // namespace

usage_collection::usage_collection(const duty_settings& settings, std::string address, usage_sender send)
    : enabled_(settings.usage && !settings.address.empty() && settings.usage_window > duration::zero()),
      window_(settings.usage_window), address_(std::move(address)), send_(std::move(send)),
      duty_(ledger_, clock_, to_options(settings))
{}

void usage_collection::on_begun(const organisation_id& organisation, instant now)
{
    if (enabled_ && clock_.known()) {
        counter_.add(clock_.window(now, window_), organisation);
    }
}

void usage_collection::on_digest(const load_digest& digest, instant now)
{
    if (!enabled_) {
        return;
    }
    if (digest.wall_clock) {
        clock_.on_peer_clock(digest.sender, *digest.wall_clock, now);
    }
    duty_.on_reported(digest.reported_window, now);
    for (const window_usage& each : digest.usage) {
        ledger_.on_count(digest.sender, digest.incarnation, each.window, each.organisation, each.requests);
    }
    for (collector& known : collectors_) {
        if (known.address == digest.sender && known.incarnation != digest.incarnation) {
            // A collector that restarted under its address has lost what it knew.
            known.complete_sends_left = known.incarnation == 0 ? known.complete_sends_left : complete_sends;
            known.incarnation = digest.incarnation;
        }
    }
}

void usage_collection::on_store_era(std::uint64_t era, instant now)
{
    // A process that starts in a later era can't tell when that began.
    if (enabled_ && era > store_era_.value_or(0)) {
        era_began_ = true;
        update_due_ = now;
    }
    store_era_ = std::max(era, store_era_.value_or(0));
}

bool usage_collection::due(instant now) const
{
    return enabled_ && (now >= update_due_ || (counter_.has_changes() && now >= send_due_));
}

void usage_collection::update(const std::vector<std::string>& recent_peers, bool organisations_exist,
                              wall_time wall, instant now)
{
    if (!enabled_) {
        return;
    }
    update_due_ = now + update_period;
    clock_.on_own_clock(wall, now);
    clock_.update(now);
    ledger_.set_current(clock_.window(now, window_));
    duty_.set_organisations(organisations_exist, now);
    first_update_ = first_update_.value_or(now);
    if (era_began_) {
        // Until the peers' clocks are known, the time by which windows are told apart may be wrong.
        duty_.on_era(now);
        era_began_ = now - *first_update_ < collector_settling;
    }
    counter_.on_reported(duty_.reported());
    choose_collectors(recent_peers, now);
    // The peers' addresses come from the store, too, which also lists nodes that have ended.
    const bool is_isolated_now = is_isolated(clock_.clocks(), now);
    duty_.set_collecting(collects() && now - *collecting_since_ >= collector_settling && !is_isolated_now);
    if (now >= send_due_) {
        send_counts(now);
    }
    for (const relay::log_decision& each : duty_.take_log()) {
        std::vector<io::log_field> fields;
        for (const auto& [key, value] : each.fields) {
            fields.push_back({key, value});
        }
        io::log_event(io::log_level::info, each.event, fields);
    }
}

void usage_collection::choose_collectors(const std::vector<std::string>& recent_peers, instant now)
{
    std::vector<collector> chosen;
    bool collects_now = false;
    for (const std::string& each : collectors(address_, recent_peers)) {
        if (each == address_) {
            collects_now = true;
            continue;
        }
        const auto known = std::find_if(collectors_.begin(), collectors_.end(),
                                        [&](const collector& other) { return other.address == each; });
        chosen.push_back(known == collectors_.end() ? collector{each, 0, complete_sends} : *known);
    }
    collectors_ = std::move(chosen);
    if (!collects_now) {
        collecting_since_.reset();
    } else if (!collecting_since_) {
        collecting_since_ = now;
        count_own(counter_.all());
    }
}

bool usage_collection::is_isolated(std::size_t nodes, instant now)
{
    if (nodes * 2 >= most_nodes_) {
        most_nodes_ = std::max(most_nodes_, nodes);
        few_nodes_since_.reset();
        return false;
    }
    if (!few_nodes_since_) {
        few_nodes_since_ = now;
    } else if (now - *few_nodes_since_ >= isolation_time) {
        most_nodes_ = nodes;
        few_nodes_since_.reset();
        return false;
    }
    return true;
}

void usage_collection::send_counts(instant now)
{
    const std::vector<window_usage> changes = counter_.take_changes();
    std::vector<std::string> to_update;
    for (collector& each : collectors_) {
        if (each.complete_sends_left == 0) {
            to_update.push_back(each.address);
            continue;
        }
        each.complete_sends_left -= 1;
        if (const auto all = counter_.all(); !all.empty()) {
            send_({each.address}, all);
            send_due_ = now + send_period;
        }
    }
    if (!changes.empty()) {
        if (!to_update.empty()) {
            send_(to_update, changes);
        }
        count_own(changes);
        send_due_ = now + send_period;
    }
    if (stopping_) {
        send_due_ = now;
    }
}

void usage_collection::count_own(const std::vector<window_usage>& counts)
{
    if (collects()) {
        for (const window_usage& each : counts) {
            ledger_.on_count(address_, 0, each.window, each.organisation, each.requests);
        }
    }
}

void usage_collection::stop(instant now)
{
    stopping_ = true;
    if (enabled_) {
        send_counts(now);
    }
}

} // namespace currantspar::gateway
