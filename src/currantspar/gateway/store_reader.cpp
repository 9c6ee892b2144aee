#include "store_reader.hpp"

#include "currantspar/base/hash.hpp"
#include "currantspar/io/clock.hpp"
#include "currantspar/io/log.hpp"

namespace currantspar::gateway {

namespace {

constexpr duration server_poll_period = std::chrono::milliseconds(500);
/// Reads of the configuration are held between these times, drawn for each node so that they don't end
/// together.
constexpr duration configuration_wait_least = std::chrono::milliseconds(1200);
constexpr duration configuration_wait_spread = std::chrono::milliseconds(800);
/// After a listing, so that a node that starts hears of its peers before it reads on by itself.
constexpr duration listing_rest = std::chrono::milliseconds(1100);
constexpr duration node_list_period = std::chrono::seconds(60);
/// By then nodes that started together have written their records.
constexpr duration node_list_delay = std::chrono::milliseconds(600);
/// Between two statements that tell of no change; well below the age at which peers stop relying on them.
constexpr duration statement_period = std::chrono::milliseconds(200);
/// Between two early reads of the same version of the configuration that peers' digests cause.
constexpr duration hasten_period = std::chrono::milliseconds(1200);

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
    }
    return {};
}

} // namespace

store_reader::store_reader(server_pool& store, const wire_protocol& wire, relay::relay_core& core,
                           peer_link& peers, const gateway_settings& settings, entry_handler entry_read)
    : store_(store), wire_(wire), core_(core), peers_(peers), node_(settings.node),
      has_peers_(!settings.peer_address.empty()), entry_read_(std::move(entry_read)),
      turn_(settings.peer_address, settings.data_centre)
{}

void store_reader::open(const std::string& address)
{
    address_ = address;
    feed_ = relay::directory_changelog();
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
    auto lost = [name, also = std::move(handlers.lost)](const std::string& reason, instant now) {
        io::log_event(io::log_level::warning, "store_lost", {{"topic", name}, {"reason", reason}});
        if (also) {
            also(reason, now);
        }
    };
    auto back = [name, also = std::move(handlers.back)](instant now) {
        io::log_event(io::log_level::info, "store_back", {{"topic", name}});
        if (also) {
            also(now);
        }
    };
    handlers.lost = std::move(lost);
    handlers.back = std::move(back);
    return std::make_unique<store_watch>(store_, wire_, address_, topic, options, std::move(handlers));
}

void store_reader::open_configuration()
{
    random_generator draw(fast_hash(node_));
    store_watch_options options;
    options.wait =
        configuration_wait_least + from_seconds(to_seconds(configuration_wait_spread) * draw.unit());
    options.listing_rest = listing_rest;
    const records_handler take = [this](const std::vector<keyed_record>& records, instant) {
        on_configuration(records);
    };
    configuration_ = watch(shared_topic::configuration, options, {take, take, {}, {}});
}

void store_reader::open_servers()
{
    store_watch_options options;
    options.period = server_poll_period;
    options.listing_rest = listing_rest;
    store_watch_handlers handlers;
    handlers.listed = [this](const std::vector<keyed_record>& records, instant now) {
        on_servers_listed(records, now);
    };
    handlers.changed = [this](const std::vector<keyed_record>& records, instant now) {
        for (const keyed_record& record : records) {
            on_server_record(record, now);
        }
    };
    handlers.lost = [this](const std::string&, instant now) {
        core_.directory().on_store_lost(now);
        configuration_->restart(now);
    };
    handlers.back = [this](instant now) {
        core_.directory().on_store_recovered(now);
        configuration_->restart(now);
    };
    handlers.read = [this](instant begun) {
        feed_.on_position(servers_->next());
        read_begun_ = io::suspend_aware_now() - (io::monotonic_now() - begun);
    };
    servers_ = watch(shared_topic::servers, options, std::move(handlers));
}

void store_reader::open_nodes()
{
    store_watch_options options;
    options.period = node_list_period;
    options.initial_delay = node_list_delay;
    const records_handler take = [this](const std::vector<keyed_record>& records, instant now) {
        for (const keyed_record& record : records) {
            if (record.value) {
                peers_.add_peer(record.key, now);
            }
        }
    };
    nodes_ = watch(shared_topic::nodes, options, {take, take, {}, {}});
}

