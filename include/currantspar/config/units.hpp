#ifndef CURRANTSPAR_CONFIG_UNITS_HPP
#define CURRANTSPAR_CONFIG_UNITS_HPP

#include <optional>
#include <string>
#include <string_view>

#include "currantspar/base/time.hpp"

namespace currantspar::config {

/// Reads a duration such as `630ms`, `1.5s` or `2h`; the units are us, ms, s, m, h and d. Gives nothing for
/// any other text, for a negative value and for one above a hundred years. Thread safe.
[[nodiscard]] std::optional<duration> parse_duration(std::string_view text);

/// Writes a duration in the largest unit that holds it without a fraction. Thread safe.
[[nodiscard]] std::string format_duration(duration value);

/// True for `IP:port` with an IPv4 number, or an IPv6 number in square brackets, and a port above 0. Thread
/// safe.
[[nodiscard]] bool is_address(std::string_view text);

} // namespace currantspar::config

#endif
