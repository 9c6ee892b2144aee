#ifndef CURRANTSPAR_NODE_EVENT_QUEUE_HPP
#define CURRANTSPAR_NODE_EVENT_QUEUE_HPP

#include <functional>
#include <mutex>
#include <variant>
#include <vector>

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include "currantspar/core/event.hpp"
#include "currantspar/core/state.hpp"

namespace currantspar::node {

/// Work for the node's thread: an event, or a look at the state.
using queue_item = std::variant<core::event_body, std::function<void(const core::node_state&)>>;

/// Carries work from the adapters' threads to the reactor's, which it wakes.
class event_queue : public ACE_Event_Handler
{
public:
    /// Precondition: `consumer` is called on the reactor's thread only, and `reactor` outlives the queue.
    event_queue(ACE_Reactor& reactor, std::function<void(queue_item)> consumer)
        : ACE_Event_Handler(&reactor), consumer_(std::move(consumer))
    {}
    event_queue(const event_queue&) = delete;
    event_queue& operator=(const event_queue&) = delete;
    /// Takes back a notification that nobody has handled: the reactor would touch the queue when it closes.
    ~event_queue() override { reactor()->purge_pending_notifications(this); }

    /// Thread safe.
    void post(queue_item item)
    {
        const std::lock_guard lock(mutex_);
        items_.push_back(std::move(item));
        if (!notified_) {
            notified_ = true;
            reactor()->notify(this, ACE_Event_Handler::READ_MASK);
        }
    }

    /// Hands over all that waits.
    int handle_input(ACE_HANDLE) override
    {
        std::vector<queue_item> taken;
        {
            const std::lock_guard lock(mutex_);
            taken.swap(items_);
            notified_ = false;
        }
        for (queue_item& item : taken) {
            consumer_(std::move(item));
        }
        return 0;
    }

private:
    const std::function<void(queue_item)> consumer_;
    std::mutex mutex_;
    std::vector<queue_item> items_;
    bool notified_ = false;
};

} // namespace currantspar::node

#endif
