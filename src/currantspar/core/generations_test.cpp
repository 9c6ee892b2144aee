#include <boost/test/unit_test.hpp>

#include "currantspar/base/test_wire_text.hpp"
#include "currantspar/core/scripted_node.hpp"
#include "currantspar/core/stream_token.hpp"

namespace {

using namespace currantspar;
using namespace currantspar::core;
using namespace std::chrono_literals;

struct serving_node : scripted_node
{
    serving_node() { configure(); }

    start_generation start(const std::string& name, bool stream = true)
    {
        return effects_of<start_generation>(on(chat_request(name, stream))).at(0);
    }
};

template <typename Kind>
Kind single_effect(const effect_list& effects)
{
    const auto found = effects_of<Kind>(effects);
    BOOST_REQUIRE_MESSAGE(found.size() == 1U, "found " << found.size());
    return found.front();
}

BOOST_AUTO_TEST_SUITE(generations)

BOOST_AUTO_TEST_CASE(a_complete_stream_ends_as_answered)
{
    serving_node node;
    const auto start = node.start("r1");
    node.on(attempt_written{start.attempt});
    const auto reply = single_effect<reply_tokens>(node.on(tokens_of(start, 0, {"a", "b"})));
    BOOST_TEST(reply.position == 0U);
    BOOST_TEST(!reply.event_id.empty());
    const auto end = single_effect<reply_end>(node.on(end_of(start, attempt_result::complete, 2)));
    BOOST_TEST((end.outcome == request_outcome::answered));
    BOOST_TEST(end.status == 0);
    BOOST_TEST(requests::in_flight(node.state()) == 0U);
}

BOOST_AUTO_TEST_CASE(a_response_that_is_not_streamed_is_delivered_at_its_end)
{
    serving_node node;
    const auto start = node.start("r1", false);
    BOOST_TEST(effects_of<reply_tokens>(node.on(tokens_of(start, 0, {"a"}))).empty());
    const auto broken = node.on(end_of(start, attempt_result::broken));
    const auto again = single_effect<start_generation>(broken);
    node.on(tokens_of(again, 1, {"b"}));
    const auto reply = single_effect<reply_tokens>(node.on(end_of(again, attempt_result::complete, 2)));
    BOOST_TEST(reply.tokens == (std::vector<std::string>{"a", "b"}));
}

BOOST_AUTO_TEST_CASE(a_break_resumes_on_a_new_connection_then_elsewhere_with_the_tokens_so_far)
{
    serving_node node;
    const auto first = node.start("r1");
    node.on(tokens_of(first, 0, {"a"}));
    const auto same = single_effect<start_generation>(node.on(end_of(first, attempt_result::broken)));
    BOOST_TEST(same.resume);
    BOOST_TEST(same.new_connection);
    BOOST_TEST(same.from_position == 1U);
    BOOST_TEST((same.engine == first.engine && same.engine_request == first.engine_request));
    const auto other = single_effect<start_generation>(node.on(end_of(same, attempt_result::broken)));
    BOOST_TEST(!other.resume);
    BOOST_TEST((other.engine != first.engine && other.engine_request != first.engine_request));
    BOOST_TEST(other.prefix == std::vector<std::string>{"a"});
    BOOST_TEST(other.from_position == 1U);
}

BOOST_AUTO_TEST_CASE(a_truncated_response_is_not_complete)
{
    serving_node node;
    const auto start = node.start("r1");
    node.on(tokens_of(start, 0, {"a"}));
    const auto effects = node.on(end_of(start, attempt_result::complete, 3));
    BOOST_TEST(effects_of<reply_end>(effects).empty());
    BOOST_TEST(single_effect<start_generation>(effects).from_position == 1U);
    BOOST_TEST(node.state().requests.dropped_answers == 1U);
}

BOOST_AUTO_TEST_CASE(late_repeated_and_mismatched_tokens_are_dropped)
{
    serving_node node;
    const auto first = node.start("r1");
    node.on(tokens_of(first, 0, {"a"}));
    BOOST_TEST(effects_of<reply_tokens>(node.on(tokens_of(first, 0, {"a"}))).empty());
    const auto same = single_effect<start_generation>(node.on(end_of(first, attempt_result::broken)));
    const auto late = node.on(tokens_of(first, 1, {"b"}));
    BOOST_TEST(effects_of<reply_tokens>(late).empty());
    BOOST_TEST((single_effect<cancel_attempt>(late).attempt == first.attempt));
    auto mismatched = tokens_of(same, 1, {"x"});
    mismatched.engine_request = engine_request_id("another-request");
    const auto effects = node.on(mismatched);
    BOOST_TEST(effects_of<reply_tokens>(effects).empty());
    BOOST_TEST((single_effect<cancel_attempt>(effects).attempt == same.attempt));
    BOOST_TEST(node.state().requests.dropped_answers == 3U);
}

BOOST_AUTO_TEST_CASE(a_gap_in_the_positions_resumes_from_the_gap)
{
    serving_node node;
    const auto start = node.start("r1");
    node.on(tokens_of(start, 0, {"a"}));
    const auto effects = node.on(tokens_of(start, 2, {"c"}));
    BOOST_TEST(effects_of<reply_tokens>(effects).empty());
    BOOST_TEST(single_effect<start_generation>(effects).from_position == 1U);
}

BOOST_AUTO_TEST_CASE(a_refusal_by_a_full_engine_is_no_failure_and_ends_as_not_run)
{
    serving_node node;
    const auto first = node.start("r1");
    const auto second = single_effect<start_generation>(node.on(end_of(first, attempt_result::refused)));
    BOOST_TEST((second.engine != first.engine));
    const auto end = single_effect<reply_end>(node.on(end_of(second, attempt_result::refused)));
    BOOST_TEST((end.outcome == request_outcome::not_run));
    BOOST_TEST((end.retry_after > duration()));
}

BOOST_AUTO_TEST_CASE(an_idle_connection_is_replaced_before_the_engine_is_abandoned)
{
    serving_node node;
    const auto start = node.start("r1");
    node.on(attempt_accepted{start.attempt, {}});
    node.on(tokens_of(start, 0, {"a"}));
    const auto effects = node.tick_after(1100ms);
    BOOST_TEST(!single_effect<cancel_attempt>(effects).cancel_at_engine);
    BOOST_TEST(single_effect<start_generation>(effects).resume);
    node.on_report("e2");
    const auto moved = node.tick_after(2100ms);
    BOOST_TEST(single_effect<cancel_attempt>(moved).cancel_at_engine);
    BOOST_TEST(!single_effect<start_generation>(moved).resume);
}

BOOST_AUTO_TEST_CASE(attempts_last_until_crashed_engines_recover)
{
    serving_node node;
    auto next = std::vector<start_generation>{node.start("r1")};
    node.on(tokens_of(next.front(), 0, {"a"}));
    duration passed{};
    std::vector<reply_end> ended;
    while (ended.empty() && passed < 30s) {
        effect_list effects;
        if (next.empty()) {
            effects = node.tick_after(50ms);
            passed += 50ms;
            node.on_report("e1");
            node.on_report("e2");
        } else {
            effects = node.on(end_of(next.front(), attempt_result::broken));
        }
        next = effects_of<start_generation>(effects);
        ended = effects_of<reply_end>(effects);
    }
    BOOST_REQUIRE(!ended.empty());
    BOOST_TEST(ended.front().code == "attempts_exhausted");
    BOOST_TEST((passed > 3s));
}

BOOST_AUTO_TEST_CASE(a_missed_deadline_ends_as_unknown)
{
    serving_node node;
    const auto start = node.start("r1");
    node.on(attempt_written{start.attempt});
    node.on(attempt_accepted{start.attempt, {}});
    const auto end = single_effect<reply_end>(node.tick_after(120s));
    BOOST_TEST((end.outcome == request_outcome::unknown));
    BOOST_TEST(end.code == "deadline");
}

BOOST_AUTO_TEST_CASE(a_caller_that_disconnects_frees_the_slot)
{
    serving_node node;
    const auto start = node.start("r1", false);
    node.on(attempt_written{start.attempt});
    BOOST_TEST(single_effect<cancel_attempt>(node.on(caller_gone{request_id("r1")})).cancel_at_engine);
    BOOST_TEST(requests::in_flight(node.state()) == 0U);
}

BOOST_AUTO_TEST_CASE(a_stream_waits_for_its_caller_to_reconnect)
{
    serving_node node;
    const auto start = node.start("r1");
    node.on(tokens_of(start, 0, {"a"}));
    BOOST_TEST(effects_of<cancel_attempt>(node.on(caller_gone{request_id("r1")})).empty());
    BOOST_TEST(single_effect<cancel_attempt>(node.tick_after(4s)).cancel_at_engine);
}

BOOST_AUTO_TEST_CASE(a_caller_resumes_at_another_node)
{
    serving_node first;
    const auto start = first.start("r1");
    const auto before = single_effect<reply_tokens>(first.on(tokens_of(start, 0, {"a", "b"})));

    core_options options = scripted_options();
    options.self = node_id("10.0.0.2:8082");
    options.process = incarnation(8);
    scripted_node second(options);
    second.configure();
    stream_resumed back{
        request_id("r2"), organisation_id("abay"), service_id("chat"), before.event_id, 40, 4, {}};
    const auto again = single_effect<start_generation>(second.on(back));
    BOOST_TEST(again.resume);
    BOOST_TEST((again.engine_request == start.engine_request));
    BOOST_TEST(again.from_position == 0U);
    BOOST_TEST(effects_of<reply_tokens>(second.on(tokens_of(again, 0, {"a", "b"}))).empty());
    const auto reply = single_effect<reply_tokens>(second.on(tokens_of(again, 2, {"c"})));
    BOOST_TEST(reply.position == 2U);
    // The engine is lost now: the other one continues from the tokens that this node collected.
    const auto same = single_effect<start_generation>(second.on(end_of(again, attempt_result::broken)));
    const auto moved = single_effect<start_generation>(second.on(end_of(same, attempt_result::refused)));
    BOOST_TEST(moved.prefix == (std::vector<std::string>{"a", "b", "c"}));

    back.request = request_id("r3");
    back.organisation = organisation_id("other");
    const auto refused = single_effect<reply_end>(second.on(back));
    BOOST_TEST(refused.code == "bad_event_id");
}

BOOST_AUTO_TEST_CASE(a_stream_whose_first_tokens_are_lost_ends_as_unknown)
{
    serving_node first;
    const auto start = first.start("r1");
    const auto before = single_effect<reply_tokens>(first.on(tokens_of(start, 0, {"a", "b"})));
    serving_node second;
    const auto again = single_effect<start_generation>(second.on(stream_resumed{
        request_id("r2"), organisation_id("abay"), service_id("chat"), before.event_id, 40, 4, {}}));
    const auto end = single_effect<reply_end>(second.on(end_of(again, attempt_result::refused)));
    BOOST_TEST(end.code == "stream_lost");
    BOOST_TEST((end.outcome == request_outcome::unknown));
}

BOOST_AUTO_TEST_CASE(event_ids_are_bound_to_organisation_and_service)
{
    config::organisation_spec organisation;
    organisation.key_hashes = {"new", "old"};
    const stream_position position{service_id("chat"), engine_id("rack.1"), engine_request_id("abc"), 17};
    const std::string token = make_stream_token(position, "old");
    BOOST_TEST((read_stream_token(token, service_id("chat"), organisation) == position));
    BOOST_TEST(!read_stream_token(token, service_id("other"), organisation));
    for (std::size_t at = 0; at < token.size(); ++at) {
        std::string changed = token;
        changed[at] = changed[at] == '0' ? '1' : '0';
        BOOST_TEST(!read_stream_token(changed, service_id("chat"), organisation));
    }
    organisation.key_hashes = {"another"};
    BOOST_TEST(!read_stream_token(token, service_id("chat"), organisation));
}

policy::engine_report report_of(const char* engine, config::engine_role role)
{
    policy::engine_report report;
    report.engine = engine_id(engine);
    report.taken_at = engine_time(1s);
    report.role = role;
    report.load.model = "m";
    report.pieces_total = 400;
    return report;
}

BOOST_AUTO_TEST_CASE(a_decode_engine_closed_during_the_prefill_gets_no_work)
{
    serving_node node;
    node.on(report_received{report_of("e1", config::engine_role::prefill)});
    node.on(report_received{report_of("e2", config::engine_role::decode)});
    const auto prefill = single_effect<start_prefill>(node.on(chat_request("r1")));
    BOOST_TEST(prefill.engine.str() == "e1");
    node.on(attempt_accepted{prefill.attempt, {}});
    peer_received view;
    view.from = node_id("10.0.0.2:8082");
    view.message =
        pool_routing_view{{service_id("chat"), data_centre_id("a")}, fence(5), 1, 10s, {engine_id("e2")}};
    node.on(view);
    const auto after = node.on(kv_moved{prefill.attempt, kv_step::exported, test_handle("handle")});
    for (const start_generation& start : effects_of<start_generation>(after)) {
        BOOST_TEST(start.engine.str() != "e2");
    }
}

BOOST_AUTO_TEST_CASE(a_new_process_sends_nothing_to_an_engine_before_its_first_report)
{
    scripted_node node;
    agreement::publish_record record;
    record.id = publish_id("first");
    record.text = scripted_configuration;
    BOOST_TEST(effects_of<set_ready>(node.on_records({record})).empty());
    BOOST_TEST((single_effect<reply_end>(node.on(chat_request("r1"))).outcome == request_outcome::not_run));
    node.on_report("e1", policy::engine_condition::leaving);
    node.on_report("e2");
    BOOST_TEST(single_effect<set_ready>(node.tick_after(200ms)).ready);
    BOOST_TEST((single_effect<start_generation>(node.on(chat_request("r2"))).engine == engine_id("e2")));
}

BOOST_AUTO_TEST_CASE(an_engine_that_reported_leaving_stays_closed_when_its_report_is_outdated)
{
    serving_node node;
    node.on_report("e1", policy::engine_condition::leaving);
    node.on_report("e2", policy::engine_condition::leaving);
    node.wait(1min);
    BOOST_TEST(effects_of<start_generation>(node.on(chat_request("r1"))).empty());
}

/// Guards against routing on an outdated report: a node whose network partition had just healed sent work to
/// an engine that had reported 18 s earlier that it was leaving, because the last report that the node had
/// received was older than that.
BOOST_AUTO_TEST_CASE(an_unresponsive_engine_gets_no_work_before_it_reports_again)
{
    serving_node node;
    const auto kinds = [](const effect_list& effects) {
        std::vector<std::string> found;
        for (const add_timeline& added : effects_of<add_timeline>(effects)) {
            found.push_back(added.entry.kind + " " + added.entry.engine.str());
        }
        return found;
    };
    const std::vector<std::string> closed = {"engine.silent e1", "engine.silent e2"};
    BOOST_TEST(kinds(node.tick_after(10s)) == closed);
    BOOST_TEST((single_effect<reply_end>(node.on(chat_request("r1"))).outcome == request_outcome::not_run));
    const std::vector<std::string> opened = {"engine.heard e2"};
    BOOST_TEST(kinds(node.on_report("e2")) == opened);
    BOOST_TEST((single_effect<start_generation>(node.on(chat_request("r2"))).engine == engine_id("e2")));
}

/// Guards against engine reports that stay outstanding: when an engine's response is lost, the pending read
/// must not block the next request for longer than its timeout.
BOOST_AUTO_TEST_CASE(a_missing_report_is_requested_again_within_two_seconds)
{
    serving_node node;
    node.on(tick{});
    const auto asked = effects_of<read_report>(node.tick_after(1600ms));
    BOOST_TEST(!asked.empty());
    BOOST_TEST(effects_of<read_report>(node.tick_after(500ms)).empty());
    BOOST_TEST(!effects_of<read_report>(node.tick_after(1500ms)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
