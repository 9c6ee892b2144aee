// The operators' text and a node's settings: any bytes are read or refused with faults, never anything else.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "currantspar/config/parse.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const auto fleet = currantspar::config::parse_fleet(text);
    if (!fleet && fleet.error().empty()) {
        std::abort(); // a refusal must say why
    }
    const auto settings = currantspar::config::parse_settings(text);
    if (!settings && settings.error().empty()) {
        std::abort();
    }
    return 0;
}
