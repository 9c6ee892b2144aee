#include <cstdlib>
#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "currantspar/core/scripted_node.hpp"

namespace {

using namespace currantspar;
using namespace currantspar::core;
using namespace std::chrono_literals;

/// Compares a complete session byte for byte with tests/golden/NAME.jsonl, and with its own replay.
/// `tools/regenerate_golden` rewrites the files.
void check_golden(const std::string& name, const scripted_node& node)
{
    const std::string path = std::string(CURRANTSPAR_SOURCE_DIR) + "/tests/golden/" + name + ".jsonl";
    const std::string text = write_session(node.recorded());
    if (std::getenv("CURRANTSPAR_REGENERATE_GOLDEN") != nullptr) {
        std::ofstream(path) << text;
    }
    std::ifstream file(path);
    std::stringstream expected;
    expected << file.rdbuf();
    BOOST_TEST((text == expected.str()), name << " differs from " << path);

    expected.seekg(0);
    const auto recorded = read_session(expected);
    BOOST_TEST_REQUIRE(recorded.has_value());
    const session replayed = replay_session(*recorded);
    BOOST_TEST(compare_sessions(*recorded, replayed).empty());
    BOOST_TEST((write_session(replayed) == text));
}

BOOST_AUTO_TEST_SUITE(golden)

BOOST_AUTO_TEST_CASE(refuses_before_a_configuration)
{
    scripted_node node;
    node.on(tick{});
    generate_arrived request;
    request.request = request_id("r1");
    request.organisation = organisation_id("abay");
    request.service = service_id("catalogue");
    request.engine_request = engine_request_id("e1");
    node.wait(5ms);
    node.on(request);
    node.on(log_read_failed{"timeout"});
    node.tick_after(1s);
    check_golden("refuses_before_a_configuration", node);
}

/// The effect of one kind; fails unless there is exactly one.
template <typename Kind>
Kind single_effect(const effect_list& effects)
{
    const auto found = effects_of<Kind>(effects);
    BOOST_REQUIRE_MESSAGE(found.size() == 1U, "found " << found.size());
    return found.front();
}

struct serving_node : scripted_node
{
    explicit serving_node(const core_options& options = scripted_options()) : scripted_node(options)
    {
        configure();
        wait(10ms);
    }
};

/// Another node of the same installation.
core_options second_node()
{
    core_options options = scripted_options();
    options.self = node_id("10.0.0.2:8082");
    options.process = incarnation(8);
    return options;
}

/// A key record of another node.
agreement::key_record other_node_record()
{
    agreement::key_record record;
    record.recorder = node_id("10.0.0.9:8082");
    record.process = incarnation(99);
    record.entries.push_back({call_key("abay/orders/k1"), 11, request_id("q1")});
    return record;
}

BOOST_AUTO_TEST_CASE(engine_crashes_in_a_stream)
{
    serving_node node;
    const auto start = single_effect<start_generation>(node.on(chat_request("r1")));
    node.on(attempt_written{start.attempt});
    node.on(attempt_accepted{start.attempt, {}});
    node.on(tokens_of(start, 0, {"a", "b"}));
    const auto same = single_effect<start_generation>(node.on(end_of(start, attempt_result::broken)));
    const auto moved = single_effect<start_generation>(node.on(end_of(same, attempt_result::not_written)));
    node.on(tokens_of(start, 2, {"late"}));
    node.on(tokens_of(moved, 2, {"c"}));
    node.on(end_of(moved, attempt_result::complete, 3));
    check_golden("engine_crashes_in_a_stream", node);
}

BOOST_AUTO_TEST_CASE(connection_to_an_engine_goes_silent)
{
    serving_node node;
    const auto start = single_effect<start_generation>(node.on(chat_request("r1")));
    node.on(attempt_written{start.attempt});
    node.on(attempt_accepted{start.attempt, {}});
    node.on(tokens_of(start, 0, {"a"}));
    const auto again = single_effect<start_generation>(node.tick_after(1100ms));
    node.on(attempt_accepted{again.attempt, {}});
    node.on(tokens_of(again, 1, {"b"}));
    node.on(end_of(again, attempt_result::complete, 2));
    check_golden("connection_to_an_engine_goes_silent", node);
}

BOOST_AUTO_TEST_CASE(partition_hides_an_engine)
{
    serving_node node;
    single_effect<start_generation>(node.on(chat_request("r1")));
    single_effect<start_generation>(node.tick_after(1100ms));
    node.on_report("e2");
    const auto moved = single_effect<start_generation>(node.tick_after(1100ms));
    node.on(attempt_accepted{moved.attempt, {}});
    node.on(tokens_of(moved, 0, {"a"}));
    node.on(end_of(moved, attempt_result::complete, 1));
    check_golden("partition_hides_an_engine", node);
}

BOOST_AUTO_TEST_CASE(answers_come_late_crossed_and_truncated)
{
    serving_node node;
    const auto start = single_effect<start_generation>(node.on(chat_request("r1")));
    node.on(tokens_of(start, 0, {"a"}));
    auto crossed = tokens_of(start, 1, {"x"});
    crossed.engine_request = engine_request_id("of-another-request");
    const auto again = single_effect<start_generation>(node.on(crossed));
    node.on(tokens_of(start, 1, {"late"}));
    node.on(tokens_of(again, 1, {"b"}));
    const auto third = single_effect<start_generation>(node.on(end_of(again, attempt_result::complete, 4)));
    node.on(tokens_of(third, 2, {"c", "d"}));
    node.on(end_of(third, attempt_result::complete, 4));
    check_golden("answers_come_late_crossed_and_truncated", node);
}

BOOST_AUTO_TEST_CASE(caller_returns_after_its_node_was_killed)
{
    serving_node first;
    const auto start = single_effect<start_generation>(first.on(chat_request("r1")));
    const auto seen = single_effect<reply_tokens>(first.on(tokens_of(start, 0, {"a", "b"})));
    serving_node second(second_node());
    const stream_resumed back{
        request_id("r2"), organisation_id("abay"), service_id("chat"), seen.event_id, 40, 4, {}};
    const auto again = single_effect<start_generation>(second.on(back));
    second.on(tokens_of(again, 0, {"a", "b", "c"}));
    second.on(end_of(again, attempt_result::complete, 3));
    check_golden("caller_returns_after_its_node_was_killed", second);
}

BOOST_AUTO_TEST_CASE(caller_leaves)
{
    serving_node node;
    const auto stream = single_effect<start_generation>(node.on(chat_request("r1")));
    node.on(tokens_of(stream, 0, {"a"}));
    single_effect<start_generation>(node.on(chat_request("r2", false)));
    node.on(caller_gone{request_id("r1")});
    node.on(caller_gone{request_id("r2")});
    node.tick_after(1600ms);
    check_golden("caller_leaves", node);
}

BOOST_AUTO_TEST_CASE(booking_loses_its_answer)
{
    serving_node node;
    const auto start = single_effect<start_call>(node.on(order_call("r1")));
    node.on(attempt_written{start.attempt});
    node.on(end_of(start, attempt_result::broken));
    check_golden("booking_loses_its_answer", node);
}

BOOST_AUTO_TEST_CASE(log_loses_the_answer_about_a_key)
{
    serving_node node;
    const auto append = single_effect<append_records>(node.on(order_call("r1", "k1")));
    node.on(append_finished{append.append, append_outcome::unknown, {}});
    const auto start = single_effect<start_call>(node.on_records(append.records));
    node.on(answer_head{start.attempt, 201});
    node.on(end_of(start, attempt_result::complete));
    node.on_appended(single_effect<append_records>(node.tick_after(2s)));
    node.on(order_call("r2", "k1"));
    check_golden("log_loses_the_answer_about_a_key", node);
}

BOOST_AUTO_TEST_CASE(log_is_down_for_a_booking)
{
    serving_node node;
    node.on(log_read_failed{"timeout"});
    node.on(order_call("r1", "k1"));
    node.on(chat_request("r2"));
    check_golden("log_is_down_for_a_booking", node);
}

BOOST_AUTO_TEST_CASE(two_nodes_get_one_key_at_once)
{
    serving_node node;
    const auto append = single_effect<append_records>(node.on(order_call("r1", "k1")));
    node.on_records({other_node_record()});
    node.on_appended(append);
    agreement::key_outcome_record outcome;
    outcome.recorder = other_node_record().recorder;
    outcome.process = other_node_record().process;
    agreement::key_outcome_entry entry;
    entry.key = call_key("abay/orders/k1");
    entry.outcome = agreement::call_outcome::answered;
    entry.status = 201;
    entry.request = request_id("q1");
    outcome.entries.push_back(entry);
    node.on_records({outcome});
    check_golden("two_nodes_get_one_key_at_once", node);
}

BOOST_AUTO_TEST_CASE(recorder_of_a_key_is_killed)
{
    serving_node node;
    node.on_records({other_node_record()});
    node.on(order_call("r1", "k1"));
    node.tick_after(5s);
    check_golden("recorder_of_a_key_is_killed", node);
}

BOOST_AUTO_TEST_CASE(recorder_wakes_after_giving_up)
{
    serving_node node;
    const auto append = single_effect<append_records>(node.on(order_call("r1", "k1")));
    node.tick_after(6s);
    const auto woken = node.on_appended(append);
    node.on_appended(single_effect<append_records>(woken));
    check_golden("recorder_wakes_after_giving_up", node);
}

BOOST_AUTO_TEST_CASE(planned_stop_under_a_stream)
{
    core_options options = scripted_options();
    options.balancer_drain = 400ms;
    serving_node node(options);
    const auto start = single_effect<start_generation>(node.on(chat_request("r1")));
    node.on(attempt_accepted{start.attempt, {}});
    node.on(stop_requested{});
    node.tick_after(500ms);
    node.on(chat_request("r2"));
    node.on(tokens_of(start, 0, {"a"}));
    node.on(end_of(start, attempt_result::complete, 1));
    node.tick_after(20ms);
    node.tick_after(500ms);
    check_golden("planned_stop_under_a_stream", node);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(sessions)

BOOST_AUTO_TEST_CASE(a_difference_names_its_step)
{
    scripted_node node;
    node.on(tick{});
    session changed = node.recorded();
    changed.steps[0].effects.pop_back();
    const auto differences = compare_sessions(changed, replay_session(changed));
    BOOST_TEST_REQUIRE(differences.size() == 1U);
    BOOST_TEST(differences[0].step == 0U);
    BOOST_TEST(differences[0].recorded.empty());
    BOOST_TEST(!differences[0].replayed.empty());
}

BOOST_AUTO_TEST_CASE(a_damaged_line_is_named)
{
    std::stringstream text("{\"options\":{}}\n{\"event\":\"tick\"\n");
    const auto read = read_session(text);
    BOOST_TEST_REQUIRE(!read.has_value());
    BOOST_TEST(read.error().message.starts_with("line 2: "));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
