#ifndef CURRANTSPAR_POLICY_ROLE_PLANNER_HPP
#define CURRANTSPAR_POLICY_ROLE_PLANNER_HPP

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "currantspar/policy/engine_timing.hpp"
#include "currantspar/policy/views.hpp"

namespace currantspar::policy {

/// An engine as input to the role planner.
struct role_candidate
{
    engine_id engine;
    config::engine_role role = config::engine_role::mixed;
    bool available = true; ///< serving, not drained, without a pending order, role not fixed
    std::uint32_t running = 0;
    std::uint64_t prefill_tokens_left = 0;
    bool changing = false; ///< a change to `role` is in progress
};

/// The size of a recently requested prompt.
struct prompt_size
{
    double uncached_tokens = 0; ///< without the cached prefix
    double tokens = 0;
};

/// A pool and its current demand, as known to its controller.
struct pool_view
{
    pool_id pool;
    config::role_policy_options options;
    config::service_targets targets;
    std::vector<role_candidate> engines;
    double prefill_tokens_per_second = 0; ///< offered, without cached prefixes
    double decode_tokens_per_second = 0;  ///< offered
    double requests_per_second = 0;       ///< offered
    std::vector<prompt_size> prompts;     ///< a sample of the offered prompts
};

/// A role change and its reasons.
struct role_change
{
    engine_id engine;
    config::engine_role from = config::engine_role::mixed;
    config::engine_role to = config::engine_role::mixed;
    double predicted_gain = 0; ///< additional requests served on time within the horizon
    double cost = 0;           ///< requests lost during the change, times the configured weight
    std::string reason;        ///< the figures behind the decision, for the timeline
};

struct role_planner_options
{
    engine_timing timing{};
    double mixed_capacity = 0.6;                    ///< of a mixed engine, relative to a prefill engine
    double kv_tokens_per_second = 130000;           ///< KV cache transfer rate between engines
    duration horizon = std::chrono::seconds(30);    ///< the time within which a change must pay off
    duration settle_time = std::chrono::seconds(2); ///< a change must stay the best for this long
    double trend = 0.5; ///< extrapolation: added fraction of the demand's difference from its mean
    duration trend_memory = std::chrono::seconds(16); ///< time constant of that mean
    unsigned reversal_guard_changes = 4; ///< change durations in which an engine isn't changed again
};

/// Decides when an engine should change its role. Not thread safe.
class role_planner
{
public:
    explicit role_planner(role_planner_options options = {}) : options_(options) {}

    /// Returns the role change to start now, if any. At least one engine for prefill and one for decode
    /// always remain, and the last mixed engine never changes.
    [[nodiscard]] std::vector<role_change> plan(const pool_view& pool, instant now);
    /// Reports that an engine reached a role. No-op: plan() records a change when it returns it.
    void on_changed(const engine_id& engine, config::engine_role role, instant now);

private:
    struct role_counts
    {
        double prefill = 0;
        double decode = 0;
        double mixed = 0;

        [[nodiscard]] double& of(config::engine_role role);
    };
    struct move
    {
        config::engine_role from = config::engine_role::mixed;
        config::engine_role to = config::engine_role::mixed;

        friend bool operator==(const move&, const move&) = default;
    };
    struct past_change
    {
        move made;
        instant at{};
    };

    /// The chances of the sampled prompts to meet the first-token target on engines of one role.
    struct prompt_feasibility
    {
        double feasible = 1;       ///< fraction that an idle engine computes within the target
        double late_if_queued = 0; ///< fraction that misses the target if it is queued
    };
    struct pool_demand
    {
        double prefill_engines = 0; ///< number of prefill engines that the demand would fully occupy
        double decode_engines = 0;
        prompt_feasibility at_prefill;
        prompt_feasibility at_mixed;
    };

    struct demand_rates
    {
        double prefill_tokens = 0; ///< per second, like the others
        double decode_tokens = 0;
        double requests = 0;
    };

    /// Extrapolates the demand by its recent trend.
    [[nodiscard]] pool_view extrapolate(const pool_view& pool, instant now);
    [[nodiscard]] prompt_feasibility estimate_feasibility(const pool_view& pool, double rate,
                                                          double move_rate) const;
    [[nodiscard]] pool_demand measure(const pool_view& pool) const;
    /// The predicted fraction of the requests that meet their targets.
    [[nodiscard]] double served_fraction(role_counts counts, const pool_demand& demand) const;
    [[nodiscard]] const role_candidate* least_loaded_candidate(const pool_view& pool, const move& requested,
                                                               instant now) const;
    [[nodiscard]] bool guarded(const engine_id& engine, duration guard_time, instant now) const;

    role_planner_options options_;
    std::map<engine_id, past_change> changed_;
    std::optional<move> pending_move_; ///< the best change in the last call of plan()
    instant pending_since_{};
    past_change last_;
    demand_rates mean_; ///< moving average of the demand
    instant measured_{};
};

} // namespace currantspar::policy

#endif
