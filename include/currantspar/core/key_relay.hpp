#ifndef CURRANTSPAR_CORE_KEY_RELAY_HPP
#define CURRANTSPAR_CORE_KEY_RELAY_HPP

#include "currantspar/core/keyed_calls.hpp"

namespace currantspar::core::key_relays {

/// Returns the node of this data centre that appends keys and outcomes for all of its nodes: the one with the
/// highest rendezvous hash among those that are alive and not leaving. Records are idempotent, so nodes
/// needn't agree on it.
[[nodiscard]] node_id choose(const node_state& state);

/// Sends all unsent entries in one batch, unless less than `key_flush` has passed since the last batch.
void flush(step_context& context);

/// Appends entries directly that the relay didn't bring to the log within `key_resend`.
void resend(step_context& context);

} // namespace currantspar::core::key_relays

#endif
