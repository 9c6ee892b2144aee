#include "currantspar/relay/relay_core.hpp"

#include <boost/test/unit_test.hpp>

#include "currantspar/base/test_wire_text.hpp"
#include "test_relay.hpp"

namespace currantspar::relay {

namespace {

using test::at;
using test::first;
using test::make_call;
using test::served_node;

constexpr auto prefill = config::engine_role::prefill;
constexpr auto decode = config::engine_role::decode;

response_info signed_response(int status)
{
    response_info info;
    info.status = status;
    info.has_proof = true;
    return info;
}

} // namespace

BOOST_AUTO_TEST_SUITE(relay_core_tests)

BOOST_AUTO_TEST_CASE(a_node_without_configuration_reports_that_nothing_ran)
{
    relay_core core{relay_options{}};
    const relay_effects effects = core.on_request(request_number(1), make_call("r", "/once/1"), at(0));
    const auto* response = first<reply>(effects);
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->status == 503);
    BOOST_TEST(response->retry_after.count() > 0);
}

BOOST_AUTO_TEST_CASE(an_unknown_route_is_not_found)
{
    served_node node;
    const relay_effects effects = node.core.on_request(request_number(1), make_call("r", "/other/1"), at(0));
    BOOST_REQUIRE(first<reply>(effects) != nullptr);
    BOOST_TEST(first<reply>(effects)->status == 404);
}

BOOST_AUTO_TEST_CASE(a_call_that_may_run_once_is_not_sent_again_after_a_lost_response)
{
    served_node node;
    const attempt_id attempt = node.sent(make_call("r", "/once/1"));
    const relay_effects effects = node.core.on_failure(attempt, attempt_failure::lost, "reset", at(1.1));
    BOOST_TEST(first<start_attempt>(effects) == nullptr);
    BOOST_REQUIRE(first<reply>(effects) != nullptr);
    BOOST_TEST(first<reply>(effects)->status == 502);
}

BOOST_AUTO_TEST_CASE(a_call_that_the_server_refused_goes_to_another_server)
{
    served_node node;
    const relay_effects before = node.core.on_request(request_number(1), make_call("r", "/once/1"), at(1));
    const auto* start = first<start_attempt>(before);
    BOOST_REQUIRE(start != nullptr);
    node.core.on_written(start->attempt);
    const relay_effects effects =
        node.core.on_failure(start->attempt, attempt_failure::not_run, "503", at(1.1));
    const auto* again = first<start_attempt>(effects);
    BOOST_REQUIRE(again != nullptr);
    BOOST_TEST((again->server != start->server));
}

BOOST_AUTO_TEST_CASE(a_call_refused_everywhere_is_reported_as_not_run)
{
    served_node node;
    const attempt_id one = node.sent(make_call("r", "/once/1"));
    const relay_effects second = node.core.on_failure(one, attempt_failure::not_run, "503", at(1.1));
    const attempt_id two = first<start_attempt>(second)->attempt;
    node.core.on_written(two);
    const relay_effects effects = node.core.on_failure(two, attempt_failure::not_run, "503", at(1.2));
    BOOST_REQUIRE(first<reply>(effects) != nullptr);
    BOOST_TEST(first<reply>(effects)->status == 503);
}

BOOST_AUTO_TEST_CASE(a_read_whose_response_was_lost_runs_at_another_server_once_more_only)
{
    served_node node;
    const attempt_id one = node.sent(make_call("r", "/read/1"));
    const relay_effects second = node.core.on_failure(one, attempt_failure::lost, "reset", at(1.1));
    BOOST_REQUIRE(first<start_attempt>(second) != nullptr);
    const attempt_id two = first<start_attempt>(second)->attempt;
    node.core.on_written(two);
    const relay_effects effects = node.core.on_failure(two, attempt_failure::lost, "reset", at(1.2));
    BOOST_TEST(first<start_attempt>(effects) == nullptr);
    BOOST_REQUIRE(first<reply>(effects) != nullptr);
    BOOST_TEST(first<reply>(effects)->status == 502);
}

