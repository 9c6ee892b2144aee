#include "currantspar/gateway/memory_budget.hpp"

#include <boost/test/unit_test.hpp>

namespace currantspar::gateway {

BOOST_AUTO_TEST_SUITE(memory_budget_tests)

BOOST_AUTO_TEST_CASE(charges_follow_the_accounts)
{
    memory_budget budget(1000);
    memory_account one(&budget);
    one.set_allocated(400);
    {
        memory_account other(&budget);
        other.set_allocated(700);
        BOOST_TEST(budget.used() == 1100U);
        BOOST_TEST(budget.exceeded());
        other.set_allocated(300);
        BOOST_TEST(!budget.exceeded());
    }
    BOOST_TEST(budget.used() == 400U);
}

BOOST_AUTO_TEST_CASE(a_reservation_is_charged_instead_of_what_it_covers)
{
    memory_budget budget(1000);
    memory_account one(&budget);
    one.set_allocated(100);
    BOOST_TEST(one.reserve(500));
    BOOST_TEST(budget.used() == 500U);
    one.set_allocated(450);
    BOOST_TEST(budget.used() == 500U);
    one.set_allocated(600);
    BOOST_TEST(budget.used() == 600U);
    one.release_reservation();
    one.set_allocated(0);
    BOOST_TEST(budget.used() == 0U);
}

BOOST_AUTO_TEST_CASE(large_bodies_leave_a_quarter_to_small_requests)
{
    memory_budget budget(1000);
    memory_account one(&budget);
    memory_account other(&budget);
    BOOST_TEST(one.reserve(750));
    BOOST_TEST(!other.reserve(1));
    one.release_reservation();
    BOOST_TEST(other.reserve(1));
}

// A body inside the limits must be served when nothing else is in progress, however small the memory is.
BOOST_AUTO_TEST_CASE(a_body_larger_than_the_budget_is_admitted_alone)
{
    memory_budget budget(1000);
    memory_account one(&budget);
    memory_account other(&budget);
    BOOST_TEST(one.reserve(5000));
    BOOST_TEST(!other.reserve(5000));
    one.release_reservation();
    BOOST_TEST(other.reserve(5000));
}

BOOST_AUTO_TEST_CASE(a_reservation_grows_or_stays)
{
    memory_budget budget(1000);
    memory_account one(&budget);
    memory_account other(&budget);
    BOOST_TEST(one.reserve(300));
    BOOST_TEST(other.reserve(300));
    BOOST_TEST(!one.reserve(600));
    BOOST_TEST(one.reserved() == 300U);
    other.release_reservation();
    BOOST_TEST(one.reserve(600));
    BOOST_TEST(one.reserve(5000));
    BOOST_TEST(budget.used() == 5000U);
    one.release_reservation();
    BOOST_TEST(budget.used() == 0U);
}

// Connections that wait for memory must not take what they wait for.
BOOST_AUTO_TEST_CASE(small_requests_exceed_their_part)
{
    memory_budget budget(1000);
    memory_account small(&budget);
    memory_account large(&budget);
    BOOST_TEST(large.reserve(700));
    BOOST_TEST(!budget.under_pressure());
    small.set_allocated(200);
    BOOST_TEST(budget.under_pressure());
    BOOST_TEST(!budget.small_exceeded());
    small.set_allocated(260);
    BOOST_TEST(budget.small_exceeded());
    small.set_allocated(0);
    large.release_reservation();
    BOOST_TEST(!budget.under_pressure());
}

// Guards against a lone body that is admitted and then refused, because the tables leave less than it needs.
BOOST_AUTO_TEST_CASE(a_body_admitted_alone_exceeds_nothing)
{
    memory_budget budget(1000);
    memory_account one(&budget);
    memory_account small(&budget);
    BOOST_TEST(one.reserve(5000));
    BOOST_TEST(!budget.exceeded());
    small.set_allocated(250);
    BOOST_TEST(!budget.exceeded());
    small.set_allocated(251);
    BOOST_TEST(budget.exceeded());
}

BOOST_AUTO_TEST_CASE(the_limit_follows_what_is_left)
{
    memory_budget budget(1000);
    memory_account one(&budget);
    memory_account other(&budget);
    BOOST_TEST(one.reserve(350));
    BOOST_TEST(other.reserve(350));
    one.set_allocated(300);
    BOOST_TEST(budget.allocated() == 300U);
    budget.set_limit(600);
    BOOST_TEST(budget.exceeded());
    other.release_reservation();
    BOOST_TEST(!budget.exceeded());
    one.release_reservation();
    one.set_allocated(0);
    BOOST_TEST(budget.allocated() == 0U);
}

BOOST_AUTO_TEST_CASE(without_a_budget_nothing_is_limited)
{
    memory_account one(nullptr);
    one.set_allocated(5);
    BOOST_TEST(one.reserve(memory_budget::unlimited));
    BOOST_TEST(one.charged() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::gateway
