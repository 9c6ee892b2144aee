#include "currantspar/io/reserved_port.hpp"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "test_socket.hpp"

namespace currantspar::io {

namespace {

/// Whether a socket could take connections on this loopback port.
bool can_listen(std::uint16_t port, bool reuse)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = reuse ? 1 : 0;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool listens = ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 &&
                         ::listen(socket, 1) == 0;
    ::close(socket);
    return listens;
}

} // namespace

BOOST_AUTO_TEST_SUITE(reserved_port_tests)

/// The failure: a test's node could not listen, since a connection of another test had got its port
/// meanwhile.
BOOST_AUTO_TEST_CASE(a_free_port_stays_reserved_for_its_listener)
{
    const std::uint16_t port = free_port();
    BOOST_TEST(!can_listen(port, false));
    BOOST_TEST(can_listen(port, true));
    BOOST_TEST(free_port() != port);
}

BOOST_AUTO_TEST_CASE(a_port_is_given_up_with_its_reservation)
{
    std::uint16_t port = 0;
    {
        const reserved_port reserved;
        port = reserved.port();
        BOOST_TEST(!can_listen(port, false));
    }
    BOOST_TEST(can_listen(port, false));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::io
