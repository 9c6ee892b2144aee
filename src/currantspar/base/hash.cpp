#include "currantspar/base/hash.hpp"

#include <array>
#include <cstdlib>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

namespace currantspar {

namespace {

std::string to_hex(const unsigned char* bytes, std::size_t size)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t index = 0; index < size; ++index) {
        text.push_back(digits[bytes[index] >> 4U]);
        text.push_back(digits[bytes[index] & 15U]);
    }
    return text;
}

const unsigned char* as_bytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

std::uint64_t fast_hash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string sha256_hex(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return to_hex(digest.data(), size);
}

std::string hmac_sha256_hex(std::string_view key, std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), as_bytes(bytes), bytes.size(), digest.data(),
         &size);
    return to_hex(digest.data(), size);
}

bool constant_time_equal(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string random_hex(unsigned bits)
{
    std::vector<unsigned char> bytes(bits / 8);
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        std::abort(); // without a secure generator no identifier may be given out
    }
    return to_hex(bytes.data(), bytes.size());
}

} // namespace currantspar
