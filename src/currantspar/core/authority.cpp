#include "currantspar/core/authority.hpp"

#include <algorithm>
#include <string>

#include "currantspar/core/step.hpp"

namespace currantspar::core::authority {

namespace {

/// Interval between reviews of the pools' holders.
constexpr duration review_every = std::chrono::milliseconds(100);
/// Stagger between the claims of nodes with consecutive ranks, so that usually one node claims.
constexpr duration claim_stagger = std::chrono::seconds(1);
/// Random part of the claim delay.
constexpr std::uint64_t claim_jitter_us = 200000;
/// A claim that wasn't read back from the log within this time is repeated.
constexpr duration claim_retry_interval = std::chrono::seconds(4);
constexpr std::size_t max_pending_renewals = 64;

const agreement::authority_entry* entry_of(const node_state& state, const pool_id& pool)
{
    const auto& authority = state.configuration.replica.state().authority;
    const auto found = authority.find(pool);
    return found == authority.end() ? nullptr : &found->second;
}

bool is_own(const node_state& state, const agreement::authority_entry& entry)
{
    return entry.holder == state.options.self && entry.process == state.options.process;
}

/// Time that a new holder waits before it acts: until the predecessor's lease and its last order have
/// expired, unless the pool was released, and in any case at least `new_node_settles`.
duration takeover_wait(const core_options& options, bool after_release)
{
    if (options.fault == injected_fault::no_takeover_wait) {
        return duration::zero();
    }
    const duration predecessor =
        after_release ? duration::zero() : options.lease + options.clock_error + options.order_flight;
    return std::max(predecessor, options.new_node_settles);
}

void trace(step_context& context, const char* kind, const pool_id& pool, fence held)
{
    timeline_entry entry;
    entry.kind = kind;
    entry.service = pool.service;
    entry.offset = log_offset(held.value());
    entry.detail = "data_centre=" + pool.data_centre.str();
    context.trace(std::move(entry));
}

/// Handles a fence that is new to this node.
void on_new_fence(step_context& context, const pool_id& pool, const agreement::authority_entry& entry,
                  bool after_release)
{
    const pool_authority before = context.state.authority.pools[pool];
    pool_authority fresh;
    fresh.seen = entry.held;
    fresh.holder_last_seen = context.now;
    if (is_own(context.state, entry)) {
        fresh.renewed = before.claimed;
        fresh.may_act_from = context.now + takeover_wait(context.state.options, after_release);
        trace(context, "authority.claimed", pool, entry.held);
    }
    if (context.state.options.fault == injected_fault::fence_not_compared &&
        before.may_act_from != instant() && !is_own(context.state, entry)) {
        return; // the injected fault: acts as if its own fence were still in force
    }
    context.state.authority.pools[pool] = fresh;
}

void on_renewal(step_context& context, const pool_id& pool, const agreement::authority_entry& entry)
{
    pool_authority& known = context.state.authority.pools[pool];
    known.holder_last_seen = context.now;
    if (!is_own(context.state, entry)) {
        return;
    }
    const auto sent = context.state.authority.renewals_sent.find(entry.renew_sequence);
    if (sent == context.state.authority.renewals_sent.end()) {
        return;
    }
    const bool from_read_back = context.state.options.fault == injected_fault::lease_from_read_back;
    known.renewed = std::max(known.renewed, from_read_back ? context.now : sent->second);
}

void renew_when_due(step_context& context)
{
    authority_state& state = context.state.authority;
    if (context.now < state.renew_due ||
        log_writer::has_pending<agreement::renew_record>(context.state.log_writer)) {
        return;
    }
    agreement::renew_record record;
    record.node = context.state.options.self;
    record.process = context.state.options.process;
    for (const auto& [pool, known] : state.pools) {
        const fence held = held_fence(context.state, pool);
        if (held.value() != 0 && !known.releasing) {
            record.fences.push_back(held);
        }
    }
    if (record.fences.empty()) {
        return;
    }
    record.sequence = ++state.renew_sequence;
    state.renewals_sent[record.sequence] = context.now;
    if (state.renewals_sent.size() > max_pending_renewals) {
        state.renewals_sent.erase(state.renewals_sent.begin());
    }
    state.renew_due = context.now + context.state.options.renew_every;
    log_writer::append(context, std::move(record));
}

/// True when the holder's VM is absent from the platform's list, or the holder is an earlier process of this
/// node.
bool holder_is_gone(const step_context& context, const agreement::authority_entry& entry)
{
    if (entry.holder == context.state.options.self) {
        return entry.process != context.state.options.process;
    }
    const auto& members = context.state.membership.members;
    const auto found = members.find(entry.holder);
    const bool listed = found != members.end() && found->second.listed;
    return membership::list_is_current(context.state, context.now) && !listed;
}

bool vacant(const step_context& context, const pool_id& pool, const pool_authority& known)
{
    const agreement::authority_entry* entry = entry_of(context.state, pool);
    if (entry == nullptr || entry->released) {
        return true;
    }
    const core_options& options = context.state.options;
    const bool expired = context.now - known.holder_last_seen > options.lease + options.clock_error;
    return expired || holder_is_gone(context, *entry);
}

/// A node claims only when it has read the log to its end and has been on the VM list for `list_valid_for`.
/// Other nodes can then rely on the list: a holder that is absent from it no longer runs.
bool may_claim(const step_context& context)
{
    const node_state& state = context.state;
    const instant listed = state.membership.self_listed;
    const bool known = listed != instant() && context.now - listed >= state.options.list_valid_for;
    const bool log_is_current = context.now - state.configuration.last_read < state.options.log_poll * 5;
    return known && log_is_current && configuration::verified(state) &&
           state.configuration.replica.caught_up() && state.lifecycle.phase == lifecycle_phase::serving;
}

void claim(step_context& context, const pool_id& pool, pool_authority& known)
{
    const agreement::authority_entry* entry = entry_of(context.state, pool);
    agreement::claim_record record;
    record.pool = pool;
    record.previous = entry == nullptr ? fence() : entry->held;
    record.node = context.state.options.self;
    record.process = context.state.options.process;
    if (known.claimed == instant() || known.claim_previous != record.previous) {
        known.claimed = context.now;
        known.claim_previous = record.previous;
    }
    known.claim_again = context.now + claim_retry_interval;
    log_writer::append(context, std::move(record));
}

void review(step_context& context, const pool_id& pool)
{
    pool_authority& known = context.state.authority.pools[pool];
    if (!vacant(context, pool, known)) {
        known.vacant_since = instant();
        return;
    }
    if (known.vacant_since == instant()) {
        const std::uint64_t jitter = context.state.random.below(claim_jitter_us);
        known.vacant_since = context.now + duration(static_cast<duration::rep>(jitter));
    }
    const std::string topic = pool.service.str() + "/" + pool.data_centre.str();
    const auto rank = static_cast<duration::rep>(membership::rank_in_data_centre(context.state, topic));
    if (context.now >= known.vacant_since + claim_stagger * rank && context.now >= known.claim_again) {
        claim(context, pool, known);
    }
}

} // namespace

void on_change(step_context& context, const agreement::applied_change& change)
{
    for (const pool_id& pool : change.authority) {
        const agreement::authority_entry* entry = entry_of(context.state, pool);
        if (entry == nullptr) {
            continue;
        }
        if (entry->held != context.state.authority.pools[pool].seen) {
            const bool latest = entry->held.value() == change.offset.value();
            on_new_fence(context, pool, *entry, latest && change.claimed_after_release);
        } else {
            on_renewal(context, pool, *entry);
        }
    }
}

void on_base(step_context& context)
{
    for (const auto& [pool, entry] : context.state.configuration.replica.state().authority) {
        if (entry.held != context.state.authority.pools[pool].seen) {
            on_new_fence(context, pool, entry, false);
        } else {
            on_renewal(context, pool, entry);
        }
    }
}

void on_greater_fence(step_context& context, const pool_id& pool, fence seen)
{
    pool_authority& known = context.state.authority.pools[pool];
    if (seen > known.seen && context.state.options.fault != injected_fault::fence_not_compared) {
        known.superseded = true;
    }
}

void on_tick(step_context& context)
{
    authority_state& state = context.state.authority;
    if (context.now < state.review_due) {
        return;
    }
    state.review_due = context.now + review_every;
    renew_when_due(context);
    if (!may_claim(context)) {
        return;
    }
    for (const auto& [pool, engines] : context.state.routing.index.pools) {
        if (pool.data_centre == context.state.options.data_centre) {
            review(context, pool);
        }
    }
}

void release_all(step_context& context)
{
    for (auto& [pool, known] : context.state.authority.pools) {
        const fence held = held_fence(context.state, pool);
        if (held.value() == 0 || known.releasing) {
            continue;
        }
        known.releasing = true;
        // While an order is in flight the successor must wait for the lease to expire, so no release is
        // recorded.
        if (!orders::has_order_in_flight(context.state, pool)) {
            log_writer::append(context, agreement::release_record{pool, held, context.state.options.self,
                                                                  context.state.options.process});
            trace(context, "authority.released", pool, held);
        }
    }
}

fence held_fence(const node_state& state, const pool_id& pool)
{
    const agreement::authority_entry* entry = entry_of(state, pool);
    if (entry != nullptr && is_own(state, *entry) && !entry->released) {
        return entry->held;
    }
    if (state.options.fault == injected_fault::fence_not_compared) {
        const auto known = state.authority.pools.find(pool);
        const bool had = known != state.authority.pools.end() && known->second.may_act_from != instant();
        return had ? known->second.seen : fence();
    }
    return fence();
}

fence acting_fence(const node_state& state, const pool_id& pool, instant now)
{
    const fence held = held_fence(state, pool);
    const auto known = state.authority.pools.find(pool);
    if (held.value() == 0 || known == state.authority.pools.end()) {
        return fence();
    }
    const pool_authority& own = known->second;
    const bool current = own.seen == held && !own.superseded && !own.releasing;
    const bool within_lease = now >= own.may_act_from && now < lease_expiry(state, pool);
    return current && within_lease && configuration::verified(state) ? held : fence();
}

instant lease_expiry(const node_state& state, const pool_id& pool)
{
    const auto known = state.authority.pools.find(pool);
    return known == state.authority.pools.end() ? instant() : known->second.renewed + state.options.lease;
}

} // namespace currantspar::core::authority
