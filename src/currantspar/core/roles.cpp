#include "currantspar/core/roles.hpp"

#include "currantspar/core/step.hpp"

namespace currantspar::core::roles {

namespace {

constexpr duration plan_every = std::chrono::seconds(1);

policy::role_candidate describe_engine(const node_state& state, const config::engine_spec& spec)
{
    policy::role_candidate engine;
    engine.engine = spec.id;
    const policy::engine_report* report = state.routing.dispatcher.report(spec.id);
    const auto change = state.orders.changes.find(spec.id);
    engine.changing = change != state.orders.changes.end();
    const bool open_order = state.configuration.replica.state().orders.contains(spec.id);
    engine.available = report != nullptr && report->condition == policy::engine_condition::serving &&
                       !spec.drained && !spec.fixed_role && !engine.changing && !open_order;
    if (report != nullptr) {
        engine.role = report->role;
        engine.running = report->running + report->queued;
        engine.prefill_tokens_left = report->prefill_tokens_left;
    }
    if (engine.changing) {
        engine.role = change->second.goal.role;
    }
    return engine;
}

policy::pool_view describe_pool(const step_context& context, const pool_id& id,
                                const std::vector<const config::engine_spec*>& engines)
{
    const node_state& state = context.state;
    const config::service_spec& service = *state.routing.index.services.at(engines.front()->id);
    policy::pool_view pool;
    pool.pool = id;
    pool.options = service.roles;
    pool.targets = service.targets;
    for (const config::engine_spec* spec : engines) {
        pool.engines.push_back(describe_engine(state, *spec));
    }
    state.routing.dispatcher.describe_pool(pool, context.now);
    const double share = static_cast<double>(engines.size()) / static_cast<double>(service.engines.size());
    pool.requests_per_second *= share;
    pool.prefill_tokens_per_second *= share;
    pool.decode_tokens_per_second *= share;
    return pool;
}

void plan_pool(step_context& context, const pool_id& id,
               const std::vector<const config::engine_spec*>& engines)
{
    const policy::pool_view pool = describe_pool(context, id, engines);
    for (const policy::role_change& change : context.state.roles.planners[id].plan(pool, context.now)) {
        const policy::engine_report* report = context.state.routing.dispatcher.report(change.engine);
        agreement::engine_goal goal;
        goal.role = change.to;
        goal.load = report->load;
        orders::request_goal(context, change.engine, goal, change.reason);
    }
}

} // namespace

void on_tick(step_context& context)
{
    role_state& state = context.state.roles;
    if (context.now < state.plan_due) {
        return;
    }
    state.plan_due = context.now + plan_every;
    for (const auto& [id, engines] : context.state.routing.index.pools) {
        if (engines.empty() || authority::acting_fence(context.state, id, context.now) == fence{}) {
            state.planners.erase(id);
            continue;
        }
        plan_pool(context, id, engines);
    }
}

} // namespace currantspar::core::roles
