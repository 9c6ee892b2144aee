#include "currantspar/io/peer_codec.hpp"

#include <boost/test/unit_test.hpp>
#include <capnp/message.h>
#include <kj/exception.h>

namespace {

using namespace currantspar;

BOOST_AUTO_TEST_SUITE(peer_codec)

bool readable(std::size_t closed_engines)
{
    core::pool_routing_view view;
    view.closed.resize(closed_engines, engine_id("e"));
    capnp::MallocMessageBuilder message;
    const auto root = message.initRoot<io::wire::Message>();
    io::write_message(root, node_id("10.0.0.1:1"), incarnation(1),
                      core::send_peer{node_id("10.0.0.2:1"), 1, view});
    bool read = false;
    const auto refused =
        kj::runCatchingExceptions([&]() { read = io::read_message(root.asReader()).has_value(); });
    return read && refused == nullptr;
}

// Found by fuzz_peer with 20,000 runs: a short message whose list claimed millions of empty entries took 1.5
// GB.
BOOST_AUTO_TEST_CASE(a_list_that_is_too_long_is_refused)
{
    BOOST_TEST(readable(16384));
    BOOST_TEST(!readable(16385));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
