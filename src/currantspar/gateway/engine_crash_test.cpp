#include <atomic>

#include <boost/test/unit_test.hpp>

#include "test_node.hpp"

namespace currantspar::gateway {

namespace {

using test::ends_with;
using test::fake_protocol;
using test::id_of;
using test::running_node;
using test::scripted_response;

constexpr char crashing_segment = '7';

std::string prompt(const std::string& id, const std::string& segments)
{
    return "POST /stream/1 HTTP/1.1\r\nHost: shop\r\nId: " + id + "\r\nSegments: " + segments +
           "\r\nContent-Length: 0\r\n\r\n";
}

/// Streams one event, or crashes on the segment that crashes engines.
scripted_response generate(const http_request& from)
{
    const std::string* segments = find_field(from.fields, "Segments");
    if (segments != nullptr && segments->find(crashing_segment) != std::string::npos) {
        return {"", false, false, false, true};
    }
    return {"HTTP/1.1 200 OK\r\nId: " + id_of(from) +
            "\r\nProof: p\r\nContent-Length: 15\r\n\r\nid: 1\ndata: x\n\n"};
}

void make_engines(fake_protocol& wire)
{
    auto config = std::make_shared<relay::relay_config>(*wire.config);
    relay::relayed_service service;
    service.id = service_id("desk");
    service.engines = relay::engine_traits{64, 450000, 163840, 1600000.0, std::chrono::seconds(5)};
    config->services = {service};
    wire.config = config;
    for (relay::server_entry& each : wire.servers) {
        each.role = config::engine_role::decode;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine_crash_tests)

/// Guards against requests that crash every engine they are sent to, one after the other: their common
/// segment must be recognised, and only requests with it refused.
BOOST_AUTO_TEST_CASE(requests_with_a_segment_that_crashes_engines_are_refused)
{
    constexpr unsigned engines = 8;
    constexpr unsigned max_crashes = 3;
    running_node run(std::vector<test::scripted_server::handler>(engines, generate),
                     running_node::store_response, make_engines);
    const auto sound = [&](const std::string& id) {
        return run.call(prompt(id, "129"), ends_with("\r\n0\r\n\r\n"));
    };
    std::string last;
    for (unsigned round = 0; round < engines; ++round) {
        const std::string id = std::to_string(round);
        BOOST_TEST(sound("s" + id).starts_with("HTTP/1.1 200"));
        last = run.call(prompt("d" + id, "172"), ends_with("\r\n\r\n"));
        run.run_until([&, until = io::monotonic_now() + std::chrono::milliseconds(50)] {
            return io::monotonic_now() > until;
        });
    }
    unsigned crashed = 0;
    for (const auto& each : run.servers) {
        crashed += each->crashed() ? 1 : 0;
    }
    BOOST_TEST(crashed == max_crashes);
    BOOST_TEST(last.starts_with("HTTP/1.1 503"));
    BOOST_TEST(sound("after").starts_with("HTTP/1.1 200"));
}

/// Guards against blaming requests for connections that a living engine resets.
BOOST_AUTO_TEST_CASE(requests_whose_connection_is_reset_by_a_living_engine_are_not_refused)
{
    std::atomic<unsigned> calls = 0;
    const auto resets = [&calls](const http_request&) {
        calls += 1;
        return scripted_response{"", true, true};
    };
    running_node run({resets, resets}, running_node::store_response, make_engines);
    constexpr unsigned requests = 8;
    for (unsigned round = 0; round < requests; ++round) {
        const std::string answer =
            run.call(prompt("r" + std::to_string(round), "172"), ends_with("\r\n\r\n"));
        BOOST_TEST(answer.starts_with("HTTP/1.1 502"));
        run.run_until([&, until = io::monotonic_now() + std::chrono::milliseconds(30)] {
            return io::monotonic_now() > until;
        });
    }
    BOOST_TEST(calls.load() == requests);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::gateway
