#ifndef CURRANTSPAR_CORE_REPLIES_HPP
#define CURRANTSPAR_CORE_REPLIES_HPP

#include <string>

#include "currantspar/core/requests.hpp"

namespace currantspar::core::replies {

inline constexpr int status_bad_request = 400;
inline constexpr int status_conflict = 409;
inline constexpr int status_gone = 410;
inline constexpr int status_unprocessable = 422;
inline constexpr int status_too_many_requests = 429;
inline constexpr int status_bad_gateway = 502;
inline constexpr int status_unavailable = 503;
inline constexpr int status_timeout = 504;

/// Returns an error reply. The code is one of those in docs/CALLERS.md.
[[nodiscard]] reply_end failure(const request_id& request, request_outcome outcome, int status,
                                std::string code, duration retry_after = {});

/// Returns the NOT RUN reply to a refused request.
[[nodiscard]] reply_end refused(const request_id& request, const policy::refusal& why);

/// Refuses a request that was never accepted. With `keyed` the outcome is unknown instead of NOT RUN, because
/// an earlier request with the same key may have run.
void refuse(step_context& context, const request_id& request, const policy::refusal& why, bool keyed = false);

/// Returns `wait` plus up to half of it at random, so that callers don't retry at the same time.
[[nodiscard]] duration add_jitter(step_context& context, duration wait);

/// Adds an entry for a request to the timeline.
void trace(step_context& context, const char* kind, const request_id& request, const service_id& service,
           std::string detail = {});

} // namespace currantspar::core::replies

#endif
