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
    /// Entries removed during an outage of the store, or less than this after its end, stay in use until this
    /// time after its end, unless they are draining: live servers write theirs again within two seconds.
    duration outage_retention = std::chrono::milliseconds(2200);
};

/// Effect of a directory change on a server's availability.
enum class entry_change
{
    none,
    added,
    changed,
    closed, ///< accepts no new work from now on
};

/// One change of the servers' directory, as recorded in the shared store.
struct directory_change
{
    std::uint64_t offset = 0; ///< of its record
    backend_id id;
    std::optional<server_entry> entry; ///< nothing: the server's entry was removed
};

/// The servers of all services as listed in the shared store, and what they said of themselves in responses
/// to this node. Not thread safe.
class server_directory
{
public:
    explicit server_directory(directory_options options = {}) : options_(options) {}

    /// Adds or updates a server's entry.
    entry_change put(const server_entry& entry, instant now);
    /// Removes a server's entry. Around an outage the server remains in use for outage_retention.
    entry_change remove(const backend_id& id, instant now);
    /// Applies a change: an entry or its removal.
    entry_change apply(const directory_change& change, instant now);
    /// Returns the changes that turn the directory into `listed`: an entry for each listed server, a removal
    /// for each other one.
    [[nodiscard]] std::vector<directory_change> changes_to(const std::vector<server_entry>& listed) const;

    /// This process lost contact with the store.
    void on_store_lost(instant now);
    /// The store is reachable again.
    void on_store_recovered(instant now);
    /// Removes missing entries whose retention has ended.
    void on_tick(instant now);

    /// A server said in a response that it shuts down: it is closed until it has restarted or is removed,
    /// whatever its entry says. Returns whether that is new.
    bool on_leaving(const backend_id& id);
    /// A server asked this node to send it nothing before `until`. Returns whether that is new.
    bool on_pause(const backend_id& id, instant until);
    /// Returns when the first of a service's servers that asked for a pause accepts work again.
    [[nodiscard]] std::optional<instant> first_pause_end(const service_id& service) const;
    /// Returns whether a server accepts new work.
    [[nodiscard]] bool is_open(const backend_id& id) const;

    /// Returns the servers of a service that accept new work; valid until the next change.
    [[nodiscard]] const std::vector<server_entry>& open_servers(const service_id& service) const;
    /// Returns the entry, also of a draining server, or null.
    [[nodiscard]] const server_entry* find(const backend_id& id) const;
    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    [[nodiscard]] const std::map<backend_id, server_entry>& entries() const { return entries_; }

private:
    void rebuild();
    void forget_responses(const backend_id& id);
    [[nodiscard]] bool retaining(instant now) const;

    directory_options options_;
    std::map<backend_id, server_entry> entries_;
    std::map<service_id, std::vector<server_entry>> open_;
    std::set<backend_id> missing_;         ///< removed in an outage or soon after, in use until retain_until_
    std::set<backend_id> leaving_;         ///< by their own word
    std::map<backend_id, instant> paused_; ///< until when
    bool store_lost_ = false;
    instant retain_until_{};
};

} // namespace currantspar::relay

#endif
