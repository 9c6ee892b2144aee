#include "currantspar/core/routing.hpp"

#include "currantspar/core/step.hpp"

namespace currantspar::core::routing {

const config::engine_spec* find_engine(const node_state& state, const engine_id& engine)
{
    const auto found = state.routing.index.engines.find(engine);
    return found == state.routing.index.engines.end() ? nullptr : found->second;
}

} // namespace currantspar::core::routing
