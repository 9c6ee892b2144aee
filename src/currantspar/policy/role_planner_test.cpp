#include "currantspar/policy/role_planner.hpp"

#include <algorithm>

#include <boost/test/unit_test.hpp>

namespace currantspar::policy {

using namespace std::chrono_literals;
using config::engine_role;

namespace {

pool_view pool_of(std::size_t engines, double prefill_rate, double decode_rate)
{
    pool_view pool;
    for (std::size_t i = 0; i < engines; ++i) {
        role_candidate engine;
        engine.engine = engine_id("e" + std::to_string(i));
        engine.running = static_cast<std::uint32_t>(10 - i);
        pool.engines.push_back(engine);
    }
    pool.prefill_tokens_per_second = prefill_rate;
    pool.decode_tokens_per_second = decode_rate;
    pool.requests_per_second = 12;
    return pool;
}

/// Calls plan() once per simulated second and applies each change immediately; returns all changes.
std::vector<role_change> run_planner(role_planner& planner, pool_view& pool, std::int64_t from,
                                     std::int64_t to)
{
    std::vector<role_change> all;
    for (std::int64_t second = from; second < to; ++second) {
        for (const role_change& change : planner.plan(pool, instant(std::chrono::seconds(second)))) {
            all.push_back(change);
            const auto engine =
                std::find_if(pool.engines.begin(), pool.engines.end(),
                             [&](const role_candidate& entry) { return entry.engine == change.engine; });
            engine->role = change.to;
        }
    }
    return all;
}

constexpr double heavy_prefill = 62000; ///< tokens a second, for five engines
constexpr double light_prefill = 5000;

} // namespace

BOOST_AUTO_TEST_SUITE(role_planner_suite)

BOOST_AUTO_TEST_CASE(a_light_load_changes_no_role)
{
    role_planner planner;
    pool_view pool = pool_of(5, light_prefill, 500);
    BOOST_TEST(run_planner(planner, pool, 0, 60).empty());
}

BOOST_AUTO_TEST_CASE(a_lasting_shift_changes_roles_but_keeps_a_mixed_engine)
{
    role_planner planner;
    pool_view pool = pool_of(5, heavy_prefill, 500);
    const auto changes = run_planner(planner, pool, 0, 120);
    BOOST_REQUIRE(!changes.empty());
    BOOST_TEST((changes.front().engine == engine_id("e4"))); // the least loaded engine
    BOOST_TEST(changes.size() <= 4U);
    BOOST_TEST(std::any_of(pool.engines.begin(), pool.engines.end(),
                           [](const role_candidate& engine) { return engine.role == engine_role::mixed; }));
}

BOOST_AUTO_TEST_CASE(prompts_too_long_for_mixed_engines_change_roles_at_a_light_load)
{
    role_planner planner;
    pool_view pool = pool_of(5, 30000, 500);
    pool.prompts.assign(8, {.uncached_tokens = 3000, .tokens = 3000});
    BOOST_TEST(run_planner(planner, pool, 0, 60).empty());
    // 0.64 s on a mixed engine, 0.51 s on a prefill engine.
    pool.prompts.assign(8, {.uncached_tokens = 8200, .tokens = 8200});
    BOOST_TEST(!run_planner(planner, pool, 60, 120).empty());
}

BOOST_AUTO_TEST_CASE(a_short_spike_changes_no_role)
{
    role_planner planner;
    pool_view pool = pool_of(5, heavy_prefill, 500);
    BOOST_TEST(run_planner(planner, pool, 0, 1).empty());
    pool.prefill_tokens_per_second = light_prefill;
    BOOST_TEST(run_planner(planner, pool, 1, 10).empty());
}

BOOST_AUTO_TEST_CASE(a_higher_cost_weight_reduces_changes)
{
    role_planner light;
    role_planner heavy;
    pool_view pool = pool_of(5, heavy_prefill, 500);
    pool.options.change_cost_weight = 0.5;
    pool_view same = pool;
    same.options.change_cost_weight = 50;
    BOOST_TEST(run_planner(light, pool, 0, 60).size() > run_planner(heavy, same, 0, 60).size());
}

BOOST_AUTO_TEST_CASE(a_changed_engine_is_not_reversed_immediately)
{
    role_planner planner;
    pool_view pool = pool_of(5, heavy_prefill, 500);
    pool.options.change_cost_weight = 0.1;
    const auto initial_changes = run_planner(planner, pool, 0, 5);
    BOOST_REQUIRE(!initial_changes.empty());
    pool.prefill_tokens_per_second = 1000;
    pool.decode_tokens_per_second = 16000;
    for (const role_change& reversal : run_planner(planner, pool, 5, 20)) {
        BOOST_TEST((reversal.engine != initial_changes.front().engine));
    }
}

BOOST_AUTO_TEST_CASE(simultaneous_changes_are_bounded_and_fixed_roles_stay)
{
    role_planner planner;
    pool_view pool = pool_of(5, heavy_prefill, 500);
    pool.engines[0].changing = true;
    pool.engines[0].available = false;
    BOOST_TEST(run_planner(planner, pool, 0, 20).empty());
    pool.engines[0].changing = false;
    pool.options.adaptive = false;
    BOOST_TEST(run_planner(planner, pool, 20, 40).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::policy
