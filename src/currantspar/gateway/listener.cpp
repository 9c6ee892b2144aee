#include "listener.hpp"

#include <cerrno>
#include <cstring>
#include <utility>

#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <poll.h>

#include "currantspar/io/address.hpp"
#include "currantspar/io/clock.hpp"
#include "currantspar/io/log.hpp"
#include "socket_options.hpp"

namespace currantspar::gateway {

namespace {

/// Connections that one event accepts; the rest follows after the other events.
constexpr int max_accepts = 16;
/// Until the next accept after one that failed for lack of a descriptor or of memory.
constexpr duration failure_pause = std::chrono::milliseconds(100);

bool lacks_resources(int problem)
{
    return problem == EMFILE || problem == ENFILE || problem == ENOBUFS || problem == ENOMEM;
}

} // namespace

listener::listener(ACE_Reactor& reactor, accept_handler accepted, room_check has_room,
                   std::size_t receive_buffer)
    : reactor_(reactor), accepted_(std::move(accepted)), has_room_(std::move(has_room)),
      receive_buffer_(receive_buffer)
{}

listener::~listener()
{
    close();
}

result<void> listener::open(const std::string& address)
{
    const auto parsed = io::parse_address(address);
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    const ACE_INET_Addr local(parsed->port, parsed->host.c_str());
    if (acceptor_.open(local, 1, PF_INET, listen_backlog) != 0) {
        return fail(error_kind::unavailable, "can't listen at " + address + ": " + std::strerror(errno));
    }
    // Accepted connections inherit it.
    limit_receive_buffer(acceptor_, receive_buffer_);
    acceptor_.enable(ACE_NONBLOCK);
    if (reactor_.register_handler(this, ACE_Event_Handler::ACCEPT_MASK) != 0) {
        return fail(error_kind::internal, "the reactor rejected the listener at " + address);
    }
    return {};
}

void listener::close()
{
    if (acceptor_.get_handle() != ACE_INVALID_HANDLE) {
        reactor_.remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
        acceptor_.close();
        paused_until_.reset();
    }
}

void listener::pause(instant until)
{
    if (!std::exchange(paused_until_, until)) {
        reactor_.remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    }
}

void listener::on_tick(instant now)
{
    if (paused_until_ && now >= *paused_until_ && has_room_()) {
        paused_until_.reset();
        reactor_.register_handler(this, ACE_Event_Handler::ACCEPT_MASK);
    }
}

bool listener::has_pending() const
{
    pollfd look{acceptor_.get_handle(), POLLIN, 0};
    return ::poll(&look, 1, 0) > 0;
}

bool listener::accept_next(ACE_SOCK_Stream& accepted)
{
    ACE_Time_Value at_once = ACE_Time_Value::zero;
    return acceptor_.accept(accepted, nullptr, &at_once, false) == 0;
}

int listener::handle_input(ACE_HANDLE)
{
    ACE_SOCK_Stream accepted;
    for (int count = 0; count < max_accepts; ++count) {
        if (!has_room_()) {
            pause(instant{});
            break;
        }
        if (!accept_next(accepted)) {
            if (const int problem = errno; lacks_resources(problem)) {
                const instant now = io::monotonic_now();
                pause(now + failure_pause);
                if (const auto failures = failure_lines_.on_event(now)) {
                    io::log_event(io::log_level::warning, "accept_failed",
                                  {{"reason", std::strerror(problem)}, {"count", std::to_string(*failures)}});
                }
            }
            break;
        }
        accepted_(accepted);
        accepted.close();
    }
    return 0;
}

} // namespace currantspar::gateway
