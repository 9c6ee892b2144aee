#include <boost/test/unit_test.hpp>

#include "currantspar/agreement/test_log.hpp"
#include "currantspar/base/random.hpp"

namespace {

using namespace currantspar;
using namespace currantspar::agreement;

BOOST_AUTO_TEST_SUITE(agreed_state_rules)

BOOST_AUTO_TEST_CASE(one_of_two_concurrent_publishes_wins)
{
    test_log log;
    log.apply(publish("a", revision(0), "one"));
    const applied_change first = log.apply(publish("b", revision(1), "two"));
    const applied_change second = log.apply(publish("c", revision(1), "three"));
    BOOST_TEST((first.publish->verdict == publish_verdict::accepted));
    BOOST_TEST((second.publish->verdict == publish_verdict::conflict));
    BOOST_TEST(second.publish->current.value() == 2U);
    BOOST_TEST(log.state.text == "two");
}

BOOST_AUTO_TEST_CASE(a_duplicate_publish_has_no_effect)
{
    test_log log;
    log.apply(publish("a", revision(0), "one"));
    const applied_change again = log.apply(publish("a", revision(0), "one"));
    BOOST_TEST(!again.effective);
    BOOST_TEST(!again.publish.has_value());
    BOOST_TEST(log.state.history.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_duplicate_publish_is_detected_after_a_checkpoint)
{
    test_log log;
    log.apply(publish("a", revision(0), "one"));
    log.apply(publish("b", revision(0), "two"));
    log.state = *read_checkpoint(make_checkpoint(log.state, 64), test_parser);
    BOOST_TEST(!log.apply(publish("b", revision(1), "two")).effective);
    BOOST_TEST(log.state.text == "one");
}

BOOST_AUTO_TEST_CASE(an_invalid_document_has_no_effect)
{
    test_log log;
    log.apply(publish("a", revision(0), "one"));
    const applied_change change = log.apply(publish("b", revision(1), "bad"));
    BOOST_TEST((change.publish->verdict == publish_verdict::invalid));
    BOOST_TEST(log.state.current.value() == 1U);
}

BOOST_AUTO_TEST_CASE(a_delta_restores_the_full_document)
{
    const std::string base = "line one\nline two\nline three\n";
    const std::string edited = "line one\nline 2\nline three\n";
    test_log log;
    log.apply(publish("a", revision(0), base));
    const publish_record delta = make_publish(publish_id("b"), revision(1), base, edited, "eve");
    BOOST_TEST(delta.is_delta);
    BOOST_TEST(delta.text.size() < 4U);
    log.apply(delta);
    BOOST_TEST(log.state.text == edited);
}

BOOST_AUTO_TEST_CASE(a_delta_that_does_not_match_its_base_is_invalid)
{
    test_log log;
    log.apply(publish("a", revision(0), "some longer text"));
    publish_record delta =
        make_publish(publish_id("b"), revision(1), "another longer text", "another longer tex!", "");
    const applied_change change = log.apply(delta);
    BOOST_TEST((change.publish->verdict == publish_verdict::invalid));
    delta.id = publish_id("c");
    delta.keep_front = ~0ULL;
    BOOST_TEST((log.apply(delta).publish->verdict == publish_verdict::invalid));
}

BOOST_AUTO_TEST_CASE(a_claim_with_a_stale_fence_has_no_effect)
{
    test_log log;
    BOOST_TEST(log.apply(claim("n1", 11, fence(0))).effective);
    BOOST_TEST(!log.apply(claim("n2", 22, fence(0))).effective);
    BOOST_TEST(log.state.authority.at(test_pool()).holder.str() == "n1");
    const applied_change taken = log.apply(claim("n2", 22, fence(1)));
    BOOST_TEST(!taken.claimed_after_release);
    BOOST_TEST(log.state.authority.at(test_pool()).former.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_released_holder_is_no_former_holder)
{
    test_log log;
    log.apply(claim("n1", 11, fence(0)));
    log.apply(release_record{test_pool(), fence(1), node_id("n1"), incarnation(11)});
    BOOST_TEST(log.apply(claim("n2", 22, fence(1))).claimed_after_release);
    BOOST_TEST(log.state.authority.at(test_pool()).former.empty());
}

BOOST_AUTO_TEST_CASE(an_intent_without_authority_has_no_effect)
{
    test_log log;
    log.apply(claim("n1", 11, fence(0)));
    log.apply(claim("n2", 22, fence(1)));
    BOOST_TEST(!log.apply(intent(fence(1), 1)).effective);
    BOOST_TEST(log.apply(intent(fence(2), 1)).effective);
    BOOST_TEST(!log.apply(intent(fence(2), 2)).effective);
}

BOOST_AUTO_TEST_CASE(a_repeated_intent_opens_no_second_order)
{
    test_log log;
    log.apply(claim("n1", 11, fence(0)));
    log.apply(intent(fence(1), 1));
    log.apply(result_record{order_id(2), engine_id("e"), order_outcome::done, {}});
    BOOST_TEST(!log.apply(intent(fence(1), 1)).effective);
    BOOST_TEST(log.state.orders.empty());
    BOOST_TEST(log.apply(intent(fence(1), 2)).effective);
}

BOOST_AUTO_TEST_CASE(keys_expire_by_the_median_clock_of_their_recorders)
{
    test_log log;
    log.apply(publish("a", revision(0), "window 100"));
    log.apply(keys("n1", 1000, "k1"));
    log.apply(keys("n2", 1010, "k2"));
    log.apply(keys("n3", 9000000, "k3"));
    BOOST_TEST(log.state.keys.size() == 3U);
    log.apply(keys("n1", 1150, "k4"));
    log.apply(keys("n2", 1200, "k5"));
    BOOST_TEST(!log.state.keys.contains(call_key("k1")));
    BOOST_TEST(log.state.keys.contains(call_key("k5")));
}

BOOST_AUTO_TEST_CASE(the_first_record_of_a_key_wins)
{
    test_log log;
    log.apply(keys("n1", 1000, "k"));
    log.apply(keys("n2", 1001, "k"));
    BOOST_TEST(log.state.keys.at(call_key("k")).recorder.str() == "n1");
    key_outcome_record other{
        node_id("n2"), incarnation(7), {}, {{call_key("k"), call_outcome::not_run, 0, "", "", true}}};
    other.process = incarnation(8);
    log.apply(other);
    BOOST_TEST(!log.state.keys.at(call_key("k")).outcome.has_value());
}

BOOST_AUTO_TEST_CASE(the_incremental_hash_equals_the_full_hash)
{
    random_generator random(7);
    test_log log;
    for (int round = 0; round < 3000; ++round) {
        log.apply(random_record(random, log.state));
        BOOST_TEST_REQUIRE(log.state.entries_hash == hash_entries(log.state));
    }
    BOOST_TEST(log.state.history.size() == history_limit);
}

BOOST_AUTO_TEST_CASE(a_restored_checkpoint_gives_the_same_state_and_verdicts)
{
    random_generator random(9);
    test_log log;
    for (int round = 0; round < 1500; ++round) {
        log.apply(random_record(random, log.state));
    }
    auto read = read_checkpoint(make_checkpoint(log.state, 1000), test_parser);
    BOOST_TEST_REQUIRE(read.has_value());
    test_log copy{*read};
    for (int round = 0; round < 500; ++round) {
        const record_body record = random_record(random, log.state);
        log.apply(record);
        copy.apply(record);
    }
    BOOST_TEST(state_hash(copy.state) == state_hash(log.state));
}

BOOST_AUTO_TEST_CASE(an_incomplete_or_modified_checkpoint_is_refused)
{
    test_log log;
    log.apply(publish("a", revision(0), "a text that takes several parts"));
    auto parts = make_checkpoint(log.state, 32);
    BOOST_TEST_REQUIRE(parts.size() > 2U);
    auto missing = parts;
    missing.pop_back();
    BOOST_TEST(!read_checkpoint(missing, test_parser).has_value());
    auto changed = parts;
    changed[0].state_hash += 1;
    BOOST_TEST(!read_checkpoint(changed, test_parser).has_value());
    for (checkpoint_record& part : changed) {
        part.state_hash = parts[0].state_hash + 1;
    }
    BOOST_TEST(!read_checkpoint(changed, test_parser).has_value());
    std::swap(parts[0], parts[2]);
    BOOST_TEST(read_checkpoint(parts, test_parser).has_value());
}

BOOST_AUTO_TEST_CASE(a_key_that_is_not_utf8_survives_the_log_and_a_checkpoint)
{
    test_log log;
    const auto record = decode_record(encode_record(keys("n1", 1, "\xff\xfe")));
    BOOST_TEST_REQUIRE(record.has_value());
    log.apply(*record);
    BOOST_TEST(read_checkpoint(make_checkpoint(log.state, 100), test_parser).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
