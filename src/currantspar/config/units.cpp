#include "currantspar/config/units.hpp"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <utility>

namespace currantspar::config {

namespace {

struct time_unit
{
    std::string_view name;
    std::int64_t microseconds;
};

/// Largest first, so that formatting takes the first one that divides.
constexpr std::array<time_unit, 6> time_units{{
    {"d", 86'400'000'000},
    {"h", 3'600'000'000},
    {"m", 60'000'000},
    {"s", 1'000'000},
    {"ms", 1'000},
    {"us", 1},
}};

constexpr std::int64_t longest_microseconds = 36'500 * time_units.front().microseconds;
constexpr std::size_t most_fraction_digits = 6;

std::optional<std::int64_t> digits(std::string_view text)
{
    std::int64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data(), end, value);
    if (text.empty() || text.front() == '-' || fault != std::errc{} || stop != end) {
        return std::nullopt;
    }
    return value;
}

/// The microseconds in `0.FRACTION` of a unit; nothing when they aren't a whole number.
std::optional<std::int64_t> fraction_of(std::string_view fraction, std::int64_t unit)
{
    const auto value = digits(fraction);
    if (!value || fraction.size() > most_fraction_digits) {
        return std::nullopt;
    }
    std::int64_t scale = 1;
    for (std::size_t i = 0; i < fraction.size(); ++i) {
        scale *= 10;
    }
    const std::int64_t scaled = *value * unit;
    return scaled % scale == 0 ? std::optional(scaled / scale) : std::nullopt;
}

std::optional<duration> scaled(std::string_view number, std::int64_t unit)
{
    const std::size_t point = number.find('.');
    const auto whole = digits(number.substr(0, point));
    if (!whole || *whole > longest_microseconds / unit) {
        return std::nullopt;
    }
    std::int64_t total = *whole * unit;
    if (point != std::string_view::npos) {
        const auto fraction = fraction_of(number.substr(point + 1), unit);
        if (!fraction) {
            return std::nullopt;
        }
        total += *fraction;
    }
    return duration(total);
}

} // namespace

std::optional<duration> parse_duration(std::string_view text)
{
    const std::size_t unit_at = text.find_first_not_of("0123456789.");
    if (unit_at == std::string_view::npos) {
        return std::nullopt;
    }
    for (const time_unit& unit : time_units) {
        if (text.substr(unit_at) == unit.name) {
            return scaled(text.substr(0, unit_at), unit.microseconds);
        }
    }
    return std::nullopt;
}

std::string format_duration(duration value)
{
    for (const time_unit& unit : time_units) {
        if (value.count() != 0 && value.count() % unit.microseconds == 0) {
            return std::to_string(value.count() / unit.microseconds) + std::string(unit.name);
        }
    }
    return "0s";
}

bool is_address(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    std::string host(text.substr(0, colon));
    const auto port = digits(text.substr(colon + 1));
    if (!port || *port < 1 || *port > UINT16_MAX) {
        return false;
    }
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    std::array<unsigned char, sizeof(in6_addr)> number{};
    return inet_pton(bracketed ? AF_INET6 : AF_INET, host.c_str(), number.data()) == 1;
}

} // namespace currantspar::config
