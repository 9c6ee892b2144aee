#ifndef CURRANTSPAR_CORE_SESSION_HPP
#define CURRANTSPAR_CORE_SESSION_HPP

#include <istream>
#include <string>
#include <vector>

#include "currantspar/base/result.hpp"
#include "currantspar/core/effect.hpp"
#include "currantspar/core/event.hpp"
#include "currantspar/core/options.hpp"

namespace currantspar::core {

/// One event of a node's recorded session, with its effects as JSON lines.
struct session_step
{
    event incoming;
    std::vector<std::string> effects;
};

/// Recording of one node since its start. The file holds JSON lines: the options first, then each event
/// followed by its effects.
struct session
{
    core_options options;
    std::vector<session_step> steps;
};

/// A difference between a recorded session and its replay.
struct session_difference
{
    std::size_t step = 0; ///< index into session::steps
    instant at{};
    std::string recorded; ///< effect line; empty when missing
    std::string replayed; ///< effect line; empty when missing
};

/// Lines of a session file, without the newline. Options with their default value are omitted. Thread safe.
[[nodiscard]] std::string options_line(const core_options& options);
[[nodiscard]] std::string event_line(const event& incoming);
[[nodiscard]] std::string effect_line(const effect& caused);

/// The complete text of a session file. Thread safe.
[[nodiscard]] std::string write_session(const session& recorded);

/// Parses a session file; the error names the malformed line. Effects are kept as text. Thread safe.
[[nodiscard]] result<session> read_session(std::istream& in);

/// Replays the session's events from its options and returns them with the effects of the replay.
/// Thread safe.
[[nodiscard]] session replay_session(const session& recorded);

/// Compares two runs of the same events. The result is empty when all effects are identical byte for byte.
/// Thread safe.
[[nodiscard]] std::vector<session_difference> compare_sessions(const session& recorded,
                                                               const session& replayed);

} // namespace currantspar::core

#endif
