#include <thread>
#include <vector>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Reactor.h>
#include <boost/test/unit_test.hpp>

#include "currantspar/gateway/peer_link.hpp"
#include "currantspar/io/clock.hpp"
#include "test_peer.hpp"

namespace currantspar::gateway {

namespace {

/// A link to which a test sends digests in the name of one peer.
struct receiving_link
{
    explicit receiving_link(peer_link_options options = {})
        : link(reactor, options, [this](const load_digest& digest) { received.push_back(digest); })
    {
        BOOST_REQUIRE(link.open(address, data_centre_id("a")).has_value());
    }

    /// Returns whether a digest of the peer counts.
    bool counts(std::uint64_t incarnation, std::uint64_t sequence)
    {
        load_digest digest{"127.0.0.1:9", sequence, false, {}, {}, 1, data_centre_id("a"), {}};
        digest.incarnation = incarnation;
        const std::size_t before = received.size();
        test::send_datagram(address, encode_digest(digest));
        link.handle_input(ACE_INVALID_HANDLE);
        return received.size() > before;
    }

    ACE_Reactor reactor{new ACE_Dev_Poll_Reactor, true};
    std::vector<load_digest> received;
    std::string address = test::free_address();
    peer_link link;
};

} // namespace

BOOST_AUTO_TEST_SUITE(peer_link_tests)

/// Guards against a restarted node that isn't heard until its sequence numbers have caught up, which takes
/// up to a minute when it has little to say.
BOOST_AUTO_TEST_CASE(the_first_digest_of_a_restarted_node_counts)
{
    receiving_link node;
    BOOST_TEST(node.counts(1000, 40));
    BOOST_TEST(node.counts(2000, 1));
    BOOST_TEST(node.counts(2000, 2));
    BOOST_TEST(!node.counts(2000, 1));
}

/// Guards against a delayed datagram of the process before the restart that replaces what is known.
BOOST_AUTO_TEST_CASE(a_late_digest_from_before_a_restart_does_not_count)
{
    receiving_link node;
    BOOST_TEST(node.counts(1000, 4000));
    BOOST_TEST(node.counts(2000, 1));
    BOOST_TEST(!node.counts(1000, 4001));
    BOOST_TEST(node.counts(2000, 2));
}

/// Guards against a node that is ignored for good because its wall clock was set back before it restarted.
BOOST_AUTO_TEST_CASE(a_node_whose_clock_was_set_back_counts_once_its_former_process_is_silent)
{
    peer_link_options options;
    options.incarnation_timeout = std::chrono::milliseconds(100);
    receiving_link node(options);
    const instant silent_since = io::monotonic_now();
    BOOST_TEST(node.counts(2000, 40));
    // A digest that doesn't count must not put off the time at which one does.
    bool counted = false;
    while (!counted && io::monotonic_now() - silent_since < std::chrono::seconds(5)) {
        counted = node.counts(1000, 1);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    BOOST_TEST(counted);
    BOOST_TEST((io::monotonic_now() - silent_since >= options.incarnation_timeout));
    BOOST_TEST(node.counts(1000, 2));
    BOOST_TEST(!node.counts(1000, 1));
}

/// Nodes of earlier releases name no incarnation.
BOOST_AUTO_TEST_CASE(digests_without_an_incarnation_are_ordered_by_their_sequence)
{
    receiving_link node;
    BOOST_TEST(node.counts(0, 100));
    BOOST_TEST(!node.counts(0, 99));
    BOOST_TEST(node.counts(0, 20));
    BOOST_TEST(node.counts(1000, 1));
    BOOST_TEST(node.counts(0, 2));
    BOOST_TEST(!node.counts(0, 1));
    BOOST_TEST(node.counts(0, 3));
}

BOOST_AUTO_TEST_CASE(a_node_names_a_greater_incarnation_after_each_start)
{
    receiving_link node;
    const std::string sender = test::free_address();
    for (int start = 0; start < 3; ++start) {
        ACE_Reactor reactor(new ACE_Dev_Poll_Reactor, true);
        peer_link link(reactor, {}, [](const load_digest&) {});
        BOOST_REQUIRE(link.open(sender, data_centre_id("a")).has_value());
        link.add_peer(node.address, io::monotonic_now());
        relay::engine_choice work{relay::engine_choice_options{}};
        relay::segment_quarantine quarantine;
        link.send_digest(work, quarantine, 1, std::nullopt, io::monotonic_now());
        node.link.handle_input(ACE_INVALID_HANDLE);
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    BOOST_REQUIRE(node.received.size() == 3U);
    BOOST_TEST(node.received[0].incarnation > 0U);
    BOOST_TEST(node.received[1].incarnation > node.received[0].incarnation);
    BOOST_TEST(node.received[2].incarnation > node.received[1].incarnation);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::gateway
