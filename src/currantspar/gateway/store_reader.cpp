#include "store_reader.hpp"

#include <utility>

#include "currantspar/base/hash.hpp"
#include "currantspar/io/clock.hpp"
#include "currantspar/io/log.hpp"

namespace currantspar::gateway {

namespace {

constexpr duration server_poll_period = std::chrono::milliseconds(500);
/// How long the store holds reads of the configuration: the minimum plus a part of the spread that is drawn
/// per node, so that the nodes' reads don't end together.
constexpr duration min_configuration_wait = std::chrono::milliseconds(1200);
constexpr duration configuration_wait_spread = std::chrono::milliseconds(800);
/// After a listing, so that a starting node receives its peers' updates before it polls by itself.
constexpr duration post_listing_delay = std::chrono::milliseconds(1100);
constexpr duration node_list_period = std::chrono::seconds(60);
/// Nodes that start at the same time have appended their entries by then.
constexpr duration node_list_delay = std::chrono::milliseconds(600);
/// Between two updates without changes; well below the age at which peers stop relying on them.
constexpr duration update_period = std::chrono::milliseconds(200);
/// Between two early reads that peers' digests cause for the same version of the configuration.
constexpr duration refresh_period = std::chrono::milliseconds(1200);
/// Between two reads that look whether a server that announced its shutdown has stayed. They see only what
/// was written since the last update of the peer, so it takes several.
constexpr duration written_check_period = std::chrono::seconds(2);

/// The nodes that rely on a peer list the servers within this time after the store's era has risen, so that
/// they don't all call at once.
constexpr duration relisting_spread = std::chrono::milliseconds(1000);

std::string_view topic_name(shared_topic topic)
{
    switch (topic) {
    case shared_topic::configuration:
        return "configuration";
    case shared_topic::servers:
        return "servers";
    case shared_topic::nodes:
        return "nodes";
    case shared_topic::authority:
        return "authority";
    case shared_topic::duties:
        return "duties";
    }
    return {};
}

} // namespace

store_reader::store_reader(server_pool& store, const wire_protocol& wire, relay::relay_core& core,
                           peer_link& peers, const gateway_settings& settings, entry_handler on_entry)
    : store_(store), wire_(wire), core_(core), peers_(peers), node_(settings.node),
      has_peers_(!settings.peer_address.empty()), on_entry_(std::move(on_entry)),
      reader_selection_(settings.peer_address, settings.data_centre)
{
    random_generator draw(fast_hash(node_));
    relisting_delay_ = from_seconds(to_seconds(relisting_spread) * draw.unit());
}

void store_reader::open(const std::string& address)
{
    address_ = address;
    changelog_ = relay::directory_changelog();
    era_.reset();
    relisting_ = false;
    open_configuration();
    open_servers();
    if (has_peers_) {
        open_nodes();
    }
}

std::unique_ptr<store_watch> store_reader::watch(shared_topic topic, store_watch_options options,
                                                 store_watch_handlers handlers)
{
    const auto name = std::string(topic_name(topic));
    auto lost = [name, also = std::move(handlers.read_failed)](const std::string& reason, instant now) {
        io::log_event(io::log_level::warning, "store_lost", {{"topic", name}, {"reason", reason}});
        if (also) {
            also(reason, now);
        }
    };
    auto back = [name, also = std::move(handlers.recovered)](instant now) {
        io::log_event(io::log_level::info, "store_back", {{"topic", name}});
        if (also) {
            also(now);
        }
    };
    handlers.era_changed = [this](std::uint64_t era, instant now) { on_store_era(era, now); };
    handlers.read_failed = std::move(lost);
    handlers.recovered = std::move(back);
    return std::make_unique<store_watch>(store_, wire_, address_, topic, options, std::move(handlers));
}

void store_reader::open_configuration()
{
    random_generator draw(fast_hash(node_));
    store_watch_options options;
    options.wait = min_configuration_wait + from_seconds(to_seconds(configuration_wait_spread) * draw.unit());
    options.post_listing_delay = post_listing_delay;
    const records_handler on_records = [this](const std::vector<keyed_record>& records, instant) {
        on_configuration(records);
    };
    configuration_ = watch(shared_topic::configuration, options, {on_records, on_records, {}, {}});
}

void store_reader::open_servers()
{
    store_watch_options options;
    options.period = server_poll_period;
    options.post_listing_delay = post_listing_delay;
    store_watch_handlers handlers;
    handlers.listed = [this](const std::vector<keyed_record>& records, instant now) {
        on_servers_listed(records, now);
    };
    handlers.changed = [this](const std::vector<keyed_record>& records, instant now) {
        for (const keyed_record& record : records) {
            on_server_record(record, now);
        }
    };
    handlers.read_failed = [this](const std::string&, instant now) {
        core_.directory().on_store_lost(now);
        configuration_->restart(now);
    };
    handlers.recovered = [this](instant now) {
        core_.directory().on_store_recovered(now);
        configuration_->restart(now);
    };
    handlers.read_completed = [this](instant read_started_at) {
        changelog_.on_position(servers_->next());
        last_read_started_at_ = io::suspend_aware_now() - (io::monotonic_now() - read_started_at);
    };
    servers_ = watch(shared_topic::servers, options, std::move(handlers));
}

void store_reader::open_nodes()
{
    store_watch_options options;
    options.period = node_list_period;
    options.initial_delay = node_list_delay;
    const records_handler on_records = [this](const std::vector<keyed_record>& records, instant now) {
        for (const keyed_record& record : records) {
            if (record.value) {
                peers_.add_peer(record.key, now);
            }
        }
    };
    nodes_ = watch(shared_topic::nodes, options, {on_records, on_records, {}, {}});
}

void store_reader::on_tick(instant now)
{
    update_reader_role();
    configuration_->on_tick(now);
    check_written(now);
    servers_->on_tick(now);
    if (nodes_) {
        nodes_->on_tick(now);
    }
}

void store_reader::check_written(instant now)
{
    // A peer's updates name changes only, not that an entry was written anew.
    if (!reading_ && now >= written_check_due_ && core_.directory().awaits_write(now)) {
        written_check_due_ = now + written_check_period;
        servers_->read_once(now);
    }
}

void store_reader::update_reader_role()
{
    const bool should_read = reader_selection_.should_read(io::suspend_aware_now()) || !changelog_.listed() ||
                             !core_.routes().config();
    if (should_read != reading_) {
        reading_ = should_read;
        io::log_event(
            io::log_level::info, "store_reader_changed",
            {{"reads", should_read ? "itself" : "peer"}, {"servers_to", std::to_string(changelog_.next())}});
    }
    configuration_->set_idle(!should_read);
    servers_->set_idle(!should_read);
}

void store_reader::on_store_era(std::uint64_t era, instant now)
{
    if (era_ && era <= *era_) {
        return;
    }
    const bool rises = changelog_.listed() && era > changelog_era_;
    era_ = era;
    for (store_watch* each : {configuration_.get(), servers_.get(), nodes_.get()}) {
        if (each != nullptr) {
            each->on_era(era);
        }
    }
    if (rises) {
        // Offsets of the former era mean nothing in this one.
        relisting_ = true;
        servers_->read_at(reading_ ? now : now + relisting_delay_);
    }
}

void store_reader::on_digest(const load_digest& digest, instant now)
{
    reader_selection_.on_node(digest.sender, digest.data_centre);
    refresh_configuration(digest, now);
    if (digest.servers) {
        apply_directory_update(digest, now);
    }
}

void store_reader::refresh_configuration(const load_digest& digest, instant now)
{
    const std::uint64_t own = core_.routes().version();
    // A response that is already arriving isn't cancelled: otherwise a large configuration, announced by many
    // peers, would never arrive completely.
    if (digest.configuration <= own || configuration_->receiving()) {
        return;
    }
    if (digest.configuration <= refreshed_version_ && now < refresh_due_) {
        return;
    }
    refreshed_version_ = std::max(refreshed_version_, digest.configuration);
    refresh_due_ = now + refresh_period;
    io::log_event(io::log_level::info, "configuration_behind",
                  {{"peer", digest.sender},
                   {"own", std::to_string(own)},
                   {"peers", std::to_string(digest.configuration)}});
    configuration_->restart(now);
}

void store_reader::apply_directory_update(const load_digest& digest, instant now)
{
    const relay::directory_update& update = *digest.servers;
    if (relisting_) {
        // Known soon; until then this node goes on relying on the peer.
        if (digest.store_era == era_) {
            reader_selection_.on_update(digest.sender, update.age, io::suspend_aware_now());
        }
        return;
    }
    if (changelog_.listed() && digest.store_era != changelog_era_) {
        return;
    }
    const auto new_changes = changelog_.apply_update(update);
    if (!new_changes) {
        if (!reading_) {
            io::log_event(io::log_level::info, "servers_behind",
                          {{"peer", digest.sender},
                           {"own", std::to_string(changelog_.next())},
                           {"peers", std::to_string(update.from)}});
            servers_->read_once(now);
        }
        return;
    }
    servers_->advance(changelog_.next());
    if (reader_selection_.on_update(digest.sender, update.age, io::suspend_aware_now()) && !reading_) {
        servers_->on_peer_update(now);
    }
    for (const relay::directory_change& change : *new_changes) {
        apply(change, digest.sender, now);
    }
}

void store_reader::log_left_out(const relay::relay_config& config)
{
    for (const std::string& reason : config.left_out) {
        io::log_event(io::log_level::warning, "configuration_part_left_out",
                      {{"version", std::to_string(config.version)}, {"reason", reason}});
    }
}

std::optional<relay::directory_update> store_reader::make_update(instant now)
{
    const bool can_update = reading_ && !relisting_ && changelog_.listed() && servers_->store_reachable();
    if (!can_update || (now < update_due_ && !changelog_.has_unsent_changes())) {
        return std::nullopt;
    }
    update_due_ = now + update_period;
    relay::directory_update update = changelog_.make_update();
    update.era = changelog_era_;
    update.age = io::suspend_aware_now() - last_read_started_at_;
    return update;
}

void store_reader::on_configuration(const std::vector<keyed_record>& records)
{
    for (const keyed_record& record : records) {
        const auto config = wire_.decode_config(record);
        if (!config) {
            io::log_event(io::log_level::warning, "configuration_unreadable",
                          {{"key", record.key},
                           {"offset", std::to_string(record.offset)},
                           {"reason", config.error().message}});
            continue;
        }
        if (*config == nullptr) {
            continue;
        }
        const bool newer = core_.on_config(*config);
        io::log_event(io::log_level::info, newer ? "configuration_in_force" : "configuration_ignored",
                      {{"version", std::to_string((*config)->version)},
                       {"offset", std::to_string(record.offset)},
                       {"routes", std::to_string((*config)->routes.size())}});
        if (newer) {
            log_left_out(**config);
        }
    }
}

void store_reader::on_servers_listed(const std::vector<keyed_record>& records, instant now)
{
    std::vector<relay::server_entry> listed;
    for (const keyed_record& record : records) {
        const auto entry = wire_.decode_server(record);
        if (!entry) {
            io::log_event(io::log_level::warning, "server_entry_unreadable",
                          {{"server", record.key}, {"reason", entry.error().message}});
            continue;
        }
        on_entry_(*entry);
        listed.push_back(*entry);
    }
    if (std::exchange(relisting_, false)) {
        // Servers that the rollback removed write their entries again soon.
        core_.directory().on_store_recovered(now);
    }
    changelog_era_ = servers_->era();
    changelog_.on_listed(listed, servers_->next());
    core_.on_listing(listed, now);
    io::log_event(io::log_level::info, "servers_listed",
                  {{"count", std::to_string(listed.size())}, {"to", std::to_string(changelog_.next())}});
}

void store_reader::on_server_record(const keyed_record& record, instant now)
{
    const auto id = parse_server_id(record.key);
    if (!id) {
        io::log_event(io::log_level::warning, "server_entry_unreadable",
                      {{"server", record.key}, {"reason", id.error().message}});
        return;
    }
    relay::directory_change change{record.offset, *id, std::nullopt};
    if (record.value) {
        const auto entry = wire_.decode_server(record);
        if (!entry) {
            io::log_event(io::log_level::warning, "server_entry_unreadable",
                          {{"server", record.key}, {"reason", entry.error().message}});
            return;
        }
        change.entry = *entry;
        core_.directory().on_written(*entry, now);
    }
    if (changelog_.on_record(change)) {
        apply(change, "store", now);
    }
}

void store_reader::apply(const relay::directory_change& change, std::string_view source, instant now)
{
    const relay::entry_change effect = core_.on_server_change(change, now);
    if (change.entry) {
        on_entry_(*change.entry);
    }
    const char* event = !change.entry                           ? "server_removed"
                        : effect == relay::entry_change::closed ? "server_draining"
                                                                : "server_changed";
    io::log_event(io::log_level::info, event,
                  {{"server", change.id.str()},
                   {"service", change.entry ? change.entry->service.str() : std::string()},
                   {"address", change.entry ? change.entry->address.str() : std::string()},
                   {"held", effect == relay::entry_change::none ? "true" : "false"},
                   {"offset", std::to_string(change.offset)},
                   {"source", std::string(source)}});
}

} // namespace currantspar::gateway
