#include "currantspar/node/operations.hpp"

#include <thread>

#include <boost/test/unit_test.hpp>

namespace currantspar::node {

namespace {

using namespace std::chrono_literals;

core::node_state small_state()
{
    core::core_options options;
    options.self = node_id("127.0.0.1:1");
    options.data_centre = data_centre_id("a");
    return core::node_state(options);
}

core::event at(duration time, core::event_body body = core::tick{})
{
    return {instant(time), wall_time(1000ms), std::move(body)};
}

core::effect entry(std::uint64_t sequence, const std::string& request)
{
    core::timeline_entry made;
    made.kind = "request.routed";
    made.sequence = sequence;
    made.request = request_id(request);
    made.wall = wall_time(std::chrono::milliseconds(sequence));
    return core::add_timeline{made};
}

/// Answers while another thread runs the node's loop.
io::admin_answer ask(operations& shown, const core::node_state& state, const std::string& path)
{
    bool done = false;
    std::mutex mutex;
    std::thread loop([&] {
        while (true) {
            {
                const std::lock_guard lock(mutex);
                if (done) {
                    return;
                }
            }
            shown.on_step(state, at(2s), {});
            std::this_thread::yield();
        }
    });
    io::admin_answer answer = shown.pages().at(path)({});
    {
        const std::lock_guard lock(mutex);
        done = true;
    }
    loop.join();
    return answer;
}

} // namespace

BOOST_AUTO_TEST_SUITE(operating)

BOOST_AUTO_TEST_CASE(the_time_line_is_bounded_and_filtered)
{
    timeline_store store(3);
    for (std::uint64_t sequence = 1; sequence <= 5; ++sequence) {
        store.on_step(at(1s), {entry(sequence, sequence % 2 == 0 ? "even" : "odd")}, log_offset(9));
    }
    timeline_filter filter;
    filter.request = request_id("odd");
    const timeline_part part = store.find(filter);
    BOOST_TEST(part.first_kept == 3U);
    BOOST_TEST(part.last == 5U);
    BOOST_TEST(part.entries.size() == 2U);
    filter.most = 1;
    BOOST_TEST(store.find(filter).cut);
    BOOST_TEST(store.find(filter).entries.at(0).entry.sequence == 5U);
    filter.after = 5;
    BOOST_TEST(store.find(filter).entries.empty());
}

BOOST_AUTO_TEST_CASE(entries_carry_what_orders_them)
{
    timeline_store store(10);
    core::peer_received received;
    received.from = node_id("n2");
    received.counter = 4;
    core::append_records append;
    append.append = append_id(1);
    store.on_step(at(1s), {entry(1, "r"), core::send_peer{node_id("n2"), 7, {}}, append}, log_offset(9));
    store.on_step(at(2s, received), {entry(2, "other")}, log_offset(9));
    received.counter = 5;
    store.on_step(at(2s, received), {}, log_offset(9));
    store.on_step(at(2s, core::append_finished{append_id(1), core::append_outcome::appended, log_offset(10)}),
                  {entry(3, "r")}, log_offset(10));
    timeline_filter filter;
    filter.request = request_id("r");
    const timeline_part part = store.find(filter);
    BOOST_REQUIRE(part.entries.size() == 2U);
    BOOST_TEST(part.entries[0].sent == 0U);
    BOOST_TEST(part.entries[1].sent == 7U);
    BOOST_REQUIRE(part.entries[1].heard.size() == 1U);
    BOOST_TEST(part.entries[1].heard[0].counter == 5U);
    BOOST_REQUIRE(part.appends.size() == 1U);
    BOOST_TEST(part.appends[0].after == 1U);
    BOOST_TEST(part.appends[0].first.value() == 10U);
}

BOOST_AUTO_TEST_CASE(a_query_with_a_wrong_value_is_refused)
{
    BOOST_TEST(read_filter({{"request", "r"}, {"after", "7"}})->after == 7U);
    BOOST_TEST(!read_filter({{"after", "x"}}).has_value());
    BOOST_TEST(!read_filter({{"colour", "red"}}).has_value());
}

BOOST_AUTO_TEST_CASE(every_page_is_served)
{
    operations shown;
    const core::node_state state = small_state();
    for (const char* path : {"/", "/healthz", "/status", "/metrics", "/timeline"}) {
        BOOST_TEST(ask(shown, state, path).status == 200, path);
    }
    BOOST_TEST(shown.pages().at("/readyz")({}).status == 503);
    BOOST_TEST(shown.pages().at("/timeline")({{{"after", "x"}}}).status == 400);
    const auto status = nlohmann::json::parse(ask(shown, state, "/status").body).get<node_status>();
    BOOST_TEST(status.node.str() == "127.0.0.1:1");
    BOOST_TEST(status.phase == "starting");
}

BOOST_AUTO_TEST_CASE(a_loop_that_stands_still_is_not_healthy)
{
    operations_options options;
    options.status_wait = 10ms;
    operations shown(options);
    BOOST_TEST(shown.pages().at("/healthz")({}).status == 503);
}

BOOST_AUTO_TEST_CASE(alarms_come_and_go)
{
    operations shown;
    const core::node_state state = small_state();
    shown.on_step(state, at(1s), {core::set_alarm{core::alarm::late_order, true, "order 7"}});
    BOOST_TEST(ask(shown, state, "/metrics").body.find("currantspar_alarm{alarm=\"late_order\"} 1") !=
               std::string::npos);
    shown.on_step(state, at(3s), {core::set_alarm{core::alarm::late_order, false, ""}});
    BOOST_TEST(ask(shown, state, "/metrics").body.find("late_order") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(token_times_are_measured)
{
    metrics measured;
    core::generate_arrived arrived;
    arrived.request = request_id("r");
    arrived.service = service_id("chat");
    measured.on_step(at(1s, arrived), {});
    measured.on_step(at(1100ms), {core::reply_tokens{request_id("r"), 0, {"a"}, ""}});
    measured.on_step(at(1120ms), {core::reply_tokens{request_id("r"), 1, {"b"}, ""}});
    core::reply_end ended;
    ended.request = request_id("r");
    measured.on_step(at(1130ms), {ended});
    measured.on_step(at(1140ms), {core::reply_tokens{request_id("r"), 2, {"c"}, ""}});
    const std::string text = measured.text();
    BOOST_TEST(text.find("currantspar_first_token_seconds_count{service=\"chat\"} 1") != std::string::npos);
    BOOST_TEST(text.find("currantspar_first_token_seconds_bucket{service=\"chat\",le=\"0.1\"} 1") !=
               std::string::npos);
    BOOST_TEST(text.find("currantspar_between_tokens_seconds_count{service=\"chat\"} 1") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_engine_that_is_slower_than_its_peers_shows)
{
    metrics measured;
    node_status status;
    for (unsigned engine = 1; engine <= 3; ++engine) {
        const std::string name = "e" + std::to_string(engine);
        engine_status seen;
        seen.engine = engine_id(name);
        seen.service = service_id("chat");
        status.engines.push_back(seen);
        core::start_generation started;
        started.attempt = attempt_id(engine);
        started.engine = engine_id(name);
        measured.on_step(at(1s), {started});
        for (int token = 0; token < 5; ++token) {
            const duration gap = engine == 3 ? 40ms : 10ms;
            measured.on_step(at(1s + token * gap, core::attempt_tokens{attempt_id(engine), {}, 0, {"t"}}),
                             {});
        }
    }
    measured.on_status(status, instant(5s));
    BOOST_TEST(measured.text().find("currantspar_engine_relative_pace{engine=\"e3\"} 4") !=
               std::string::npos);
    BOOST_TEST(measured.text().find("currantspar_engine_relative_pace{engine=\"e1\"} 1") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_page_escapes_what_it_shows)
{
    node_status status;
    status.fleet = "<script>";
    BOOST_TEST(render_page(status).find("<script>") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::node
