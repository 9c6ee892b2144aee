#ifndef CURRANTSPAR_POLICY_ROLE_PLANNER_HPP
#define CURRANTSPAR_POLICY_ROLE_PLANNER_HPP

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "currantspar/policy/engine_timing.hpp"
#include "currantspar/policy/views.hpp"

namespace currantspar::policy {

/// One engine as the role policy sees it.
struct role_candidate
{
    engine_id engine;
    config::engine_role role = config::engine_role::mixed;
    bool available = true; ///< serving, not drained, not held by an order, role not fixed
    std::uint32_t running = 0;
    std::uint64_t prefill_tokens_left = 0;
    bool changing = false; ///< on its way to `role`
};

/// A prompt that was asked for lately.
struct prompt_size
{
    double uncached_tokens = 0; ///< not cached
    double tokens = 0;
};

/// One pool and the demand it meets, as its controller sees them.
struct pool_view
{
    pool_id pool;
    config::role_policy_options options;
    config::service_targets targets;
    std::vector<role_candidate> engines;
    double prefill_tokens_per_second = 0; ///< offered, cached prefix taken off
    double decode_tokens_per_second = 0;  ///< offered
    double requests_per_second = 0;       ///< offered
    std::vector<prompt_size> prompts;     ///< a sample of those offered
};

/// A change of role and what it rests on.
struct role_change
{
    engine_id engine;
    config::engine_role from = config::engine_role::mixed;
    config::engine_role to = config::engine_role::mixed;
    double predicted_gain = 0; ///< answered requests over the horizon
    double cost = 0;           ///< answered requests lost to the change, weighted
    std::string reason;        ///< the figures, for the time line
};

struct role_planner_options
{
    engine_timing timing{};
    double mixed_capacity = 0.6;          ///< of a prefill engine's, of a mixed one that decodes as well
    double kv_tokens_per_second = 130000; ///< moving a prompt's cache between engines
    duration horizon = std::chrono::seconds(30);    ///< over which a change must pay
    duration settle_time = std::chrono::seconds(2); ///< a change must look good for this long
    double trend = 0.5; ///< how far demand is taken ahead, in times its distance from its mean
    duration trend_memory = std::chrono::seconds(16); ///< of that mean
    unsigned reversal_guard_changes = 4; ///< change times during which an engine's change isn't taken back
};

/// Decides when an engine should change its role. Not thread safe.
class role_planner
{
public:
    explicit role_planner(role_planner_options options = {}) : options_(options) {}

    /// The changes to make now, best first; never the last engine of a role in use.
    [[nodiscard]] std::vector<role_change> plan(const pool_view& pool, instant now);
    /// An engine was seen to have reached a role.
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

    /// How the sampled prompts fare at engines of one role.
    struct prompt_feasibility
    {
        double feasible = 1;       ///< share that an idle engine computes in time
        double late_if_queued = 0; ///< share that is late if it has to wait
    };
    struct pool_demand
    {
        double prefill_engines = 0; ///< that would be kept busy, in the prefill role
        double decode_engines = 0;
        prompt_feasibility at_prefill;
        prompt_feasibility at_mixed;
    };

    struct demand_rates
    {
        double prefill_tokens = 0; ///< a second, as the others
        double decode_tokens = 0;
        double requests = 0;
    };

    /// The demand some seconds ahead if it goes on to move as it did lately.
    [[nodiscard]] pool_view extrapolate(const pool_view& pool, instant now);
    [[nodiscard]] prompt_feasibility estimate_feasibility(const pool_view& pool, double rate,
                                                          double move_rate) const;
    [[nodiscard]] pool_demand measure(const pool_view& pool) const;
    /// The share of the requests that is answered in time.
    [[nodiscard]] double served_fraction(role_counts counts, const pool_demand& demand) const;
    [[nodiscard]] const role_candidate* least_loaded_candidate(const pool_view& pool, const move& requested,
                                                               instant now) const;
    [[nodiscard]] bool guarded(const engine_id& engine, duration guard_time, instant now) const;

    role_planner_options options_;
    std::map<engine_id, past_change> changed_;
    std::optional<move> pending_move_; ///< the best change of the last plan
    instant pending_since_{};
    past_change last_;
    demand_rates mean_; ///< of the demand lately
    instant measured_{};
};

} // namespace currantspar::policy

#endif
