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
void add_record(const step_context& context, std::vector<Record>& records, std::vector<Entry> entries)
{
    if (entries.empty()) {
        return;
    }
    Record record;
    record.recorder = context.state.options.self;
    record.process = context.state.options.process;
    record.written_at = context.wall;
    record.entries = std::move(entries);
    records.push_back(std::move(record));
}

template <typename Wanted>
key_relay collect(step_context& context, bool direct, Wanted wanted)
{
    keyed_call_state& state = context.state.keyed_calls;
    key_relay batch;
    add_record(context, batch.keys, take(state.keys, direct, context.now, wanted));
    add_record(context, batch.outcomes, take(state.outcomes, direct, context.now, wanted));
    return batch;
}

void append_all(step_context& context, const key_relay& batch)
{
    for (const agreement::key_record& record : batch.keys) {
        log_writer::append(context, record);
    }
    for (const agreement::key_outcome_record& record : batch.outcomes) {
        log_writer::append(context, record);
    }
    log_writer::on_tick(context);
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

void flush(step_context& context)
{
    keyed_call_state& state = context.state.keyed_calls;
    if (context.now < state.flush_due) {
        return;
    }
    const node_id relay = choose(context.state);
    const bool direct = relay == context.state.options.self;
    key_relay batch = collect(context, direct, [](const auto& item) { return !item.sent; });
    if (empty(batch)) {
        return;
    }
    state.flush_due = context.now + context.state.options.key_flush;
    state.flushes += 1;
    state.recorded += batch.keys.empty() ? 0 : batch.keys.front().entries.size();
    if (direct) {
        append_all(context, batch);
    } else {
        context.send(relay, std::move(batch));
    }
}

void resend(step_context& context)
{
    const instant before = context.now - context.state.options.key_resend;
    const key_relay batch = collect(
        context, true, [&](const auto& item) { return item.sent && !item.direct && item.sent_at <= before; });
    if (!empty(batch)) {
        append_all(context, batch);
    }
}

} // namespace currantspar::core::key_relays

namespace currantspar::core::keyed_calls {

void on_relay(step_context& context, const peer_received&, const key_relay& relay)
{
    key_relays::append_all(context, relay);
}

} // namespace currantspar::core::keyed_calls
