#include "currantspar/io/peer_network.hpp"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <sys/resource.h>

#include "currantspar/io/address.hpp"
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
    std::vector<core::event_body> wait_for(std::size_t count, std::chrono::milliseconds limit = 10s)
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, limit, [&] { return events_.size() >= count; });
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

/// How many connections a network of these tests accepts.
constexpr std::size_t few_connections = 16;

std::uint16_t port_of(const node_id& node)
{
    return parse_address(node.str())->port;
}

/// True once the other side has ended the connection; waits for that.
bool has_ended(raw_caller& caller, std::chrono::milliseconds limit)
{
    caller.read_all(limit);
    return caller.closed();
}

/// Uses up the descriptors of this process but for the next one.
class scarce_descriptors
{
public:
    scarce_descriptors()
    {
        const int spare = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
        BOOST_REQUIRE(::getrlimit(RLIMIT_NOFILE, &before_) == 0);
        rlimit few = before_;
        few.rlim_cur = static_cast<rlim_t>(spare) + descriptors;
        BOOST_REQUIRE(::setrlimit(RLIMIT_NOFILE, &few) == 0);
        for (int next = 0; next >= 0;) {
            next = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
            if (next >= 0) {
                held_.push_back(next);
            }
        }
        ::close(spare);
    }
    scarce_descriptors(const scarce_descriptors&) = delete;
    scarce_descriptors& operator=(const scarce_descriptors&) = delete;
    ~scarce_descriptors()
    {
        std::for_each(held_.begin(), held_.end(), ::close);
        ::setrlimit(RLIMIT_NOFILE, &before_);
    }

private:
    static constexpr rlim_t descriptors = 16; ///< beyond the highest one in use

    rlimit before_{};
    std::vector<int> held_;
};

std::unique_ptr<peer_network> open_network(const node_id& self, event_log& events)
{
    peer_network_options options;
    options.self = self;
    options.process = incarnation(7);
    options.answer_limit = 300ms;
    options.connections_most = few_connections;
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
    raw_caller garbage(port_of(b));
    garbage.write("GET / HTTP/1.1\r\n\r\n" + std::string(4096, '\xff'));
    garbage.read_all(2s);
    from->send({b, 1, core::checkpoint_request{}});
    BOOST_TEST(at_b.wait_for(1).size() == 1U);
}

/// Guards against connections that take descriptors without bound.
BOOST_AUTO_TEST_CASE(idle_connections_are_replaced_and_keep_no_peer_out)
{
    event_log at_a;
    event_log at_b;
    const node_id b = free_node();
    const auto from = open_network(free_node(), at_a);
    const auto to = open_network(b, at_b);
    std::vector<std::unique_ptr<raw_caller>> idle;
    for (int count = 0; count < 40; ++count) {
        idle.push_back(std::make_unique<raw_caller>(port_of(b)));
    }
    from->send({b, 1, core::checkpoint_request{}});
    BOOST_TEST(at_b.wait_for(1).size() == 1U);
    std::size_t ended = 0;
    for (const auto& each : idle) {
        ended += has_ended(*each, 200ms) ? 1 : 0;
    }
    BOOST_TEST(ended >= idle.size() - few_connections);
}

/// Guards against connections that never say anything and displace nodes that do.
BOOST_AUTO_TEST_CASE(a_peer_keeps_its_connection_beside_idle_ones)
{
    event_log at_a;
    event_log at_b;
    const node_id b = free_node();
    const auto from = open_network(free_node(), at_a);
    const auto to = open_network(b, at_b);
    from->send({b, 1, core::checkpoint_request{}});
    BOOST_TEST(at_b.wait_for(1).size() == 1U);
    std::vector<std::unique_ptr<raw_caller>> idle;
    for (int count = 0; count < 40; ++count) {
        idle.push_back(std::make_unique<raw_caller>(port_of(b)));
    }
    BOOST_TEST(has_ended(*idle.front(), 2s));
    from->send({b, 2, core::checkpoint_request{}});
    BOOST_TEST(at_b.wait_for(2).size() == 2U);
    BOOST_TEST(at_a.wait_for(1, 50ms).empty());
}

/// Guards against messages that are announced and never end, whose memory is allocated at once.
BOOST_AUTO_TEST_CASE(a_message_over_the_limit_ends_its_connection)
{
    event_log at_b;
    const node_id b = free_node();
    const auto to = open_network(b, at_b);
    raw_caller sender(port_of(b));
    sender.write(std::string("\0\0\0\0\0\0\x30\0", 8) + std::string(1000, '\0')); // 25 MB announced
    BOOST_TEST(has_ended(sender, 2s));
}

/// Guards against many unfinished messages, each within the limit.
BOOST_AUTO_TEST_CASE(unfinished_messages_are_limited_together_and_in_time)
{
    event_log at_a;
    event_log at_b;
    const node_id b = free_node();
    const auto from = open_network(free_node(), at_a);
    const auto to = open_network(b, at_b);
    raw_caller first(port_of(b));
    raw_caller second(port_of(b));
    raw_caller third(port_of(b));
    const std::string unfinished =
        std::string("\0\0\0\0\0\0\x1e\0", 8) + std::string(1000, '\0'); // of 15.7 MB
    first.write(unfinished);
    BOOST_TEST(!has_ended(first, 50ms));
    second.write(unfinished);
    third.write(unfinished);
    BOOST_TEST(has_ended(third, 150ms));
    from->send({b, 1, core::checkpoint_request{}});
    BOOST_TEST(at_b.wait_for(1).size() == 1U);
    BOOST_TEST(has_ended(first, 2s));
}

/// Guards against an address that accepts nothing any more once descriptors were used up for a moment.
BOOST_AUTO_TEST_CASE(a_lack_of_descriptors_ends_nothing)
{
    event_log at_a;
    event_log at_b;
    const node_id b = free_node();
    const auto from = open_network(free_node(), at_a);
    const auto to = open_network(b, at_b);
    {
        const scarce_descriptors scarce;
        const raw_caller caller(port_of(b));
        BOOST_TEST(caller.connected());
        std::this_thread::sleep_for(200ms);
    }
    from->send({b, 1, core::checkpoint_request{}});
    BOOST_TEST(at_b.wait_for(1).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace

} // namespace currantspar::io
