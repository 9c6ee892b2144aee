#ifndef CURRANTSPAR_IO_RESERVED_PORT_HPP
#define CURRANTSPAR_IO_RESERVED_PORT_HPP

#include <cstdint>

namespace currantspar::io {

/// A free port of the loopback interface, of the system's choice. While it is reserved, no connection and no
/// other choice of the system gets it; a listener that allows the reuse of its address can take it. Not
/// thread safe.
class reserved_port
{
public:
    reserved_port();
    reserved_port(const reserved_port&) = delete;
    reserved_port& operator=(const reserved_port&) = delete;
    ~reserved_port();

    /// 0 when there is none to be had.
    [[nodiscard]] std::uint16_t port() const { return port_; }

private:
    int socket_;
    std::uint16_t port_ = 0;
};

} // namespace currantspar::io

#endif
