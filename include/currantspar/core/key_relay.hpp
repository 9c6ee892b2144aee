#ifndef CURRANTSPAR_CORE_KEY_RELAY_HPP
#define CURRANTSPAR_CORE_KEY_RELAY_HPP

#include "currantspar/core/keyed_calls.hpp"

namespace currantspar::core::key_relays {

/// Returns the relay node, which appends idempotency keys and call outcomes to the log for all nodes of this
/// data centre: the one with the highest rendezvous hash among those that are alive and not leaving. Records
/// are idempotent, so nodes needn't agree on it.
[[nodiscard]] node_id choose(const node_state& state);

/// Sends all unsent entries in one batch, unless less than `key_flush` has passed since the last batch.
void flush(step_context& context);

/// Appends entries directly that were sent to the relay node but not read back from the log in `key_resend`.
void resend(step_context& context);

} // namespace currantspar::core::key_relays

#endif