BOOST_AUTO_TEST_CASE(a_read_that_failed_at_its_server_is_tried_at_another_one)
{
    served_node node;
    const attempt_id one = node.sent(make_call("r", "/read/1"));
    const relay_effects second = node.core.on_response(one, signed_response(500), at(1.1));
    BOOST_REQUIRE(first<start_attempt>(second) != nullptr);
    const attempt_id two = first<start_attempt>(second)->attempt;
    const relay_effects effects = node.core.on_response(two, signed_response(500), at(1.2));
    BOOST_TEST(first<deliver_response>(effects) != nullptr);
}

/// Guards against a retry at the server that has just failed while another one is there.
BOOST_AUTO_TEST_CASE(a_retry_after_an_error_goes_to_another_server_if_there_is_one)
{
    served_node node;
    for (unsigned round = 0; round < 20; ++round) {
        const relay_effects before =
            node.core.on_request(request_number(round + 1), make_call("r", "/read/1"), at(1));
        const auto* start = first<start_attempt>(before);
        BOOST_REQUIRE(start != nullptr);
        const relay_effects after = node.core.on_response(start->attempt, signed_response(500), at(1.1));
        const auto* again = first<start_attempt>(after);
        BOOST_REQUIRE(again != nullptr);
        BOOST_TEST((again->server != start->server));
        static_cast<void>(node.core.on_response(again->attempt, signed_response(200), at(1.2)));
    }
    served_node alone;
    alone.core.directory().remove(backend_id("desk-2"), at(0.5));
    const attempt_id attempt = alone.sent(make_call("r", "/read/1"));
    const relay_effects after = alone.core.on_response(attempt, signed_response(500), at(1.1));
    BOOST_TEST(first<start_attempt>(after) != nullptr);
}

BOOST_AUTO_TEST_CASE(an_answered_failure_of_a_call_that_may_run_once_is_delivered_as_it_is)
{
    served_node node;
    const attempt_id attempt = node.sent(make_call("r", "/once/1"));
    const relay_effects effects = node.core.on_response(attempt, signed_response(500), at(1.1));
    BOOST_TEST(first<deliver_response>(effects) != nullptr);
    BOOST_TEST(first<start_attempt>(effects) == nullptr);
}

BOOST_AUTO_TEST_CASE(at_the_timeout_a_sent_request_ends_with_gateway_timeout_and_its_attempt_is_cancelled)
{
    served_node node;
    const attempt_id attempt = node.sent(make_call("r", "/once/1"));
    BOOST_TEST(node.core.on_tick(at(2.4)).empty());
    const relay_effects effects = node.core.on_tick(at(2.51));
    BOOST_REQUIRE(first<cancel_attempt>(effects) != nullptr);
    BOOST_TEST((first<cancel_attempt>(effects)->attempt == attempt));
    BOOST_REQUIRE(first<reply>(effects) != nullptr);
    BOOST_TEST(first<reply>(effects)->status == 504);
}

BOOST_AUTO_TEST_CASE(a_caller_that_disconnected_has_its_attempt_cancelled_at_once)
{
    served_node node;
    const attempt_id attempt = node.sent(make_call("r", "/read/1"));
    const relay_effects effects =
        node.core.on_caller_disconnected(request_number(node.last), "Connection timed out", at(1.05));
    const log_decision* logged = first<log_decision>(effects);
    BOOST_REQUIRE(logged != nullptr);
    BOOST_TEST(
        (logged->fields.front() == std::pair<std::string, std::string>("detail", "Connection timed out")));
    BOOST_REQUIRE(first<cancel_attempt>(effects) != nullptr);
    BOOST_TEST((first<cancel_attempt>(effects)->attempt == attempt));
    BOOST_TEST(node.core.open_requests() == 0U);
}

