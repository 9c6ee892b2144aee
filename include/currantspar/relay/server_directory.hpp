#ifndef CURRANTSPAR_RELAY_SERVER_DIRECTORY_HPP
#define CURRANTSPAR_RELAY_SERVER_DIRECTORY_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "currantspar/relay/model.hpp"

namespace currantspar::relay {

struct directory_options
{
    /// How long an entry that went missing around an outage of the store is still used after the store's
    /// return: live servers write theirs again within two seconds.
    duration outage_retention = std::chrono::milliseconds(2200);
};

/// What a change of the directory means for the requests.
enum class entry_change
{
    none,
    added,
    changed,
    closed, ///< takes no new work from now on
};

/// One change of the servers' list, as it stands in the shared store.
struct directory_change
{
    std::uint64_t offset = 0; ///< of its record
    backend_id id;
    std::optional<server_entry> entry; ///< nothing: the server's entry was removed
};

/// The servers of all services as the shared store lists them. Not thread safe.
class server_directory
{
public:
    explicit server_directory(directory_options options = {}) : options_(options) {}

    /// Takes a server's own entry over.
    entry_change put(const server_entry& entry, instant now);
    /// A server's entry was removed. Around an outage the server is used for a little longer.
    entry_change remove(const backend_id& id, instant now);
    /// Takes a change over, an entry or its removal.
    entry_change apply(const directory_change& change, instant now);
    /// What makes the directory a whole listing: an entry for each server in it, a removal for each other
    /// one.
    [[nodiscard]] std::vector<directory_change> changes_to(const std::vector<server_entry>& listed) const;

    /// The store stopped answering this process.
    void on_store_lost(instant now);
    /// The store answers again.
    void on_store_recovered(instant now);
    /// Drops entries whose hold has ended.
    void on_tick(instant now);

    /// Servers of a service that may get new work. Valid until the next change.
    [[nodiscard]] const std::vector<server_entry>& open_servers(const service_id& service) const;
    /// The entry, or null; draining servers are found too.
    [[nodiscard]] const server_entry* find(const backend_id& id) const;
    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    [[nodiscard]] const std::map<backend_id, server_entry>& entries() const { return entries_; }

private:
    void rebuild();
    [[nodiscard]] bool retaining(instant now) const;

    directory_options options_;
    std::map<backend_id, server_entry> entries_;
    std::map<service_id, std::vector<server_entry>> open_;
    std::set<backend_id> missing_; ///< removed around an outage, used until retain_until_
    bool store_lost_ = false;
    instant retain_until_{};
};

} // namespace currantspar::relay

#endif
