#include "currantspar/core/key_relay.hpp"

#include <algorithm>
#include <utility>

#include "currantspar/base/hash.hpp"
#include "currantspar/core/step.hpp"

namespace currantspar::core::key_relays {

namespace {

/// Returns the entries that `matches` selects and marks them as sent.
template <typename Entry, typename Predicate>
std::vector<Entry> take_matching(std::map<request_id, unconfirmed<Entry>>& all, bool direct, instant now,
                                 Predicate matches)
{
    std::vector<Entry> selected;
    for (auto& [request, item] : all) {
        if (matches(item)) {
            item.sent = true;
            item.direct = direct;
            item.sent_at = now;
            selected.push_back(item.entry);
        }
    }
    return selected;
}

template <typename Record, typename Entry>
void add_record(const step& run, std::vector<Record>& records, std::vector<Entry> entries)
{
    if (entries.empty()) {
        return;
    }
    Record record;
    record.recorder = run.state.options.self;
    record.process = run.state.options.process;
    record.written_at = run.wall;
    record.entries = std::move(entries);
    records.push_back(std::move(record));
}

template <typename Predicate>
key_relay collect(step& run, bool direct, Predicate matches)
{
    keyed_call_state& state = run.state.keyed_calls;
    key_relay batch;
    add_record(run, batch.keys, take_matching(state.keys, direct, run.now, matches));
    add_record(run, batch.outcomes, take_matching(state.outcomes, direct, run.now, matches));
    return batch;
}

void append_all(step& run, const key_relay& batch)
{
    for (const agreement::key_record& record : batch.keys) {
        log_writer::append(run, record);
    }
    for (const agreement::key_outcome_record& record : batch.outcomes) {
        log_writer::append(run, record);
    }
    log_writer::on_tick(run);
}

bool empty(const key_relay& batch)
{
    return batch.keys.empty() && batch.outcomes.empty();
}

} // namespace

node_id choose(const node_state& state)
{
    node_id best = state.options.self;
    std::uint64_t best_rank = fast_hash(best.str());
    for (const auto& [id, known] : state.membership.members) {
        const bool is_local = known.data_centre == state.options.data_centre;
        const bool is_available = known.health == member_health::alive && !known.leaving;
        const std::uint64_t rank = fast_hash(id.str());
        if (is_local && is_available && rank > best_rank) {
            best = id;
            best_rank = rank;
        }
    }
    return best;
}

void flush(step& run)
{
    keyed_call_state& state = run.state.keyed_calls;
    if (run.now < state.flush_due) {
        return;
    }
    const node_id relay = choose(run.state);
    const bool direct = relay == run.state.options.self;
    key_relay batch = collect(run, direct, [](const auto& item) { return !item.sent; });
    if (empty(batch)) {
        return;
    }
    state.flush_due = run.now + run.state.options.key_flush;
    state.flushes += 1;
    state.recorded += batch.keys.empty() ? 0 : batch.keys.front().entries.size();
    if (direct) {
        append_all(run, batch);
    } else {
        run.send(relay, std::move(batch));
    }
}

void resend(step& run)
{
    const instant before = run.now - run.state.options.key_resend;
    const key_relay batch = collect(
        run, true, [&](const auto& item) { return item.sent && !item.direct && item.sent_at <= before; });
    if (!empty(batch)) {
        append_all(run, batch);
    }
}

} // namespace currantspar::core::key_relays

namespace currantspar::core::keyed_calls {

void on_relay(step& run, const peer_received&, const key_relay& relay)
{
    key_relays::append_all(run, relay);
}

} // namespace currantspar::core::keyed_calls
