#include "currantspar/policy/role_planner.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace currantspar::policy {

namespace {

using config::engine_role;

constexpr double easy_load = 0.8;      ///< of decoding, up to here nothing is late
constexpr double full_load_loss = 0.5; ///< slope of the loss between easy and full load
constexpr double waiting_share = 0.8;  ///< of the prompts, that have to wait at full load
constexpr double waiting_power = 4;    ///< of the load
constexpr double usual_wait = 0.5;     ///< of a prompt's own time, when it has to wait
constexpr double target_used = 0.97;   ///< of the first-token target; the rest is the callers' network
constexpr double reversal_factor = 3;  ///< times the cost that a change back must gain soon after
constexpr double least_alone = 0.01;   ///< seconds, of a prompt's own time
constexpr int shares_tried = 20;       ///< ways to divide the mixed engines between prompts and answers

/// The part of the answers whose pace is kept at a load.
double kept_pace(double load)
{
    if (load <= easy_load) {
        return 1 - 0.02 * load;
    }
    const double at_easy = 1 - 0.02 * easy_load;
    const double at_full = at_easy - full_load_loss * (1 - easy_load);
    return load <= 1 ? at_easy - full_load_loss * (load - easy_load) : at_full / load;
}

/// The part of the prompts that is computed in time at a load.
double prompts_in_time(double feasible, double impatient, double load)
{
    const double waiting = waiting_share * std::pow(std::min(1.0, load), waiting_power);
    return (feasible - waiting * impatient) / std::max(1.0, load);
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

role_planner::prompt_chances role_planner::chances(const pool_view& pool, double rate, double move_rate) const
{
    prompt_chances found;
    if (pool.prompts.empty()) {
        return found;
    }
    const double target = target_used * to_seconds(pool.targets.first_token);
    const double each = 1 / static_cast<double>(pool.prompts.size());
    found.feasible = 0;
    for (const prompt_size& prompt : pool.prompts) {
        const double alone = prompt.uncached_tokens / rate;
        const double slack = target - alone - prompt.tokens / move_rate;
        if (slack >= 0) {
            found.feasible += each;
            found.impatient += each * std::exp(-slack / (usual_wait * std::max(alone, least_alone)));
        }
    }
    return found;
}

pool_view role_planner::ahead(const pool_view& pool, instant now)
{
    const bool first = measured_ == instant{};
    const double kept =
        first ? 0 : std::exp(-to_seconds(now - measured_) / to_seconds(options_.trend_memory));
    measured_ = now;
    pool_view moved = pool;
    const auto follow = [&](double& mean, double& rate) {
        mean = kept * mean + (1 - kept) * rate;
        rate = std::max(0.0, rate + options_.trend * (rate - mean));
    };
    follow(mean_.prefill_tokens, moved.prefill_tokens_per_second);
    follow(mean_.decode_tokens, moved.decode_tokens_per_second);
    follow(mean_.requests, moved.requests_per_second);
    return moved;
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
    demand.at_prefill = chances(pool, rate, options_.kv_tokens_per_second);
    demand.at_mixed = chances(pool, rate * timing.mixed_prefill_fraction, options_.kv_tokens_per_second);
    return demand;
}

double role_planner::served(role_counts counts, const pool_demand& demand) const
{
    double best = 0;
    for (int i = 0; i <= shares_tried; ++i) {
        const double to_decode = counts.mixed * i / shares_tried;
        const double mixed = options_.mixed_capacity * (counts.mixed - to_decode);
        const double prefill = counts.prefill + mixed;
        const double decode = counts.decode + to_decode;
        if (prefill <= 0 || decode <= 0) {
            continue;
        }
        const double load = demand.prefill_engines / prefill;
        const double at_prefill =
            prompts_in_time(demand.at_prefill.feasible, demand.at_prefill.impatient, load);
        const double at_mixed = prompts_in_time(demand.at_mixed.feasible, demand.at_mixed.impatient, load);
        const double prompts = (counts.prefill * at_prefill + mixed * at_mixed) / prefill;
        best = std::max(best, prompts * kept_pace(demand.decode_engines / decode));
    }
    return best;
}

bool role_planner::guarded(const engine_id& engine, duration guard_time, instant now) const
{
    const auto found = changed_.find(engine);
    return found != changed_.end() && now - found->second.at < guard_time;
}

const role_candidate* role_planner::least_displaced(const pool_view& pool, const move& wanted,
                                                    instant now) const
{
    const duration guard_time = options_.reversal_guard_changes * pool.options.role_change_time;
    const role_candidate* best = nullptr;
    for (const role_candidate& engine : pool.engines) {
        const bool fits = engine.available && engine.role == wanted.from;
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
    const pool_demand demand = measure(ahead(pool, now));
    const double now_served = served(counts, demand);
    const double cost = pool.options.change_cost_weight * to_seconds(pool.options.role_change_time) *
                        pool.requests_per_second / std::max(1.0, serving);
    role_change best;
    double best_net = 0;
    std::optional<move> best_move;
    constexpr std::array roles{engine_role::mixed, engine_role::prefill, engine_role::decode};
    for (const engine_role from : roles) {
        for (const engine_role to : roles) {
            const move tried{from, to};
            const role_candidate* engine = from == to ? nullptr : least_displaced(pool, tried, now);
            role_counts after = counts;
            after.of(from) -= 1;
            after.of(to) += 1;
            const bool decodes = after.mixed + after.decode >= 1;
            const bool prefills = after.mixed + after.prefill >= 1;
            if (engine == nullptr || !decodes || !prefills ||
                (counts.of(from) < 2 && from == engine_role::mixed)) {
                continue;
            }
            const double gain = (served(after, demand) - now_served) * pool.requests_per_second *
                                to_seconds(options_.horizon);
            const bool back =
                last_.made.from == to && last_.made.to == from &&
                now - last_.at < options_.reversal_guard_changes * pool.options.role_change_time;
            const double net = gain - cost * (back ? reversal_factor : 1);
            if (net > best_net) {
                best_net = net;
                best_move = tried;
                best = {engine->engine, from, to, gain, cost, {}};
            }
        }
    }
    if (best_move != wanted_) {
        wanted_ = best_move;
        wanted_since_ = now;
    }
    if (!best_move || changing >= pool.options.max_simultaneous_changes ||
        now - wanted_since_ < options_.settle_time) {
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
