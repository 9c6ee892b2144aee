#include "currantspar/policy/role_planner.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace currantspar::policy {

namespace {

using config::engine_role;

constexpr double light_load = 0.8;          ///< decode load up to which nearly all responses keep their pace
constexpr double full_load_loss = 0.5;      ///< slope of the loss between light and full load
constexpr double max_queued_fraction = 0.8; ///< fraction of the prompts that queue at full load
constexpr double queueing_exponent = 4;     ///< of the load, in the fraction of queued prompts
constexpr double typical_wait_factor = 0.5; ///< typical queueing delay over the prompt's own prefill time
constexpr double usable_target_fraction = 0.97; ///< the rest of the target is for the callers' network
constexpr double reversal_factor = 3;           ///< multiple of the cost that a quick reversal must gain
constexpr double min_prefill_seconds = 0.01;    ///< lower bound in the queueing estimate
constexpr int division_steps = 20; ///< steps in the division of mixed engines between prefill and decode

/// The fraction of the responses that meet their inter-token target at a decode load.
double on_pace_fraction(double load)
{
    if (load <= light_load) {
        return 1 - 0.02 * load;
    }
    const double at_light = 1 - 0.02 * light_load;
    const double at_full = at_light - full_load_loss * (1 - light_load);
    return load <= 1 ? at_light - full_load_loss * (load - light_load) : at_full / load;
}

/// The fraction of the prompts that meet their first-token target at a prefill load.
double on_time_prompt_fraction(double feasible, double late_if_queued, double load)
{
    const double queued = max_queued_fraction * std::pow(std::min(1.0, load), queueing_exponent);
    return (feasible - queued * late_if_queued) / std::max(1.0, load);
}

} // namespace

double& role_planner::role_counts::of(engine_role role)
{
    switch (role) {
    case engine_role::prefill:
        return prefill;
    case engine_role::decode:
        return decode;
    case engine_role::mixed:
        break;
    }
    return mixed;
}

role_planner::prompt_feasibility role_planner::estimate_feasibility(const pool_view& pool, double rate,
                                                                    double move_rate) const
{
    prompt_feasibility found;
    if (pool.prompts.empty()) {
        return found;
    }
    const double target = usable_target_fraction * to_seconds(pool.targets.first_token);
    const double each = 1 / static_cast<double>(pool.prompts.size());
    found.feasible = 0;
    for (const prompt_size& prompt : pool.prompts) {
        const double prefill_seconds = prompt.uncached_tokens / rate;
        const double slack = target - prefill_seconds - prompt.tokens / move_rate;
        if (slack >= 0) {
            found.feasible += each;
            found.late_if_queued +=
                each *
                std::exp(-slack / (typical_wait_factor * std::max(prefill_seconds, min_prefill_seconds)));
        }
    }
    return found;
}

pool_view role_planner::extrapolate(const pool_view& pool, instant now)
{
    const bool first = measured_ == instant{};
    const double decay =
        first ? 0 : std::exp(-to_seconds(now - measured_) / to_seconds(options_.trend_memory));
    measured_ = now;
    pool_view extrapolated = pool;
    const auto follow = [&](double& mean, double& rate) {
        mean = decay * mean + (1 - decay) * rate;
        rate = std::max(0.0, rate + options_.trend * (rate - mean));
    };
    follow(mean_.prefill_tokens, extrapolated.prefill_tokens_per_second);
    follow(mean_.decode_tokens, extrapolated.decode_tokens_per_second);
    follow(mean_.requests, extrapolated.requests_per_second);
    return extrapolated;
}

role_planner::pool_demand role_planner::measure(const pool_view& pool) const
{
    const engine_timing& timing = options_.timing;
    const double rate = timing.prefill_tokens_per_second;
    const double step =
        to_seconds(timing.decode_step) + (timing.max_batch - 1) * to_seconds(timing.decode_step_per_sequence);
    pool_demand demand;
    demand.prefill_engines = pool.prefill_tokens_per_second / rate;
    demand.decode_engines = pool.decode_tokens_per_second * step / timing.max_batch;
    demand.at_prefill = estimate_feasibility(pool, rate, options_.kv_tokens_per_second);
    demand.at_mixed =
        estimate_feasibility(pool, rate * timing.mixed_prefill_fraction, options_.kv_tokens_per_second);
    return demand;
}

