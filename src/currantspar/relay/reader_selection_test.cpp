#include "currantspar/relay/reader_selection.hpp"

#include <vector>

#include <boost/test/unit_test.hpp>

#include "test_relay.hpp"

namespace currantspar::relay {

namespace {

using test::at;

const data_centre_id here("a");
const data_centre_id there("b");
constexpr duration fresh = std::chrono::milliseconds(100);

/// Nodes of one data centre that hear each other without loss; each tick those that read tell the rest.
class reading_nodes
{
public:
    explicit reading_nodes(unsigned count)
    {
        for (unsigned place = 0; place < count; ++place) {
            turns_.emplace_back(name(place), here);
            up_.push_back(true);
        }
        for (reader_selection& turn : turns_) {
            for (unsigned place = 0; place < count; ++place) {
                turn.on_node(name(place), here);
            }
        }
    }

    void set_up(unsigned place, bool up) { up_[place] = up; }

    /// How many read the store now; what they read reaches the others at once.
    unsigned readers(instant now)
    {
        unsigned count = 0;
        for (unsigned place = 0; place < turns_.size(); ++place) {
            if (!up_[place] || !turns_[place].should_read(now)) {
                continue;
            }
            count += 1;
            for (unsigned other = 0; other < turns_.size(); ++other) {
                if (other != place && up_[other]) {
                    turns_[other].on_update(name(place), fresh, now);
                }
            }
        }
        return count;
    }

private:
    static std::string name(unsigned place) { return "10.0.0." + std::to_string(100 + place) + ":7380"; }

    std::vector<reader_selection> turns_;
    std::vector<bool> up_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(reader_turn_tests)

/// The load: 26 nodes of a data centre before a store whose calls are dear. One of them reads.
BOOST_AUTO_TEST_CASE(one_node_of_a_data_centre_reads)
{
    reading_nodes nodes(26);
    nodes.readers(at(0));
    for (int tick = 1; tick < 200; ++tick) {
        BOOST_TEST(nodes.readers(at(tick * 0.025)) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(another_node_reads_within_a_second_and_a_half_when_the_reader_is_gone)
{
    reading_nodes nodes(26);
    nodes.readers(at(0));
    nodes.readers(at(1));
    nodes.set_up(0, false);
    unsigned reads = 0;
    double taken_over = 0;
    for (double now = 1; now < 5; now += 0.025) {
        const unsigned readers = nodes.readers(at(now));
        reads += readers;
        if (readers > 0 && taken_over == 0) {
            taken_over = now;
        }
        BOOST_TEST(readers <= 1U);
    }
    BOOST_TEST(taken_over > 1);
    BOOST_TEST(taken_over < 2.5);
    BOOST_TEST(reads > 0U);
}

BOOST_AUTO_TEST_CASE(a_node_that_hears_nothing_reads_by_itself)
{
    const reader_selection alone("10.0.0.5:1", here);
    BOOST_TEST(alone.should_read(at(0)));
    BOOST_TEST(alone.should_read(at(100)));
}

BOOST_AUTO_TEST_CASE(only_nodes_before_it_in_its_data_centre_are_relied_on)
{
    reader_selection turn("10.0.0.5:1", here);
    turn.on_node("10.0.0.6:1", here);
    turn.on_node("10.0.0.4:1", there);
    BOOST_TEST(!turn.on_update("10.0.0.6:1", fresh, at(1)));
    BOOST_TEST(!turn.on_update("10.0.0.4:1", fresh, at(1)));
    BOOST_TEST(turn.should_read(at(1)));
    turn.on_node("10.0.0.3:1", here);
    BOOST_TEST(turn.on_update("10.0.0.3:1", fresh, at(1)));
    BOOST_TEST(!turn.should_read(at(1)));
}

/// A reader that is itself cut off from the store goes on to tell what it knew; its age gives it away.
BOOST_AUTO_TEST_CASE(old_knowledge_is_not_relied_on_however_lately_it_was_told)
{
    reader_selection turn("10.0.0.5:1", here);
    turn.on_node("10.0.0.3:1", here);
    turn.on_update("10.0.0.3:1", fresh, at(1));
    for (double now = 1; now < 4; now += 0.1) {
        turn.on_update("10.0.0.3:1", from_seconds(now - 1), at(now));
    }
    BOOST_TEST(turn.should_read(at(4)));
}

BOOST_AUTO_TEST_CASE(a_node_that_wakes_from_suspension_reads_before_it_relies_on_what_it_knew)
{
    reader_selection turn("10.0.0.5:1", here);
    turn.on_node("10.0.0.3:1", here);
    turn.on_update("10.0.0.3:1", fresh, at(1));
    BOOST_TEST(!turn.should_read(at(1.2)));
    BOOST_TEST(turn.should_read(at(6)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::relay
