#ifndef CURRANTSPAR_CONFIG_PARSE_HPP
#define CURRANTSPAR_CONFIG_PARSE_HPP

#include <string_view>

#include "currantspar/config/diagnostic.hpp"
#include "currantspar/config/fleet.hpp"
#include "currantspar/config/settings.hpp"

namespace currantspar::config {

/// The newest schema version of the operators' text that this binary knows.
inline constexpr unsigned current_schema_version = 1;

/// Reads the operators' text (JSON with comments) and checks it whole: unknown keys, missing names, duplicate
/// engines and dependency cycles are faults. The verdict depends on the text and `schema_version` alone, so
/// that every node reaches the same one. Thread safe.
[[nodiscard]] checked<fleet> parse_fleet(std::string_view text,
                                         unsigned schema_version = current_schema_version);

/// Reads one node's settings (JSON with comments) and checks them whole. Thread safe.
[[nodiscard]] checked<node_settings> parse_settings(std::string_view text);

} // namespace currantspar::config

#endif
