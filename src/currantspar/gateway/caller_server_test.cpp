#include "caller_server.hpp"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Reactor.h>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>

#include "currantspar/io/clock.hpp"
#include "currantspar/io/reserved_port.hpp"
#include "test_peer.hpp"

namespace currantspar::gateway {

namespace {

constexpr std::size_t large_body = 100000;

/// Answers each request with its target.
class echoing_sink : public caller_sink
{
public:
    void request_arrived(caller_connection& from, http_request request) override
    {
        from.respond(200, {}, request.target, false);
    }
    void request_malformed(int) override {}
    void connection_closed(caller_connection&) override {}
};

/// A server whose budget has room for one large body at a time.
struct limited_server
{
    limited_server() { BOOST_REQUIRE(server.open(address).has_value()); }

    void serve(int rounds = 30, duration later = {})
    {
        for (int round = 0; round < rounds; ++round) {
            server.on_tick(io::monotonic_now() + later);
            ACE_Time_Value wait(0, 1000);
            reactor.handle_events(wait);
        }
    }

    ACE_Reactor reactor{new ACE_Dev_Poll_Reactor, true};
    std::string address = "127.0.0.1:" + std::to_string(io::reserved_port().port());
    memory_budget budget{400000};
    echoing_sink sink;
    caller_server server{
        reactor, sink, [] { return reader_limits{}; }, {3, std::chrono::milliseconds(0), 0, &budget}};
};

std::string head(const std::string& target, std::size_t length)
{
    return "POST " + target + " HTTP/1.1\r\nHost: shop\r\nContent-Length: " + std::to_string(length) +
           "\r\n\r\n";
}

/// What a caller has received so far.
std::string received(const test::raw_caller& caller)
{
    std::string text(65536, '\0');
    const ssize_t count = ::recv(caller.handle(), text.data(), text.size(), MSG_DONTWAIT);
    text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_server_tests)

/// Guards against large bodies that together take more memory than there is, against one that holds up small
/// requests, and against one that stops in its middle and holds up the others.
BOOST_AUTO_TEST_CASE(a_large_body_waits_until_another_has_ended_or_stalled)
{
    limited_server here;
    const test::raw_caller stalled(here.address, head("/stalled", large_body) + "x");
    here.serve();
    const test::raw_caller waiting(here.address, head("/waiting", large_body) + std::string(large_body, 'b'));
    here.serve();
    const test::raw_caller small(here.address, head("/small", 5) + "small");
    here.serve();
    BOOST_TEST(received(small).ends_with("/small"));
    BOOST_TEST(received(waiting).empty());
    BOOST_TEST(here.budget.used() <= here.budget.limit());
    here.serve(60, std::chrono::milliseconds(1500));
    BOOST_TEST(received(stalled).starts_with("HTTP/1.1 408 "));
    BOOST_TEST(received(waiting).ends_with("/waiting"));
    BOOST_TEST(here.server.closed_for_resources() == 1U);
}

/// Guards against chunked bodies that hold as much memory as the largest one may take, and so hold up all
/// others.
BOOST_AUTO_TEST_CASE(a_chunked_body_takes_memory_for_what_has_come)
{
    limited_server here;
    const test::raw_caller stalled(here.address, "POST /stalled HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: "
                                                 "chunked\r\n\r\n4e20\r\n" +
                                                     std::string(20000, 'b'));
    here.serve();
    const test::raw_caller other(here.address, head("/other", 17000) + std::string(17000, 'b'));
    here.serve();
    BOOST_TEST(received(other).ends_with("/other"));
    BOOST_TEST(received(stalled).empty());
}

/// Guards against callers that wait for a refusal which is known already.
BOOST_AUTO_TEST_CASE(a_body_that_waits_too_long_for_memory_is_refused_as_not_run)
{
    limited_server here;
    const test::raw_caller open(here.address, head("/first", large_body) + "x");
    here.serve();
    const test::raw_caller waiting(here.address, head("/waiting", large_body) + "x");
    here.serve();
    here.serve(1, std::chrono::milliseconds(2500));
    here.serve();
    const std::string response = received(waiting);
    BOOST_TEST(response.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(response.find("Retry-After: ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_body_announced_over_the_limit_is_refused_at_once)
{
    limited_server here;
    const test::raw_caller caller(here.address, head("/", reader_limits{}.body_bytes + 1));
    here.serve();
    const std::string response = received(caller);
    BOOST_TEST(response.starts_with("HTTP/1.1 413 "));
    BOOST_TEST(response.find("Connection: close") != std::string::npos);
    // The kernel acknowledges the end of the response after a delay.
    for (int round = 0; round < 1000 && here.server.size() > 0; ++round) {
        here.serve(1);
    }
    BOOST_TEST(here.server.size() == 0U);
}

/// Guards against idle connections that keep others out.
BOOST_AUTO_TEST_CASE(a_new_connection_replaces_the_one_that_is_idle_longest)
{
    limited_server here;
    const test::raw_caller first(here.address, "");
    here.serve();
    const test::raw_caller second(here.address, "");
    const test::raw_caller third(here.address, "");
    here.serve();
    const test::raw_caller fourth(here.address, head("/fourth", 0));
    here.serve();
    BOOST_TEST(received(fourth).ends_with("/fourth"));
    BOOST_TEST(here.server.size() == 3U);
    char next = 0;
    BOOST_TEST(::recv(first.handle(), &next, 1, MSG_DONTWAIT) == 0);
}

/// Guards against requests sent ahead that are kept without bound.
BOOST_AUTO_TEST_CASE(all_requests_sent_ahead_are_answered_in_bounded_memory)
{
    limited_server here;
    std::string requests;
    for (int count = 0; count < 4000; ++count) {
        requests += head("/ahead", 0);
    }
    requests += head("/last", 0);
    const test::raw_caller caller(here.address, requests);
    std::string responses;
    for (int round = 0; round < 2000 && !responses.ends_with("/last"); ++round) {
        here.serve(1);
        BOOST_REQUIRE(here.budget.used() <= here.budget.limit());
        responses += received(caller);
    }
    BOOST_TEST(responses.ends_with("/last"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::gateway
