// Log records: any bytes are decoded or refused; a state takes what was decoded; a decoded record survives
// being encoded again.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "currantspar/agreement/replica.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace currantspar;
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const auto body = agreement::decode_record(bytes);
    if (!body) {
        return 0;
    }
    const std::string encoded = agreement::encode_record(*body);
    const auto again = agreement::decode_record(encoded);
    if (!again || agreement::encode_record(*again) != encoded) {
        std::abort();
    }
    agreement::replica replica;
    agreement::log_batch batch;
    batch.first_retained = log_offset(1);
    batch.head = log_offset(3);
    batch.records = {{log_offset(1), *body}, {log_offset(2), *again}};
    static_cast<void>(replica.on_batch(batch));
    return 0;
}
