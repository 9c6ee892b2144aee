#include <boost/test/unit_test.hpp>

#include "test_node.hpp"

// What a planned stop must not do to requests that were accepted.

namespace currantspar::gateway {

namespace {

using test::echo;
using test::ends_with;
using test::fake_protocol;
using test::request;
using test::running_node;
using test::scripted_response;

scripted_response hold(const http_request&)
{
    return {"", false, false, true};
}

/// Begins a stop that ends the process soon, and runs the node until it is done; then the node is gone.
void stop_and_end(running_node& run)
{
    run.node->stop(io::monotonic_now());
    BOOST_TEST(run.run_until([&] { return run.node->done(io::monotonic_now()); }));
    run.node.reset();
}

void shorten_grace(fake_protocol& wire)
{
    wire.settings.grace = std::chrono::milliseconds(900);
}

} // namespace

BOOST_AUTO_TEST_SUITE(planned_stop_tests)

/// Guards against requests that are open when a planned stop runs out of time: their connections closed
/// without an answer.
BOOST_AUTO_TEST_CASE(a_request_that_outlasts_a_stop_is_answered_before_the_process_ends)
{
    running_node run({hold}, running_node::store_response, shorten_grace);
    auto caller = std::async(std::launch::async, test::exchange, run.wire.settings.caller_address,
                             request("POST", "/once/1", "a", "x"), ends_with("\r\n\r\n"));
    BOOST_TEST(run.run_until([&] { return run.servers[0]->requests() == 1U; }));
    stop_and_end(run);
    const std::string received = caller.get();
    // The request may be running, so it isn't called not run.
    BOOST_TEST(received.starts_with("HTTP/1.1 502 "));
    BOOST_TEST(received.find("Connection: close") != std::string::npos);
}

/// A stream whose head has been sent can only be broken off, and must not look complete.
BOOST_AUTO_TEST_CASE(a_stream_that_outlasts_a_stop_does_not_look_complete)
{
    running_node run({[](const http_request& from) {
                         return scripted_response{"HTTP/1.1 200 OK\r\nProof: p\r\nId: " + test::id_of(from) +
                                                      "\r\n\r\nid: 1\n\n",
                                                  false, false, true};
                     }},
                     running_node::store_response, shorten_grace);
    auto caller = std::async(std::launch::async, test::exchange, run.wire.settings.caller_address,
                             request("GET", "/stream/1", "a"), ends_with("0\r\n\r\n"));
    BOOST_TEST(run.run_until([&] { return run.servers[0]->requests() == 1U; }));
    stop_and_end(run);
    const std::string received = caller.get();
    BOOST_TEST(received.find("id: 1\n\n") != std::string::npos);
    BOOST_TEST(!received.ends_with("0\r\n\r\n"));
}

/// Guards against a stopping node that closes an idle connection while a request waits in the kernel to be
/// read.
BOOST_AUTO_TEST_CASE(a_request_that_waits_to_be_read_keeps_its_connection_open)
{
    running_node run({echo});
    test::discarding_caller caller(run.wire.settings.caller_address, request("POST", "/once/1", "a", "x"));
    BOOST_TEST(run.run_until([&] { return caller.received() > 0; }));
    // The node's idle check comes due while it is busy with something else and the next request arrives.
    caller.send(request("POST", "/once/2", "b", "y"));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    run.node->stop(io::monotonic_now() - std::chrono::milliseconds(2650));
    run.node->on_tick(io::monotonic_now());
    const std::size_t before = caller.received();
    BOOST_TEST(run.run_until([&] { return run.servers[0]->requests() == 2U && caller.received() > before; }));
}

/// Guards against a site whose grace is short: a request late in it was taken, and cut at its end.
BOOST_AUTO_TEST_CASE(a_request_late_in_a_short_grace_is_refused_as_not_run)
{
    running_node run({echo}, running_node::store_response,
                     [](fake_protocol& wire) { wire.settings.grace = std::chrono::seconds(4); });
    run.node->stop(io::monotonic_now() - std::chrono::milliseconds(2500));
    const std::string received = run.call(request("POST", "/once/1", "a", "x"), ends_with("\r\n\r\n"));
    BOOST_TEST(received.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(run.servers[0]->requests() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::gateway
