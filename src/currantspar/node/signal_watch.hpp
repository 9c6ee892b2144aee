#ifndef CURRANTSPAR_NODE_SIGNAL_WATCH_HPP
#define CURRANTSPAR_NODE_SIGNAL_WATCH_HPP

#include <atomic>

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Sig_Handler.h>
#include <csignal>

namespace currantspar::node {

/// Counts SIGTERM and SIGINT. ACE calls it in the signal's own context, so it does nothing but count; the
/// node's timer looks at the count.
class signal_watch : public ACE_Event_Handler
{
public:
    signal_watch()
    {
        handler_.register_handler(SIGTERM, this);
        handler_.register_handler(SIGINT, this);
    }
    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;
    ~signal_watch() override
    {
        handler_.remove_handler(SIGTERM);
        handler_.remove_handler(SIGINT);
    }

    int handle_signal(int, siginfo_t*, ucontext_t*) override
    {
        count_.fetch_add(1, std::memory_order_relaxed);
        return 0;
    }

    /// Thread safe.
    [[nodiscard]] unsigned count() const { return count_.load(std::memory_order_relaxed); }

private:
    ACE_Sig_Handler handler_;
    std::atomic<unsigned> count_{0};
};

} // namespace currantspar::node

#endif
