// Peer messages: any bytes are read as a message, skipped, or refused with an exception of the codec's
// library.

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <vector>

#include <capnp/serialize.h>
#include <kj/exception.h>

#include "currantspar/io/peer_codec.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace currantspar;
    std::vector<capnp::word> words(size / sizeof(capnp::word));
    std::memcpy(words.data(), data, words.size() * sizeof(capnp::word));
    auto refused = kj::runCatchingExceptions([&]() {
        capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()));
        const auto received = io::read_message(reader.getRoot<io::wire::Message>());
        if (received) {
            static_cast<void>(
                nlohmann::json(*received).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
        }
    });
    static_cast<void>(refused);
    return 0;
}
