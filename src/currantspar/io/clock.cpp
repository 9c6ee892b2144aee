#include "currantspar/io/clock.hpp"

#include <chrono>

namespace currantspar::io {

instant monotonic_now()
{
    const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
    return instant(std::chrono::duration_cast<duration>(since_boot));
}

wall_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace currantspar::io
