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

template <typename Predicate>
key_relay collect(step_context& context, bool direct, Predicate matches)
{
    keyed_call_state& state = context.state.keyed_calls;
    key_relay batch;
    add_record(context, batch.keys, take_matching(state.keys, direct, context.now, matches));
    add_record(context, batch.outcomes, take_matching(state.outcomes, direct, context.now, matches));
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
