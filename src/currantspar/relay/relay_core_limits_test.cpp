#include <boost/test/unit_test.hpp>

#include "currantspar/base/test_wire_text.hpp"
#include "test_relay.hpp"

namespace currantspar::relay {

namespace {

using test::at;
using test::first;
using test::make_call;
using test::served_node;

/// Lower than a request in the few seconds of a test, for the second and later requests.
constexpr double low_limit = 0.3;

void name_limit(served_node& node, const char* server, double now)
{
    node.core.limits().on_response(*node.core.directory().find(backend_id(server)), low_limit, at(now),
                                   at(now));
}

backend_id target_of(const relay_effects& effects)
{
    const auto* start = first<start_attempt>(effects);
    return start == nullptr ? backend_id("none") : start->server;
}

} // namespace

BOOST_AUTO_TEST_SUITE(relay_core_limits_tests)

BOOST_AUTO_TEST_CASE(first_tries_go_to_servers_whose_limit_leaves_room)
{
    served_node node;
    name_limit(node, "desk-1", 1);
    for (std::uint64_t number = 1; number <= 20; ++number) {
        const relay_effects effects =
            node.core.on_request(request_number(number), make_call("r", "/read/1"), at(1.1));
        BOOST_TEST((target_of(effects) == backend_id("desk-2")));
    }
}

/// Guards against a request that waits, or goes to a server beyond its limit, when no other server is left.
BOOST_AUTO_TEST_CASE(a_request_that_no_limit_leaves_room_for_is_refused_at_once)
{
    served_node node;
    name_limit(node, "desk-1", 1);
    name_limit(node, "desk-2", 1);
    const relay_effects effects = node.core.on_request(request_number(1), make_call("r", "/once/1"), at(1.1));
    const auto* response = first<reply>(effects);
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->status == 503);
    BOOST_TEST(response->reason == limited_reason);
    BOOST_TEST((response->retry_after > duration{}));
    BOOST_TEST(node.core.open_requests() == 0U);
}

/// Guards against a caller that is told to come back at once, because a server without a limit had refused
/// its request.
BOOST_AUTO_TEST_CASE(a_server_that_refused_a_request_does_not_shorten_its_wait_for_a_limit)
{
    served_node node;
    const relay_effects effects = node.core.on_request(request_number(1), make_call("r", "/once/1"), at(1));
    const auto* start = first<start_attempt>(effects);
    BOOST_REQUIRE(start != nullptr);
    node.core.on_written(start->attempt);
    name_limit(node, start->server == backend_id("desk-1") ? "desk-2" : "desk-1", 1);
    const relay_effects refused =
        node.core.on_failure(start->attempt, attempt_failure::not_run, "status 503", at(1.1));
    const auto* response = first<reply>(refused);
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST((response->retry_after == relay_options{}.no_server_retry));
}

/// Guards against retries beyond a limit, after a refusal and after a lost response.
BOOST_AUTO_TEST_CASE(retries_keep_to_limits)
{
    for (const attempt_failure how : {attempt_failure::not_run, attempt_failure::lost}) {
        served_node node;
        const relay_effects effects =
            node.core.on_request(request_number(1), make_call("r", "/read/1"), at(1));
        const auto* start = first<start_attempt>(effects);
        BOOST_REQUIRE(start != nullptr);
        node.core.on_written(start->attempt);
        name_limit(node, start->server == backend_id("desk-1") ? "desk-2" : "desk-1", 1);
        const relay_effects next = node.core.on_failure(start->attempt, how, "status 503", at(1.1));
        BOOST_TEST(first<start_attempt>(next) == nullptr);
        BOOST_TEST(first<reply>(next) != nullptr);
    }
}

BOOST_AUTO_TEST_CASE(prompts_are_prefilled_where_a_limit_leaves_room)
{
    served_node node;
    name_limit(node, "reader-1", 1);
    for (std::uint64_t number = 1; number <= 8; ++number) {
        const relay_effects effects = node.core.on_request(
            request_number(number), test::make_prompt("r", number, 13300, 3700), at(1.1));
        BOOST_TEST((target_of(effects) != backend_id("reader-1")));
    }
}

