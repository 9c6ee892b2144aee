#ifndef CURRANTSPAR_BASE_TEST_WIRE_TEXT_HPP
#define CURRANTSPAR_BASE_TEST_WIRE_TEXT_HPP

#include <string>

#include "currantspar/base/wire_text.hpp"

namespace currantspar {

// Values of tests. Precondition: the text is sound; otherwise an exception ends the test.

inline kv_handle test_handle(const std::string& text)
{
    return kv_handle::parse(text).value();
}

inline event_id test_event(const std::string& text)
{
    return event_id::parse(text).value();
}

inline server_address test_address(const std::string& text)
{
    return server_address::parse(text).value();
}

} // namespace currantspar

#endif
