#include "currantspar/core/stream_token.hpp"

#include <algorithm>
#include <charconv>

#include "currantspar/base/hash.hpp"

namespace currantspar::core {

namespace {

constexpr char separator = '.';
constexpr std::size_t mac_digits = 32; ///< 128 bits

std::string signed_text(const stream_position& position)
{
    return position.engine.str() + separator + position.engine_request.str() + separator +
           std::to_string(position.next);
}

std::string mac(const std::string& key, const service_id& service, std::string_view text)
{
    return hmac_sha256_hex(key, service.str() + "\n" + std::string(text)).substr(0, mac_digits);
}

/// Removes the last separator and the field after it from `text`, and returns that field.
std::optional<std::string_view> split_last(std::string_view& text)
{
    const std::size_t index = text.rfind(separator);
    if (index == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view last = text.substr(index + 1);
    text = text.substr(0, index);
    return last;
}

} // namespace

std::string make_stream_token(const stream_position& position, const std::string& key_hash)
{
    const std::string text = signed_text(position);
    return text + separator + mac(key_hash, position.service, text);
}

std::optional<stream_position> read_stream_token(std::string_view token, const service_id& service,
                                                 const config::organisation_spec& organisation)
{
    std::string_view rest = token;
    const auto received_mac = split_last(rest);
    const std::string_view text = rest;
    const auto next = received_mac ? split_last(rest) : std::nullopt;
    const auto engine_request = next ? split_last(rest) : std::nullopt;
    if (!engine_request) {
        return std::nullopt;
    }
    const bool authentic = std::any_of(
        organisation.key_hashes.begin(), organisation.key_hashes.end(),
        [&](const std::string& key) { return constant_time_equal(mac(key, service, text), *received_mac); });
    stream_position position{service, engine_id(std::string(rest)),
                             engine_request_id(std::string(*engine_request)), 0};
    const char* end = next->data() + next->size();
    const auto parsed = std::from_chars(next->data(), end, position.next);
    if (!authentic || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return position;
}

} // namespace currantspar::core