/// Guards against hand-overs beyond a limit that a decode engine named while the prompt was prefilled; the
/// prompt must not be prefilled again for that.
BOOST_AUTO_TEST_CASE(a_prefilled_prompt_goes_to_a_decode_engine_whose_limit_leaves_room)
{
    for (const char* limited : {"decoder-1", "decoder-2"}) {
        served_node node;
        const relay_effects effects =
            node.core.on_request(request_number(1), test::make_prompt("r", 7, 13300, 3700), at(1));
        const auto* start = first<start_attempt>(effects);
        BOOST_REQUIRE(start != nullptr);
        BOOST_REQUIRE((start->stage == attempt_stage::prefill_only));
        name_limit(node, limited, 1);
        const relay_effects next = node.core.on_prompt_prefilled(start->attempt, test_handle("h"), at(1.1));
        const auto* decode = first<start_attempt>(next);
        BOOST_REQUIRE(decode != nullptr);
        BOOST_TEST((decode->stage == attempt_stage::decode_only));
        BOOST_TEST(decode->handle.str() == "h");
        BOOST_TEST((decode->server != backend_id(limited)));
    }
}

/// Guards against a resumed stream beyond a limit.
BOOST_AUTO_TEST_CASE(a_broken_stream_goes_on_where_a_limit_leaves_room)
{
    served_node node;
    request_info prompt = test::make_prompt("r", 7, 13300, 3700);
    prompt.path = "/resume/1";
    const relay_effects effects = node.core.on_request(request_number(1), prompt, at(1));
    const relay_effects next =
        node.core.on_prompt_prefilled(first<start_attempt>(effects)->attempt, test_handle("h"), at(1.1));
    const auto* decode = first<start_attempt>(next);
    BOOST_REQUIRE(decode != nullptr);
    node.core.on_written(decode->attempt);
    static_cast<void>(node.core.on_stream_head(decode->attempt, at(1.2)));
    static_cast<void>(node.core.on_events(decode->attempt, test_event("1"), at(1.2)));
    const backend_id other(decode->server == backend_id("decoder-1") ? "decoder-2" : "decoder-1");
    name_limit(node, other.str().c_str(), 1.2);
    const relay_effects resumed =
        node.core.on_failure(decode->attempt, attempt_failure::lost, "reset", at(1.3));
    BOOST_TEST((target_of(resumed) != other));
}

/// Guards against a limit that outlives the server which named it.
BOOST_AUTO_TEST_CASE(a_restarted_server_has_no_limit)
{
    served_node node;
    name_limit(node, "desk-1", 1);
    server_entry restarted = test::make_server("desk-1", "desk");
    restarted.started_ms = 5;
    node.core.on_server_change({0, restarted.id, restarted}, at(1.1));
    BOOST_TEST(node.core.limits().admits(restarted.id, at(1.1)));
}

/// Guards against nodes that all forget a limit when the store drops the server's entry for a moment.
BOOST_AUTO_TEST_CASE(a_limit_outlives_the_removal_and_return_of_its_entry)
{
    served_node node;
    name_limit(node, "desk-1", 1);
    node.core.on_server_change({0, backend_id("desk-1"), std::nullopt}, at(1.1));
    node.core.on_server_change({0, backend_id("desk-1"), test::make_server("desk-1", "desk")}, at(1.2));
    BOOST_TEST(!node.core.limits().admits(backend_id("desk-1"), at(1.2)));
}

/// Each send counts, whatever it is for.
BOOST_AUTO_TEST_CASE(a_send_uses_up_the_share)
{
    served_node node;
    name_limit(node, "desk-1", 1);
    name_limit(node, "desk-2", 1);
    const double later = 60;
    for (std::uint64_t number = 1; number <= 2; ++number) {
        BOOST_TEST((target_of(node.core.on_request(request_number(number), make_call("r", "/read/1"),
                                                   at(later))) != backend_id("none")));
    }
    BOOST_TEST((target_of(node.core.on_request(request_number(3), make_call("r", "/read/1"), at(later))) ==
                backend_id("none")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::relay
