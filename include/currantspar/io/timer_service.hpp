#ifndef CURRANTSPAR_IO_TIMER_SERVICE_HPP
#define CURRANTSPAR_IO_TIMER_SERVICE_HPP

#include <cstdint>
#include <functional>
#include <memory>

#include "currantspar/base/time.hpp"

class ACE_Reactor;

namespace currantspar::io {

using timer_id = std::uint64_t;

/// Tells its subscribers regularly that time has passed. All calls come from one thread, which is also the
/// only one that may subscribe.
class timer_service
{
public:
    timer_service() = default;
    timer_service(const timer_service&) = delete;
    timer_service& operator=(const timer_service&) = delete;
    virtual ~timer_service() = default;

    /// Calls `callback` every `period` until the subscription is cancelled. Precondition: period > 0.
    virtual timer_id subscribe(duration period, std::function<void(instant)> callback) = 0;
    virtual void cancel(timer_id subscription) = 0;
};

/// Timers of an ACE reactor. Precondition: `reactor` outlives it.
[[nodiscard]] std::unique_ptr<timer_service> make_reactor_timer_service(ACE_Reactor& reactor);

} // namespace currantspar::io

#endif
