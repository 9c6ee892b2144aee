#include "currantspar/io/peer_network.hpp"

#include <condition_variable>
#include <mutex>

#include <boost/test/unit_test.hpp>

#include "test_socket.hpp"

namespace currantspar::io {

namespace {

using namespace std::chrono_literals;

/// Keeps what an adapter tells and lets a test wait for it.
class event_log
{
public:
    event_sink sink()
    {
        return [this](core::event_body body) {
            const std::lock_guard lock(mutex_);
            events_.push_back(std::move(body));
            changed_.notify_all();
        };
    }

    /// The first `count` events, or fewer when they take too long.
    std::vector<core::event_body> wait_for(std::size_t count)
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, 10s, [&] { return events_.size() >= count; });
        return events_;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<core::event_body> events_;
};

node_id free_node()
{
    return node_id("127.0.0.1:" + std::to_string(free_port()));
}

std::unique_ptr<peer_network> open_network(const node_id& self, event_log& events)
{
    peer_network_options options;
    options.self = self;
    options.process = incarnation(7);
    options.answer_limit = 300ms;
    auto opened = make_capnp_peer_network(options, events.sink());
    BOOST_REQUIRE(opened.has_value());
    return std::move(*opened);
}

std::vector<core::peer_message> one_of_each()
{
    core::node_summary summary{data_centre_id("dc"), revision(3), log_offset(4), 5, log_offset(6), true, "v"};
    policy::engine_report report;
    report.engine = engine_id("e");
    report.condition = policy::engine_condition::leaving;
    report.role = config::engine_role::decode;
    report.load = {"m", "a", "1"};
    report.prefill_tokens_left = 9;
    core::load_digest digest;
    digest.reports = {report};
    digest.report_ages = {12ms};
    digest.work.node = node_id("n");
    digest.work.engines = {{engine_id("e"), 1, 2, 3, 4}};
    digest.work.organisations = {{organisation_id("o"), 1.5, 2}};
    digest.work.services = {{service_id("s"), 1.5, 2.5, 3.5}};
    digest.work.partial = true;
    digest.cache_events = {{engine_id("e"), 4, {{5, false}}}};
    agreement::key_record key;
    key.entries.push_back({call_key("k"), 1, request_id("r")});
    agreement::key_outcome_record outcome;
    outcome.entries.push_back({call_key("k"), agreement::call_outcome::answered, 200, "t", "body", true});
    agreement::checkpoint_record part;
    part.covers = log_offset(8);
    part.body = "state";
    return {
        core::probe{1, node_id("t"), summary},
        core::probe_answer{2, node_id("t"), false, summary},
        core::pool_routing_view{{service_id("s"), data_centre_id("dc")}, fence(1), 2, 3ms, {engine_id("e")}},
        core::routing_view_ack{{service_id("s"), data_centre_id("dc")}, fence(1), 2},
        digest,
        core::checkpoint_request{},
        core::checkpoint_answer{{part}},
        core::key_relay{{key}, {outcome}}};
}

BOOST_AUTO_TEST_SUITE(peer_messages)

BOOST_AUTO_TEST_CASE(every_kind_arrives_as_it_was_sent)
{
    event_log at_a;
    event_log at_b;
    const node_id a = free_node();
    const node_id b = free_node();
    const auto from = open_network(a, at_a);
    const auto to = open_network(b, at_b);
    const std::vector<core::peer_message> sent = one_of_each();
    for (std::size_t index = 0; index < sent.size(); ++index) {
        from->send({b, index + 1, sent[index]});
    }
    const auto events = at_b.wait_for(sent.size());
    BOOST_TEST_REQUIRE(events.size() == sent.size());
    for (std::size_t index = 0; index < sent.size(); ++index) {
        const auto& received = std::get<core::peer_received>(events[index]);
        BOOST_TEST(received.from.str() == a.str());
        BOOST_TEST(received.counter == index + 1);
        BOOST_TEST(nlohmann::json(received.message).dump() == nlohmann::json(sent[index]).dump());
    }
}

BOOST_AUTO_TEST_CASE(absent_node_is_unreachable)
{
    event_log events;
    const auto network = open_network(free_node(), events);
    const node_id absent = free_node();
    network->send({absent, 1, core::checkpoint_request{}});
    const auto got = events.wait_for(1);
    BOOST_TEST_REQUIRE(got.size() == 1U);
    BOOST_TEST(std::get<core::peer_unreachable>(got[0]).node.str() == absent.str());
}

BOOST_AUTO_TEST_CASE(silent_connection_is_dialled_anew)
{
    event_log events;
    const auto network = open_network(free_node(), events);
    const scripted_server silent({});
    network->send({node_id(silent.address()), 1, core::checkpoint_request{}});
    BOOST_TEST(events.wait_for(1).size() == 1U);
    network->send({node_id(silent.address()), 2, core::checkpoint_request{}});
    BOOST_TEST(events.wait_for(2).size() == 2U);
    BOOST_TEST(silent.connections() == 2U);
}

BOOST_AUTO_TEST_CASE(node_that_comes_back_is_reached_again)
{
    event_log at_a;
    event_log at_b;
    const node_id b = free_node();
    const auto from = open_network(free_node(), at_a);
    auto to = open_network(b, at_b);
    from->send({b, 1, core::checkpoint_request{}});
    BOOST_TEST(at_b.wait_for(1).size() == 1U);
    to.reset();
    from->send({b, 2, core::checkpoint_request{}});
    BOOST_TEST(at_a.wait_for(1).size() == 1U);
    to = open_network(b, at_b);
    from->send({b, 3, core::checkpoint_request{}});
    BOOST_TEST(at_b.wait_for(2).size() == 2U);
}

BOOST_AUTO_TEST_CASE(garbage_harms_nobody)
{
    event_log at_a;
    event_log at_b;
    const node_id b = free_node();
    const auto from = open_network(free_node(), at_a);
    const auto to = open_network(b, at_b);
    const auto port = static_cast<std::uint16_t>(std::stoi(b.str().substr(b.str().find(':') + 1)));
    raw_caller garbage(port);
    garbage.write("GET / HTTP/1.1\r\n\r\n" + std::string(4096, '\xff'));
    garbage.read_all(2s);
    from->send({b, 1, core::checkpoint_request{}});
    BOOST_TEST(at_b.wait_for(1).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace

} // namespace currantspar::io
