#ifndef CURRANTSPAR_CLI_TIMELINE_MERGE_HPP
#define CURRANTSPAR_CLI_TIMELINE_MERGE_HPP

#include <string>
#include <vector>

#include "currantspar/node/timeline_store.hpp"

namespace currantspar::cli {

/// One line of the joined time line.
struct joined_entry
{
    node_id node;
    core::timeline_entry entry;
    bool by_wall_clock = false; ///< only wall clocks put it after the line before
};

/// Entries of a node that can't be shown.
struct timeline_gap
{
    std::string node; ///< the node, or its admin address when it didn't answer
    std::string what;
};

struct joined_timeline
{
    std::vector<joined_entry> entries;
    std::vector<timeline_gap> gaps;
};

/// Joins the parts of several nodes. An entry comes after those of its node that were made before it, after
/// those that its node had heard of by messages, and after those that were made before a log record that its
/// node had applied; wall clocks order what is left. `after` holds the sequence numbers that were asked for,
/// one a part; entries that were dropped since are gaps. Thread safe.
[[nodiscard]] joined_timeline join(const std::vector<node::timeline_part>& parts,
                                   const std::vector<std::uint64_t>& after = {});

} // namespace currantspar::cli

#endif
