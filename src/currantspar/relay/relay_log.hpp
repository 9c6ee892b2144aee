#ifndef CURRANTSPAR_RELAY_RELAY_LOG_HPP
#define CURRANTSPAR_RELAY_RELAY_LOG_HPP

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <string>
#include <string_view>

#include "currantspar/base/time.hpp"
#include "currantspar/relay/model.hpp"
#include "currantspar/relay/relay_effect.hpp"

namespace currantspar::relay {

/// Returns a duration as whole milliseconds, for a log field. Thread safe.
inline std::string milliseconds_text(duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

/// Returns an attempt's stage for a log field. Thread safe.
inline std::string_view stage_name(attempt_stage stage)
{
    switch (stage) {
    case attempt_stage::full_request:
        return "whole";
    case attempt_stage::prefill_only:
        return "read_prompt";
    case attempt_stage::decode_only:
        return "take_over";
    }
    return "";
}

/// Returns a segment's id in hexadecimal, as callers write it, for a log field. Thread safe.
inline std::string segment_text(std::uint64_t segment)
{
    constexpr int base = 16;
    std::array<char, 2 * sizeof segment> digits{};
    const auto written = std::to_chars(digits.data(), digits.data() + digits.size(), segment, base);
    return {digits.data(), written.ptr};
}

/// Returns the ids of a prompt's first segments except the last, which no other request has, separated by
/// commas, for a log field. Thread safe.
inline std::string shared_segments_text(const request_info& request)
{
    constexpr std::size_t max_logged_segments = 8;
    const std::size_t shared = request.segments.empty() ? 0 : request.segments.size() - 1;
    std::string text;
    for (std::size_t index = 0; index < std::min(shared, max_logged_segments); ++index) {
        text.append(index > 0 ? "," : "").append(segment_text(request.segments[index].id));
    }
    return text;
}

} // namespace currantspar::relay

#endif
