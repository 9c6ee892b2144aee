#include "currantspar/relay/routing_table.hpp"

#include <boost/test/unit_test.hpp>

#include "test_relay.hpp"

namespace currantspar::relay {

BOOST_AUTO_TEST_SUITE(routing_table_tests)

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins)
{
    auto config = test::make_config();
    config->routes.push_back(test::make_route("/once/special/", route_kind::idempotent, "llm"));
    routing_table table;
    BOOST_TEST(table.adopt(config));
    BOOST_TEST(table.find("shop.example", "/once/special/1").route->path_prefix == "/once/special/");
    BOOST_TEST(table.find("Shop.Example:8080", "/once/1?x=/once/special/").route->path_prefix == "/once/");
    BOOST_TEST((table.find("other.example", "/once/1").match == route_match::unknown_route));
    BOOST_TEST((table.find("shop.example", "/once").match == route_match::unknown_route));
}

BOOST_AUTO_TEST_CASE(an_older_or_equal_version_is_ignored)
{
    routing_table table;
    BOOST_TEST((table.find("shop.example", "/once/1").match == route_match::unconfigured));
    BOOST_TEST(table.adopt(test::make_config(8)));
    BOOST_TEST(!table.adopt(test::make_config(8)));
    BOOST_TEST(!table.adopt(test::make_config(2)));
    BOOST_TEST(table.config()->version == 8U);
}

BOOST_AUTO_TEST_CASE(services_are_drawn_by_weight)
{
    route_spec route = test::make_route("/once/", route_kind::idempotent, "desk");
    route.services = {{service_id("many"), 90}, {service_id("few"), 10}};
    random_generator random(5);
    int many = 0;
    constexpr int draws = 2000;
    for (int draw = 0; draw < draws; ++draw) {
        many += choose_service(route, random) == service_id("many") ? 1 : 0;
    }
    BOOST_TEST(many > draws * 85 / 100);
    BOOST_TEST(many < draws * 95 / 100);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::relay
