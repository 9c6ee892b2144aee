#ifndef CURRANTSPAR_CORE_BACKENDS_HPP
#define CURRANTSPAR_CORE_BACKENDS_HPP

#include <map>
#include <set>

#include "currantspar/core/event.hpp"
#include "currantspar/policy/backend_health.hpp"

namespace currantspar::core {

struct step_context;

/// Health of the backend servers of plain services, as this node measures it.
struct backend_state
{
    std::map<service_id, policy::backend_health> services;
};

namespace backends {

/// Returns the backend server for a plain call, or null when there is none outside `exclude`.
[[nodiscard]] const config::backend_spec* choose(step_context& context, const config::service_spec& service,
                                                 const std::set<backend_id>& exclude);

} // namespace backends
} // namespace currantspar::core

#endif
