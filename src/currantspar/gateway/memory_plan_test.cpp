#include "currantspar/gateway/memory_plan.hpp"

#include <boost/test/unit_test.hpp>

#include "currantspar/gateway/memory_budget.hpp"

namespace currantspar::gateway {

namespace {

/// The resident memory of an idle process, about.
constexpr std::size_t program = 20000000;

} // namespace

BOOST_AUTO_TEST_SUITE(memory_plan_tests)

// The smallest and largest machines of the users' sheets.
BOOST_AUTO_TEST_CASE(all_parts_together_leave_room_for_the_program)
{
    for (const std::size_t memory : {112000000U, 182000000U, 512000000U}) {
        for (const std::size_t connections : {1335U, 4000U}) {
            const memory_plan plan = plan_memory(memory, connections);
            BOOST_TEST(plan.budget + plan.kernel + program <= memory);
        }
    }
}

BOOST_AUTO_TEST_CASE(receive_buffers_follow_the_memory)
{
    const memory_plan small = plan_memory(112000000, 1500);
    const memory_plan large = plan_memory(512000000, 1500);
    BOOST_TEST(small.caller_receive_buffer < large.caller_receive_buffer);
    BOOST_TEST(small.caller_receive_buffer >= 16384U);
}

BOOST_AUTO_TEST_CASE(tables_take_from_the_budget)
{
    const memory_plan plan = plan_memory(112000000, 1500);
    BOOST_TEST(budget_beside(plan, 112000000, 15000000) == plan.budget);
    const std::size_t beside_tables = budget_beside(plan, 112000000, 40000000);
    BOOST_TEST(beside_tables < plan.budget);
    BOOST_TEST(beside_tables + plan.kernel + 40000000 < 112000000U);
}

// Ordinary requests are still read when the tables alone fill the memory.
BOOST_AUTO_TEST_CASE(a_part_of_the_budget_stays)
{
    const memory_plan plan = plan_memory(112000000, 1500);
    BOOST_TEST(budget_beside(plan, 112000000, 500000000) == 7000000U);
}

BOOST_AUTO_TEST_CASE(without_a_limit_nothing_is_limited)
{
    const memory_plan plan = plan_memory(0, 1500);
    BOOST_TEST(plan.budget == memory_budget::unlimited);
    BOOST_TEST(plan.caller_receive_buffer == 0U);
    BOOST_TEST(budget_beside(plan, 0, 50000000) == memory_budget::unlimited);
}

#ifndef __SANITIZE_ADDRESS__
BOOST_AUTO_TEST_CASE(the_resident_memory_is_known)
{
    BOOST_TEST(resident_memory() > 0U);
}
#endif

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::gateway
