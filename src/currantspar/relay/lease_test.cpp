#include "currantspar/relay/lease.hpp"

#include <boost/test/unit_test.hpp>

#include "test_relay.hpp"

namespace currantspar::relay {

namespace {

using test::at;

} // namespace

BOOST_AUTO_TEST_SUITE(lease_tests)

BOOST_AUTO_TEST_CASE(a_first_claim_holds_for_a_time_after_it_was_sent)
{
    lease held;
    BOOST_TEST((held.next(true, at(1)) == lease_action::read));
    held.on_read(std::nullopt, 0, at(1.1));
    BOOST_TEST((held.next(true, at(1.2)) == lease_action::claim));
    BOOST_TEST(held.expected_end() == 0U);
    held.on_claimed(0);
    BOOST_TEST(held.token(at(1.3)).value() == 1U);
    BOOST_TEST(held.token(at(3.6)).value() == 1U);
    BOOST_TEST(!held.token(at(3.71)).has_value());
}

BOOST_AUTO_TEST_CASE(a_successor_claims_only_when_the_last_claim_has_certainly_expired)
{
    lease successor;
    BOOST_TEST((successor.next(true, at(10)) == lease_action::read));
    successor.on_read(4, 5, at(10.1));
    BOOST_TEST((successor.next(true, at(10.2)) == lease_action::none));
    BOOST_TEST((successor.next(true, at(15)) == lease_action::none));
    BOOST_TEST((successor.next(true, at(15.7)) == lease_action::claim));
    BOOST_TEST(successor.expected_end() == 5U);
}

BOOST_AUTO_TEST_CASE(a_claim_without_a_response_gives_no_authority_and_is_read_back)
{
    lease held;
    BOOST_TEST((held.next(true, at(1)) == lease_action::read));
    held.on_read(std::nullopt, 0, at(1.1));
    BOOST_TEST((held.next(true, at(1.2)) == lease_action::claim));
    held.on_failed(at(2));
    BOOST_TEST(!held.token(at(2)).has_value());
    BOOST_TEST((held.next(true, at(2.1)) == lease_action::none));
    BOOST_TEST((held.next(true, at(3)) == lease_action::read));
    // The claim was appended although its response was lost: it counts like another node's claim.
    held.on_read(0, 1, at(3.1));
    BOOST_TEST((held.next(true, at(4)) == lease_action::none));
}

BOOST_AUTO_TEST_CASE(a_higher_token_at_an_engine_ends_the_authority)
{
    lease held;
    static_cast<void>(held.next(true, at(1)));
    held.on_read(std::nullopt, 0, at(1.1));
    static_cast<void>(held.next(true, at(1.2)));
    held.on_claimed(0);
    held.on_superseded();
    BOOST_TEST(!held.token(at(1.3)).has_value());
}

BOOST_AUTO_TEST_CASE(nothing_is_claimed_when_there_is_nothing_to_order)
{
    lease held;
    BOOST_TEST((held.next(false, at(1)) == lease_action::none));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::relay
