#include "currantspar/policy/dispatcher.hpp"

#include <boost/test/unit_test.hpp>

#include "currantspar/policy/test_fleet.hpp"

namespace currantspar::policy {

using namespace std::chrono_literals;

namespace {

instant at(duration since)
{
    return instant(since);
}

request_shape shape_of(std::uint32_t prompt, std::vector<std::uint64_t> prefix = {})
{
    request_shape shape;
    shape.service = service_id("model");
    shape.organisation = organisation_id("o1");
    shape.prompt_tokens = prompt;
    shape.prefix_pieces = std::move(prefix);
    return shape;
}

struct node
{
    explicit node(const char* name, std::size_t engines = 2)
        : dispatcher(dispatcher_options{node_id(name), data_centre_id("d0")})
    {
        dispatcher.on_fleet(fleet_of(engines));
    }

    tl::expected<route, refusal> choose(const request_shape& shape, instant now = at(1s))
    {
        return dispatcher.choose(shape, now, random);
    }
    route send(std::uint64_t attempt, const request_shape& shape, instant now = at(1s))
    {
        const auto chosen = choose(shape, now);
        BOOST_REQUIRE(chosen.has_value());
        dispatcher.on_sent(attempt_id(attempt), *chosen, shape, now);
        return *chosen;
    }

    policy::dispatcher dispatcher;
    random_generator random{1};
};

engine_id prefill_of(const route& chosen)
{
    return chosen.prefill_engine.empty() ? chosen.engine : chosen.prefill_engine;
}

} // namespace

BOOST_AUTO_TEST_SUITE(dispatcher_suite)

BOOST_AUTO_TEST_CASE(requests_in_flight_are_counted_before_any_report)
{
    node one("n1");
    const route first = one.send(1, shape_of(6000));
    const route second = one.send(2, shape_of(6000));
    BOOST_TEST((prefill_of(first) != prefill_of(second)));
}

BOOST_AUTO_TEST_CASE(a_delta_digest_steers_requests_to_another_engine)
{
    node one("n1");
    node two("n2");
    const route first = one.send(1, shape_of(6000));
    BOOST_TEST(one.dispatcher.has_changes());
    two.dispatcher.on_digest(one.dispatcher.make_delta_digest(), at(1s));
    BOOST_TEST(!one.dispatcher.has_changes());
    BOOST_TEST((prefill_of(two.send(1, shape_of(6000))) != prefill_of(first)));
}

BOOST_AUTO_TEST_CASE(a_full_digest_corrects_a_lost_delta)
{
    node one("n1", 1);
    node two("n2", 1);
    one.send(1, shape_of(9000));
    two.dispatcher.on_digest(one.dispatcher.make_delta_digest(), at(1s));
    const auto busy = two.choose(shape_of(1000));
    one.dispatcher.on_ended(attempt_id(1), attempt_end::cancelled, at(1s));
    two.dispatcher.on_digest(one.dispatcher.make_digest(at(1s)), at(1s));
    const auto idle = two.choose(shape_of(1000));
    BOOST_TEST((!busy || busy->predicted_first_token > idle->predicted_first_token + 300ms));
}

BOOST_AUTO_TEST_CASE(work_of_a_departed_peer_is_removed)
{
    node one("n1", 1);
    node two("n2", 1);
    one.send(1, shape_of(100000));
    two.dispatcher.on_digest(one.dispatcher.make_digest(at(1s)), at(1s));
    BOOST_TEST(!two.choose(shape_of(1000)).has_value());
    two.dispatcher.forget_node(node_id("n1"));
    BOOST_TEST(two.choose(shape_of(1000)).has_value());
}

BOOST_AUTO_TEST_CASE(a_late_request_is_refused_with_a_retry_time)
{
    node one("n1", 1);
    one.send(1, shape_of(20000));
    const auto refused = one.choose(shape_of(5000));
    BOOST_REQUIRE(!refused.has_value());
    BOOST_TEST((refused.error().reason == refusal_reason::too_late));
    BOOST_TEST((refused.error().retry_after >= 1s));
}

BOOST_AUTO_TEST_CASE(an_idle_engine_is_used_despite_slow_measurements)
{
    node one("n1", 1);
    for (std::uint64_t i = 1; i < 60; ++i) {
        const instant begun = at(std::chrono::seconds(i * 100));
        one.send(i, shape_of(6000), begun);
        one.dispatcher.on_tokens(attempt_id(i), 1, begun + 20s);
        one.dispatcher.on_ended(attempt_id(i), attempt_end::complete, begun + 20s);
    }
    BOOST_TEST(one.choose(shape_of(6000), at(9000s)).has_value());
}

BOOST_AUTO_TEST_CASE(an_infeasible_prompt_is_refused_under_pressure)
{
    node one("n1", 1);
    const request_shape usual = shape_of(5000);
    const request_shape long_one = shape_of(20000);
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(one.choose(usual).has_value());
    }
    one.send(1, long_one);
    BOOST_TEST(!one.choose(usual).has_value());
    one.dispatcher.on_ended(attempt_id(1), attempt_end::cancelled, at(1s));
    BOOST_TEST(!one.choose(long_one).has_value());
    BOOST_TEST(one.choose(usual).has_value());
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(one.choose(usual, at(60s)).has_value());
    }
    BOOST_TEST(one.choose(long_one, at(60s)).has_value());
}