double role_planner::served_fraction(role_counts counts, const pool_demand& demand) const
{
    double best = 0;
    for (int i = 0; i <= division_steps; ++i) {
        const double to_decode = counts.mixed * i / division_steps;
        const double mixed = options_.mixed_capacity * (counts.mixed - to_decode);
        const double prefill = counts.prefill + mixed;
        const double decode = counts.decode + to_decode;
        if (prefill <= 0 || decode <= 0) {
            continue;
        }
        const double load = demand.prefill_engines / prefill;
        const double at_prefill =
            on_time_prompt_fraction(demand.at_prefill.feasible, demand.at_prefill.late_if_queued, load);
        const double at_mixed =
            on_time_prompt_fraction(demand.at_mixed.feasible, demand.at_mixed.late_if_queued, load);
        const double prompts = (counts.prefill * at_prefill + mixed * at_mixed) / prefill;
        best = std::max(best, prompts * on_pace_fraction(demand.decode_engines / decode));
    }
    return best;
}

bool role_planner::guarded(const engine_id& engine, duration guard_time, instant now) const
{
    const auto found = changed_.find(engine);
    return found != changed_.end() && now - found->second.at < guard_time;
}

const role_candidate* role_planner::least_loaded_candidate(const pool_view& pool, const move& requested,
                                                           instant now) const
{
    const duration guard_time = options_.reversal_guard_changes * pool.options.role_change_time;
    const role_candidate* best = nullptr;
    for (const role_candidate& engine : pool.engines) {
        const bool fits = engine.available && engine.role == requested.from;
        if (!fits || guarded(engine.engine, guard_time, now)) {
            continue;
        }
        const auto displaced = [](const role_candidate& of) {
            return std::pair(of.running, of.prefill_tokens_left);
        };
        if (best == nullptr || displaced(engine) < displaced(*best)) {
            best = &engine;
        }
    }
    return best;
}

std::vector<role_change> role_planner::plan(const pool_view& pool, instant now)
{
    if (!pool.options.adaptive || pool.engines.empty()) {
        return {};
    }
    role_counts counts;
    unsigned changing = 0;
    double serving = 0;
    for (const role_candidate& engine : pool.engines) {
        changing += engine.changing ? 1 : 0;
        const bool counted = engine.available || engine.changing;
        counts.of(engine.role) += counted ? 1 : 0;
        serving += counted ? 1 : 0;
    }
    const pool_demand demand = measure(extrapolate(pool, now));
    const double current_fraction = served_fraction(counts, demand);
    const double cost = pool.options.change_cost_weight * to_seconds(pool.options.role_change_time) *
                        pool.requests_per_second / std::max(1.0, serving);
    role_change best;
    double best_net = 0;
    std::optional<move> best_move;
    constexpr std::array roles{engine_role::mixed, engine_role::prefill, engine_role::decode};
    for (const engine_role from : roles) {
        for (const engine_role to : roles) {
            const move candidate_move{from, to};
            const role_candidate* engine =
                from == to ? nullptr : least_loaded_candidate(pool, candidate_move, now);
            role_counts after = counts;
            after.of(from) -= 1;
            after.of(to) += 1;
            const bool decodes = after.mixed + after.decode >= 1;
            const bool prefills = after.mixed + after.prefill >= 1;
            if (engine == nullptr || !decodes || !prefills ||
                (counts.of(from) < 2 && from == engine_role::mixed)) {
                continue;
            }
            const double gain = (served_fraction(after, demand) - current_fraction) *
                                pool.requests_per_second * to_seconds(options_.horizon);
            const bool is_reversal =
                last_.made.from == to && last_.made.to == from &&
                now - last_.at < options_.reversal_guard_changes * pool.options.role_change_time;
            const double net = gain - cost * (is_reversal ? reversal_factor : 1);
            if (net > best_net) {
                best_net = net;
                best_move = candidate_move;
                best = {engine->engine, from, to, gain, cost, {}};
            }
        }
    }
    if (best_move != pending_move_) {
        pending_move_ = best_move;
        pending_since_ = now;
    }
    if (!best_move || changing >= pool.options.max_simultaneous_changes ||
        now - pending_since_ < options_.settle_time) {
        return {};
    }
    std::array<char, 160> reason{};
    std::snprintf(reason.data(), reason.size(), "gain=%.2f cost=%.2f prefill=%.0f/s decode=%.0f/s",
                  best.predicted_gain, cost, pool.prefill_tokens_per_second, pool.decode_tokens_per_second);
    best.reason = reason.data();
    last_ = {*best_move, now};
    changed_[best.engine] = last_;
    return {best};
}

void role_planner::on_changed(const engine_id&, engine_role, instant) {}

} // namespace currantspar::policy
