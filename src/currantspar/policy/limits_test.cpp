#include <boost/test/unit_test.hpp>

#include "currantspar/policy/backend_health.hpp"
#include "currantspar/policy/limits.hpp"

namespace {

using namespace currantspar;
using namespace currantspar::policy;
using namespace std::chrono_literals;

const organisation_id abay("abay");

/// The limiters of several nodes, which exchange digests.
struct limiter_fleet
{
    explicit limiter_fleet(std::size_t nodes) : limiters(nodes) {}

    void exchange()
    {
        for (std::size_t from = 0; from < limiters.size(); ++from) {
            work_digest digest;
            digest.node = node_id(std::to_string(from));
            digest.organisations = limiters[from].take_usage(now);
            for (std::size_t to = 0; to < limiters.size(); ++to) {
                if (to != from) {
                    limiters[to].on_digest(digest, now);
                }
            }
        }
    }

    std::vector<usage_limiter> limiters;
    instant now{1s};
};

/// Returns the admitted requests a second when `offered` requests a second are spread evenly over the first
/// `used` nodes, with an exchange of digests every 250 ms.
double admitted_rate(limiter_fleet& fleet, std::size_t used, int offered, int seconds)
{
    config::organisation_limits limits;
    limits.requests_per_second = 50;
    int admitted = 0;
    for (int request = 0; request < offered * seconds; ++request) {
        fleet.now += duration(1000000 / offered);
        if (request % (offered / 4) == 0) {
            fleet.exchange();
        }
        usage_limiter& at = fleet.limiters[static_cast<std::size_t>(request) % used];
        admitted += at.admit(abay, limits, fleet.limiters.size(), fleet.now) ? 0 : 1;
    }
    return static_cast<double>(admitted) / seconds;
}

BOOST_AUTO_TEST_SUITE(limits)

BOOST_AUTO_TEST_CASE(a_rate_limit_holds_across_nodes_for_any_load_distribution)
{
    for (const std::size_t used : {1U, 3U, 14U}) {
        limiter_fleet fleet(14);
        admitted_rate(fleet, used, 400, 5);
        const double rate = admitted_rate(fleet, used, 400, 20);
        BOOST_TEST(rate <= 50 * 1.3, "used " << used << " rate " << rate);
        BOOST_TEST(rate >= 50 * 0.8, "used " << used << " rate " << rate);
    }
}

BOOST_AUTO_TEST_CASE(a_concurrency_limit_holds_across_nodes)
{
    limiter_fleet fleet(14);
    config::organisation_limits limits;
    limits.requests_per_second = 1e6;
    limits.concurrent_requests = 200;
    int running = 0;
    for (int round = 0; round < 40; ++round) {
        fleet.exchange();
        fleet.now += 250ms;
        for (int request = 0; request < 280; ++request) {
            usage_limiter& at = fleet.limiters[static_cast<std::size_t>(request) % 14];
            if (!at.admit(abay, limits, 14, fleet.now)) {
                at.on_started(abay);
                running += 1;
            }
        }
    }
    BOOST_TEST(running <= 214);
    BOOST_TEST(running >= 180);
}

BOOST_AUTO_TEST_CASE(a_heavy_organisation_exceeds_its_fair_share)
{
    usage_limiter limiter;
    for (int started = 0; started < 30; ++started) {
        limiter.on_started(abay);
    }
    const organisation_id kandy("kandy");
    BOOST_TEST(!limiter.over_fair_share(abay, {}));
    limiter.on_started(kandy);
    BOOST_TEST(limiter.over_fair_share(abay, {}));
    BOOST_TEST(!limiter.over_fair_share(kandy, {}));
}

BOOST_AUTO_TEST_CASE(first_attempts_refill_the_retry_budget)
{
    retry_budget budget({0.1, 2});
    budget.spend();
    budget.spend();
    BOOST_TEST(!budget.available());
    for (int first = 0; first < 11; ++first) {
        budget.earn();
    }
    BOOST_TEST(budget.available());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(backend_servers)

const std::vector<backend_id> four = {backend_id("b1"), backend_id("b2"), backend_id("b3"), backend_id("b4")};

/// Returns the fraction of 1000 choices that select the first server.
double fraction_of_first(const backend_health& health, instant now)
{
    random_generator random(1);
    int first = 0;
    for (int call = 0; call < 1000; ++call) {
        first += health.choose(four, now, random) == four[0] ? 1 : 0;
    }
    return first / 1000.0;
}

void report(backend_health& health, const backend_id& backend, bool good, duration latency, instant now)
{
    for (int call = 0; call < 20; ++call) {
        health.on_started(backend);
        health.on_ended(backend, good, latency, now);
    }
}

BOOST_AUTO_TEST_CASE(a_server_slower_than_its_peers_is_avoided)
{
    backend_health health;
    const instant now{10s};
    for (const backend_id& id : four) {
        report(health, id, true, id == four[0] ? 400ms : 10ms, now);
    }
    BOOST_CHECK(health.condition(four[0]) == backend_condition::slow);
    BOOST_TEST(fraction_of_first(health, now) < 0.05);
}

BOOST_AUTO_TEST_CASE(a_common_slowdown_excludes_no_server)
{
    backend_health health;
    const instant now{10s};
    for (const backend_id& id : four) {
        report(health, id, true, 400ms, now);
    }
    for (const backend_id& id : four) {
        BOOST_CHECK(health.condition(id) == backend_condition::good);
    }
    for (const backend_id& id : four) {
        report(health, id, false, 400ms, now);
    }
    BOOST_TEST(fraction_of_first(health, now) > 0.15);
}

BOOST_AUTO_TEST_CASE(a_failing_server_is_probed_after_its_open_time)
{
    backend_health health;
    const instant now{10s};
    for (const backend_id& id : four) {
        report(health, id, id != four[0], 10ms, now);
    }
    BOOST_TEST(fraction_of_first(health, now) < 0.05);
    BOOST_TEST(fraction_of_first(health, now + 60s) > 0.15);
}

BOOST_AUTO_TEST_CASE(late_responses_raise_the_margin_until_predictions_hold)
{
    lateness_margin margin;
    const auto respond = [&](duration predicted, double slower) {
        margin.observe(predicted, from_seconds(to_seconds(predicted) * slower), 600ms);
    };
    for (int i = 0; i < 10; ++i) {
        respond(500ms, 1.8);
    }
    BOOST_TEST(margin.factor() >= 1.8);
    BOOST_TEST(margin.factor() < 1.8 * 1.25);
    for (int i = 0; i < 100; ++i) {
        respond(500ms, 1.0);
    }
    BOOST_TEST(margin.factor() == 1.0);
}

BOOST_AUTO_TEST_CASE(a_response_predicted_late_does_not_change_the_margin)
{
    lateness_margin margin;
    margin.observe(700ms, 2s, 600ms);
    BOOST_TEST(margin.factor() == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
