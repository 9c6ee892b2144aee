#ifndef CURRANTSPAR_IO_ADDRESS_HPP
#define CURRANTSPAR_IO_ADDRESS_HPP

#include <cstdint>
#include <string>

#include <netinet/in.h>

#include "currantspar/base/result.hpp"

namespace currantspar::io {

/// An IPv4 address and a TCP port.
struct socket_address
{
    std::string host; ///< an IP number
    std::uint16_t port = 0;
};

/// Reads `IP:port`; an error of kind `invalid` tells what is wrong. Thread safe.
[[nodiscard]] result<socket_address> parse_address(const std::string& text);

/// The address in the form that sockets take. Precondition: `address` came from parse_address. Thread safe.
[[nodiscard]] sockaddr_in to_sockaddr(const socket_address& address);

} // namespace currantspar::io

#endif
