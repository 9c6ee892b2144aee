#ifndef CURRANTSPAR_CORE_ORDER_VIEWS_HPP
#define CURRANTSPAR_CORE_ORDER_VIEWS_HPP

#include "currantspar/core/step.hpp"

/// The routing views that a pool's controller sends, and who has taken them.
namespace currantspar::core::orders {

/// Sends the view of a pool that this node holds: at once when it changed, again until it is acknowledged.
void send_views(step_context& context, const pool_id& pool, fence held);

/// True when every node that may route to the pool has lately acknowledged the view that is in force now.
[[nodiscard]] bool all_acknowledged(const step_context& context, const pool_id& pool);

/// True when no earlier holder of the pool's authority can still act by mistake.
[[nodiscard]] bool former_holders_settled(const step_context& context, const pool_id& pool);

} // namespace currantspar::core::orders

#endif