/// Guards against requests that end with their process, without an answer.
BOOST_AUTO_TEST_CASE(open_requests_are_answered_when_the_process_ends)
{
    served_node node;
    node.sent(make_call("r1", "/once/1"));
    static_cast<void>(node.core.on_request(request_number(100), make_call("r2", "/once/1"), at(1)));
    const relay_effects effects = node.core.end_all(at(1.5));
    std::vector<int> statuses;
    for (const relay_effect& effect : effects) {
        if (const auto* answer = std::get_if<reply>(&effect)) {
            statuses.push_back(answer->status);
        }
    }
    // The first one was written and may have run, the second was not.
    BOOST_TEST((statuses == std::vector<int>{502, 503}));
    BOOST_TEST(node.core.open_requests() == 0U);
    const core::ledger_account& account = node.core.accounts().at(service_id("desk"));
    BOOST_TEST(account.unknown == 1U);
    BOOST_TEST(account.not_run == 1U);
    BOOST_TEST(account.difference() == 0);
}

BOOST_AUTO_TEST_CASE(a_draining_server_gets_no_new_work)
{
    served_node node;
    server_entry leaving = test::make_server("desk-1", "desk");
    leaving.draining = true;
    node.core.directory().put(leaving, at(0.5));
    for (int index = 0; index < 20; ++index) {
        const relay_effects effects = node.core.on_request(
            request_number(100U + static_cast<unsigned>(index)), make_call("r", "/read/1"), at(1));
        BOOST_TEST((first<start_attempt>(effects)->server == backend_id("desk-2")));
    }
}

/// Guards against requests to a server that said in a response that it shuts down, while its entry in the
/// store is older or the store can't be read.
BOOST_AUTO_TEST_CASE(a_server_that_announced_its_shutdown_gets_no_new_work_until_it_restarts)
{
    served_node node;
    const attempt_id attempt = node.sent(make_call("r", "/read/1"));
    response_info leaving = signed_response(200);
    leaving.leaving = true;
    static_cast<void>(node.core.on_response_head(attempt, leaving, at(1.1)));
    static_cast<void>(node.core.on_response(attempt, leaving, at(1.1)));
    const auto open = [&] { return node.core.directory().open_servers(service_id("desk")).size(); };
    BOOST_TEST(open() == 1U);
    for (const char* id : {"desk-1", "desk-2"}) {
        server_entry again = test::make_server(id, "desk");
        again.slots = 7;
        node.core.directory().put(again, at(1.2));
    }
    BOOST_TEST(open() == 1U);
    for (const char* id : {"desk-1", "desk-2"}) {
        server_entry restarted = test::make_server(id, "desk");
        restarted.started_ms = 5;
        node.core.directory().put(restarted, at(1.3));
    }
    BOOST_TEST(open() == 2U);
}

/// Guards against requests to a server during the pause that it asked for, also when no other server is left.
BOOST_AUTO_TEST_CASE(a_server_that_asked_for_a_pause_gets_nothing_before_its_end)
{
    served_node node;
    response_info refusal;
    refusal.status = 503;
    refusal.not_run = true;
    refusal.pause = std::chrono::seconds(3);
    const relay_effects before = node.core.on_request(request_number(1), make_call("r", "/read/1"), at(1));
    attempt_id attempt = first<start_attempt>(before)->attempt;
    for (unsigned server = 0; server < 2; ++server) {
        node.core.on_written(attempt);
        static_cast<void>(node.core.on_response_head(attempt, refusal, at(1.1)));
        const relay_effects next = node.core.on_failure(attempt, attempt_failure::not_run, "503", at(1.1));
        if (const auto* again = first<start_attempt>(next)) {
            attempt = again->attempt;
        }
    }
    const relay_effects effects = node.core.on_request(request_number(2), make_call("s", "/read/1"), at(2));
    BOOST_TEST(first<start_attempt>(effects) == nullptr);
    BOOST_REQUIRE(first<reply>(effects) != nullptr);
    BOOST_TEST(first<reply>(effects)->status == 503);
    BOOST_TEST((first<reply>(effects)->retry_after == std::chrono::milliseconds(2100)));
    static_cast<void>(node.core.on_tick(at(4.2)));
    const relay_effects after = node.core.on_request(request_number(3), make_call("t", "/read/1"), at(4.2));
    BOOST_TEST(first<start_attempt>(after) != nullptr);
}

