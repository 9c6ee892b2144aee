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

/// Keeps what this node knows of the shared store: the configuration, the servers and the other nodes. One
/// node of a data centre reads the configuration and the servers and tells its peers; the others read only
/// what they find themselves to be behind on, or when they hear nothing fresh. Not thread safe.
class store_reader
{
public:
    using entry_handler = std::function<void(const relay::server_entry&)>;

    /// `entry_read` gets each entry of a server. The references must outlive this object.
    store_reader(server_pool& store, const wire_protocol& wire, relay::relay_core& core, peer_link& peers,
                 const gateway_settings& settings, entry_handler entry_read);

    /// Begins to read the store at `IP:port`, in place of the one before.
    void open(const std::string& address);
    void on_tick(instant now);
    /// Takes over what a peer tells of the store, and reads at once when the peer knows more.
    void on_digest(const load_digest& digest, instant now);
    /// What to tell the peers of the servers, when this node reads them and it is time to.
    [[nodiscard]] std::optional<relay::directory_update> statement(instant now);
    /// True while this node reads the store itself.
    [[nodiscard]] bool reading() const { return reading_; }

private:
    using records_handler = std::function<void(const std::vector<keyed_record>&, instant)>;

    std::unique_ptr<store_watch> watch(shared_topic topic, store_watch_options options,
                                       store_watch_handlers handlers);
    void open_configuration();
    void open_servers();
    void open_nodes();
    void on_configuration(const std::vector<keyed_record>& records);
    void on_servers_listed(const std::vector<keyed_record>& records, instant now);
    void on_server_record(const keyed_record& record, instant now);
    void apply(const relay::directory_change& change, std::string_view source, instant now);
    /// Reads the configuration at once when the peer has a newer one.
    void hasten_configuration(const load_digest& digest, instant now);
    void take_statement(const load_digest& digest, instant now);
    void choose_reader();

    server_pool& store_;
    const wire_protocol& wire_;
    relay::relay_core& core_;
    peer_link& peers_;
    std::string node_;
    bool has_peers_;
    entry_handler entry_read_;
    std::string address_;
    std::unique_ptr<store_watch> configuration_;
    std::unique_ptr<store_watch> servers_;
    std::unique_ptr<store_watch> nodes_;
    relay::directory_changelog feed_;
    relay::reader_selection turn_;
    bool reading_ = true;
    instant read_begun_{}; ///< of the last read of the servers that ended well; suspend-aware
    instant statement_due_{};
    std::uint64_t hastened_version_ = 0; ///< the newest version that a read was begun for early
    instant hasten_due_{};
};

} // namespace currantspar::gateway

#endif
