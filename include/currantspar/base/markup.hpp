#ifndef CURRANTSPAR_BASE_MARKUP_HPP
#define CURRANTSPAR_BASE_MARKUP_HPP

#include <string>
#include <string_view>

namespace currantspar {

/// Makes text safe inside HTML or SVG, in elements and in quoted attributes. Thread safe.
[[nodiscard]] std::string escape_markup(std::string_view text);

} // namespace currantspar

#endif
