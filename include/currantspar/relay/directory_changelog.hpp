#ifndef CURRANTSPAR_RELAY_DIRECTORY_CHANGELOG_HPP
#define CURRANTSPAR_RELAY_DIRECTORY_CHANGELOG_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "currantspar/relay/server_directory.hpp"

namespace currantspar::relay {

/// What a node that reads the shared store tells the others of the servers' list.
struct directory_update
{
    std::uint64_t from = 0;                ///< all changes from this offset on are in `changes`
    std::uint64_t to = 0;                  ///< up to this offset, which isn't covered
    std::vector<directory_change> changes; ///< by offset
    duration age{};                        ///< how old the statement's knowledge of the store is
};

struct directory_feed_options
{
    unsigned sends_per_change = 2; ///< statements in which a change is named, as one may be lost
    std::size_t max_changes = 60;  ///< told in one statement
};

/// Follows the records of the servers' list and keeps the last real changes, so that one node's reading can
/// serve others. Most records only renew an entry; these change nothing. A receiver applies a statement only
/// when it joins what the receiver knows already, so lost or reordered statements can't hide a change. Not
/// thread safe.
class directory_changelog
{
public:
    explicit directory_changelog(directory_feed_options options = {}) : options_(options) {}

    /// A whole listing was read; the store's records from `end` on are not part of it.
    void on_listed(const std::vector<server_entry>& entries, std::uint64_t end);
    /// A record that this node read. True: it changes the list; records that are known already don't.
    bool on_record(const directory_change& record);
    /// All records before `next` are known now.
    void on_position(std::uint64_t next);
    /// Takes a peer's statement over. The changes that are new to this node; nothing when the statement
    /// doesn't join what is known, so that this node must read the store itself.
    [[nodiscard]] std::optional<std::vector<directory_change>> apply_update(const directory_update& update);

    /// False before the first listing.
    [[nodiscard]] bool listed() const { return listed_; }
    /// Where the next unknown record begins.
    [[nodiscard]] std::uint64_t next() const { return next_; }
    /// True when there are changes that no statement has told yet.
    [[nodiscard]] bool has_unsent_changes() const;
    /// What to tell peers; `age` is left to the caller. Precondition: listed().
    [[nodiscard]] directory_update make_update();

private:
    struct recent_change
    {
        directory_change change;
        unsigned times_sent = 0; ///< in how many statements
    };

    directory_feed_options options_;
    bool listed_ = false;
    std::uint64_t complete_from_ = 0; ///< changes_ holds all changes from this offset on
    std::uint64_t next_ = 0;
    std::map<backend_id, server_entry> known_;
    std::deque<recent_change> changes_;
};

} // namespace currantspar::relay

#endif
