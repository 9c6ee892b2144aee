#include "currantspar/relay/server_limits.hpp"

#include <deque>

#include <boost/test/unit_test.hpp>

#include "test_relay.hpp"

namespace currantspar::relay {

namespace {

using test::at;

/// The users' bound: the most requests in any span of 4 s.
constexpr double span_s = 4;

double allowed(double per_second)
{
    return 1.5 * span_s * per_second + 5;
}

server_entry make_entry()
{
    server_entry entry = test::make_server("desk-1", "desk");
    entry.started_ms = 7;
    return entry;
}

/// Nodes that are asked all the time, all of which send whenever they may.
struct greedy_nodes
{
    explicit greedy_nodes(std::size_t count) : nodes(count), ended(count, false)
    {
        for (std::size_t index = 0; index < count; ++index) {
            names.push_back("10.0.0." + std::to_string(index));
        }
        update_nodes(0);
    }

    /// Tells each node that is left which ones are.
    void update_nodes(double now)
    {
        std::vector<std::string> live;
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            if (!ended[index]) {
                live.push_back(names[index]);
            }
        }
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            nodes[index].set_nodes(names[index], live, at(now));
        }
    }

    void name_limit(double per_second, double now)
    {
        for (server_limits& node : nodes) {
            node.on_response(server, per_second, at(now), at(now));
        }
    }

    /// Lets all nodes send until `end`; returns the number of requests.
    std::size_t play(double begin, double end)
    {
        std::size_t count = 0;
        constexpr double step_s = 0.01;
        for (double now = begin; now < end; now += step_s) {
            for (std::size_t index = 0; index < nodes.size(); ++index) {
                while (!ended[index] && nodes[index].admits(server.id, at(now))) {
                    nodes[index].on_sent(server.id, at(now));
                    sent.push_back(now);
                    count += 1;
                    BOOST_REQUIRE(count < 100000);
                }
            }
        }
        return count;
    }

    /// Returns the most requests in any span of 4 s.
    [[nodiscard]] std::size_t most_in_span() const
    {
        std::size_t most = 0;
        std::deque<double> span;
        for (const double each : sent) {
            span.push_back(each);
            while (span.front() <= each - span_s) {
                span.pop_front();
            }
            most = std::max(most, span.size());
        }
        return most;
    }

    server_entry server = make_entry();
    std::vector<server_limits> nodes;
    std::vector<bool> ended;
    std::vector<std::string> names;
    std::vector<double> sent;
};

} // namespace

BOOST_AUTO_TEST_SUITE(server_limits_tests)

/// Guards against a limit that each node enforces for itself, and against one that leaves its server without
/// work.
BOOST_AUTO_TEST_CASE(all_nodes_together_send_what_a_server_accepts_and_no_more)
{
    for (const std::size_t count : {1U, 2U, 14U, 106U, 340U}) {
        for (const double per_second : {0.5, 1.7, 3.3, 6.4, 40.0, 500.0}) {
            BOOST_TEST_CONTEXT(count << " nodes, " << per_second << " a second")
            {
                greedy_nodes nodes(count);
                nodes.name_limit(per_second, 1);
                nodes.play(1, 5);
                const std::size_t steady = nodes.play(5, 25);
                BOOST_TEST(static_cast<double>(nodes.most_in_span()) <= allowed(per_second));
                BOOST_TEST(static_cast<double>(steady) >= 20 * per_second * 0.9);
            }
        }
    }
}

/// Guards against requests that nodes saved up before anybody asked, and all send at the same moment.
BOOST_AUTO_TEST_CASE(a_burst_after_a_quiet_time_stays_within_the_limit)
{
    for (const double per_second : {0.0, 1.7, 6.4, 40.0}) {
        greedy_nodes nodes(340);
        nodes.name_limit(per_second, 1);
        nodes.play(100, 110);
        BOOST_TEST(static_cast<double>(nodes.most_in_span()) <= allowed(per_second));
        BOOST_TEST(!nodes.sent.empty());
    }
}

/// Guards against a share that a lost node keeps.
BOOST_AUTO_TEST_CASE(the_share_of_a_lost_node_goes_to_the_others)
{
    greedy_nodes nodes(14);
    nodes.name_limit(5, 1);
    nodes.play(1, 5);
    for (const std::size_t lost : {0U, 2U, 3U, 5U, 8U, 9U, 11U, 12U}) {
        nodes.ended[lost] = true;
    }
    nodes.play(5, 8);
    nodes.update_nodes(8);
    BOOST_TEST(nodes.play(10, 30) >= 90U);
    BOOST_TEST(static_cast<double>(nodes.most_in_span()) <= allowed(5));
}

