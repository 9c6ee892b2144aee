#include <boost/test/unit_test.hpp>

#include "currantspar/agreement/test_log.hpp"

namespace {

using namespace currantspar;
using namespace currantspar::agreement;

/// A log whose oldest records can be removed, as by a retention limit.
class log_with_retention
{
public:
    void append(record_body body)
    {
        records_.push_back({log_offset(next_++), std::move(body)});
        full_log_.apply(records_.back().body);
    }
    void append_checkpoint(const agreed_state& state, std::size_t limit = 100)
    {
        for (const checkpoint_record& part : make_checkpoint(state, limit)) {
            append(part);
        }
    }
    void remove_before(log_offset offset)
    {
        std::erase_if(records_, [&](const log_record& record) { return record.offset < offset; });
    }
    [[nodiscard]] log_batch read(log_offset from, std::size_t max_records = 1000) const
    {
        log_batch batch;
        batch.head = log_offset(next_);
        batch.first_retained = records_.empty() ? batch.head : records_.front().offset;
        for (const log_record& record : records_) {
            if (record.offset >= from && batch.records.size() < max_records) {
                batch.records.push_back(record);
            }
        }
        return batch;
    }
    [[nodiscard]] const agreed_state& state() const { return full_log_.state; }
    [[nodiscard]] log_offset head() const { return log_offset(next_); }

private:
    std::vector<log_record> records_;
    std::uint64_t next_ = 1;
    test_log full_log_;
};

replica make_replica(bool trust_latest_position = false)
{
    replica_options options;
    options.parser = test_parser;
    options.hash_every = 4;
    options.trust_latest_position = trust_latest_position;
    return replica(options);
}

void follow(replica& reader, const log_with_retention& log, std::size_t max_records = 1000)
{
    for (int round = 0; round < 200; ++round) {
        reader.on_batch(log.read(reader.next_read(), max_records));
    }
}

/// Publishes `count` documents in sequence.
void publish_some(log_with_retention& log, int count)
{
    for (int index = 0; index < count; ++index) {
        const std::string name = std::to_string(log.head().value());
        log.append(publish(name, log.state().current, "text " + name));
    }
}

BOOST_AUTO_TEST_SUITE(replica_rules)

BOOST_AUTO_TEST_CASE(a_complete_log_needs_no_checkpoint)
{
    log_with_retention log;
    publish_some(log, 10);
    replica reader = make_replica();
    BOOST_TEST(reader.on_batch(log.read(reader.next_read())).size() == 10U);
    BOOST_TEST(reader.caught_up());
    BOOST_TEST(state_hash(reader.state()) == state_hash(log.state()));
    BOOST_TEST(reader.hashes().size() == 2U);
    BOOST_TEST(reader.hash_at(log_offset(8)).has_value());
    BOOST_TEST(!reader.hash_at(log_offset(9)).has_value());
}

BOOST_AUTO_TEST_CASE(an_old_checkpoint_after_newer_records_does_not_revert)
{
    log_with_retention log;
    publish_some(log, 5);
    const agreed_state old = log.state();
    publish_some(log, 5);
    log.append_checkpoint(log.state());
    publish_some(log, 2);
    log.append_checkpoint(old);
    log.remove_before(log_offset(9));
    for (const std::size_t max_records : {1U, 3U, 1000U}) {
        replica reader = make_replica();
        follow(reader, log, max_records);
        BOOST_TEST(reader.caught_up());
        BOOST_TEST(state_hash(reader.state()) == state_hash(log.state()));
    }
    replica faulty = make_replica(true);
    follow(faulty, log);
    log.append_checkpoint(old);
    follow(faulty, log);
    BOOST_TEST(state_hash(faulty.state()) != state_hash(log.state()));
}

BOOST_AUTO_TEST_CASE(no_record_is_applied_without_a_base)
{
    log_with_retention log;
    publish_some(log, 6);
    log.remove_before(log_offset(4));
    replica reader = make_replica();
    BOOST_TEST(reader.on_batch(log.read(reader.next_read())).empty());
    BOOST_TEST(!reader.has_base());
    BOOST_TEST(!reader.log_has_base());
    log.append_checkpoint(log.state());
    follow(reader, log);
    BOOST_TEST(reader.has_base());
    BOOST_TEST(state_hash(reader.state()) == state_hash(log.state()));
}

BOOST_AUTO_TEST_CASE(a_checkpoint_with_a_gap_after_it_is_no_base)
{
    log_with_retention log;
    publish_some(log, 3);
    const agreed_state old = log.state();
    publish_some(log, 3);
    log.append_checkpoint(old);
    log.remove_before(log_offset(5));
    replica reader = make_replica();
    follow(reader, log);
    BOOST_TEST(!reader.has_base());
}

BOOST_AUTO_TEST_CASE(a_checkpoint_in_several_parts_is_adopted_when_complete)
{
    log_with_retention log;
    publish_some(log, 4);
    const auto parts = make_checkpoint(log.state(), 50);
    BOOST_TEST_REQUIRE(parts.size() > 3U);
    log.append(parts[1]);
    log.append(publish("between", log.state().current, "between"));
    log.append(parts[1]);
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        log.append(parts[index]);
    }
    log.remove_before(log_offset(5));
    replica reader = make_replica();
    follow(reader, log);
    BOOST_TEST(!reader.has_base());
    log.append(parts.back());
    follow(reader, log);
    BOOST_TEST(reader.has_base());
    BOOST_TEST(state_hash(reader.state()) == state_hash(log.state()));
}

