#include <array>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Reactor.h>
#include <boost/test/unit_test.hpp>

#include "currantspar/gateway/caller_connection.hpp"
#include "currantspar/gateway/event_splitter.hpp"
#include "currantspar/gateway/peer_link.hpp"
#include "currantspar/io/clock.hpp"
#include "listener.hpp"
#include "test_peer.hpp"

// One peer must not keep a handler of the reactor, and so the whole node, for as long as it likes.

namespace currantspar::gateway {

namespace {

/// Answers each request at once.
class immediate_sink : public caller_sink
{
public:
    void request_arrived(caller_connection& from, http_request) override
    {
        requests += 1;
        from.respond(404, {}, "", false);
    }
    void request_malformed(int) override {}
    void connection_closed(caller_connection&) override {}

    int requests = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(fairness_tests)

/// Guards against a caller who pipelines thousands of requests that are answered at once: one event answered
/// all.
BOOST_AUTO_TEST_CASE(one_event_answers_a_bounded_number_of_pipelined_requests)
{
    constexpr int pipelined = 500;
    std::string bytes;
    for (int index = 0; index < pipelined; ++index) {
        bytes += "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    ACE_Reactor reactor(new ACE_Dev_Poll_Reactor, true);
    immediate_sink sink;
    std::unique_ptr<caller_connection> accepted;
    listener front(reactor, [&](ACE_SOCK_Stream& stream) {
        accepted = std::make_unique<caller_connection>(reactor, sink, reader_limits{}, io::monotonic_now());
        BOOST_REQUIRE(accepted->accept(stream));
    });
    const std::string address = test::free_address();
    BOOST_REQUIRE(front.open(address).has_value());
    const test::discarding_caller caller(address, bytes);
    front.handle_input(ACE_INVALID_HANDLE);
    BOOST_REQUIRE(accepted != nullptr);
    accepted->handle_input(accepted->get_handle());
    BOOST_TEST(sink.requests > 0);
    BOOST_TEST(sink.requests <= 20);
    for (int tick = 0; tick < 200 && sink.requests < pipelined; ++tick) {
        accepted->on_tick(io::monotonic_now());
        ACE_Time_Value wait(0, 1000);
        reactor.handle_events(wait);
    }
    BOOST_TEST(sink.requests == pipelined);
}

/// Guards against connections that come faster than they are accepted.
BOOST_AUTO_TEST_CASE(one_event_accepts_a_bounded_number_of_connections)
{
    ACE_Reactor reactor(new ACE_Dev_Poll_Reactor, true);
    int accepted = 0;
    listener front(reactor, [&](ACE_SOCK_Stream&) { accepted += 1; });
    const std::string address = test::free_address();
    BOOST_REQUIRE(front.open(address).has_value());
    std::vector<std::unique_ptr<test::raw_caller>> callers;
    for (int index = 0; index < 100; ++index) {
        callers.push_back(std::make_unique<test::raw_caller>(address, ""));
    }
    front.handle_input(ACE_INVALID_HANDLE);
    BOOST_TEST(accepted > 0);
    BOOST_TEST(accepted <= 20);
}

/// Guards against datagrams that come faster than they are decoded.
BOOST_AUTO_TEST_CASE(one_event_reads_a_bounded_number_of_datagrams)
{
    ACE_Reactor reactor(new ACE_Dev_Poll_Reactor, true);
    int received = 0;
    peer_link link(reactor, {}, [&](const load_digest&) { received += 1; });
    const std::string address = test::free_address();
    BOOST_REQUIRE(link.open(address, data_centre_id("a")).has_value());
    load_digest digest{"127.0.0.1:9", 0, false, {}, {}, 1, data_centre_id("a"), {}};
    for (int index = 0; index < 150; ++index) {
        digest.sequence += 1;
        test::send_datagram(address, encode_digest(digest));
    }
    link.handle_input(ACE_INVALID_HANDLE);
    BOOST_TEST(received > 0);
    BOOST_TEST(received <= 70);
}

/// Guards against a datagram without content, after which the others waited for the next event.
BOOST_AUTO_TEST_CASE(an_empty_datagram_holds_up_no_other)
{
    ACE_Reactor reactor(new ACE_Dev_Poll_Reactor, true);
    int received = 0;
    peer_link link(reactor, {}, [&](const load_digest&) { received += 1; });
    const std::string address = test::free_address();
    BOOST_REQUIRE(link.open(address, data_centre_id("a")).has_value());
    const load_digest digest{"127.0.0.1:9", 1, false, {}, {}, 1, data_centre_id("a"), {}};
    test::send_datagram(address, "");
    test::send_datagram(address, encode_digest(digest));
    link.handle_input(ACE_INVALID_HANDLE);
    BOOST_TEST(received == 1);
}

/// Guards against a server that sends one long event byte by byte: each byte searched the whole event again.
BOOST_AUTO_TEST_CASE(a_long_event_that_comes_byte_by_byte_is_searched_once)
{
    constexpr std::size_t size = 262144;
    event_splitter events;
    const instant began = io::monotonic_now();
    for (std::size_t index = 0; index < size; ++index) {
        BOOST_REQUIRE(events.push("x").empty());
    }
    BOOST_TEST((io::monotonic_now() - began < std::chrono::seconds(1)));
    BOOST_TEST(events.push("\r").empty());
    BOOST_TEST(events.push("\n\r").empty());
    BOOST_TEST(events.push("\n").size() == size + 4);
    BOOST_TEST(events.push("a\n").empty());
    BOOST_TEST(events.push("\nb") == "a\n\n");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::gateway