/// Guards against blaming requests that an engine had been answering for a while when it crashed.
BOOST_AUTO_TEST_CASE(only_requests_that_an_engine_has_just_begun_are_evidence_of_a_crash)
{
    for (const double crash_at : {1.3, 1.9}) {
        served_node node;
        const relay_effects effects =
            node.core.on_request(request_number(1), test::make_prompt("r", 7, 13300, 3700), at(1));
        const relay_effects next =
            node.core.on_prompt_prefilled(first<start_attempt>(effects)->attempt, test_handle("h"), at(1.1));
        const attempt_id attempt = first<start_attempt>(next)->attempt;
        node.core.on_written(attempt);
        static_cast<void>(node.core.on_stream_head(attempt, at(1.15)));
        static_cast<void>(node.core.on_events(attempt, test_event("1"), at(1.2)));
        const relay_effects lost =
            node.core.on_failure(attempt, attempt_failure::lost, "closed", at(crash_at));
        BOOST_TEST((first<probe_server>(lost) != nullptr) == (crash_at < 1.4));
    }
}

/// Guards against keeping an engine's cached segments when a listing, read after an outage of the store,
/// shows that the engine restarted or left.
BOOST_AUTO_TEST_CASE(a_listing_with_a_restarted_engine_discards_its_cached_segments)
{
    served_node node;
    std::vector<server_entry> listed;
    for (const auto& [id, entry] : node.core.directory().entries()) {
        listed.push_back(entry);
    }
    const request_info prompt = test::make_prompt("r", 7, 13300, 3700);
    const engine_traits traits = *test::make_config()->services[1].engines;
    const auto cached = [&] {
        return node.core.engines()
            .choose(prompt, traits, node.core.directory().open_servers(service_id("llm")), {}, at(1.2))
            ->cached_tokens;
    };
    const std::vector<cached_segment> segments = {{engine_hash(backend_id("reader-1")), 7}};
    node.core.engines().on_peer_segments(segments, at(1));
    node.core.on_listing(listed, at(1));
    BOOST_TEST(cached() == 13300U);

    const auto prefill_engine = std::find_if(listed.begin(), listed.end(), [](const server_entry& entry) {
        return entry.id == backend_id("reader-1");
    });
    prefill_engine->started_ms += 1;
    node.core.on_listing(listed, at(1.1));
    BOOST_TEST(cached() == 0U);

    node.core.engines().on_peer_segments(segments, at(1.1));
    const server_entry left = *prefill_engine;
    listed.erase(prefill_engine);
    node.core.on_listing(listed, at(1.2));
    listed.push_back(left);
    node.core.on_listing(listed, at(1.2));
    BOOST_TEST(cached() == 0U);
}

BOOST_AUTO_TEST_CASE(a_prompt_is_prefilled_at_one_engine_and_decoded_at_another)
{
    served_node node;
    const relay_effects effects =
        node.core.on_request(request_number(1), test::make_prompt("r", 7, 13300, 3700), at(1));
    const auto* read = first<start_attempt>(effects);
    BOOST_REQUIRE(read != nullptr);
    BOOST_TEST((read->stage == attempt_stage::prefill_only));
    BOOST_TEST(!read->stream);
    const relay_effects next = node.core.on_prompt_prefilled(read->attempt, test_handle("h1"), at(1.3));
    const auto* run = first<start_attempt>(next);
    BOOST_REQUIRE(run != nullptr);
    BOOST_TEST((run->stage == attempt_stage::decode_only));
    BOOST_TEST(run->handle.str() == "h1");
    BOOST_TEST(run->stream);
}

BOOST_AUTO_TEST_CASE(a_refused_kv_cache_goes_to_another_decode_engine_without_another_prefill)
{
    served_node node;
    const relay_effects effects =
        node.core.on_request(request_number(1), test::make_prompt("r", 7, 13300, 3700), at(1));
    const relay_effects run =
        node.core.on_prompt_prefilled(first<start_attempt>(effects)->attempt, test_handle("h1"), at(1.3));
    const auto* refused = first<start_attempt>(run);
    const backend_id decode_engine = refused->server;
    node.core.on_written(refused->attempt);
    const relay_effects again =
        node.core.on_failure(refused->attempt, attempt_failure::not_run, "503", at(1.31));
    const auto* other = first<start_attempt>(again);
    BOOST_REQUIRE(other != nullptr);
    BOOST_TEST((other->stage == attempt_stage::decode_only));
    BOOST_TEST(other->handle.str() == "h1");
    BOOST_TEST((other->server != decode_engine));
}

