#include "currantspar/core/key_relay.hpp"

#include <algorithm>
#include <utility>

#include "currantspar/base/hash.hpp"
#include "currantspar/core/step.hpp"

namespace currantspar::core::key_relays {

namespace {

/// Takes the entries that `wanted` picks and marks them as sent.
template <typename Entry, typename Wanted>
std::vector<Entry> take(std::map<request_id, unconfirmed<Entry>>& all, bool direct, instant now,
                        Wanted wanted)
{
    std::vector<Entry> taken;
    for (auto& [request, item] : all) {
        if (wanted(item)) {
            item.sent = true;
            item.direct = direct;
            item.sent_at = now;
            taken.push_back(item.entry);
        }
    }
    return taken;
}

template <typename Record, typename Entry>
void add_record(const step_context& run, std::vector<Record>& records, std::vector<Entry> entries)
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

template <typename Wanted>
key_relay collect(step_context& run, bool direct, Wanted wanted)
{
    keyed_call_state& state = run.state.keyed_calls;
    key_relay batch;
    add_record(run, batch.keys, take(state.keys, direct, run.now, wanted));
    add_record(run, batch.outcomes, take(state.outcomes, direct, run.now, wanted));
    return batch;
}

void append_all(step_context& run, const key_relay& batch)
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
        const bool near = known.data_centre == state.options.data_centre;
        const bool stays = known.health == member_health::alive && !known.leaving;
        const std::uint64_t rank = fast_hash(id.str());
        if (near && stays && rank > best_rank) {
            best = id;
            best_rank = rank;
        }
    }
    return best;
}

void flush(step_context& run)
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

void resend(step_context& run)
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

void on_relay(step_context& run, const peer_received&, const key_relay& relay)
{
    key_relays::append_all(run, relay);
}

} // namespace currantspar::core::keyed_calls