void store_reader::on_tick(instant now)
{
    choose_reader();
    configuration_->on_tick(now);
    servers_->on_tick(now);
    if (nodes_) {
        nodes_->on_tick(now);
    }
}

void store_reader::choose_reader()
{
    const bool reads =
        turn_.should_read(io::suspend_aware_now()) || !feed_.listed() || !core_.routes().config();
    if (reads != reading_) {
        reading_ = reads;
        io::log_event(io::log_level::info, "store_reader_changed",
                      {{"reads", reads ? "itself" : "peer"}, {"servers_to", std::to_string(feed_.next())}});
    }
    configuration_->set_idle(!reads);
    servers_->set_idle(!reads);
}

void store_reader::on_digest(const load_digest& digest, instant now)
{
    turn_.on_node(digest.sender, digest.data_centre);
    hasten_configuration(digest, now);
    if (digest.servers) {
        take_statement(digest, now);
    }
}

void store_reader::hasten_configuration(const load_digest& digest, instant now)
{
    const std::uint64_t own = core_.routes().version();
    // An answer that arrives already isn't given up: a long configuration would never come in whole.
    if (digest.configuration <= own || configuration_->receiving()) {
        return;
    }
    if (digest.configuration <= hastened_version_ && now < hasten_due_) {
        return;
    }
    hastened_version_ = std::max(hastened_version_, digest.configuration);
    hasten_due_ = now + hasten_period;
    io::log_event(io::log_level::info, "configuration_behind",
                  {{"peer", digest.sender},
                   {"own", std::to_string(own)},
                   {"peers", std::to_string(digest.configuration)}});
    configuration_->restart(now);
}

void store_reader::take_statement(const load_digest& digest, instant now)
{
    const relay::directory_update& told = *digest.servers;
    const auto fresh = feed_.apply_update(told);
    if (!fresh) {
        if (!reading_) {
            io::log_event(io::log_level::info, "servers_behind",
                          {{"peer", digest.sender},
                           {"own", std::to_string(feed_.next())},
                           {"peers", std::to_string(told.from)}});
            servers_->read_once(now);
        }
        return;
    }
    servers_->advance(feed_.next());
    if (turn_.on_update(digest.sender, told.age, io::suspend_aware_now()) && !reading_) {
        servers_->served_by_peer(now);
    }
    for (const relay::directory_change& change : *fresh) {
        apply(change, digest.sender, now);
    }
}

std::optional<relay::directory_update> store_reader::statement(instant now)
{
    const bool knows = reading_ && feed_.listed() && servers_->in_touch();
    if (!knows || (now < statement_due_ && !feed_.has_unsent_changes())) {
        return std::nullopt;
    }
    statement_due_ = now + statement_period;
    relay::directory_update told = feed_.make_update();
    told.age = io::suspend_aware_now() - read_begun_;
    return told;
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
        entry_read_(*entry);
        listed.push_back(*entry);
    }
    feed_.on_listed(listed, servers_->next());
    core_.on_listing(listed, now);
    io::log_event(io::log_level::info, "servers_listed",
                  {{"count", std::to_string(listed.size())}, {"to", std::to_string(feed_.next())}});
}

void store_reader::on_server_record(const keyed_record& record, instant now)
{
    relay::directory_change change{record.offset, backend_id(record.key), std::nullopt};
    if (record.value) {
        const auto entry = wire_.decode_server(record);
        if (!entry) {
            io::log_event(io::log_level::warning, "server_entry_unreadable",
                          {{"server", record.key}, {"reason", entry.error().message}});
            return;
        }
        change.entry = *entry;
    }
    if (feed_.on_record(change)) {
        apply(change, "store", now);
    }
}

void store_reader::apply(const relay::directory_change& change, std::string_view source, instant now)
{
    const relay::entry_change effect = core_.on_server_change(change, now);
    if (change.entry) {
        entry_read_(*change.entry);
    }
    const char* event = !change.entry                           ? "server_removed"
                        : effect == relay::entry_change::closed ? "server_draining"
                                                                : "server_changed";
    io::log_event(io::log_level::info, event,
                  {{"server", change.id.str()},
                   {"service", change.entry ? change.entry->service.str() : std::string()},
                   {"address", change.entry ? change.entry->address : std::string()},
                   {"held", effect == relay::entry_change::none ? "true" : "false"},
                   {"offset", std::to_string(change.offset)},
                   {"source", std::string(source)}});
}

} // namespace currantspar::gateway
