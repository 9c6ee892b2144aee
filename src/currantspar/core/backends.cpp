#include "currantspar/core/backends.hpp"

#include <algorithm>

#include "currantspar/core/step.hpp"

namespace currantspar::core::backends {

const config::backend_spec* choose(step_context& context, const config::service_spec& service,
                                   const std::set<backend_id>& exclude)
{
    std::vector<backend_id> candidates;
    for (const config::backend_spec& spec : service.backends) {
        if (!spec.drained && !exclude.contains(spec.id)) {
            candidates.push_back(spec.id);
        }
    }
    const policy::backend_health& health = context.state.backends.services[service.id];
    const auto chosen = health.choose(candidates, context.now, context.state.random);
    if (!chosen) {
        return nullptr;
    }
    const auto spec =
        std::find_if(service.backends.begin(), service.backends.end(),
                     [&](const config::backend_spec& candidate) { return candidate.id == *chosen; });
    return &*spec;
}

} // namespace currantspar::core::backends
