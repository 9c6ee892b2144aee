#include "currantspar/relay/circuit_breaker.hpp"

#include <boost/test/unit_test.hpp>

#include "test_relay.hpp"

namespace currantspar::relay {

BOOST_AUTO_TEST_SUITE(circuit_breaker_tests)

BOOST_AUTO_TEST_CASE(a_server_that_fails_twice_in_a_row_is_avoided_for_a_while)
{
    const std::vector<server_entry> servers = {test::make_server("one", "desk"),
                                               test::make_server("two", "desk")};
    circuit_breaker circuit;
    circuit.on_failure(backend_id("one"), false, test::at(1));
    BOOST_TEST(circuit.avoided(servers, test::at(1)).empty());
    circuit.on_failure(backend_id("one"), false, test::at(1.1));
    BOOST_TEST(circuit.avoided(servers, test::at(1.2)).size() == 1U);
    BOOST_TEST(circuit.avoided(servers, test::at(3)).empty());
    circuit.on_failure(backend_id("two"), true, test::at(3));
    BOOST_TEST(circuit.avoided(servers, test::at(3.1)).size() == 1U);
    circuit.on_success(backend_id("two"));
    BOOST_TEST(circuit.avoided(servers, test::at(3.1)).empty());
}

BOOST_AUTO_TEST_CASE(when_most_servers_fail_all_are_used)
{
    const std::vector<server_entry> servers = {test::make_server("one", "desk"),
                                               test::make_server("two", "desk")};
    circuit_breaker circuit;
    circuit.on_failure(backend_id("one"), true, test::at(1));
    circuit.on_failure(backend_id("two"), true, test::at(1));
    BOOST_TEST(circuit.avoided(servers, test::at(1.1)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::relay
