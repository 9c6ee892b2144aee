#ifndef CURRANTSPAR_IO_LOG_LIMITER_HPP
#define CURRANTSPAR_IO_LOG_LIMITER_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

#include "currantspar/base/time.hpp"

namespace currantspar::io {

/// Limits one kind of log line that a peer can cause to one a second. Not thread safe.
class log_limiter
{
public:
    /// Counts an event. Returns the number of events since the last line when a line may be written now.
    [[nodiscard]] std::optional<std::uint64_t> on_event(instant now)
    {
        pending_ += 1;
        if (last_line_ && now - *last_line_ < period) {
            return std::nullopt;
        }
        last_line_ = now;
        return std::exchange(pending_, 0);
    }

private:
    static constexpr duration period = std::chrono::seconds(1);

    std::uint64_t pending_ = 0;
    std::optional<instant> last_line_;
};

} // namespace currantspar::io

#endif
