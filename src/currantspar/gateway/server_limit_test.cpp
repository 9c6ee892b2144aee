#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "test_node.hpp"

namespace currantspar::gateway {

using namespace test;

namespace {

constexpr double limit_per_second = 2;
/// The users' bound for a span of 4 s.
constexpr double allowed_in_4_s = 1.5 * 4 * limit_per_second + 5;
/// A node has to keep a limit from this long after it was told.
constexpr duration reaction_time = std::chrono::milliseconds(500);

scripted_response limited(const http_request& from)
{
    return {make_response(id_of(from), "limited", "Proof: p\r\nLimit: 2.0\r\n")};
}

} // namespace

BOOST_AUTO_TEST_SUITE(server_limit_tests)

/// Guards against a server that gets as many requests after it named a limit as before.
BOOST_AUTO_TEST_CASE(a_server_that_names_a_limit_gets_no_more_requests_than_that)
{
    running_node run({limited, echo});
    const instant began = io::monotonic_now();
    unsigned before = 0;
    unsigned requests = 0;
    while (io::monotonic_now() - began < std::chrono::seconds(3)) {
        const std::string received =
            run.call(request("GET", "/read/1", "r" + std::to_string(++requests)),
                     [](const std::string& so_far) { return so_far.find("\r\n\r\n") != std::string::npos; });
        BOOST_TEST(received.starts_with("HTTP/1.1 200"));
        if (io::monotonic_now() - began < reaction_time) {
            before = run.servers[0]->requests();
        }
    }
    BOOST_TEST(before > 0U);
    BOOST_TEST(run.servers[0]->requests() - before <= allowed_in_4_s);
    // The limit leaves the server work, and the other one gets the rest.
    BOOST_TEST(run.servers[0]->requests() - before >= limit_per_second);
    BOOST_TEST(run.servers[1]->requests() > 2 * allowed_in_4_s);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::gateway
