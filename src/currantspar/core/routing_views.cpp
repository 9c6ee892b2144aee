#include <algorithm>
#include <utility>

#include "currantspar/core/step.hpp"

namespace currantspar::core::routing {

namespace {

/// With more data centres than this, nodes send work only to engines of their own data centre.
constexpr std::size_t max_shared_data_centres = 4;
constexpr duration review_every = std::chrono::milliseconds(500);
/// Interval between requests for the view of one pool.
constexpr duration view_request_interval = std::chrono::seconds(1);

fleet_index make_index(const config::fleet_ptr& fleet)
{
    fleet_index index;
    index.fleet = fleet;
    for (const config::service_spec& service : fleet->services) {
        for (const config::engine_spec& spec : service.engines) {
            index.engines.emplace(spec.id, &spec);
            index.services.emplace(spec.id, &service);
            index.pools[pool_id{service.id, spec.data_centre}].push_back(&spec);
        }
    }
    return index;
}

const agreement::authority_entry* holder_of(const node_state& state, const pool_id& pool)
{
    const auto& authority = state.configuration.replica.state().authority;
    const auto found = authority.find(pool);
    return found == authority.end() || found->second.released ? nullptr : &found->second;
}

/// A node without a view of a pool doesn't know which engines the pool's controller has closed. It sends work
/// to the pool only when there is no controller yet, or when it has been on the VM list for so long that no
/// controller can have proceeded without its acknowledgement.
bool may_route(const step_context& context, const pool_id& pool)
{
    const node_state& state = context.state;
    if (!reaches(state, state.options.data_centre, pool.data_centre)) {
        return false;
    }
    const agreement::authority_entry* holder = holder_of(state, pool);
    if (state.routing.views.contains(pool) || holder == nullptr || holder->holder == state.options.self) {
        return true;
    }
    const instant listed = state.membership.self_listed;
    return listed != instant() && context.now - listed >= state.options.new_node_settles;
}

/// An engine without a recent report may be leaving. An engine that has announced that it is leaving stays
/// closed regardless of the age of that report.
bool admits_work(const step_context& context, const engine_id& engine)
{
    const policy::engine_report* report = context.state.routing.dispatcher.report(engine);
    return report != nullptr && report->condition != policy::engine_condition::leaving &&
           !context.state.routing.unresponsive.contains(engine);
}

/// Updates whether an engine is unresponsive, and adds a timeline entry when that changes.
void update_unresponsive(step_context& context, const engine_id& engine)
{
    std::set<engine_id>& known = context.state.routing.unresponsive;
    const bool reported = context.state.routing.dispatcher.report(engine) != nullptr;
    const bool unresponsive = reported && reports::unresponsive(context, engine);
    if (unresponsive == known.contains(engine)) {
        return;
    }
    timeline_entry entry;
    entry.kind = unresponsive ? "engine.silent" : "engine.heard";
    entry.engine = engine;
    entry.detail = reports::unresponsive_detail(context, engine);
    context.trace(std::move(entry));
    if (unresponsive) {
        known.insert(engine);
    } else {
        known.erase(engine);
    }
}

void update_engine_routability(step_context& context, const pool_id& pool, const engine_id& engine)
{
    routing_state& state = context.state.routing;
    update_unresponsive(context, engine);
    const auto view = state.views.find(pool);
    const bool closed = view != state.views.end() && view->second.closed.contains(engine);
    state.dispatcher.set_open(engine, may_route(context, pool) && !closed && admits_work(context, engine));
}

void update_pool_routability(step_context& context, const pool_id& pool)
{
    const auto engines = context.state.routing.index.pools.find(pool);
    if (engines == context.state.routing.index.pools.end()) {
        return;
    }
    for (const config::engine_spec* spec : engines->second) {
        update_engine_routability(context, pool, spec->id);
    }
}

/// True when every attempt that this node has sent to these engines was accepted.
bool all_attempts_accepted(const step_context& context, const std::set<engine_id>& engines)
{
    const routing_state& state = context.state.routing;
    const auto& attempts = context.state.requests.attempts;
    return std::none_of(attempts.begin(), attempts.end(), [&](const auto& entry) {
        return engines.contains(entry.second.engine) && !state.accepted_attempts.contains(entry.first);
    });
}

void acknowledge_when_clear(step_context& context, const pool_id& pool, received_view& view)
{
    const bool busy =
        !all_attempts_accepted(context, view.closed) || orders::has_order_in_flight(context.state, pool);
    if (!view.ack_due || busy) {
        return;
    }
    view.ack_due = false;
    const routing_view_ack ack{pool, view.held, view.version};
    if (view.from == context.state.options.self) {
        orders::on_own_ack(context, ack);
        return;
    }
    context.send(view.from, ack);
}

/// Requests the view from the pool's controller when the last one has expired.
void request_view(step_context& context, const pool_id& pool)
{
    const agreement::authority_entry* holder = holder_of(context.state, pool);
    routing_state& state = context.state.routing;
    const auto view = state.views.find(pool);
    const bool valid = view != state.views.end() && context.now < view->second.valid_until;
    if (holder == nullptr || holder->holder == context.state.options.self || valid ||
        context.now < state.view_request_due[pool]) {
        return;
    }
    state.view_request_due[pool] = context.now + view_request_interval;
    context.send(holder->holder, routing_view_ack{pool, holder->held, 0});
}

void review(step_context& context)
{
    routing_state& state = context.state.routing;
    for (const auto& [pool, engines] : state.index.pools) {
        if (!reaches(context.state, context.state.options.data_centre, pool.data_centre)) {
            continue;
        }
        update_pool_routability(context, pool);
        request_view(context, pool);
    }
    std::erase_if(state.accepted_attempts,
                  [&](attempt_id attempt) { return !context.state.requests.attempts.contains(attempt); });
}

} // namespace

bool reaches(const node_state& state, const data_centre_id& from, const data_centre_id& to)
{
    const config::fleet_ptr& fleet = state.routing.index.fleet;
    return from == to || !fleet || fleet->data_centres.size() <= max_shared_data_centres;
}

void on_fleet(step_context& context)
{
    const config::fleet_ptr fleet = context.state.configuration.replica.state().fleet;
    routing_state& state = context.state.routing;
    state.dispatcher.on_fleet(*fleet);
    state.index = make_index(fleet);
    for (const auto& [pool, engines] : state.index.pools) {
        update_pool_routability(context, pool);
    }
}

void on_report(step_context& context, const policy::engine_report& report)
{
    context.state.routing.dispatcher.on_report(report, context.now);
    const auto service = context.state.routing.index.services.find(report.engine);
    const config::engine_spec* spec = find_engine(context.state, report.engine);
    if (spec != nullptr) {
        update_engine_routability(context, pool_id{service->second->id, spec->data_centre}, report.engine);
    }
}

bool all_engines_reported(const node_state& state)
{
    return std::all_of(state.routing.index.engines.begin(), state.routing.index.engines.end(),
                       [&](const auto& entry) {
                           return !reaches(state, state.options.data_centre, entry.second->data_centre) ||
                                  state.routing.dispatcher.report(entry.first) != nullptr;
                       });
}

void apply_view(step_context& context, const node_id& from, const pool_routing_view& view)
{
    received_view& known = context.state.routing.views[view.pool];
    const bool newer = std::pair(view.held, view.version) >= std::pair(known.held, known.version);
    const bool forced = context.state.options.fault == injected_fault::stale_view_accepted;
    if (!newer && !forced) {
        return;
    }
    const std::set<engine_id> closed(view.closed.begin(), view.closed.end());
    const bool changed = known.held.value() == 0 || closed != known.closed;
    known.held = view.held;
    known.version = view.version;
    known.valid_until = context.now + view.valid_for;
    known.closed = closed;
    known.from = from;
    known.ack_due = true;
    if (changed) {
        update_pool_routability(context, view.pool);
    }
    acknowledge_when_clear(context, view.pool, known);
}

void on_view(step_context& context, const peer_received& from, const pool_routing_view& view)
{
    const auto& authority = context.state.configuration.replica.state().authority;
    const auto agreed = authority.find(view.pool);
    const auto known = context.state.routing.views.find(view.pool);
    const fence in_log = agreed == authority.end() ? fence() : agreed->second.held;
    const fence in_view = known == context.state.routing.views.end() ? fence() : known->second.held;
    const fence newest = std::max(in_log, in_view);
    if (view.held < newest && context.state.options.fault != injected_fault::stale_view_accepted) {
        context.send(from.from, routing_view_ack{view.pool, newest, 0});
        return;
    }
    apply_view(context, from.from, view);
}

void on_attempt_accepted(step_context& context, attempt_id attempt)
{
    context.state.routing.accepted_attempts.insert(attempt);
}

void on_tick(step_context& context)
{
    routing_state& state = context.state.routing;
    for (auto& [pool, view] : state.views) {
        if (view.ack_due) {
            acknowledge_when_clear(context, pool, view);
        }
    }
    if (state.index.fleet && context.now >= state.review_due) {
        state.review_due = context.now + review_every;
        review(context);
    }
}

} // namespace currantspar::core::routing
