#include "currantspar/relay/reader_selection.hpp"

#include <vector>

#include <boost/test/unit_test.hpp>

#include "test_relay.hpp"

namespace currantspar::relay {

namespace {

using test::at;

const data_centre_id here("a");
const data_centre_id there("b");
constexpr duration recent_age = std::chrono::milliseconds(100);

/// Nodes of one data centre that exchange updates without loss; at each tick the readers update the others.
class reading_nodes
{
public:
    explicit reading_nodes(unsigned count)
    {
        for (unsigned rank = 0; rank < count; ++rank) {
            selections_.emplace_back(name(rank), here);
            up_.push_back(true);
        }
        for (reader_selection& selection : selections_) {
            for (unsigned rank = 0; rank < count; ++rank) {
                selection.on_node(name(rank), here);
            }
        }
    }

    void set_up(unsigned rank, bool up) { up_[rank] = up; }

    /// Returns how many nodes read the store now; their updates reach the others at once.
    unsigned readers(instant now)
    {
        unsigned count = 0;
        for (unsigned rank = 0; rank < selections_.size(); ++rank) {
            if (!up_[rank] || !selections_[rank].should_read(now)) {
                continue;
            }
            count += 1;
            for (unsigned other = 0; other < selections_.size(); ++other) {
                if (other != rank && up_[other]) {
                    selections_[other].on_update(name(rank), recent_age, now);
                }
            }
        }
        return count;
    }

private:
    static std::string name(unsigned rank) { return "10.0.0." + std::to_string(100 + rank) + ":7380"; }

    std::vector<reader_selection> selections_;
    std::vector<bool> up_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(reader_selection_tests)

/// Calls to the store are expensive, so only one of a data centre's 26 nodes reads it.
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
    unsigned read_count = 0;
    double failover_at = 0;
    for (double now = 1; now < 5; now += 0.025) {
        const unsigned readers = nodes.readers(at(now));
        read_count += readers;
        if (readers > 0 && failover_at == 0) {
            failover_at = now;
        }
        BOOST_TEST(readers <= 1U);
    }
    BOOST_TEST(failover_at > 1);
    BOOST_TEST(failover_at < 2.5);
    BOOST_TEST(read_count > 0U);
}

BOOST_AUTO_TEST_CASE(a_node_that_receives_nothing_reads_the_store)
{
    const reader_selection alone("10.0.0.5:1", here);
    BOOST_TEST(alone.should_read(at(0)));
    BOOST_TEST(alone.should_read(at(100)));
}

BOOST_AUTO_TEST_CASE(only_preceding_nodes_of_its_data_centre_are_relied_on)
{
    reader_selection selection("10.0.0.5:1", here);
    selection.on_node("10.0.0.6:1", here);
    selection.on_node("10.0.0.4:1", there);
    BOOST_TEST(!selection.on_update("10.0.0.6:1", recent_age, at(1)));
    BOOST_TEST(!selection.on_update("10.0.0.4:1", recent_age, at(1)));
    BOOST_TEST(selection.should_read(at(1)));
    selection.on_node("10.0.0.3:1", here);
    BOOST_TEST(selection.on_update("10.0.0.3:1", recent_age, at(1)));
    BOOST_TEST(!selection.should_read(at(1)));
}

/// A reader that is cut off from the store keeps sending its last data; the age of the data reveals this.
BOOST_AUTO_TEST_CASE(old_data_is_not_relied_on_however_recently_it_was_sent)
{
    reader_selection selection("10.0.0.5:1", here);
    selection.on_node("10.0.0.3:1", here);
    selection.on_update("10.0.0.3:1", recent_age, at(1));
    for (double now = 1; now < 4; now += 0.1) {
        selection.on_update("10.0.0.3:1", from_seconds(now - 1), at(now));
    }
    BOOST_TEST(selection.should_read(at(4)));
}

BOOST_AUTO_TEST_CASE(a_node_that_resumes_from_suspension_reads_before_it_relies_on_old_data)
{
    reader_selection selection("10.0.0.5:1", here);
    selection.on_node("10.0.0.3:1", here);
    selection.on_update("10.0.0.3:1", recent_age, at(1));
    BOOST_TEST(!selection.should_read(at(1.2)));
    BOOST_TEST(selection.should_read(at(6)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::relay
