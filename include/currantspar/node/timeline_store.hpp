#ifndef CURRANTSPAR_NODE_TIMELINE_STORE_HPP
#define CURRANTSPAR_NODE_TIMELINE_STORE_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "currantspar/core/effect.hpp"
#include "currantspar/core/event.hpp"
#include "currantspar/core/timeline_entry.hpp"

namespace currantspar::node {

/// The last message heard from another node before an entry.
struct heard_message
{
    node_id from;
    incarnation process;
    std::uint64_t counter = 0;
};

/// An entry with what orders it among the entries of other nodes.
struct placed_entry
{
    core::timeline_entry entry;
    std::uint64_t sent = 0;           ///< messages that the node had sent before
    log_offset applied;               ///< the last log record that the node had applied
    std::vector<heard_message> heard; ///< since the entry before, the last from each node
};

/// A batch that the node appended to the log.
struct append_mark
{
    std::uint64_t after = 0; ///< sequence number of the last entry before the append
    log_offset first;        ///< offset of the batch
};

/// Which entries of a time line are wanted; empty and zero members match everything.
struct timeline_filter
{
    std::uint64_t after = 0; ///< only entries with a greater sequence number
    wall_time since{};
    request_id request;
    engine_id engine;
    service_id service;
    revision in_force;
    std::size_t most = 10000; ///< the newest that match

    /// True when the entry is wanted. Thread safe.
    [[nodiscard]] bool matches(const core::timeline_entry& entry) const;
};

/// One node's answer about its time line.
struct timeline_part
{
    node_id node;
    incarnation process;
    std::uint64_t first_kept = 0; ///< sequence number of the oldest entry that the node still has
    std::uint64_t last = 0;       ///< sequence number of the newest entry
    bool cut = false;             ///< more matched than were asked for; the oldest were left out
    std::vector<placed_entry> entries;
    std::vector<append_mark> appends;
};

/// A node's newest time line entries, bounded in number. Not thread safe.
class timeline_store
{
public:
    explicit timeline_store(std::size_t most) : most_(most) {}

    /// Takes in one run of the reducer: the event, the effects in their order, and the last log record that
    /// the node has applied.
    void on_step(const core::event& happened, const core::effect_list& effects, log_offset applied);
    /// The matching entries, oldest first; the node's name and process are left to the caller.
    [[nodiscard]] timeline_part find(const timeline_filter& filter) const;
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    void add(const core::timeline_entry& entry, log_offset applied);
    void on_append_finished(const core::append_finished& finished);

    std::size_t most_;
    std::deque<placed_entry> entries_;
    std::uint64_t sent_ = 0;
    std::uint64_t last_sequence_ = 0;
    std::map<node_id, heard_message> heard_;          ///< since the last entry
    std::map<append_id, std::uint64_t> appends_open_; ///< last entry before each
    std::deque<append_mark> appends_;
};

CURRANTSPAR_JSON(heard_message, from, process, counter)
CURRANTSPAR_JSON(placed_entry, entry, sent, applied, heard)
CURRANTSPAR_JSON(append_mark, after, first)
CURRANTSPAR_JSON(timeline_part, node, process, first_kept, last, cut, entries, appends)

} // namespace currantspar::node

#endif
