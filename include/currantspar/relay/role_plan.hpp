#ifndef CURRANTSPAR_RELAY_ROLE_PLAN_HPP
#define CURRANTSPAR_RELAY_ROLE_PLAN_HPP

#include <set>
#include <vector>

#include "currantspar/relay/model.hpp"

namespace currantspar::relay {

/// The pattern: prompts are long and answers short, so reading prompts takes most of the engines' time, while
/// a decode engine carries dozens of answers at once as long as it reads nothing.
struct role_plan_options
{
    double prefill_fraction = 0.78;  ///< of a service's engines, that only read prompts
    unsigned min_decode_engines = 3; ///< engines that make answers; fewer only when there are fewer engines
    unsigned missing_tolerance = 1;  ///< readers below the share that are left as they are
    unsigned missing_tolerance_serving = 2; ///< the same while requests are served
    unsigned excess_tolerance = 0;          ///< readers above the share that are left as they are
    unsigned max_changes_idle = 8;          ///< at one time while no request is served, or the share below
    unsigned max_changes_serving = 2;       ///< at one time while requests are served, or the share below
    double max_change_fraction_idle = 0.5; ///< of the engines: a large fleet must be ready before its traffic
    double max_change_fraction_serving = 0.04; ///< of the engines
};

/// A change of one engine's role.
struct role_change
{
    backend_id engine;
    config::engine_role role = config::engine_role::prefill;
};

/// The changes that bring a service's engines to the plan. `engines` holds those that are open and answer;
/// those in `changing` count as changed already. Deterministic: each node plans the same from the same
/// entries. Thread safe.
[[nodiscard]] std::vector<role_change> plan_roles(const std::vector<server_entry>& engines,
                                                  const std::set<backend_id>& changing, bool serving,
                                                  const role_plan_options& options);

} // namespace currantspar::relay

#endif
