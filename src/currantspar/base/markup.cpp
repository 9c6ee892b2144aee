#include "currantspar/base/markup.hpp"

namespace currantspar {

std::string escape_markup(std::string_view text)
{
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

} // namespace currantspar
