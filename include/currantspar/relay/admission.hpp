#ifndef CURRANTSPAR_RELAY_ADMISSION_HPP
#define CURRANTSPAR_RELAY_ADMISSION_HPP

#include <optional>

#include "currantspar/base/random.hpp"
#include "currantspar/policy/limits.hpp"
#include "currantspar/relay/engine_choice.hpp"
#include "currantspar/relay/load_shedding.hpp"

namespace currantspar::relay {

struct admission_options
{
    /// Largest mean backlog of the engines at which requests that will be late are still admitted, relative
    /// to the latency objective. Above it they would take the place of requests that can be in time.
    double late_backlog = 0.5;
    /// Longest wait that is sent to a refused caller, relative to the time that it has left.
    double max_retry_fraction = 0.3;
    policy::lateness_margin_options margin{.on_time_fraction = 0.9, .step = 0.1, .max_factor = 1.5};
    double refused_decay = 1.0 / 32; ///< weight of one decision in the fraction that was refused
    /// Whether requests are ranked by priority, organisation and work; otherwise all are treated alike.
    bool ranks_requests = false;
    load_shedding_options shedding{};
};

/// A request for engines, as admission sees it.
struct admission_request
{
    duration target_left{};         ///< until the latency objective is missed
    duration deadline_left{};       ///< until the caller gives up
    duration target{};              ///< the latency objective
    unsigned priority = 0;          ///< 0 is the highest
    organisation_id organisation{}; ///< empty: none is known
};

/// Why a request is refused and when its caller should return.
struct admission_refusal
{
    const char* reason = "";
    duration retry_after{};
};

/// Refuses requests that would only wait in the queue of an overloaded engine. Without it, a queue longer
/// than the deadline makes engines prefill prompts whose callers have left, and goodput doesn't return when
/// the overload ends. Not thread safe.
class admission
{
public:
    explicit admission(admission_options options = {})
        : options_(options), margin_(options.margin), shedding_(options.shedding)
    {}

    /// Decides on a request that would be placed at `chosen`; nothing: it is admitted.
    [[nodiscard]] std::optional<admission_refusal>
    check(const placement& chosen, const admission_request& req, random_generator& random, instant now);
    /// A stream's first event arrived: the prediction of its placement and the measured time.
    void on_first_event(duration predicted, duration measured, duration target)
    {
        margin_.observe(predicted, measured, target);
    }
    /// Returns the fraction of recent requests that were refused, 0 to 1.
    [[nodiscard]] double refused_fraction() const { return refused_fraction_; }

private:
    /// Returns the wait after a refusal until the backlog has fallen by `excess`.
    [[nodiscard]] duration retry_after(duration excess, const admission_request& req,
                                       random_generator& random) const;

    admission_options options_;
    policy::lateness_margin margin_;
    load_shedding shedding_;
    double refused_fraction_ = 0;
};

} // namespace currantspar::relay

#endif
