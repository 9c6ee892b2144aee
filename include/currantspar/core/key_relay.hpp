#ifndef CURRANTSPAR_CORE_KEY_RELAY_HPP
#define CURRANTSPAR_CORE_KEY_RELAY_HPP

#include "currantspar/core/keyed_calls.hpp"

namespace currantspar::core::key_relays {

/// The node of this data centre that appends keys and outcomes for all of its nodes, by rendezvous hash over
/// those that are alive and stay. Records are idempotent, so nodes needn't agree on it.
[[nodiscard]] node_id choose(const node_state& state);

/// Hands on everything that wasn't yet, in one batch, unless the last batch was a moment ago.
void flush(step_context& context);

/// Appends directly what the relay didn't bring to the log in time.
void resend(step_context& context);

} // namespace currantspar::core::key_relays

#endif
