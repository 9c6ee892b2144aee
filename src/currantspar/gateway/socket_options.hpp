#ifndef CURRANTSPAR_GATEWAY_SOCKET_OPTIONS_HPP
#define CURRANTSPAR_GATEWAY_SOCKET_OPTIONS_HPP

#include <cstddef>

#include <ace/SOCK.h>
#include <sys/socket.h>

namespace currantspar::gateway {

/// Sets an option of a socket. An option that the system doesn't support is left out. Thread safe.
template <typename Value>
void set_option(const ACE_SOCK& socket, int level, int name, Value value)
{
    static_cast<void>(socket.set_option(level, name, &value, sizeof value));
}

/// Limits what the kernel holds unread for a socket; 0 keeps its default. Thread safe.
inline void limit_receive_buffer(const ACE_SOCK& socket, std::size_t bytes)
{
    if (bytes > 0) {
        // Linux doubles the value.
        set_option(socket, SOL_SOCKET, SO_RCVBUF, static_cast<int>(bytes / 2));
    }
}

} // namespace currantspar::gateway

#endif
