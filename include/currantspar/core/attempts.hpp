#ifndef CURRANTSPAR_CORE_ATTEMPTS_HPP
#define CURRANTSPAR_CORE_ATTEMPTS_HPP

#include "currantspar/core/requests.hpp"

namespace currantspar::core::attempts {

/// Registers a new attempt and returns its id.
attempt_id open(step_context& context, attempt new_attempt);

/// Returns the attempt, or null when it is no longer active. In that case the response is late, mismatched or
/// repeated: counts it as dropped and closes its connection.
[[nodiscard]] attempt* find_active(step_context& context, attempt_id id);

/// Counts and traces a response that is discarded.
void drop(step_context& context, attempt_id id);

/// Removes an attempt and closes its connection; `at_engine` also frees the engine's slot.
void abandon(step_context& context, attempt_id id, bool at_engine);

/// Takes a retry from the budgets of the service and the organisation; returns false when either is
/// exhausted.
[[nodiscard]] bool spend_retry(step_context& context, const service_id& service,
                               const organisation_id& organisation);

/// Counts a first attempt, which adds a fraction of a retry to both budgets.
void earn_retry(step_context& context, const service_id& service, const organisation_id& organisation);

} // namespace currantspar::core::attempts

#endif