/// Guards against nodes that come and go and each begin with requests of their own.
BOOST_AUTO_TEST_CASE(a_changing_set_of_nodes_stays_within_the_limit)
{
    greedy_nodes nodes(40);
    nodes.name_limit(6.4, 1);
    double now = 1;
    for (std::size_t turn = 0; turn < 60; ++turn) {
        nodes.ended[(turn * 7) % 40] = !nodes.ended[(turn * 7) % 40];
        nodes.update_nodes(now);
        nodes.play(now, now + 0.5);
        now += 0.5;
    }
    BOOST_TEST(static_cast<double>(nodes.most_in_span()) <= allowed(6.4));
}

/// Guards against a limit that outlives the server's saying so.
BOOST_AUTO_TEST_CASE(a_limit_ends_with_a_response_that_names_none)
{
    const server_entry server = make_entry();
    server_limits limits;
    limits.on_response(server, 2.0, at(1), at(1.1));
    BOOST_TEST(!limits.admits(server.id, at(1.1)));
    limits.on_response(server, std::nullopt, at(2), at(2.1));
    BOOST_TEST(limits.admits(server.id, at(2.1)));
    BOOST_TEST(limits.size() == 0U);
}

/// Guards against a response that was on its way when another one named the limit.
BOOST_AUTO_TEST_CASE(a_response_to_an_earlier_request_does_not_end_a_limit)
{
    const server_entry server = make_entry();
    server_limits limits;
    limits.on_response(server, 2.0, at(1), at(1.2));
    limits.on_response(server, std::nullopt, at(1.1), at(1.3));
    BOOST_TEST(!limits.admits(server.id, at(1.3)));
}

/// Nodes that were not told yet keep to the limit as well, and the latest word holds in whatever order
/// reports arrive.
BOOST_AUTO_TEST_CASE(nodes_tell_each_other_the_latest_word_of_a_server)
{
    const server_entry server = make_entry();
    server_limits told;
    server_limits other;
    told.on_response(server, 2.0, at(1), at(1.1));
    const std::vector<limit_report> first = told.make_report(false, at(1.1));
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST(told.make_report(false, at(1.2)).empty());
    other.on_peer_report(server, first[0], "told", at(1.11));
    BOOST_TEST(!other.admits(server.id, at(1.11)));
    BOOST_TEST(other.make_report(false, at(1.2)).empty());
    BOOST_TEST(other.make_report(true, at(1.2)).size() == 1U);

    told.on_response(server, std::nullopt, at(3), at(3.1));
    const std::vector<limit_report> ended = told.make_report(false, at(3.1));
    BOOST_REQUIRE(ended.size() == 1U);
    other.on_peer_report(server, ended[0], "told", at(3.11));
    BOOST_TEST(other.admits(server.id, at(3.11)));
    // A late copy of the first report, whose age grew on the way, changes nothing.
    limit_report late = first[0];
    late.age = std::chrono::seconds(2);
    other.on_peer_report(server, late, "told", at(3.2));
    BOOST_TEST(other.admits(server.id, at(3.2)));
}

BOOST_AUTO_TEST_CASE(a_report_of_an_earlier_incarnation_is_ignored)
{
    const server_entry server = make_entry();
    server_limits limits;
    limits.on_peer_report(server, {server.id, server.started_ms - 1, 2.0, {}}, "peer", at(1));
    BOOST_TEST(limits.admits(server.id, at(1)));
}

/// Guards against a digest that is lost because it holds too many limits.
BOOST_AUTO_TEST_CASE(reports_are_bounded_and_full_ones_take_turns)
{
    server_limits_options options;
    options.max_reported = 2;
    server_limits limits(options);
    std::set<backend_id> reported;
    for (const char* id : {"a", "b", "c", "d", "e"}) {
        limits.on_response(test::make_server(id, "desk"), 1.0, at(1), at(1));
    }
    for (int turn = 0; turn < 3; ++turn) {
        const std::vector<limit_report> report = limits.make_report(true, at(2));
        BOOST_TEST(report.size() == 2U);
        for (const limit_report& each : report) {
            reported.insert(each.server);
        }
    }
    BOOST_TEST(reported.size() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::relay
