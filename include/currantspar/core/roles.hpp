#ifndef CURRANTSPAR_CORE_ROLES_HPP
#define CURRANTSPAR_CORE_ROLES_HPP

#include <map>

#include "currantspar/core/event.hpp"
#include "currantspar/policy/role_planner.hpp"

namespace currantspar::core {

struct node_state;
struct step_context;

/// Role planning for the pools that this node controls.
struct role_state
{
    std::map<pool_id, policy::role_planner> planners; ///< only pools for which this node may act
    instant plan_due{};
};

namespace roles {

/// Plans changes for the pools that this node may act for.
void on_tick(step_context& context);

} // namespace roles
} // namespace currantspar::core

#endif
