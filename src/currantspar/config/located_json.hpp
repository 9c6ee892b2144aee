#ifndef CURRANTSPAR_CONFIG_LOCATED_JSON_HPP
#define CURRANTSPAR_CONFIG_LOCATED_JSON_HPP

#include <string>
#include <string_view>
#include <unordered_map>

#include <nlohmann/json.hpp>

#include "currantspar/config/diagnostic.hpp"

namespace currantspar::config {

/// The deepest nesting that a text may have.
inline constexpr std::size_t max_json_depth = 32;

/// A JSON text with the line of every value. A duplicate key keeps its first value.
struct located_json
{
    nlohmann::json value;
    std::unordered_map<std::string, unsigned> lines; ///< by JSON pointer
    diagnostics faults;                              ///< syntax errors and duplicate keys
    bool complete = false;                           ///< false: the text isn't JSON, `value` is a part of it

    /// The line of a value, or of the nearest one that encloses it; 0 when there is none.
    [[nodiscard]] unsigned line(std::string pointer) const;
};

/// Appends one step to a JSON pointer.
[[nodiscard]] std::string pointer_to(const std::string& parent, std::string_view key);
[[nodiscard]] std::string pointer_to(const std::string& parent, std::size_t index);

/// Reads JSON with comments. Thread safe.
[[nodiscard]] located_json read_located(std::string_view text);

} // namespace currantspar::config

#endif
