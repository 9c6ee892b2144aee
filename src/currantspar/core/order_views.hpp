#ifndef CURRANTSPAR_CORE_ORDER_VIEWS_HPP
#define CURRANTSPAR_CORE_ORDER_VIEWS_HPP

#include "currantspar/core/step.hpp"

/// The routing views by which a pool's controller closes engines to new work, and their acknowledgements.
namespace currantspar::core::orders {

/// Sends the view of a pool that this node holds: immediately when it has changed, and repeatedly until it is
/// acknowledged.
void send_views(step_context& context, const pool_id& pool, fence held);

/// True when every node that may route to the pool has acknowledged the current view within `ack_valid_for`.
[[nodiscard]] bool all_acknowledged(const step_context& context, const pool_id& pool);

/// True when no earlier holder of the pool's authority can still act on its expired authority.
[[nodiscard]] bool former_holders_settled(const step_context& context, const pool_id& pool);

} // namespace currantspar::core::orders

#endif
