#ifndef CURRANTSPAR_RELAY_DIRECTORY_CHANGELOG_HPP
#define CURRANTSPAR_RELAY_DIRECTORY_CHANGELOG_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "currantspar/relay/server_directory.hpp"

namespace currantspar::relay {

/// Changes of the servers' directory that a node sends to its peers after reading the shared store.
struct directory_update
{
    std::uint64_t from = 0;                ///< `changes` has all changes from this offset on
    std::uint64_t to = 0;                  ///< end of the covered range, exclusive
    std::vector<directory_change> changes; ///< in order of offset
    duration age{};                        ///< time since the store was read
    std::uint64_t era = 0;                 ///< the store's, which the offsets belong to
};

struct directory_changelog_options
{
    unsigned sends_per_change = 2; ///< updates that repeat a change, since datagrams may be lost
    std::size_t max_changes = 60;  ///< in one update
};

/// Follows the records of the servers' directory and keeps the most recent changes, so that one node can read
/// the store on behalf of its peers. Most records only renew an entry and are not changes. A receiver applies
/// an update only when it is contiguous with the receiver's own position, so lost or reordered updates can't
/// hide a change. Not thread safe.
class directory_changelog
{
public:
    explicit directory_changelog(directory_changelog_options options = {}) : options_(options) {}

    /// A complete listing was read; it includes the store's records before `end`.
    void on_listed(const std::vector<server_entry>& entries, std::uint64_t end);
    /// Applies a record that this node read; true: it changes the directory. Records before next() are
    /// skipped.
    bool on_record(const directory_change& record);
    /// All records before `next` are now known.
    void on_position(std::uint64_t next);
    /// Applies a peer's update and returns the changes that are new to this node; returns nothing when there
    /// is a gap between this node's position and the update, so that this node must read the store itself.
    [[nodiscard]] std::optional<std::vector<directory_change>> apply_update(const directory_update& update);

    /// False before the first listing.
    [[nodiscard]] bool listed() const { return listed_; }
    /// Returns the offset of the next unknown record.
    [[nodiscard]] std::uint64_t next() const { return next_; }
    /// Returns whether there are changes that no update has included yet.
    [[nodiscard]] bool has_unsent_changes() const;
    /// Makes an update for peers; the caller sets `age` and `era`. Precondition: listed().
    [[nodiscard]] directory_update make_update();

private:
    struct recent_change
    {
        directory_change change;
        unsigned times_sent = 0; ///< number of updates that included it
    };

    directory_changelog_options options_;
    bool listed_ = false;
    std::uint64_t complete_from_ = 0; ///< changes_ holds all changes from this offset on
    std::uint64_t next_ = 0;
    std::map<backend_id, server_entry> known_;
    std::deque<recent_change> changes_;
};

} // namespace currantspar::relay

#endif
