#ifndef CURRANTSPAR_IO_CLOCK_HPP
#define CURRANTSPAR_IO_CLOCK_HPP

#include "currantspar/base/time.hpp"

namespace currantspar::io {

/// This process's monotonic time. Thread safe.
[[nodiscard]] instant monotonic_now();

/// Monotonic time that goes on while the machine is suspended: for leases and for the age of what is known.
/// Not comparable with monotonic_now(). Thread safe.
[[nodiscard]] instant suspend_aware_now();

/// The wall clock, for people and to tell the starts of a process apart; it may be set back. Thread safe.
[[nodiscard]] wall_time wall_now();

} // namespace currantspar::io

#endif