BOOST_AUTO_TEST_CASE(an_engine_whose_kv_caches_are_refused_prefills_nothing_for_a_while)
{
    served_node node;
    const relay_effects effects =
        node.core.on_request(request_number(1), test::make_prompt("r", 7, 13300, 3700), at(1));
    const backend_id prefill_engine = first<start_attempt>(effects)->server;
    relay_effects run =
        node.core.on_prompt_prefilled(first<start_attempt>(effects)->attempt, test_handle("h1"), at(1.3));
    for (int refusals = 0; refusals < 2; ++refusals) {
        const attempt_id attempt = first<start_attempt>(run)->attempt;
        node.core.on_written(attempt);
        run = node.core.on_failure(attempt, attempt_failure::not_run, "503", at(1.31));
    }
    const relay_effects other =
        node.core.on_request(request_number(2), test::make_prompt("r2", 7, 13300, 3700), at(1.4));
    BOOST_TEST((first<start_attempt>(other)->server != prefill_engine));
}

/// Guards against counting a retry once when it repeats both the prefill and the execution, which are two
/// arrivals at servers.
BOOST_AUTO_TEST_CASE(arrivals_beyond_the_first_stay_within_the_budget_of_retries)
{
    constexpr double reserve_of_all_nodes = 40;
    constexpr double nodes = 2;
    served_node node(reserve_of_all_nodes);
    node.core.on_nodes(static_cast<std::size_t>(nodes));
    unsigned requests = 0;
    unsigned extra = 0;
    for (unsigned number = 1; number <= 60; ++number) {
        ++requests;
        relay_effects effects =
            node.core.on_request(request_number(number), test::make_prompt("r", number, 4000, 500), at(1));
        unsigned prefills = 0;
        unsigned runs = 0;
        while (const auto* start = first<start_attempt>(effects)) {
            const attempt_id attempt = start->attempt;
            const bool prefilling = start->stage == attempt_stage::prefill_only;
            (prefilling ? prefills : runs) += 1;
            node.core.on_written(attempt);
            effects = prefilling ? node.core.on_prompt_prefilled(attempt, test_handle("h"), at(1.01))
                                 : node.core.on_failure(attempt, attempt_failure::not_run, "503", at(1.02));
        }
        extra += (prefills > 0 ? prefills - 1 : 0) + (runs > 0 ? runs - 1 : 0);
    }
    BOOST_TEST(extra <= reserve_of_all_nodes / nodes + 0.1 * requests);
    BOOST_TEST(extra > 0U);
}

BOOST_AUTO_TEST_CASE(a_broken_stream_that_may_be_resumed_continues_after_its_last_event)
{
    served_node node;
    request_info info = test::make_prompt("r", 7, 300, 200);
    info.path = "/resume/1";
    attempt_id attempt = node.sent(info);
    relay_effects effects = node.core.on_prompt_prefilled(attempt, test_handle("h"), at(1.1));
    if (const auto* run = first<start_attempt>(effects)) {
        attempt = run->attempt;
        node.core.on_written(attempt);
    }
    BOOST_TEST(first<open_response>(node.core.on_stream_head(attempt, at(1.2)))->with_head);
    static_cast<void>(node.core.on_events(attempt, test_event("5"), at(1.3)));
    effects = node.core.on_failure(attempt, attempt_failure::lost, "reset", at(1.4));
    const auto* again = first<start_attempt>(effects);
    BOOST_REQUIRE(again != nullptr);
    BOOST_TEST(again->resume_after.str() == "5");
    BOOST_TEST((again->stage == attempt_stage::full_request));
    BOOST_TEST(!first<open_response>(node.core.on_stream_head(again->attempt, at(1.5)))->with_head);
}

