#include "currantspar/relay/api_keys.hpp"

#include <algorithm>

#include "currantspar/base/hash.hpp"

namespace currantspar::relay {

namespace {

/// Hexadecimal digits by which the index finds a hash; 64 bits, so that two keys hardly ever share them.
constexpr std::size_t indexed_digits = 16;

std::string_view indexed_part(std::string_view hash)
{
    return hash.substr(0, indexed_digits);
}

} // namespace

api_keys::api_keys(std::shared_ptr<const relay_config> config) : config_(std::move(config))
{
    for (const organisation_spec& organisation : config_->organisations) {
        for (const std::string& hash : organisation.key_hashes) {
            entries_.push_back({hash, &organisation});
        }
    }
    // Stable: of two organisations with the same key, the first one stays in front.
    std::stable_sort(entries_.begin(), entries_.end(), [](const entry& left, const entry& right) {
        return indexed_part(left.hash) < indexed_part(right.hash);
    });
}

const organisation_spec* api_keys::find(std::string_view key_hash) const
{
    // The time of the search depends on the indexed part only. A caller can't choose the bits of a SHA-256,
    // so this helps nobody to guess a key.
    const std::string_view wanted = indexed_part(key_hash);
    auto candidate = std::lower_bound(
        entries_.begin(), entries_.end(), wanted,
        [](const entry& each, std::string_view part) { return indexed_part(each.hash) < part; });
    for (; candidate != entries_.end() && indexed_part(candidate->hash) == wanted; ++candidate) {
        if (constant_time_equal(candidate->hash, key_hash)) {
            return candidate->organisation;
        }
    }
    return nullptr;
}

} // namespace currantspar::relay
