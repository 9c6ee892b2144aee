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
    /// A server that announced its shutdown is used again when it writes its entry anew, and not draining,
    /// this long after the announcement: one that really leaves writes `draining` or nothing, and its last
    /// write before that may take effect seconds later. An announcement is forgotten when the entry is gone
    /// for this long.
    duration leaving_retention = std::chrono::seconds(60);
    /// After a longer time without a tick, what is read next may be old.
    duration max_tick_gap = std::chrono::seconds(1);
};

/// Effect of a directory change on a server's availability.
enum class entry_change
{
    none,
    added,
    changed,
    closed, ///< accepts no new work from now on
};

/// The end of what a server asked for in a response, for the log.
struct statement_end
{
    enum class kind
    {
        pause,
        leaving,
    };

    kind what = kind::pause;
    backend_id server;
    const char* reason = ""; ///< `over`, `restarted`, `stayed`, or `gone`: its entry didn't return
    duration lasted{};
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
    /// Removes missing entries whose retention has ended, and ends pauses and announced shutdowns.
    void on_tick(instant now);

    /// A server said in a response that it shuts down: whatever its entry says, also one that is removed and
    /// returns, it is closed until it has restarted or on_written tells that it has stayed. Returns whether
    /// that is new.
    bool on_leaving(const backend_id& id, instant now);
    /// A server wrote its entry, changed or not, as this node has just read in the store.
    void on_written(const server_entry& entry, instant now);
    /// Returns whether a server that announced its shutdown may be used again as soon as on_written tells
    /// that it has stayed.
    [[nodiscard]] bool awaits_write(instant now) const;
    /// A server asked this node to send it nothing before `until`, which a restart ends, and the removal and
    /// return of its entry doesn't. Returns whether that is new.
    bool on_pause(const backend_id& id, instant until, instant now);
    /// Returns the pauses and announced shutdowns that have ended since the last call.
    [[nodiscard]] std::vector<statement_end> take_statement_ends();
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
    struct pause
    {
        std::int64_t started_ms = 0; ///< of the server's incarnation
        instant began{};
        instant until{};
    };
    struct announcement
    {
        std::int64_t started_ms = 0;
        instant began{};
        instant last_evidence{}; ///< when the server announced its shutdown, or may have been leaving
    };
    struct removed_entry
    {
        std::int64_t started_ms = 0;
        instant at{};
    };

    void rebuild();
    void erase(const backend_id& id, instant now);
    /// Ends what an earlier incarnation of the server asked for.
    void on_incarnation(const server_entry& entry, instant now);
    /// Returns the start of a server whose entry is there or was removed a short time ago.
    [[nodiscard]] std::optional<std::int64_t> started_ms(const backend_id& id) const;
    void end_pauses(instant now);
    void end_announcements(instant now);
    void end(std::map<backend_id, announcement>::iterator leaving, const char* reason, instant now);
    /// Returns whether what the store holds may not be known.
    [[nodiscard]] bool unobserved(instant now) const;
    [[nodiscard]] bool retaining(instant now) const;

    directory_options options_;
    std::map<backend_id, server_entry> entries_;
    std::map<service_id, std::vector<server_entry>> open_;
    std::set<backend_id> missing_; ///< removed in an outage or soon after, in use until retain_until_
    std::map<backend_id, announcement> leaving_;
    std::map<backend_id, pause> paused_;
    std::map<backend_id, removed_entry> removed_;
    std::vector<statement_end> ended_;
    instant last_tick_{};
    bool store_lost_ = false;
    instant retain_until_{};
};

} // namespace currantspar::relay

#endif
