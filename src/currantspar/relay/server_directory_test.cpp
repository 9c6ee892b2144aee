#include "currantspar/relay/server_directory.hpp"

#include <boost/test/unit_test.hpp>

#include "test_relay.hpp"

namespace currantspar::relay {

namespace {

using test::at;
using test::make_server;

const service_id desk("desk");

} // namespace

BOOST_AUTO_TEST_SUITE(server_directory_tests)

BOOST_AUTO_TEST_CASE(a_server_that_drains_or_leaves_is_closed_at_once)
{
    server_directory directory;
    directory.put(make_server("one", "desk"), at(0));
    directory.put(make_server("two", "desk"), at(0));
    server_entry leaving = make_server("one", "desk");
    leaving.draining = true;
    BOOST_TEST((directory.put(leaving, at(1)) == entry_change::closed));
    BOOST_TEST(directory.open_servers(desk).size() == 1U);
    BOOST_TEST((directory.remove(backend_id("two"), at(1)) == entry_change::closed));
    BOOST_TEST(directory.open_servers(desk).empty());
}

BOOST_AUTO_TEST_CASE(entries_that_expire_in_an_outage_are_used_until_two_seconds_after_it)
{
    server_directory directory;
    directory.put(make_server("one", "desk"), at(0));
    directory.on_store_lost(at(1));
    directory.remove(backend_id("one"), at(2));
    BOOST_TEST(directory.open_servers(desk).size() == 1U);
    directory.on_store_recovered(at(10));
    directory.on_tick(at(11.9));
    BOOST_TEST(directory.open_servers(desk).size() == 1U);
    directory.on_tick(at(12.3));
    BOOST_TEST(directory.open_servers(desk).empty());
}

BOOST_AUTO_TEST_CASE(an_entry_that_is_written_again_after_an_outage_stays)
{
    server_directory directory;
    directory.put(make_server("one", "desk"), at(0));
    directory.on_store_lost(at(1));
    directory.remove(backend_id("one"), at(2));
    directory.on_store_recovered(at(10));
    directory.put(make_server("one", "desk"), at(11));
    directory.on_tick(at(13));
    BOOST_TEST(directory.open_servers(desk).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_listing_replaces_what_was_known)
{
    server_directory directory;
    directory.put(make_server("one", "desk"), at(0));
    for (const directory_change& change : directory.changes_to({make_server("two", "desk")})) {
        directory.apply(change, at(20));
    }
    BOOST_TEST(directory.open_servers(desk).size() == 1U);
    BOOST_TEST((directory.open_servers(desk).front().id == backend_id("two")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::relay
