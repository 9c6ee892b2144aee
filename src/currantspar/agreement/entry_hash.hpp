#ifndef CURRANTSPAR_AGREEMENT_ENTRY_HASH_HPP
#define CURRANTSPAR_AGREEMENT_ENTRY_HASH_HPP

#include <cstdint>

#include "currantspar/base/hash.hpp"
#include "currantspar/base/json.hpp"

namespace currantspar::agreement {

/// The sections of the agreed state that are hashed entry by entry.
enum class section : std::uint64_t
{
    history,
    authority,
    orders,
    goals,
    intents,
    keys,
    stamps,
};

/// Returns a serialisation that is identical on every machine; invalid UTF-8 bytes are replaced.
[[nodiscard]] inline std::string stable_text(const nlohmann::json& value)
{
    return value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

/// Returns the hash of one entry. The state's hash is the sum of these, so that a change only rehashes its
/// entry.
template <typename Key, typename Value>
[[nodiscard]] std::uint64_t entry_hash(section part, const Key& key, const Value& value)
{
    const nlohmann::json pair = {nlohmann::json(key), nlohmann::json(value)};
    return fast_hash(stable_text(pair), static_cast<std::uint64_t>(part) + 1);
}

} // namespace currantspar::agreement

#endif
