// What callers, servers, peers and the shared store may send to a gateway: any bytes are read or refused as
// values.

#include <cstddef>
#include <cstdint>
#include <string>

#include "currantspar/gateway/event_splitter.hpp"
#include "currantspar/gateway/message_reader.hpp"
#include "currantspar/gateway/peer_link.hpp"
#include "records.hpp"
#include "settings.hpp"

namespace {

using namespace currantspar;

/// Reads a message in two parts, cut where its first byte says.
template <typename Reader>
void read_in_parts(Reader& reader, const std::string& text)
{
    const std::size_t cut = text.empty() ? 0 : static_cast<unsigned char>(text.front()) % text.size();
    std::string bytes = text.substr(0, cut);
    if (reader.read(bytes) == gateway::read_progress::incomplete) {
        bytes += text.substr(cut);
        static_cast<void>(reader.read(bytes));
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    gateway::request_reader request({4096, 4096});
    read_in_parts(request, text);
    gateway::response_reader answer({4096, 65536});
    read_in_parts(answer, text);
    static_cast<void>(answer.end_of_connection());
    gateway::event_splitter events;
    static_cast<void>(events.push(text.substr(0, size / 2)) + events.push(text.substr(size / 2)));
    static_cast<void>(gateway::decode_digest(text));
    static_cast<void>(adapter::parse_settings(text));
    static_cast<void>(adapter::parse_config(text));
    static_cast<void>(adapter::parse_server("i-1", text));
    static_cast<void>(adapter::parse_listing(text));
    static_cast<void>(adapter::parse_batch(text, 0));
    static_cast<void>(adapter::parse_append_response(text));
    static_cast<void>(adapter::parse_status(text));
    return 0;
}