BOOST_AUTO_TEST_CASE(slow_engines_get_fewer_requests_and_closed_ones_none)
{
    node one("n1", 2);
    for (std::uint64_t i = 1; i < 40; ++i) {
        const instant begun = at(std::chrono::seconds(i * 100));
        const route chosen = one.send(i, shape_of(6000), begun);
        const bool slow = prefill_of(chosen) == engine_id("e0");
        one.dispatcher.on_tokens(attempt_id(i), 1, begun + (slow ? 1500ms : 400ms));
        one.dispatcher.on_ended(attempt_id(i), attempt_end::complete, begun + 2s);
    }
    BOOST_TEST((prefill_of(one.send(90, shape_of(6000), at(9000s))) == engine_id("e1")));
    one.dispatcher.set_open(engine_id("e0"), false);
    one.dispatcher.set_open(engine_id("e1"), false);
    BOOST_TEST((one.choose(shape_of(100), at(9000s)).error().reason == refusal_reason::no_engine));
}

BOOST_AUTO_TEST_CASE(a_cached_prefix_attracts_requests_less_after_an_event_gap)
{
    node one("n1", 2);
    cache_event_batch batch;
    batch.engine = engine_id("e1");
    batch.first_sequence = 1;
    batch.changes = {{71, true}, {72, true}};
    one.dispatcher.on_cache_events(batch, at(1s));
    const auto chosen = one.choose(shape_of(5000, {71, 72}));
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST((prefill_of(*chosen) == engine_id("e1")));
    BOOST_TEST(chosen->cached_tokens == 4000U);
    batch.first_sequence = 50;
    batch.changes = {{99, true}};
    one.dispatcher.on_cache_events(batch, at(2s));
    const auto after_gap = one.choose(shape_of(5000, {71, 72}));
    BOOST_TEST((after_gap->predicted_first_token > chosen->predicted_first_token));
}

BOOST_AUTO_TEST_CASE(the_prefix_index_is_bounded)
{
    prefix_index index(100, 2);
    for (std::uint64_t piece = 0; piece < 1000; ++piece) {
        index.add(piece, static_cast<prefix_index::engine_number>(piece % 7));
    }
    BOOST_TEST(index.size() == 100U);
    BOOST_TEST(index.find({5}).empty());
    BOOST_TEST(index.find({999}).size() == 1U);
    index.add(999, 1);
    index.add(999, 2);
    BOOST_TEST(index.find({999}).size() == 2U);
    index.forget(2);
    BOOST_TEST(index.find({999}).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::policy
