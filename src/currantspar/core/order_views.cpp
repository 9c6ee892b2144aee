#include "currantspar/core/order_views.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace currantspar::core::orders {

namespace {

/// Between two sendings of a view that wasn't acknowledged.
constexpr duration resend_every = std::chrono::milliseconds(500);

/// Engines that take no new work: those being changed, and those with an order that has no result.
std::set<engine_id> closed_engines(const step_context& run, const pool_id& pool)
{
    std::set<engine_id> closed;
    const auto& open_orders = run.state.configuration.replica.state().orders;
    const auto engines = run.state.routing.index.pools.find(pool);
    if (engines == run.state.routing.index.pools.end()) {
        return closed;
    }
    for (const config::engine_spec* spec : engines->second) {
        const auto change = run.state.orders.changes.find(spec->id);
        const bool changing =
            change != run.state.orders.changes.end() && change->second.phase != change_phase::idle;
        if (changing || open_orders.contains(spec->id)) {
            closed.insert(spec->id);
        }
    }
    return closed;
}

/// Whether a node may send work to the pool's engines.
bool routes_to(const step_context& run, const member& known, const pool_id& pool)
{
    const bool heard =
        known.heard != instant() && run.now - known.heard < run.state.options.list_valid_for * 2;
    const bool reaches =
        known.data_centre.empty() || routing::reaches(run.state, known.data_centre, pool.data_centre);
    return (known.listed || heard) && reaches;
}

bool acknowledged(const step_context& run, const pool_view_state& view, const node_id& node,
                  incarnation process)
{
    const auto found = view.acknowledged.find(node);
    if (found == view.acknowledged.end()) {
        return false;
    }
    const view_acknowledged& ack = found->second;
    return ack.process == process && ack.version >= view.version &&
           run.now - ack.at < run.state.options.ack_valid_for;
}

bool former_settled(const step_context& run, const pool_view_state& view,
                    const agreement::former_holder& former)
{
    if (former.node == run.state.options.self) {
        // An earlier process at this address is gone; this one has its answer, or withholds its own
        // acknowledgement.
        return true;
    }
    const auto& members = run.state.membership.members;
    const auto found = members.find(former.node);
    const bool listed = found != members.end() && found->second.listed;
    if (!listed) {
        return membership::list_is_fresh(run.state, run.now);
    }
    const auto ack = view.acknowledged.find(former.node);
    const bool answered =
        ack != view.acknowledged.end() && ack->second.process == former.process && ack->second.version > 0;
    const bool restarted = found->second.process.value() != 0 && found->second.process != former.process;
    return answered || restarted;
}

/// Under a deliberate fault nobody waits for a node that held the pool before.
bool is_ignored(const step_context& run, const pool_id& pool, const node_id& node)
{
    if (run.state.options.fault != injected_fault::former_holder_ignored) {
        return false;
    }
    const std::vector<agreement::former_holder>& former =
        run.state.configuration.replica.state().authority.at(pool).former;
    return std::any_of(former.begin(), former.end(),
                       [&](const agreement::former_holder& holder) { return holder.node == node; });
}

pool_routing_view message_of(const step_context& run, const pool_id& pool, const pool_view_state& view)
{
    pool_routing_view message;
    message.pool = pool;
    message.held = view.held;
    message.version = view.version;
    message.valid_for = run.state.options.view_valid_for * 2;
    message.closed.assign(view.closed.begin(), view.closed.end());
    return message;
}

} // namespace

void send_views(step_context& run, const pool_id& pool, fence held)
{
    pool_view_state& view = run.state.orders.views[pool];
    if (view.held != held) {
        view = pool_view_state();
        view.held = held;
    }
    std::set<engine_id> closed = closed_engines(run, pool);
    const bool changed = view.version == 0 || closed != view.closed;
    if (changed) {
        view.version += 1;
        view.closed = std::move(closed);
    }
    const pool_routing_view message = message_of(run, pool, view);
    instant& own = view.last_sent[run.state.options.self];
    if (changed || run.now - own >= run.state.options.view_valid_for) {
        own = run.now;
        routing::take_view(run, run.state.options.self, message);
    }
    for (const auto& [id, known] : run.state.membership.members) {
        if (!routes_to(run, known, pool)) {
            continue;
        }
        instant& last = view.last_sent[id];
        const duration wait =
            acknowledged(run, view, id, known.process) ? run.state.options.view_valid_for : resend_every;
        if (changed || run.now - last >= wait) {
            last = run.now;
            run.send(id, message);
        }
    }
}

bool all_acknowledged(const step_context& run, const pool_id& pool)
{
    if (run.state.options.fault == injected_fault::view_ack_skipped) {
        return true;
    }
    const auto found = run.state.orders.views.find(pool);
    if (found == run.state.orders.views.end() || !membership::list_is_fresh(run.state, run.now)) {
        return false;
    }
    const pool_view_state& view = found->second;
    if (!acknowledged(run, view, run.state.options.self, run.state.options.process)) {
        return false;
    }
    const auto& members = run.state.membership.members;
    return std::all_of(members.begin(), members.end(), [&](const auto& entry) {
        const auto& [id, known] = entry;
        return !routes_to(run, known, pool) || acknowledged(run, view, id, known.process) ||
               is_ignored(run, pool, id);
    });
}

bool former_holders_settled(const step_context& run, const pool_id& pool)
{
    const auto& authority = run.state.configuration.replica.state().authority;
    const auto entry = authority.find(pool);
    const auto view = run.state.orders.views.find(pool);
    if (entry == authority.end() || view == run.state.orders.views.end()) {
        return false;
    }
    if (run.state.options.fault == injected_fault::former_holder_ignored) {
        return true;
    }
    const auto& former = entry->second.former;
    return std::all_of(former.begin(), former.end(), [&](const agreement::former_holder& holder) {
        return former_settled(run, view->second, holder);
    });
}

void on_own_ack(step_context& run, const routing_view_ack& ack)
{
    pool_view_state& view = run.state.orders.views[ack.pool];
    if (view.held == ack.held) {
        view.acknowledged[run.state.options.self] = {run.state.options.process, ack.version, run.now};
    }
}

void on_view_ack(step_context& run, const peer_received& from, const routing_view_ack& ack)
{
    const fence held = authority::held_fence(run.state, ack.pool);
    if (held.value() == 0) {
        return;
    }
    if (ack.held > held) {
        authority::on_greater_fence(run, ack.pool, ack.held);
        return;
    }
    pool_view_state& view = run.state.orders.views[ack.pool];
    if (view.held != held || ack.held != held) {
        return;
    }
    if (ack.version != 0) {
        view.acknowledged[from.from] = {from.process, ack.version, run.now};
    }
    if (ack.version < view.version) {
        view.last_sent[from.from] = run.now;
        run.send(from.from, message_of(run, ack.pool, view));
    }
}

} // namespace currantspar::core::orders
