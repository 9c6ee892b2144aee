#ifndef CURRANTSPAR_CORE_STREAM_TOKEN_HPP
#define CURRANTSPAR_CORE_STREAM_TOKEN_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "currantspar/config/fleet.hpp"

namespace currantspar::core {

/// Where a stream resumes. It is sent to the caller as the event id, and the caller returns it as
/// `Last-Event-ID`.
struct stream_position
{
    service_id service;
    engine_id engine;
    engine_request_id engine_request;
    std::uint32_t next = 0; ///< position of the first token that the caller hasn't received

    friend bool operator==(const stream_position&, const stream_position&) = default;
};

/// Encodes a position as an event id, authenticated with a stored key hash of the caller's organisation.
/// Thread safe.
[[nodiscard]] std::string make_stream_token(const stream_position& position, const std::string& key_hash);

/// Decodes an event id; returns nothing when it is damaged or was made for another organisation or service.
/// Thread safe.
[[nodiscard]] std::optional<stream_position> read_stream_token(std::string_view token,
                                                               const service_id& service,
                                                               const config::organisation_spec& organisation);

} // namespace currantspar::core

#endif
