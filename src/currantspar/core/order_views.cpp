#include "currantspar/core/order_views.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace currantspar::core::orders {

namespace {

/// Retransmission interval of a view that hasn't been acknowledged.
constexpr duration resend_every = std::chrono::milliseconds(500);

/// Engines that accept no new work: those being changed, and those with an order that has no result.
std::set<engine_id> closed_engines(const step_context& context, const pool_id& pool)
{
    std::set<engine_id> closed;
    const auto& open_orders = context.state.configuration.replica.state().orders;
    const auto engines = context.state.routing.index.pools.find(pool);
    if (engines == context.state.routing.index.pools.end()) {
        return closed;
    }
    for (const config::engine_spec* spec : engines->second) {
        const auto change = context.state.orders.changes.find(spec->id);
        const bool changing =
            change != context.state.orders.changes.end() && change->second.phase != change_phase::idle;
        if (changing || open_orders.contains(spec->id)) {
            closed.insert(spec->id);
        }
    }
    return closed;
}

/// Whether a node may send work to the pool's engines.
bool routes_to(const step_context& context, const member& known, const pool_id& pool)
{
    const bool recently_received =
        known.last_received != instant() &&
        context.now - known.last_received < context.state.options.list_valid_for * 2;
    const bool reaches =
        known.data_centre.empty() || routing::reaches(context.state, known.data_centre, pool.data_centre);
    return (known.listed || recently_received) && reaches;
}

bool acknowledged(const step_context& context, const pool_view_state& view, const node_id& node,
                  incarnation process)
{
    const auto found = view.acknowledged.find(node);
    if (found == view.acknowledged.end()) {
        return false;
    }
    const view_acknowledgement& ack = found->second;
    return ack.process == process && ack.version >= view.version &&
           context.now - ack.at < context.state.options.ack_valid_for;
}

bool former_settled(const step_context& context, const pool_view_state& view,
                    const agreement::former_holder& former)
{
    if (former.node == context.state.options.self) {
        // The former holder is either an earlier process at this node's address, which no longer runs, or
        // this process, which doesn't acknowledge its own view while an order that it sent is in flight.
        return true;
    }
    const auto& members = context.state.membership.members;
    const auto found = members.find(former.node);
    const bool listed = found != members.end() && found->second.listed;
    if (!listed) {
        return membership::list_is_current(context.state, context.now);
    }
    const auto ack = view.acknowledged.find(former.node);
    const bool answered =
        ack != view.acknowledged.end() && ack->second.process == former.process && ack->second.version > 0;
    const bool restarted = found->second.process.value() != 0 && found->second.process != former.process;
    return answered || restarted;
}

/// With the injected fault former_holder_ignored, acknowledgements of former holders of the pool aren't
/// awaited.
bool is_ignored(const step_context& context, const pool_id& pool, const node_id& node)
{
    if (context.state.options.fault != injected_fault::former_holder_ignored) {
        return false;
    }
    const std::vector<agreement::former_holder>& former =
        context.state.configuration.replica.state().authority.at(pool).former;
    return std::any_of(former.begin(), former.end(),
                       [&](const agreement::former_holder& holder) { return holder.node == node; });
}

pool_routing_view make_view_message(const step_context& context, const pool_id& pool,
                                    const pool_view_state& view)
{
    pool_routing_view message;
    message.pool = pool;
    message.held = view.held;
    message.version = view.version;
    message.valid_for = context.state.options.view_valid_for * 2;
    message.closed.assign(view.closed.begin(), view.closed.end());
    return message;
}

} // namespace

void send_views(step_context& context, const pool_id& pool, fence held)
{
    pool_view_state& view = context.state.orders.views[pool];
    if (view.held != held) {
        view = pool_view_state();
        view.held = held;
    }
    std::set<engine_id> closed = closed_engines(context, pool);
    const bool changed = view.version == 0 || closed != view.closed;
    if (changed) {
        view.version += 1;
        view.closed = std::move(closed);
    }
    const pool_routing_view message = make_view_message(context, pool, view);
    instant& own = view.last_sent[context.state.options.self];
    if (changed || context.now - own >= context.state.options.view_valid_for) {
        own = context.now;
        routing::apply_view(context, context.state.options.self, message);
    }
    for (const auto& [id, known] : context.state.membership.members) {
        if (!routes_to(context, known, pool)) {
            continue;
        }
        instant& last = view.last_sent[id];
        const duration wait = acknowledged(context, view, id, known.process)
                                  ? context.state.options.view_valid_for
                                  : resend_every;
        if (changed || context.now - last >= wait) {
            last = context.now;
            context.send(id, message);
        }
    }
}

bool all_acknowledged(const step_context& context, const pool_id& pool)
{
    if (context.state.options.fault == injected_fault::view_ack_skipped) {
        return true;
    }
    const auto found = context.state.orders.views.find(pool);
    if (found == context.state.orders.views.end() ||
        !membership::list_is_current(context.state, context.now)) {
        return false;
    }
    const pool_view_state& view = found->second;
    if (!acknowledged(context, view, context.state.options.self, context.state.options.process)) {
        return false;
    }
    const auto& members = context.state.membership.members;
    return std::all_of(members.begin(), members.end(), [&](const auto& entry) {
        const auto& [id, known] = entry;
        return !routes_to(context, known, pool) || acknowledged(context, view, id, known.process) ||
               is_ignored(context, pool, id);
    });
}

bool former_holders_settled(const step_context& context, const pool_id& pool)
{
    const auto& authority = context.state.configuration.replica.state().authority;
    const auto entry = authority.find(pool);
    const auto view = context.state.orders.views.find(pool);
    if (entry == authority.end() || view == context.state.orders.views.end()) {
        return false;
    }
    if (context.state.options.fault == injected_fault::former_holder_ignored) {
        return true;
    }
    const auto& former = entry->second.former;
    return std::all_of(former.begin(), former.end(), [&](const agreement::former_holder& holder) {
        return former_settled(context, view->second, holder);
    });
}

void on_own_ack(step_context& context, const routing_view_ack& ack)
{
    pool_view_state& view = context.state.orders.views[ack.pool];
    if (view.held == ack.held) {
        view.acknowledged[context.state.options.self] = {context.state.options.process, ack.version,
                                                         context.now};
    }
}

void on_view_ack(step_context& context, const peer_received& from, const routing_view_ack& ack)
{
    const fence held = authority::held_fence(context.state, ack.pool);
    if (held.value() == 0) {
        return;
    }
    if (ack.held > held) {
        authority::on_greater_fence(context, ack.pool, ack.held);
        return;
    }
    pool_view_state& view = context.state.orders.views[ack.pool];
    if (view.held != held || ack.held != held) {
        return;
    }
    if (ack.version != 0) {
        view.acknowledged[from.from] = {from.process, ack.version, context.now};
    }
    if (ack.version < view.version) {
        view.last_sent[from.from] = context.now;
        context.send(from.from, make_view_message(context, ack.pool, view));
    }
}

} // namespace currantspar::core::orders
