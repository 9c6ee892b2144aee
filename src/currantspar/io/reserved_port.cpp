#include "currantspar/io/reserved_port.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace currantspar::io {

reserved_port::reserved_port() : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* const generic = reinterpret_cast<sockaddr*>(&address); // NOLINT: the sockets' own convention
    const int on = 1;
    const bool bound = ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0 &&
                       ::bind(socket_, generic, size) == 0 && ::getsockname(socket_, generic, &size) == 0;
    port_ = bound ? ntohs(address.sin_port) : 0;
}

reserved_port::~reserved_port()
{
    ::close(socket_);
}

} // namespace currantspar::io
