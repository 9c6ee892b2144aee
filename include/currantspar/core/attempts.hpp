#ifndef CURRANTSPAR_CORE_ATTEMPTS_HPP
#define CURRANTSPAR_CORE_ATTEMPTS_HPP

#include "currantspar/core/requests.hpp"

namespace currantspar::core::attempts {

/// Registers a new attempt and returns its id.
attempt_id open(step& run, attempt fresh);

/// The attempt if it is still wanted, or null. An unknown attempt's answer is late, crossed or repeated: it
/// is counted and its connection closed.
[[nodiscard]] attempt* find_active(step& run, attempt_id id);

/// Counts an answer that is not used.
void drop(step& run, attempt_id id);

/// Forgets an attempt and closes its connection; `at_engine` also frees the engine's slot.
void abandon(step& run, attempt_id id, bool at_engine);

/// Takes a retry from the service's and the organisation's budgets; false when one of them is used up.
[[nodiscard]] bool spend_retry(step& run, const service_id& service, const organisation_id& organisation);

/// Counts a first attempt, which earns a part of a retry.
void earn_retry(step& run, const service_id& service, const organisation_id& organisation);

} // namespace currantspar::core::attempts

#endif