BOOST_AUTO_TEST_CASE(a_replica_behind_the_retention_adopts_a_new_base)
{
    log_with_retention log;
    publish_some(log, 3);
    replica reader = make_replica();
    follow(reader, log);
    publish_some(log, 5);
    log.remove_before(log_offset(7));
    follow(reader, log);
    BOOST_TEST(!reader.has_base());
    BOOST_TEST(reader.state().current.value() == 3U); // keeps its last state
    log.append_checkpoint(log.state());
    follow(reader, log);
    BOOST_TEST(state_hash(reader.state()) == state_hash(log.state()));
}

BOOST_AUTO_TEST_CASE(an_empty_log_keeps_the_base_of_a_caught_up_replica)
{
    log_with_retention log;
    publish_some(log, 3);
    replica reader = make_replica();
    follow(reader, log);
    log.remove_before(log_offset(4));
    follow(reader, log);
    BOOST_TEST(reader.caught_up());
    BOOST_TEST(!reader.log_has_base());
    log.append_checkpoint(reader.state());
    replica fresh = make_replica();
    follow(fresh, log);
    BOOST_TEST(state_hash(fresh.state()) == state_hash(log.state()));
}

BOOST_AUTO_TEST_CASE(a_peer_checkpoint_is_unverified_until_the_log_confirms_it)
{
    log_with_retention log;
    publish_some(log, 3);
    replica peer = make_replica();
    follow(peer, log);
    replica fresh = make_replica();
    BOOST_TEST(fresh.on_peer_checkpoint(make_checkpoint(peer.state(), 100)));
    BOOST_TEST(fresh.unverified());
    BOOST_TEST(!fresh.has_base());
    BOOST_TEST(fresh.state().current.value() == 3U);
    publish_some(log, 2);
    follow(fresh, log);
    BOOST_TEST(!fresh.unverified());
    BOOST_TEST(state_hash(fresh.state()) == state_hash(log.state()));
    BOOST_TEST(!fresh.on_peer_checkpoint(make_checkpoint(peer.state(), 100)));
}

BOOST_AUTO_TEST_CASE(a_peer_checkpoint_absent_from_the_log_is_replaced)
{
    log_with_retention log;
    publish_some(log, 2);
    test_log other;
    for (const char* name : {"x", "y", "z"}) {
        other.apply(publish(name, other.state.current, name));
    }
    replica fresh = make_replica();
    BOOST_TEST(fresh.on_peer_checkpoint(make_checkpoint(other.state, 100)));
    follow(fresh, log);
    BOOST_TEST(state_hash(fresh.state()) == state_hash(log.state()));
}

/// Appends a restart checkpoint written from the replica's state.
void append_restart(log_with_retention& log, const replica& reader)
{
    for (checkpoint_record& part : make_checkpoint(reader.state(), 100)) {
        part.lost_up_to = reader.lost_up_to();
        log.append(part);
    }
}

/// Two replicas of a log with a claimed pool and three documents, and a fourth document that only `ahead` has
/// read. The log has lost all of these records.
struct lost_records
{
    lost_records()
    {
        log.append(claim("a", 1, fence()));
        publish_some(log, 3);
        follow(behind, log);
        publish_some(log, 1);
        follow(ahead, log);
        log.remove_before(log.head());
        follow(behind, log);
        follow(ahead, log);
    }

    log_with_retention log;
    replica behind = make_replica();
    replica ahead = make_replica();
};

BOOST_AUTO_TEST_CASE(a_restart_replaces_records_that_no_replica_read)
{
    lost_records all;
    BOOST_TEST(all.behind.has_lost_base());
    BOOST_TEST(all.behind.lost_up_to().value() == 5U);
    append_restart(all.log, all.behind);
    all.log.append(publish("next", revision(4), "text next"));
    replica fresh = make_replica();
    follow(fresh, all.log);
    for (replica* reader : {&all.behind, &all.ahead, &fresh}) {
        follow(*reader, all.log);
        BOOST_TEST(reader->caught_up());
        BOOST_TEST(reader->state().text == "text next");
        BOOST_TEST(reader->state().authority.at(test_pool()).holder.empty());
        BOOST_TEST(state_hash(reader->state()) == state_hash(fresh.state()));
    }
}

BOOST_AUTO_TEST_CASE(a_restart_after_a_checkpoint_that_covers_the_loss_has_no_effect)
{
    lost_records all;
    BOOST_TEST(!all.ahead.has_lost_base());
    const std::string text = all.ahead.state().text;
    all.log.append_checkpoint(all.ahead.state());
    append_restart(all.log, all.behind);
    replica fresh = make_replica();
    follow(fresh, all.log);
    for (replica* reader : {&all.behind, &all.ahead, &fresh}) {
        follow(*reader, all.log);
        BOOST_TEST(reader->state().text == text);
        BOOST_TEST(state_hash(reader->state()) == state_hash(fresh.state()));
    }
}

BOOST_AUTO_TEST_CASE(only_the_first_of_two_restarts_takes_effect)
{
    lost_records all;
    append_restart(all.log, all.behind);
    all.log.append(publish("next", revision(4), "text next"));
    lost_records other;
    append_restart(all.log, other.behind);
    replica fresh = make_replica();
    follow(fresh, all.log);
    follow(all.ahead, all.log);
    BOOST_TEST(fresh.state().text == "text next");
    BOOST_TEST(state_hash(all.ahead.state()) == state_hash(fresh.state()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
