#ifndef CURRANTSPAR_CORE_REDUCER_HPP
#define CURRANTSPAR_CORE_REDUCER_HPP

#include "currantspar/core/effect.hpp"
#include "currantspar/core/event.hpp"
#include "currantspar/core/state.hpp"

namespace currantspar::core {

/// Applies one event to the state and returns the resulting effects. The function is deterministic: it reads
/// no clock, does no I/O and keeps nothing outside `state`. Precondition: `incoming.at` never decreases for
/// one state. Not thread safe for one state.
[[nodiscard]] effect_list reduce(node_state& state, const event& incoming);

} // namespace currantspar::core

#endif
