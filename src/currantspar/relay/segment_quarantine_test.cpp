#include "currantspar/relay/segment_quarantine.hpp"

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "test_relay.hpp"

namespace currantspar::relay {

namespace {

using test::at;

constexpr segment_id common = 1; ///< the first segment of all requests
constexpr segment_id crashing = 7;
constexpr auto ms = [](int count) { return std::chrono::milliseconds(count); };

request_info request_with(std::vector<segment_id> segments)
{
    request_info request;
    for (const segment_id each : segments) {
        request.segments.push_back({each, 100});
    }
    request.segments.push_back({999, 100});
    return request;
}

lost_request lost(unsigned number, std::vector<segment_id> segments, duration since_sent = ms(100))
{
    return {"r" + std::to_string(number),
            backend_id("engine-" + std::to_string(number)),
            1,
            since_sent,
            duration{},
            std::move(segments)};
}

/// Crashes of one engine a second from the second `from` on, each with one request; others complete between.
void crash_in_turn(segment_quarantine& node, const std::vector<segment_id>& segments, unsigned count,
                   double from = 1)
{
    for (unsigned crash = 0; crash < count; ++crash) {
        const double now = from + crash;
        node.on_crash({lost(static_cast<unsigned>(100 * from) + crash, segments)}, at(now));
        node.on_completed(request_with({500}), at(now + 0.5));
    }
}

bool refused(segment_quarantine& node, const std::vector<segment_id>& segments, double now)
{
    return node.check(request_with(segments), at(now)).refused.has_value();
}

/// Carries what one node has to say to another.
void tell(segment_quarantine& from, segment_quarantine& to, double now, bool full = false,
          double delay = 0.005)
{
    to.on_peer_report("peer", from.make_report(full, at(now)), at(now + delay));
}

} // namespace

BOOST_AUTO_TEST_SUITE(segment_quarantine_tests)

BOOST_AUTO_TEST_CASE(a_segment_under_which_three_engines_crashed_in_turn_is_refused)
{
    segment_quarantine node;
    crash_in_turn(node, {common, crashing}, 2);
    BOOST_TEST(!refused(node, {common, crashing}, 3));
    node.on_crash({lost(3, {common, crashing})}, at(3));
    BOOST_TEST(refused(node, {common, crashing}, 3.1));
    BOOST_TEST(refused(node, {crashing, 8}, 3.1));
    const auto changes = node.take_changes();
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST((changes[0].what == quarantine_change::kind::started));
    BOOST_TEST(changes[0].engines.size() == 3U);
    BOOST_TEST(changes[0].requests.size() == 3U);
}

/// Guards against refusing sound requests, which share all other segments with those that crash engines.
BOOST_AUTO_TEST_CASE(other_segments_of_the_same_requests_are_not_refused)
{
    segment_quarantine node;
    crash_in_turn(node, {common, crashing}, 10);
    BOOST_TEST(!refused(node, {common}, 12));
    BOOST_TEST(!refused(node, {common, 8}, 12));
    BOOST_TEST(node.size() == 1U);
}

BOOST_AUTO_TEST_CASE(the_segment_that_no_request_completed_with_is_blamed_wherever_it_stands)
{
    segment_quarantine node;
    node.on_completed(request_with({common, 8}), at(0.5));
    crash_in_turn(node, {common, crashing, 8}, 3);
    BOOST_TEST(refused(node, {crashing}, 5));
    BOOST_TEST(!refused(node, {common, 8}, 5));
}

BOOST_AUTO_TEST_CASE(the_private_segment_of_a_request_is_never_refused)
{
    segment_quarantine node;
    crash_in_turn(node, {common, crashing}, 3);
    request_info request = request_with({common});
    request.segments.back().id = crashing;
    BOOST_TEST(!node.check(request, at(5)).refused.has_value());
}

BOOST_AUTO_TEST_CASE(two_crashing_segments_at_once_are_both_refused)
{
    segment_quarantine node;
    for (unsigned crash = 0; crash < 3; ++crash) {
        node.on_crash({lost(crash, {common, crashing})}, at(1 + crash));
        node.on_crash({lost(10 + crash, {common, 70})}, at(1.3 + crash));
        node.on_completed(request_with({500}), at(1.6 + crash));
    }
    BOOST_TEST(refused(node, {common, crashing}, 4));
    BOOST_TEST(refused(node, {common, 70}, 4));
    BOOST_TEST(!refused(node, {common}, 4));
}

/// Guards against blaming the other requests of engines that another request crashed: where few engines are
/// left, requests that are running at all of them are lost again and again.
BOOST_AUTO_TEST_CASE(requests_lost_beside_a_quarantined_segment_are_not_blamed)
{
    segment_quarantine node;
    const auto lost_at = [](unsigned engine, unsigned number, std::vector<segment_id> segments) {
        lost_request each = lost(number, std::move(segments));
        each.engine = backend_id("engine-" + std::to_string(engine));
        return each;
    };
    for (unsigned crash = 0; crash < 3; ++crash) {
        std::vector<lost_request> all = {lost_at(crash, 10 + crash, {common, crashing})};
        if (crash > 0) {
            all.push_back(lost_at(crash, 20 + crash, {common, 30}));
        }
        node.on_crash(all, at(1 + crash));
        node.on_completed(request_with({500}), at(1.5 + crash));
    }
    BOOST_TEST(refused(node, {crashing}, 4));
    // Three crashes had it, two of them explained.
    node.on_crash({lost(90, {common, 30})}, at(5));
    node.on_completed(request_with({500}), at(5.5));
    BOOST_TEST(!refused(node, {common, 30}, 6));
}

/// Guards against blaming what many engines had in common when they crashed at the same time.
BOOST_AUTO_TEST_CASE(crashes_that_overlap_count_once)
{
    segment_quarantine node;
    for (unsigned engine = 0; engine < 16; ++engine) {
        node.on_crash({lost(engine, {common, crashing}, ms(300))}, at(1 + 0.01 * engine));
    }
    node.on_completed(request_with({500}), at(1.3));
    BOOST_TEST(!refused(node, {common, crashing}, 1.5));
}

BOOST_AUTO_TEST_CASE(a_completed_request_clears_its_segments)
{
    segment_quarantine node;
    for (unsigned crash = 0; crash < 12; ++crash) {
        node.on_crash({lost(crash, {common, crashing})}, at(1 + crash));
        node.on_completed(request_with({common, crashing}), at(1.5 + crash));
    }
    BOOST_TEST(!refused(node, {common, crashing}, 14));
    BOOST_TEST(node.size() == 0U);
}

BOOST_AUTO_TEST_CASE(while_no_request_completes_nobody_is_blamed)
{
    segment_quarantine node;
    for (unsigned crash = 0; crash < 8; ++crash) {
        node.on_crash({lost(crash, {common, crashing})}, at(1 + crash));
    }
    BOOST_TEST(!refused(node, {common, crashing}, 9));
}

BOOST_AUTO_TEST_CASE(one_request_that_crashes_an_engine_twice_under_different_starts_counts_twice)
{
    segment_quarantine node;
    for (int start = 1; start <= 3; ++start) {
        lost_request again = lost(1, {common, crashing});
        again.engine_started_ms = start;
        node.on_crash({again}, at(start));
        node.on_crash({again}, at(start + 0.3));
        node.on_completed(request_with({500}), at(start + 0.5));
    }
    BOOST_TEST(node.take_changes().front().engines.size() == 3U);
}

BOOST_AUTO_TEST_CASE(crashes_seen_by_different_nodes_are_counted_together)
{
    std::vector<segment_quarantine> nodes(3);
    for (unsigned crash = 0; crash < 3; ++crash) {
        for (segment_quarantine& each : nodes) {
            each.on_completed(request_with({500}), at(1.5 + crash));
        }
        nodes[crash].on_crash({lost(crash, {common, crashing})}, at(1 + crash));
        for (unsigned other = 0; other < 3; ++other) {
            if (other != crash) {
                tell(nodes[crash], nodes[other], 1 + crash, true);
            }
        }
    }
    for (segment_quarantine& each : nodes) {
        BOOST_TEST(refused(each, {common, crashing}, 3.1));
        BOOST_TEST(!refused(each, {common}, 3.1));
    }
}

/// Guards against reports that are doubled, late or out of order, and against quarantines that nodes prolong
/// for each other.
BOOST_AUTO_TEST_CASE(reports_that_are_repeated_or_late_change_nothing)
{
    segment_quarantine one;
    segment_quarantine other;
    crash_in_turn(one, {common, crashing}, 2);
    other.on_completed(request_with({500}), at(2));
    const quarantine_report early = one.make_report(true, at(2));
    for (int copy = 0; copy < 5; ++copy) {
        other.on_peer_report("one", early, at(2.1 + copy));
    }
    BOOST_TEST(!refused(other, {common, crashing}, 7));
    one.on_crash({lost(3, {common, crashing})}, at(3));
    for (int exchange = 0; exchange < 50; ++exchange) {
        tell(one, other, 4 + exchange, true, 0.9);
        tell(other, one, 4 + exchange, true, 0.9);
    }
    BOOST_TEST(refused(other, {common, crashing}, 60));
    BOOST_TEST(!refused(one, {common, crashing}, 63.1));
}

BOOST_AUTO_TEST_CASE(a_node_that_starts_learns_of_the_quarantine_from_one_full_report)
{
    segment_quarantine node;
    crash_in_turn(node, {common, crashing}, 3);
    static_cast<void>(node.make_report(false, at(4)));
    segment_quarantine started;
    tell(node, started, 20, true);
    BOOST_TEST(refused(started, {common, crashing}, 20.1));
    BOOST_TEST(!refused(started, {common}, 20.1));
}

BOOST_AUTO_TEST_CASE(a_completion_at_one_node_ends_the_quarantine_at_all)
{
    segment_quarantine one;
    segment_quarantine other;
    crash_in_turn(one, {common, crashing}, 3);
    tell(one, other, 4, true);
    BOOST_TEST(refused(other, {common, crashing}, 4.1));
    other.on_completed(request_with({common, crashing}), at(5));
    BOOST_TEST(!refused(other, {common, crashing}, 5.1));
    // The first node's report is older than the completion and must not bring the quarantine back.
    tell(one, other, 5.05, true);
    BOOST_TEST(!refused(other, {common, crashing}, 5.1));
    tell(other, one, 5.1);
    BOOST_TEST(!refused(one, {common, crashing}, 5.2));
}

BOOST_AUTO_TEST_CASE(a_quarantine_lets_one_request_through_at_a_time_and_ever_more_rarely)
{
    segment_quarantine node;
    crash_in_turn(node, {common, crashing}, 3);
    unsigned let_through = 0;
    constexpr int eight_hours = 8 * 3600;
    for (int second = 4; second < eight_hours; ++second) {
        if (!refused(node, {common, crashing}, second)) {
            ++let_through;
            node.on_crash({lost(1000 + let_through, {common, crashing})}, at(second + 0.2));
        }
        node.on_tick(at(second + 0.5));
    }
    BOOST_TEST(let_through == 3U);
}

BOOST_AUTO_TEST_CASE(nodes_take_turns_with_trials)
{
    segment_quarantine one;
    segment_quarantine other;
    crash_in_turn(one, {common, crashing}, 3);
    tell(one, other, 4, true);
    other.set_rank(1);
    const double due = 63.1;
    BOOST_TEST(refused(other, {common, crashing}, due));
    BOOST_TEST(one.check(request_with({common, crashing}), at(due)).trial);
    tell(one, other, due);
    BOOST_TEST(refused(other, {common, crashing}, due + 5));
    BOOST_TEST(refused(one, {common, crashing}, due + 5));
}

BOOST_AUTO_TEST_CASE(a_quarantine_that_no_request_meets_is_forgotten)
{
    segment_quarantine node;
    crash_in_turn(node, {common, crashing}, 3);
    node.on_tick(at(600));
    BOOST_TEST(node.size() == 1U);
    node.on_tick(at(700));
    BOOST_TEST(node.size() == 0U);
}

/// Guards against memory that grows with the segments that callers make up.
BOOST_AUTO_TEST_CASE(segments_without_end_are_bounded)
{
    segment_quarantine node;
    for (unsigned number = 0; number < 3000; ++number) {
        const segment_id made_up = 10000 + number;
        std::vector<segment_id> many;
        for (segment_id each = 0; each < 100; ++each) {
            many.push_back(1000000 + 100 * number + each);
        }
        node.on_crash({lost(number, many)}, at(1 + 0.001 * number));
        node.on_completed(request_with({made_up}), at(1 + 0.001 * number));
        crash_in_turn(node, {made_up}, number % 10 == 0 ? 3 : 0, 10 + number);
    }
    const segment_quarantine_options bounds;
    BOOST_TEST(node.size() <= bounds.max_quarantined);
    const quarantine_report report = node.make_report(true, at(3100));
    BOOST_TEST(report.lost.size() <= bounds.max_reported);
    BOOST_TEST(report.completed.size() <= bounds.max_reported);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::relay
