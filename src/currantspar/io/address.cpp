#include "currantspar/io/address.hpp"

#include <charconv>

#include <arpa/inet.h>

namespace currantspar::io {

result<socket_address> parse_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return fail(error_kind::invalid, "'" + text + "' is not IP:port");
    }
    socket_address address;
    address.host = text.substr(0, colon);
    in_addr parsed{};
    if (inet_pton(AF_INET, address.host.c_str(), &parsed) != 1) {
        return fail(error_kind::invalid, "'" + address.host + "' is not an IPv4 number");
    }
    const char* const end = text.data() + text.size();
    const auto [stop, problem] = std::from_chars(text.data() + colon + 1, end, address.port);
    if (problem != std::errc() || stop != end) {
        return fail(error_kind::invalid, "'" + text.substr(colon + 1) + "' is not a port");
    }
    return address;
}

sockaddr_in to_sockaddr(const socket_address& address)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &native.sin_addr);
    return native;
}

} // namespace currantspar::io
