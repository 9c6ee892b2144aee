#ifndef CURRANTSPAR_CLI_TIMELINE_RENDER_HPP
#define CURRANTSPAR_CLI_TIMELINE_RENDER_HPP

#include <string>

#include "timeline_merge.hpp"

namespace currantspar::cli {

/// One line an entry; `~` marks a place that rests on wall clocks, `gap` what is missing. Thread safe.
[[nodiscard]] std::string render_text(const joined_timeline& timeline);

/// JSON lines: entries with `node` and `by_wall_clock`, then gaps. Thread safe.
[[nodiscard]] std::string render_json(const joined_timeline& timeline);

/// A drawing with one lane for each node and each engine, entries from left to right in their order. Thread
/// safe.
[[nodiscard]] std::string render_svg(const joined_timeline& timeline);

/// The figures of an entry as `key=value`. Thread safe.
[[nodiscard]] std::string entry_fields(const core::timeline_entry& entry);

/// A wall clock time in UTC, to the millisecond. Thread safe.
[[nodiscard]] std::string format_wall(wall_time time);

} // namespace currantspar::cli

#endif
