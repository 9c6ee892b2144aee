#ifndef CURRANTSPAR_CORE_ADMISSION_HPP
#define CURRANTSPAR_CORE_ADMISSION_HPP

#include <optional>
#include <vector>

#include "currantspar/core/event.hpp"
#include "currantspar/policy/limits.hpp"

namespace currantspar::core {

struct node_state;
struct step_context;

/// Limits of organisations and of this node.
struct admission_state
{
    policy::usage_limiter limiter;
    instant fair_share_until{}; ///< fair shares are enforced until then, because engines lacked capacity
};

namespace admission {

/// Returns nothing when a request may start now; otherwise the reason and when to retry.
[[nodiscard]] std::optional<policy::refusal> check(step_context& context, const organisation_id& organisation,
                                                   const config::service_spec& service);
void on_started(step_context& context, const organisation_id& organisation);
void on_finished(step_context& context, const organisation_id& organisation);
/// No engine could accept a request: enforces the organisations' fair shares for a short time.
void on_no_capacity(step_context& context);
void on_digest(step_context& context, const policy::work_digest& digest);
/// Returns this node's use of the organisations' limits, for its digest.
[[nodiscard]] std::vector<policy::work_digest::usage> take_usage(step_context& context);

} // namespace admission
} // namespace currantspar::core

#endif
