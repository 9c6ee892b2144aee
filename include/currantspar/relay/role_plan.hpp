#ifndef CURRANTSPAR_RELAY_ROLE_PLAN_HPP
#define CURRANTSPAR_RELAY_ROLE_PLAN_HPP

#include <set>
#include <vector>

#include "currantspar/relay/model.hpp"

namespace currantspar::relay {

/// The split into prefill and decode engines. The defaults suit long prompts and short outputs: most of the
/// engines' time is prefill, while a decode engine runs dozens of requests at once if it does no prefill.
struct role_plan_options
{
    double prefill_fraction = 0.78;         ///< of a service's engines
    unsigned min_decode_engines = 3;        ///< fewer only when the service has too few engines
    unsigned missing_tolerance = 1;         ///< prefill engines below the target that cause no change
    unsigned missing_tolerance_serving = 2; ///< the same while requests are served
    unsigned excess_tolerance = 0;          ///< prefill engines above the target that cause no change
    unsigned max_changes_idle =
        8; ///< concurrent, while no request is served; or the fraction below if larger
    unsigned max_changes_serving =
        2; ///< concurrent, while requests are served; or the fraction below if larger
    double max_change_fraction_idle =
        0.5; ///< of the engines; a large fleet must be ready before its traffic arrives
    double max_change_fraction_serving = 0.04; ///< of the engines
};

/// A change of one engine's role.
struct role_change
{
    backend_id engine;
    config::engine_role role = config::engine_role::prefill;
};

/// Returns the role changes that bring a service's engines to the planned split. `engines` holds the open and
/// responsive ones; those in `changing` count as changed already. Deterministic: every node computes the same
/// plan from the same entries. Thread safe.
[[nodiscard]] std::vector<role_change> plan_roles(const std::vector<server_entry>& engines,
                                                  const std::set<backend_id>& changing, bool serving,
                                                  const role_plan_options& options);

} // namespace currantspar::relay

#endif
