#include "currantspar/relay/role_plan.hpp"

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "test_relay.hpp"

namespace currantspar::relay {

namespace {

constexpr auto prefill = config::engine_role::prefill;
constexpr auto decode = config::engine_role::decode;

std::vector<server_entry> fleet(unsigned prefill_engines, unsigned decode_engines)
{
    std::vector<server_entry> engines;
    for (unsigned index = 0; index < prefill_engines + decode_engines; ++index) {
        const std::string id = "engine-" + std::to_string(index);
        engines.push_back(test::make_server(id, "llm", index < prefill_engines ? prefill : decode,
                                            index % 2 == 0 ? "a" : "b"));
    }
    return engines;
}

unsigned count_to(const std::vector<role_change>& changes, config::engine_role role)
{
    return static_cast<unsigned>(std::count_if(
        changes.begin(), changes.end(), [&](const role_change& change) { return change.role == role; }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(role_plan_tests)

/// Prompts are long and outputs short, so most engines prefill.
BOOST_AUTO_TEST_CASE(before_traffic_most_engines_become_prefill_engines)
{
    const auto changes = plan_roles(fleet(7, 11), {}, false, {});
    BOOST_TEST(count_to(changes, prefill) == 7U);
    BOOST_TEST(count_to(changes, decode) == 0U);
}

/// After several decode engines crash under load, the few that remain would refuse requests.
BOOST_AUTO_TEST_CASE(decode_engines_that_fail_are_replaced_by_prefill_engines)
{
    const auto changes = plan_roles(fleet(14, 2), {}, true, {});
    BOOST_TEST(count_to(changes, decode) == 2U);
    BOOST_TEST(count_to(changes, prefill) == 0U);
}

BOOST_AUTO_TEST_CASE(a_small_shortfall_of_prefill_engines_under_load_is_not_worth_an_order)
{
    BOOST_TEST(plan_roles(fleet(12, 6), {}, true, {}).empty());
    BOOST_TEST(!plan_roles(fleet(10, 8), {}, true, {}).empty());
}

BOOST_AUTO_TEST_CASE(changes_in_flight_count_as_done)
{
    const auto engines = fleet(13, 5);
    BOOST_TEST(plan_roles(engines, {engines.back().id}, false, {}).empty());
}

BOOST_AUTO_TEST_CASE(under_load_few_engines_change_at_one_time)
{
    BOOST_TEST(plan_roles(fleet(2, 16), {}, true, {}).size() == 2U);
}

/// A third of 140 engines are prefill engines, and traffic begins 14 s after the nodes start. The orders of
/// one claim are sent together, claims are 5.5 s apart and a role change takes 3 s, so two rounds must
/// suffice.
BOOST_AUTO_TEST_CASE(a_large_fleet_has_its_roles_before_its_traffic)
{
    std::vector<server_entry> engines = fleet(49, 91);
    for (int round = 0; round < 2; ++round) {
        for (const role_change& change : plan_roles(engines, {}, false, {})) {
            std::find_if(engines.begin(), engines.end(), [&](const server_entry& engine) {
                return engine.id == change.engine;
            })->role = change.role;
        }
    }
    BOOST_TEST(plan_roles(engines, {}, false, {}).empty());
    BOOST_TEST(plan_roles(fleet(49, 91), {}, true, {}).size() <= 6U);
}

BOOST_AUTO_TEST_CASE(a_fleet_of_few_engines_keeps_both_roles)
{
    const auto changes = plan_roles(fleet(0, 2), {}, false, {.missing_tolerance = 0});
    BOOST_TEST(count_to(changes, prefill) <= 1U);
    BOOST_TEST(plan_roles(fleet(0, 1), {}, false, {}).empty());
}

BOOST_AUTO_TEST_CASE(all_data_centres_keep_decode_engines)
{
    auto engines = fleet(7, 11);
    for (const role_change& change : plan_roles(engines, {}, false, {})) {
        for (server_entry& engine : engines) {
            if (engine.id == change.engine) {
                engine.role = change.role;
            }
        }
    }
    for (const char* data_centre : {"a", "b"}) {
        BOOST_TEST(std::any_of(engines.begin(), engines.end(), [&](const server_entry& engine) {
            return engine.role == decode && engine.data_centre.str() == data_centre;
        }));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::relay
