#include "currantspar/io/timer_service.hpp"

#include <map>

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Time_Value.h>

#include "currantspar/io/clock.hpp"

namespace currantspar::io {

namespace {

class subscription : public ACE_Event_Handler
{
public:
    explicit subscription(std::function<void(instant)> callback) : callback_(std::move(callback)) {}

    int handle_timeout(const ACE_Time_Value&, const void*) override
    {
        callback_(monotonic_now());
        return 0;
    }

private:
    std::function<void(instant)> callback_;
};

ACE_Time_Value to_ace(duration value)
{
    const auto whole = std::chrono::duration_cast<std::chrono::seconds>(value);
    return ACE_Time_Value(static_cast<time_t>(whole.count()),
                          static_cast<suseconds_t>((value - whole).count()));
}

class reactor_timer_service : public timer_service
{
public:
    explicit reactor_timer_service(ACE_Reactor& reactor) : reactor_(reactor) {}

    ~reactor_timer_service() override
    {
        for (const auto& [id, handler] : subscriptions_) {
            reactor_.cancel_timer(handler.get());
        }
    }

    timer_id subscribe(duration period, std::function<void(instant)> callback) override
    {
        auto handler = std::make_unique<subscription>(std::move(callback));
        const ACE_Time_Value interval = to_ace(period);
        const timer_id id = ++last_id_;
        reactor_.schedule_timer(handler.get(), nullptr, interval, interval);
        subscriptions_.emplace(id, std::move(handler));
        return id;
    }

    void cancel(timer_id id) override
    {
        const auto found = subscriptions_.find(id);
        if (found != subscriptions_.end()) {
            reactor_.cancel_timer(found->second.get());
            subscriptions_.erase(found);
        }
    }

private:
    ACE_Reactor& reactor_;
    std::map<timer_id, std::unique_ptr<subscription>> subscriptions_;
    timer_id last_id_ = 0;
};

} // namespace

std::unique_ptr<timer_service> make_reactor_timer_service(ACE_Reactor& reactor)
{
    return std::make_unique<reactor_timer_service>(reactor);
}

} // namespace currantspar::io
