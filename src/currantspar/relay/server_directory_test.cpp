#include "currantspar/relay/server_directory.hpp"

#include <boost/test/unit_test.hpp>

#include "test_relay.hpp"

namespace currantspar::relay {

namespace {

using test::at;
using test::make_server;

const service_id desk("desk");
const backend_id one("one");

/// A directory of one server, which is ticked ten times a second.
struct watched_directory
{
    watched_directory() { directory.put(make_server("one", "desk"), at(0)); }

    /// Ticks until `seconds` and returns whether the server is in use then.
    bool open_at(double seconds)
    {
        constexpr duration period = std::chrono::milliseconds(100);
        for (; now < at(seconds); now += period) {
            directory.on_tick(now);
            if (writes) {
                directory.on_written(make_server("one", "desk"), now);
            }
            was_open = was_open || directory.is_open(one);
        }
        return directory.is_open(one);
    }

    /// Removes the entry and writes it again half a second later.
    void remove_and_return(double seconds)
    {
        open_at(seconds);
        directory.remove(one, now);
        open_at(seconds + 0.5);
        directory.put(make_server("one", "desk"), now);
    }

    void put(std::int64_t started_ms, bool draining = false)
    {
        server_entry entry = make_server("one", "desk");
        entry.started_ms = started_ms;
        entry.draining = draining;
        directory.put(entry, now);
    }

    server_directory directory;
    instant now = at(0);
    bool writes = true;    ///< the server, its entry
    bool was_open = false; ///< since it was reset
};

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

/// Guards against requests to a server within its pause because its entry lapsed and was written again.
BOOST_AUTO_TEST_CASE(a_pause_outlives_the_removal_and_return_of_the_entry)
{
    watched_directory node;
    node.directory.on_pause(one, at(10), at(1));
    node.remove_and_return(2);
    BOOST_TEST(!node.directory.is_open(one));
    BOOST_TEST((node.directory.first_pause_end(desk) == std::optional(at(10))));
    BOOST_TEST(!node.open_at(10));
    BOOST_TEST(node.open_at(10.2));
    const auto ends = node.directory.take_statement_ends();
    BOOST_REQUIRE(ends.size() == 1U);
    BOOST_TEST((ends[0].what == statement_end::kind::pause));
    BOOST_TEST((ends[0].server == one));
    BOOST_TEST(std::string(ends[0].reason) == "over");
    BOOST_TEST((ends[0].lasted == std::chrono::seconds(9)));
}

BOOST_AUTO_TEST_CASE(a_restart_ends_a_pause_and_an_announced_shutdown_also_after_a_removal)
{
    watched_directory node;
    node.directory.on_pause(one, at(10), at(1));
    node.directory.on_leaving(one, at(1));
    node.open_at(2);
    node.directory.remove(one, at(2));
    node.put(5);
    BOOST_TEST(node.directory.is_open(one));
    const auto ends = node.directory.take_statement_ends();
    BOOST_REQUIRE(ends.size() == 2U);
    BOOST_TEST(std::string(ends[0].reason) == "restarted");
    BOOST_TEST(std::string(ends[1].reason) == "restarted");
    BOOST_TEST(node.directory.take_statement_ends().empty());
}

/// Guards against requests to a server that leaves, when its entry was removed, as that of one that leaves
/// without draining is, and a late write of the server brings it back until it lapses.
BOOST_AUTO_TEST_CASE(a_server_that_leaves_gets_nothing_when_its_entry_returns)
{
    watched_directory node;
    node.open_at(1);
    node.directory.on_leaving(one, node.now);
    node.was_open = false;
    node.writes = false;
    for (const double seconds : {2.0, 10.0, 69.0, 128.0}) {
        node.remove_and_return(seconds);
        node.open_at(seconds + 4.5);
        node.directory.remove(one, node.now);
    }
    node.open_at(132);
    BOOST_TEST(!node.was_open);
}

/// The last requests of a server that leaves may end after its entry was removed.
BOOST_AUTO_TEST_CASE(a_shutdown_that_is_announced_after_the_removal_counts_when_the_entry_returns)
{
    watched_directory node;
    node.open_at(1);
    node.directory.remove(one, node.now);
    BOOST_TEST(node.directory.on_leaving(one, at(1.5)));
    BOOST_TEST(node.directory.on_pause(one, at(4), at(1.5)));
    node.open_at(2);
    node.directory.put(make_server("one", "desk"), node.now);
    BOOST_TEST(!node.directory.is_open(one));
    BOOST_TEST(!node.open_at(5));
}

/// Guards against a server that is closed for good because it announced a shutdown and stays.
BOOST_AUTO_TEST_CASE(a_server_that_announced_its_shutdown_and_stays_is_used_again_after_a_minute)
{
    watched_directory node;
    node.open_at(1);
    node.directory.on_leaving(one, node.now);
    BOOST_TEST(!node.open_at(5));
    BOOST_TEST(!node.directory.on_leaving(one, node.now));
    BOOST_TEST(!node.open_at(65));
    BOOST_TEST(node.open_at(65.2));
    const auto ends = node.directory.take_statement_ends();
    BOOST_REQUIRE(ends.size() == 1U);
    BOOST_TEST((ends[0].what == statement_end::kind::leaving));
    BOOST_TEST(std::string(ends[0].reason) == "stayed");
    BOOST_TEST((ends[0].lasted == std::chrono::seconds(64)));
    BOOST_TEST(node.directory.on_leaving(one, node.now));
    BOOST_TEST(!node.directory.is_open(one));
}

/// Guards against requests to a server that leaves and can't tell it: while the store takes no writes,
/// entries may stay, and the server waits for its report to be accepted.
BOOST_AUTO_TEST_CASE(an_entry_that_is_not_written_anew_does_not_end_an_announced_shutdown)
{
    watched_directory node;
    node.open_at(1);
    node.directory.on_leaving(one, node.now);
    node.writes = false;
    BOOST_TEST(!node.directory.awaits_write(at(60.9)));
    BOOST_TEST(!node.open_at(1000));
    BOOST_TEST(node.directory.awaits_write(node.now));
    server_entry draining = make_server("one", "desk");
    draining.draining = true;
    node.directory.on_written(draining, node.now);
    BOOST_TEST(!node.directory.awaits_write(node.now));
    node.writes = true;
    BOOST_TEST(!node.open_at(1059));
    BOOST_TEST(node.open_at(1061));
}

/// An entry that may be out of date doesn't tell whether the server has stayed.
BOOST_AUTO_TEST_CASE(an_announced_shutdown_ends_only_while_the_entry_is_sure)
{
    watched_directory node;
    node.open_at(1);
    node.directory.on_leaving(one, node.now);
    // While the store is away, and until lapsed entries would be back, the entry stays whatever happens.
    node.open_at(40);
    node.directory.on_store_lost(node.now);
    BOOST_TEST(!node.open_at(200));
    node.directory.on_store_recovered(node.now);
    BOOST_TEST(!node.open_at(261));
    // Draining, and back without a restart.
    node.put(0, true);
    node.open_at(300);
    node.put(0);
    BOOST_TEST(!node.open_at(359));
    // This process stood still, and reads what was written before.
    node.now = at(500);
    node.directory.on_written(make_server("one", "desk"), node.now);
    BOOST_TEST(!node.open_at(559));
    BOOST_TEST(node.open_at(561));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::relay
