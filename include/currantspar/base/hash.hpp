#ifndef CURRANTSPAR_BASE_HASH_HPP
#define CURRANTSPAR_BASE_HASH_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace currantspar {

/// A fast 64-bit hash, the same on every machine (XXH3). Not fit for secrets. Thread safe.
[[nodiscard]] std::uint64_t fast_hash(std::string_view bytes, std::uint64_t seed = 0);

/// SHA-256 in lower-case hexadecimal. Thread safe.
[[nodiscard]] std::string sha256_hex(std::string_view bytes);

/// HMAC-SHA-256 in lower-case hexadecimal. Thread safe.
[[nodiscard]] std::string hmac_sha256_hex(std::string_view key, std::string_view bytes);

/// Compares without a time that depends on where the texts differ. Thread safe.
[[nodiscard]] bool constant_time_equal(std::string_view left, std::string_view right);

/// `bits / 4` hexadecimal digits from the operating system's secure generator. Thread safe.
[[nodiscard]] std::string random_hex(unsigned bits = 128);

} // namespace currantspar

#endif
