#ifndef CURRANTSPAR_CONFIG_DIAGNOSTIC_HPP
#define CURRANTSPAR_CONFIG_DIAGNOSTIC_HPP

#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace currantspar::config {

/// One fault of a text that was checked.
struct diagnostic
{
    std::string pointer;  ///< JSON pointer of the value; empty when the text isn't JSON
    unsigned line = 0;    ///< 1 is the first; 0 is unknown
    std::string found;    ///< the value as written
    std::string expected; ///< what would be right
};

using diagnostics = std::vector<diagnostic>;

/// A checked value, or every fault that was found.
template <typename T>
using checked = tl::expected<T, diagnostics>;

/// One line for people: `FILE:LINE: POINTER: found X, expected Y`. Thread safe.
[[nodiscard]] std::string describe(const diagnostic& fault, const std::string& file);

} // namespace currantspar::config

#endif
