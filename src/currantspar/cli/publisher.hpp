#ifndef CURRANTSPAR_CLI_PUBLISHER_HPP
#define CURRANTSPAR_CLI_PUBLISHER_HPP

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "currantspar/agreement/agreed_state.hpp"
#include "currantspar/base/result.hpp"
#include "currantspar/core/platform_events.hpp"

namespace currantspar::cli {

/// What publishing needs of the log.
struct log_access
{
    std::function<result<void>()> read_to_head;
    std::function<core::append_outcome(agreement::record_body)> append;
    std::function<const agreement::agreed_state&()> state;
    std::function<void(duration)> pause;
    std::function<instant()> now; ///< a monotonic clock
};

struct publish_options
{
    publish_id id; ///< empty: a new one is drawn; give the same again to finish a publish of unknown outcome
    std::optional<revision> base; ///< the revision that the text was edited from; nothing: see base_line
    std::string author;
    duration limit = std::chrono::seconds(30); ///< requests to the log count; none begins after it
};

/// The revision that the first line of a text names as the one it was edited from, as `show --text` writes
/// it; nothing when it names none, and the text then replaces whatever is in force. Thread safe.
[[nodiscard]] std::optional<revision> base_line(std::string_view text);

/// The text without that first line; this is what is published. Thread safe.
[[nodiscard]] std::string without_base_line(const std::string& text);

/// The text with that first line, in place of an older one. Thread safe.
[[nodiscard]] std::string with_base_line(const std::string& text, revision base);

/// Publishes a text: appends it, reads the verdict back, and appends again under the same id while the record
/// isn't in the log. Errors: `unavailable` when nothing was appended, `timeout` when the outcome isn't known;
/// the message names the id to try again with.
[[nodiscard]] result<agreement::publish_result> publish(const log_access& log, const std::string& text,
                                                        const publish_options& options);

} // namespace currantspar::cli

#endif
