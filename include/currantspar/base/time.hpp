#ifndef CURRANTSPAR_BASE_TIME_HPP
#define CURRANTSPAR_BASE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace currantspar {

/// The resolution of all times inside the program.
using duration = std::chrono::microseconds;

/// A monotonic clock of one process. It has no now(): time arrives in events, so that a test can drive it.
struct monotonic_clock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<monotonic_clock, duration>;
    static constexpr bool is_steady = true;
};

/// A moment of one process's monotonic clock; moments of different processes can't be compared.
using instant = monotonic_clock::time_point;

/// A moment of the wall clock, for people and for breaking ties only.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// A moment of an engine's own clock, as that engine reports it.
struct engine_clock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<engine_clock, duration>;
    static constexpr bool is_steady = true;
};
using engine_time = engine_clock::time_point;

/// Seconds as a floating point number, for rates and reports.
[[nodiscard]] constexpr double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Milliseconds as a floating point number, for rates and reports.
[[nodiscard]] constexpr double to_milliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

/// Rounds a floating point number of seconds to a duration.
[[nodiscard]] constexpr duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace currantspar

#endif