/// Guards against an error response, of the server at which a stream is resumed, in the middle of that
/// stream.
BOOST_AUTO_TEST_CASE(an_error_response_to_a_resumed_stream_is_never_forwarded)
{
    for (const int status : {200, 400, 500}) {
        served_node node;
        request_info info = test::make_prompt("r", 7, 300, 200);
        info.path = "/resume/1";
        attempt_id attempt = node.sent(info);
        relay_effects effects = node.core.on_prompt_prefilled(attempt, test_handle("h"), at(1.1));
        if (const auto* run = first<start_attempt>(effects)) {
            attempt = run->attempt;
            node.core.on_written(attempt);
        }
        static_cast<void>(node.core.on_stream_head(attempt, at(1.2)));
        static_cast<void>(node.core.on_events(attempt, test_event("5"), at(1.3)));
        effects = node.core.on_failure(attempt, attempt_failure::lost, "reset", at(1.4));
        attempt = first<start_attempt>(effects)->attempt;
        node.core.on_written(attempt);
        effects = node.core.on_response(attempt, signed_response(status), at(1.5));
        BOOST_TEST(first<deliver_response>(effects) == nullptr);
        BOOST_TEST(first<end_response>(effects) == nullptr);
        BOOST_TEST(first<abort_response>(effects) != nullptr);
    }
}

BOOST_AUTO_TEST_CASE(a_broken_stream_that_may_not_be_resumed_is_aborted_and_never_completed)
{
    served_node node;
    attempt_id attempt = node.sent(test::make_prompt("r", 7, 300, 200));
    relay_effects effects = node.core.on_prompt_prefilled(attempt, test_handle("h"), at(1.1));
    attempt = first<start_attempt>(effects)->attempt;
    node.core.on_written(attempt);
    static_cast<void>(node.core.on_stream_head(attempt, at(1.2)));
    effects = node.core.on_failure(attempt, attempt_failure::lost, "reset", at(1.4));
    BOOST_TEST(first<start_attempt>(effects) == nullptr);
    BOOST_TEST(first<end_response>(effects) == nullptr);
    BOOST_TEST(first<abort_response>(effects) != nullptr);
}

/// Guards against losses that can't be told apart in the logs: what the requests lost with an engine have in
/// common shows whether one of them ended it.
BOOST_AUTO_TEST_CASE(the_log_of_a_lost_attempt_names_the_shared_segments_of_its_prompt)
{
    served_node node;
    request_info info = test::make_prompt("r", 0xabc, 300, 200);
    info.segments.insert(info.segments.begin(), prompt_segment{0x12, 50});
    const attempt_id attempt = node.sent(info);
    const relay_effects effects = node.core.on_failure(attempt, attempt_failure::lost, "closed", at(1.1));
    const auto* line = first<log_decision>(effects);
    BOOST_REQUIRE(line != nullptr);
    BOOST_TEST(line->event == "attempt_failed");
    const auto has = [&](const std::string& key, const std::string& value) {
        return std::find(line->fields.begin(), line->fields.end(), std::pair(key, value)) !=
               line->fields.end();
    };
    BOOST_TEST(has("segments", "12,abc"));
    BOOST_TEST(has("stage", "read_prompt"));
    BOOST_TEST(has("first_event", "false"));
}

BOOST_AUTO_TEST_CASE(the_accounts_balance)
{
    served_node node;
    const attempt_id answered = node.sent(make_call("r1", "/once/1"));
    static_cast<void>(node.core.on_response(answered, signed_response(200), at(1.1)));
    const attempt_id lost = node.sent(make_call("r2", "/once/1"));
    static_cast<void>(node.core.on_failure(lost, attempt_failure::lost, "reset", at(1.1)));
    node.sent(make_call("r3", "/once/1"));
    static_cast<void>(node.core.on_caller_disconnected(request_number(node.last), "", at(1.2)));
    node.sent(make_call("r4", "/once/1"));
    const core::ledger_account& account = node.core.accounts().at(service_id("desk"));
    BOOST_TEST(account.accepted == 4U);
    BOOST_TEST(account.answered == 1U);
    BOOST_TEST(account.unknown == 1U);
    BOOST_TEST(account.caller_gone == 1U);
    BOOST_TEST(account.in_flight == 1U);
    BOOST_TEST(account.difference() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::relay
