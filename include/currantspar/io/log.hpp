#ifndef CURRANTSPAR_IO_LOG_HPP
#define CURRANTSPAR_IO_LOG_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "currantspar/config/settings.hpp"

namespace currantspar::io {

enum class log_level
{
    debug,
    info,
    warning,
    error,
};

/// Where the lines go. Commands that print an answer keep standard output for it.
enum class log_target
{
    standard_error,
    standard_output,
};

/// One figure or name of a log line. Request bodies and API keys are never logged. Whatever a value holds, it
/// stays on its line, in printable ASCII, and is cut after a kilobyte.
struct log_field
{
    std::string key;
    std::string value;
};

/// Sets the lowest level that is written (`debug`, `info`, `warning`, `error`) and the format of the lines,
/// for the whole process, and where the lines go. Where the target isn't read as fast as lines come, up to 64
/// KiB wait; further lines are dropped, and counted in the event `log_resumed` once there is room. Thread
/// safe.
void configure_log(const std::string& level, config::log_format format,
                   log_target target = log_target::standard_error);

/// Writes one line about an event to the log's target. An event that repeats more than a few times a second
/// is counted instead and the count is written with its next line. Thread safe.
void log_event(log_level level, std::string_view event, const std::vector<log_field>& fields = {});

/// Writes lines that the target didn't take before, as far as it takes them now. Call it from time to time.
/// Never blocks. Thread safe.
void flush_log();

/// The number of lines that were dropped since the start because the target wasn't read. Thread safe.
[[nodiscard]] std::uint64_t dropped_log_lines();

} // namespace currantspar::io

#endif
