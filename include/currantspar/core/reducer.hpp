#ifndef CURRANTSPAR_CORE_REDUCER_HPP
#define CURRANTSPAR_CORE_REDUCER_HPP

#include "currantspar/core/effect.hpp"
#include "currantspar/core/event.hpp"
#include "currantspar/core/state.hpp"

namespace currantspar::core {

/// Takes in one event and returns what to do about it. It has no clock, does no I/O and keeps nothing outside
/// `state`: the same state and events give the same effects. Precondition: `happened.at` never goes back for
/// one state. Not thread safe for one state.
[[nodiscard]] effect_list reduce(node_state& state, const event& incoming);

} // namespace currantspar::core

#endif
