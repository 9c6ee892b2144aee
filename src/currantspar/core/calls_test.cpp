#include <boost/test/unit_test.hpp>

#include "currantspar/core/scripted_node.hpp"

namespace {

using namespace currantspar;
using namespace currantspar::core;
using namespace std::chrono_literals;

struct booking_node : scripted_node
{
    explicit booking_node(const core_options& options = scripted_options()) : scripted_node(options)
    {
        configure();
    }

    /// Sends a keyed booking and returns the append of its key.
    append_records record(const std::string& request, const std::string& key)
    {
        return effects_of<append_records>(on(order_call(request, key))).at(0);
    }
};

template <typename Kind>
Kind single_effect(const effect_list& effects)
{
    const auto found = effects_of<Kind>(effects);
    BOOST_REQUIRE_MESSAGE(found.size() == 1U, "found " << found.size());
    return found.front();
}

BOOST_AUTO_TEST_SUITE(calls)

BOOST_AUTO_TEST_CASE(a_booking_that_may_have_run_is_not_repeated)
{
    booking_node node;
    const auto start = single_effect<start_call>(node.on(order_call("r1")));
    node.on(attempt_written{start.attempt});
    const auto effects = node.on(end_of(start, attempt_result::broken));
    BOOST_TEST(effects_of<start_call>(effects).empty());
    BOOST_TEST((single_effect<reply_end>(effects).outcome == request_outcome::unknown));
}

BOOST_AUTO_TEST_CASE(an_unwritten_booking_is_sent_to_another_backend)
{
    booking_node node;
    const auto first = single_effect<start_call>(node.on(order_call("r1")));
    const auto second = single_effect<start_call>(node.on(end_of(first, attempt_result::not_written)));
    BOOST_TEST((second.backend != first.backend));
    const auto end = single_effect<reply_end>(node.on(end_of(second, attempt_result::not_written)));
    BOOST_TEST((end.outcome == request_outcome::not_run));
}

BOOST_AUTO_TEST_CASE(a_get_call_is_repeated_until_the_head_was_forwarded)
{
    booking_node node;
    const auto first = single_effect<start_call>(node.on(order_call("r1", {}, "GET")));
    const auto second = single_effect<start_call>(node.on(end_of(first, attempt_result::broken)));
    BOOST_TEST(second.new_connection);
    node.on(answer_head{second.attempt, 200});
    const auto end = single_effect<reply_end>(node.on(end_of(second, attempt_result::broken)));
    BOOST_TEST(end.code == "answer_cut");
}

BOOST_AUTO_TEST_CASE(retries_end_with_the_budget)
{
    booking_node node;
    unsigned retries = 0;
    for (unsigned number = 0; number < 100; ++number) {
        const auto start =
            single_effect<start_call>(node.on(order_call("r" + std::to_string(number), {}, "GET")));
        auto again = effects_of<start_call>(node.on(end_of(start, attempt_result::broken)));
        while (!again.empty()) {
            retries += 1;
            again = effects_of<start_call>(node.on(end_of(again.front(), attempt_result::broken)));
        }
        node.wait(1s);
    }
    BOOST_TEST(retries <= 30U);
}

BOOST_AUTO_TEST_CASE(a_key_is_recorded_before_the_call_runs)
{
    booking_node node;
    const auto arrived = node.on(order_call("r1", "k1"));
    BOOST_TEST(effects_of<start_call>(arrived).empty());
    const auto start = single_effect<start_call>(node.on_appended(single_effect<append_records>(arrived)));
    BOOST_TEST(start.keep_body);
    node.on(answer_head{start.attempt, 201});
    const auto done = node.on(end_of(start, attempt_result::complete));
    BOOST_TEST((single_effect<reply_end>(done).outcome == request_outcome::answered));
    node.wait(30ms);
    node.on_appended(single_effect<append_records>(node.on(tick{})));

    const auto repeated = node.on(order_call("r2", "k1"));
    BOOST_TEST(effects_of<start_call>(repeated).empty());
    const auto same = single_effect<reply_end>(repeated);
    BOOST_TEST(same.status == 201);
    BOOST_TEST(same.body == R"({"booking":1})");

    auto other = order_call("r3", "k1");
    other.request_digest = 12;
    BOOST_TEST(single_effect<reply_end>(node.on(other)).code == "key_reused");
}

BOOST_AUTO_TEST_CASE(the_log_is_read_sooner_while_a_keyed_call_waits_for_it)
{
    booking_node idle;
    BOOST_TEST(effects_of<read_log>(idle.tick_after(50ms)).empty());
    booking_node node;
    node.record("r1", "k1");
    BOOST_TEST(effects_of<read_log>(node.tick_after(49ms)).empty());
    BOOST_TEST(effects_of<read_log>(node.tick_after(1ms)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(only_the_first_recorder_in_the_log_runs_the_call)
{
    booking_node node;
    const auto append = node.record("r1", "k1");
    agreement::key_record rival;
    rival.recorder = node_id("10.0.0.2:8082");
    rival.process = incarnation(99);
    rival.entries.push_back({call_key("abay/orders/k1"), 11, request_id("q1")});
    BOOST_TEST(effects_of<start_call>(node.on_records({rival})).empty());
    BOOST_TEST(effects_of<start_call>(node.on_appended(append)).empty());
    agreement::key_outcome_record outcome;
    outcome.recorder = rival.recorder;
    outcome.process = rival.process;
    agreement::key_outcome_entry entry;
    entry.key = call_key("abay/orders/k1");
    entry.outcome = agreement::call_outcome::answered;
    entry.status = 201;
    entry.body = "theirs";
    entry.request = request_id("q1");
    outcome.entries.push_back(entry);
    const auto end = single_effect<reply_end>(node.on_records({outcome}));
    BOOST_TEST(end.body == "theirs");
}

BOOST_AUTO_TEST_CASE(waiting_for_the_outcome_of_another_node_is_bounded)
{
    booking_node node;
    agreement::key_record rival;
    rival.recorder = node_id("10.0.0.2:8082");
    rival.process = incarnation(99);
    rival.entries.push_back({call_key("abay/orders/k1"), 11, request_id("q1")});
    node.on_records({rival});
    BOOST_TEST(effects_of<reply_end>(node.on(order_call("r1", "k1"))).empty());
    const auto end = single_effect<reply_end>(node.tick_after(5s));
    BOOST_TEST(end.code == "outcome_unknown");
    BOOST_TEST((end.outcome == request_outcome::unknown));
}

BOOST_AUTO_TEST_CASE(an_abandoned_key_never_runs_later_and_may_be_used_again)
{
    booking_node node;
    const auto append = node.record("r1", "k1");
    node.on(append_finished{append.append, append_outcome::unknown, {}});
    const auto abandoned = node.tick_after(5s);
    BOOST_TEST((single_effect<reply_end>(abandoned).outcome == request_outcome::unknown));
    // The record still reaches the log.
    const auto late = node.on_appended(single_effect<append_records>(abandoned));
    BOOST_TEST(effects_of<start_call>(late).empty());
    node.on_appended(single_effect<append_records>(late));
    const auto& key = node.state().configuration.replica.state().keys.at(call_key("abay/orders/k1"));
    BOOST_REQUIRE(key.outcome.has_value());
    BOOST_TEST((key.outcome->outcome == agreement::call_outcome::not_run));
    const auto again = node.on(order_call("r2", "k1"));
    BOOST_TEST(effects_of<reply_end>(again).empty());
}

BOOST_AUTO_TEST_CASE(not_run_is_recorded_before_the_reply_is_sent)
{
    booking_node node;
    const auto append = node.record("r1", "k1");
    const auto first = single_effect<start_call>(node.on_appended(append));
    const auto second = single_effect<start_call>(node.on(end_of(first, attempt_result::not_written)));
    node.wait(30ms);
    const auto recording_not_run = node.on(end_of(second, attempt_result::not_written));
    BOOST_TEST(effects_of<reply_end>(recording_not_run).empty());
    const auto end =
        single_effect<reply_end>(node.on_appended(single_effect<append_records>(recording_not_run)));
    BOOST_TEST((end.outcome == request_outcome::not_run));
}

BOOST_AUTO_TEST_CASE(a_log_outage_refuses_keyed_calls_with_outcome_unknown)
{
    booking_node node;
    node.on(log_read_failed{"timeout"});
    const auto end = single_effect<reply_end>(node.on(order_call("r1", "k1")));
    BOOST_TEST(end.code == "log_unavailable");
    BOOST_TEST((end.outcome == request_outcome::unknown));
    BOOST_TEST((end.retry_after > duration()));
}

BOOST_AUTO_TEST_CASE(a_key_older_than_the_window_is_refused)
{
    booking_node node;
    node.wait(48h);
    node.on_records({});
    const auto old =
        single_effect<reply_end>(node.on(order_call("r1", "00000000-0000-7000-8000-000000000000")));
    BOOST_TEST(old.code == "key_expired");
}

BOOST_AUTO_TEST_CASE(a_call_without_its_required_key_is_refused)
{
    booking_node node;
    auto arrived = order_call("r1");
    arrived.path = "/strict/1";
    BOOST_TEST(single_effect<reply_end>(node.on(arrived)).code == "key_required");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(graceful_stop)

BOOST_AUTO_TEST_CASE(a_stop_fails_readiness_finishes_streams_and_exits)
{
    core_options options = scripted_options();
    options.balancer_drain = 400ms;
    scripted_node node(options);
    node.configure();
    const auto start = single_effect<start_generation>(node.on(chat_request("r1")));
    BOOST_TEST(!single_effect<set_ready>(node.on(stop_requested{})).ready);
    const auto late = single_effect<start_generation>(node.on(chat_request("r2")));
    node.on(attempt_accepted{start.attempt, {}});
    node.on(attempt_accepted{late.attempt, {}});
    node.on(end_of(late, attempt_result::complete, 0));
    node.tick_after(500ms);
    const auto refused = single_effect<reply_end>(node.on(chat_request("r3")));
    BOOST_TEST(refused.code == "stopping");
    BOOST_TEST(effects_of<exit_process>(node.tick_after(500ms)).empty());
    node.on(tokens_of(start, 0, {"a"}));
    node.on(end_of(start, attempt_result::complete, 1));
    BOOST_TEST(
        effects_of<exit_process>(node.tick_after(20ms)).empty()); // the response may still be in flight
    BOOST_TEST(single_effect<exit_process>(node.tick_after(options.reply_linger)).code == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
