#include <boost/test/unit_test.hpp>

#include "currantspar/base/test_wire_text.hpp"
#include "test_node.hpp"

// Peers that live but don't read for a while must not lose what was sent to them.

namespace currantspar::gateway {

namespace {

using test::ends_with;
using test::fake_protocol;
using test::id_of;
using test::make_response;
using test::request;
using test::running_node;
using test::scripted_response;

constexpr std::size_t large_bytes = 4000000;
constexpr std::chrono::seconds pause(4);

/// Runs the node for as long as `work` takes, at most `limit`.
template <typename Result>
void run_while(running_node& run, std::future<Result>& work, std::chrono::seconds limit)
{
    const instant until = io::monotonic_now() + limit;
    while (io::monotonic_now() < until && !run.run_until([&] {
        return work.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    })) {
    }
}

void allow_long_requests(fake_protocol& wire)
{
    auto config = std::make_shared<relay::relay_config>(*wire.config);
    for (relay::route_spec& route : config->routes) {
        route.timeout = std::chrono::seconds(12);
    }
    wire.config = config;
}

} // namespace

BOOST_AUTO_TEST_SUITE(slow_peer_tests)

/// Guards against a caller that reads nothing for some seconds: its connection was reset in the middle of the
/// response.
BOOST_AUTO_TEST_CASE(a_caller_that_pauses_gets_the_whole_response)
{
    for (const char* connection : {"", "Connection: close\r\n"}) {
        running_node run({[](const http_request& from) {
            return scripted_response{make_response(id_of(from), std::string(large_bytes, 'x') + "end")};
        }});
        const std::string bytes =
            "GET /read/1 HTTP/1.1\r\nHost: shop\r\nId: a\r\n" + std::string(connection) + "\r\n";
        auto caller = std::async(std::launch::async, [&] {
            return test::exchange_after_pause(run.wire.settings.caller_address, bytes, pause,
                                              ends_with("xend"));
        });
        run_while(run, caller, std::chrono::seconds(9));
        const std::string received = caller.get();
        BOOST_TEST(received.starts_with("HTTP/1.1 200 "));
        BOOST_TEST(received.size() > large_bytes);
        BOOST_TEST(received.ends_with("xend"));
    }
}

/// Guards against a server that reads nothing for some seconds in an upload: its connection was reset, and
/// the request called lost.
BOOST_AUTO_TEST_CASE(a_server_that_pauses_gets_the_whole_request)
{
    test::pausing_server server(pause, [](const http_request& from) {
        return make_response(id_of(from), "read " + std::to_string(from.body.size()));
    });
    running_node run({test::echo}, running_node::store_response, [&](fake_protocol& wire) {
        allow_long_requests(wire);
        wire.servers.front().address = test_address(server.address());
    });
    auto caller = std::async(std::launch::async, [&] {
        return test::exchange_after_pause(run.wire.settings.caller_address,
                                          request("POST", "/once/1", "a", std::string(large_bytes, 'x')),
                                          std::chrono::seconds(6), ends_with("read 4000000"));
    });
    run_while(run, caller, std::chrono::seconds(9));
    BOOST_TEST(caller.get().starts_with("HTTP/1.1 200 "));
}

/// Guards against a refusal that its caller doesn't get, because a close with unread input resets the
/// connection.
BOOST_AUTO_TEST_CASE(a_refusal_of_a_body_that_is_too_large_arrives)
{
    running_node run({test::echo});
    const std::string received =
        run.call("POST /once/1 HTTP/1.1\r\nHost: shop\r\nId: a\r\nContent-Length: 8000000\r\n\r\n" +
                     std::string(2 * large_bytes, 'x'),
                 ends_with("\r\n\r\n"));
    BOOST_TEST(received.starts_with("HTTP/1.1 413 "));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::gateway
