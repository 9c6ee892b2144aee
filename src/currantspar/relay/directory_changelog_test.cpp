#include "currantspar/relay/directory_changelog.hpp"

#include <boost/test/unit_test.hpp>

#include "test_relay.hpp"

namespace currantspar::relay {

namespace {

using test::make_server;

directory_change put(std::uint64_t offset, const std::string& id, bool draining = false)
{
    server_entry entry = make_server(id, "desk");
    entry.draining = draining;
    return {offset, entry.id, entry};
}

directory_change removal(std::uint64_t offset, const std::string& id)
{
    return {offset, backend_id(id), std::nullopt};
}

/// Makes a changelog that listed servers "a" and "b" when the topic ended at offset 10.
directory_changelog listed_changelog()
{
    directory_changelog changelog;
    changelog.on_listed({*put(0, "a").entry, *put(0, "b").entry}, 10);
    return changelog;
}

std::vector<std::string> names(const std::optional<std::vector<directory_change>>& changes)
{
    std::vector<std::string> result;
    for (const directory_change& each : changes.value_or(std::vector<directory_change>())) {
        result.push_back(each.id.str());
    }
    return result;
}

const std::vector<std::string> none;

} // namespace

BOOST_AUTO_TEST_SUITE(directory_changelog_tests)

BOOST_AUTO_TEST_CASE(renewals_of_an_entry_change_nothing)
{
    directory_changelog changelog = listed_changelog();
    BOOST_TEST(!changelog.on_record(put(10, "a")));
    BOOST_TEST(changelog.on_record(put(11, "a", true)));
    BOOST_TEST(!changelog.on_record(put(12, "a", true)));
    BOOST_TEST(changelog.on_record(removal(13, "a")));
    BOOST_TEST(!changelog.on_record(removal(14, "a")));
    BOOST_TEST(changelog.next() == 15U);
}

BOOST_AUTO_TEST_CASE(a_record_that_was_read_before_is_skipped)
{
    directory_changelog changelog = listed_changelog();
    BOOST_TEST(changelog.on_record(put(12, "a", true)));
    BOOST_TEST(!changelog.on_record(put(11, "a")));
    BOOST_TEST(!changelog.on_record(removal(9, "b")));
}

BOOST_AUTO_TEST_CASE(a_follower_applies_each_change_once)
{
    directory_changelog reader = listed_changelog();
    directory_changelog follower = listed_changelog();
    reader.on_record(put(10, "a", true));
    reader.on_record(removal(11, "b"));
    BOOST_TEST(reader.has_unsent_changes());
    const directory_update update = reader.make_update();
    BOOST_TEST(!reader.has_unsent_changes());
    BOOST_TEST(names(follower.apply_update(update)) == (std::vector<std::string>{"a", "b"}));
    BOOST_TEST(follower.next() == reader.next());
    const auto again = follower.apply_update(reader.make_update());
    BOOST_TEST(again.has_value());
    BOOST_TEST(names(again) == none);
}

/// Nearly all records only renew entries, so updates lost between changes must not make 100 nodes read the
/// store.
BOOST_AUTO_TEST_CASE(updates_lost_between_changes_do_no_harm)
{
    directory_changelog reader = listed_changelog();
    directory_changelog follower = listed_changelog();
    for (std::uint64_t offset = 10; offset < 500; ++offset) {
        reader.on_record(put(offset, offset % 2 == 0 ? "a" : "b"));
    }
    BOOST_TEST(follower.apply_update(reader.make_update()).has_value());
    BOOST_TEST(follower.next() == 500U);
}

BOOST_AUTO_TEST_CASE(an_update_that_omits_a_change_is_not_applied)
{
    directory_changelog reader = listed_changelog();
    directory_changelog follower = listed_changelog();
    reader.on_record(put(10, "a", true));
    static_cast<void>(reader.make_update());
    static_cast<void>(reader.make_update());
    const directory_update later = reader.make_update();
    BOOST_TEST(later.changes.empty());
    BOOST_TEST(!follower.apply_update(later).has_value());
    BOOST_TEST(follower.next() == 10U);
    // Once the follower has read the store itself, it can apply updates again.
    follower.on_record(put(10, "a", true));
    BOOST_TEST(follower.apply_update(later).has_value());
}

BOOST_AUTO_TEST_CASE(a_node_without_a_listing_applies_no_update)
{
    directory_changelog reader = listed_changelog();
    directory_changelog fresh;
    BOOST_TEST(!fresh.apply_update(reader.make_update()).has_value());
}

BOOST_AUTO_TEST_CASE(an_old_update_that_was_reordered_reverts_nothing)
{
    directory_changelog reader = listed_changelog();
    directory_changelog follower = listed_changelog();
    reader.on_record(put(10, "a", true));
    const directory_update old = reader.make_update();
    reader.on_record(removal(11, "a"));
    BOOST_TEST(follower.apply_update(reader.make_update()).has_value());
    BOOST_TEST(names(follower.apply_update(old)) == none);
    BOOST_TEST(follower.next() == 12U);
}

BOOST_AUTO_TEST_CASE(a_burst_of_changes_is_sent_up_to_a_bound)
{
    directory_changelog reader = listed_changelog();
    directory_changelog follower = listed_changelog();
    for (std::uint64_t offset = 10; offset < 110; ++offset) {
        reader.on_record(put(offset, "n" + std::to_string(offset)));
    }
    const directory_update update = reader.make_update();
    BOOST_TEST(update.changes.size() <= directory_changelog_options().max_changes);
    BOOST_TEST(!follower.apply_update(update).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::relay
