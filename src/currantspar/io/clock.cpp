#include "currantspar/io/clock.hpp"

#include <chrono>
#include <ctime>

namespace currantspar::io {

instant monotonic_now()
{
    const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
    return instant(std::chrono::duration_cast<duration>(since_boot));
}

instant suspend_aware_now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return instant(std::chrono::seconds(now.tv_sec) +
                   std::chrono::duration_cast<duration>(std::chrono::nanoseconds(now.tv_nsec)));
}

wall_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace currantspar::io
