// What callers and servers may make a gateway write: whatever they send, it is one message or none.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include <nlohmann/json.hpp>

#include "test_single_message.hpp"

namespace {

using namespace currantspar;

void require_none(const std::string& problem)
{
    if (!problem.empty()) {
        std::abort();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    static const auto wire = adapter::make_wire_protocol("");
    const std::string text(reinterpret_cast<const char*>(data), size);
    require_none(adapter::check_caller(*wire, text));
    require_none(adapter::check_server(text));
    require_none(adapter::check_events(*wire, text));
    require_none(adapter::check_handle(*wire, text));
    const nlohmann::json answer{{"kv_handle", text}};
    require_none(
        adapter::check_handle(*wire, answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)));
    return 0;
}
