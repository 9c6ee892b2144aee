#include "listener.hpp"

#include <cerrno>
#include <cstring>

#include <ace/INET_Addr.h>
#include <ace/Reactor.h>

#include "currantspar/io/address.hpp"

namespace currantspar::gateway {

namespace {

constexpr int backlog = 512;
/// Connections that one event accepts; the rest follows after the other events.
constexpr int max_accepts = 16;

} // namespace

listener::listener(ACE_Reactor& reactor, accept_handler accepted)
    : reactor_(reactor), accepted_(std::move(accepted))
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
    if (acceptor_.open(local, 1, PF_INET, backlog) != 0) {
        return fail(error_kind::unavailable, "can't listen at " + address + ": " + std::strerror(errno));
    }
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
    }
}

int listener::handle_input(ACE_HANDLE)
{
    ACE_SOCK_Stream accepted;
    ACE_Time_Value at_once = ACE_Time_Value::zero;
    for (int count = 0; count < max_accepts && acceptor_.accept(accepted, nullptr, &at_once, false) == 0;
         ++count) {
        accepted_(accepted);
        accepted.close();
    }
    return 0;
}

} // namespace currantspar::gateway
