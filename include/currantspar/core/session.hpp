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

/// One event and the lines of the effects that it caused.
struct session_step
{
    event incoming;
    std::vector<std::string> effects;
};

/// What one node went through since its start, as JSON lines: first the options, then each event followed by
/// its effects.
struct session
{
    core_options options;
    std::vector<session_step> steps;
};

/// The first place where running a session again gave something else than was recorded.
struct session_difference
{
    std::size_t step = 0; ///< index into session::steps
    instant at{};
    std::string recorded; ///< effect line; empty: there was none
    std::string replayed; ///< effect line; empty: there was none
};

/// The lines of a session file, each without its newline. Options that have their default are left out.
/// Thread safe.
[[nodiscard]] std::string options_line(const core_options& options);
[[nodiscard]] std::string event_line(const event& incoming);
[[nodiscard]] std::string effect_line(const effect& caused);

/// The whole text of a session file. Thread safe.
[[nodiscard]] std::string write_session(const session& recorded);

/// Reads a session file; the error names the line that can't be read. Effects are kept as text. Thread safe.
[[nodiscard]] result<session> read_session(std::istream& in);

/// Runs the session's events again from its options and returns them with the effects of this run.
/// Thread safe.
[[nodiscard]] session replay_session(const session& recorded);

/// Compares two runs of the same events; empty when all effects are the same byte for byte. Thread safe.
[[nodiscard]] std::vector<session_difference> compare_sessions(const session& recorded,
                                                               const session& replayed);

} // namespace currantspar::core

#endif
