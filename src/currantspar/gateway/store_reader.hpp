#ifndef CURRANTSPAR_GATEWAY_STORE_READER_HPP
#define CURRANTSPAR_GATEWAY_STORE_READER_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "currantspar/gateway/peer_link.hpp"
#include "currantspar/gateway/store_watch.hpp"
#include "currantspar/gateway/wire_protocol.hpp"
#include "currantspar/relay/directory_changelog.hpp"
#include "currantspar/relay/reader_selection.hpp"
#include "currantspar/relay/relay_core.hpp"

namespace currantspar::gateway {

/// Keeps this node's view of the shared store: the configuration, the servers and the other nodes. One node
/// of a data centre reads the configuration and the servers and sends updates to its peers; the others read
/// only when they are behind, or when no recent update arrives. Not thread safe.
class store_reader
{
public:
    using entry_handler = std::function<void(const relay::server_entry&)>;

    /// `on_entry` receives each server entry. The references must outlive this object.
    store_reader(server_pool& store, const wire_protocol& wire, relay::relay_core& core, peer_link& peers,
                 const gateway_settings& settings, entry_handler on_entry);

    /// Starts reading the store at `IP:port`, which replaces the previous one.
    void open(const std::string& address);
    void on_tick(instant now);
    /// Applies a peer's digest, and reads the store at once when the peer has newer data.
    void on_digest(const load_digest& digest, instant now);
    /// The directory update for the peers, when this node reads the servers and an update is due.
    [[nodiscard]] std::optional<relay::directory_update> make_update(instant now);
    /// The store's era has risen: lists the topics again. Lower eras than the one known are ignored.
    void on_store_era(std::uint64_t era, instant now);
    /// True while this node reads the store itself.
    [[nodiscard]] bool reading() const { return reading_; }

private:
    using records_handler = std::function<void(const std::vector<keyed_record>&, instant)>;

    std::unique_ptr<store_watch> watch(shared_topic topic, store_watch_options options,
                                       store_watch_handlers handlers);
    void open_configuration();
    void open_servers();
    void open_nodes();
    static void log_left_out(const relay::relay_config& config);
    void on_configuration(const std::vector<keyed_record>& records);
    void on_servers_listed(const std::vector<keyed_record>& records, instant now);
    void on_server_record(const keyed_record& record, instant now);
    void apply(const relay::directory_change& change, std::string_view source, instant now);
    /// Reads the configuration at once when the peer has a newer version.
    void refresh_configuration(const load_digest& digest, instant now);
    void apply_directory_update(const load_digest& digest, instant now);
    void update_reader_role();
    /// Reads the servers once when what a peer tells leaves open whether a server has stayed.
    void check_written(instant now);

    server_pool& store_;
    const wire_protocol& wire_;
    relay::relay_core& core_;
    peer_link& peers_;
    std::string node_;
    bool has_peers_;
    entry_handler on_entry_;
    std::string address_;
    std::unique_ptr<store_watch> configuration_;
    std::unique_ptr<store_watch> servers_;
    std::unique_ptr<store_watch> nodes_;
    relay::directory_changelog changelog_;
    std::uint64_t changelog_era_ = 0; ///< the store's when the servers were listed last
    relay::reader_selection reader_selection_;
    bool reading_ = true;
    std::optional<std::uint64_t> era_; ///< of the store
    bool relisting_ = false;           ///< the era has risen, and the servers weren't listed since
    duration relisting_delay_;
    instant last_read_started_at_{}; ///< of the last successful read of the servers; suspend-aware
    instant update_due_{};
    std::uint64_t refreshed_version_ = 0; ///< the newest version that a read was started early for
    instant refresh_due_{};
    instant written_check_due_{};
};

} // namespace currantspar::gateway

#endif
