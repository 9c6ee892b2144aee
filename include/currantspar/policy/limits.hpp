#ifndef CURRANTSPAR_POLICY_LIMITS_HPP
#define CURRANTSPAR_POLICY_LIMITS_HPP

#include <cstdint>
#include <map>
#include <optional>

#include "currantspar/policy/views.hpp"

namespace currantspar::policy {

/// How many retries may be added to first attempts, so that a failure doesn't multiply the load.
struct retry_budget_options
{
    double per_first_attempt = 0.1; ///< retries earned by each first attempt
    double reserve = 20;            ///< retries that can be saved up
};

/// A budget of retries that first attempts earn. Not thread safe.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options = {}) : options_(options), left_(options.reserve) {}

    void earn();
    /// Takes other options over; what was saved beyond the new reserve is lost.
    void set_options(retry_budget_options options);
    [[nodiscard]] bool available(double retries = 1.0) const { return left_ >= retries; }
    /// Precondition: available().
    void spend() { left_ -= 1.0; }

private:
    retry_budget_options options_;
    double left_;
};

/// A token bucket whose rate may change. Not thread safe.
class token_bucket
{
public:
    /// Refills at `rate` a second up to `burst`, then takes one token; false when there is none.
    [[nodiscard]] bool take(double rate, double burst, instant now);
    /// How long until a token is there again at `rate` a second. Precondition: rate > 0.
    [[nodiscard]] duration until_next(double rate) const;

private:
    double tokens_ = 0;
    instant refilled_{};
    bool started_ = false;
};

struct lateness_margin_options
{
    double on_time_fraction = 0.95; ///< share of the answers whose first token must come within its target
    double step = 0.2;              ///< of the factor's logarithm, for one answer
    double max_factor = 4;          ///< of the factor
};

/// The factor by which predicted waits must be multiplied before they are compared with their target, so that
/// nearly all answers that are let in begin in time. It grows with each late answer that it wouldn't have
/// kept out, and shrinks slowly with all others. Not thread safe.
class lateness_margin
{
public:
    explicit lateness_margin(lateness_margin_options options = {}) : options_(options) {}

    /// An answer's first token came after `measured`. One that was predicted to be late is ignored: it was
    /// let in for another reason.
    void observe(duration predicted, duration measured, duration target);
    /// At least 1.
    [[nodiscard]] double factor() const { return factor_; }

private:
    lateness_margin_options options_;
    double factor_ = 1;
};

struct usage_limiter_options
{
    duration rate_window = std::chrono::seconds(1);    ///< over which own demand is averaged
    duration digest_max_age = std::chrono::seconds(5); ///< older digests of peers are forgotten
    duration burst = std::chrono::milliseconds(500);   ///< worth of the rate that may come at once
    double min_fraction = 0.25; ///< of an equal part, for a node that had no demand so far
};

/// Keeps an organisation's limits over all nodes without a central counter: each node takes the part of the
/// limit that its demand has in the demand of all nodes, as their digests tell it. Not thread safe.
class usage_limiter
{
public:
    explicit usage_limiter(usage_limiter_options options = {}) : options_(options) {}

    /// Another node's use of the limits.
    void on_digest(const work_digest& digest, instant now);
    void forget_node(const node_id& node);

    /// Whether a request of the organisation may start at this node now; counts its demand either way.
    /// `nodes` is the number of live nodes, this one included. Precondition: nodes > 0.
    [[nodiscard]] std::optional<refusal> admit(const organisation_id& organisation,
                                               const config::organisation_limits& limits, std::size_t nodes,
                                               instant now);
    void on_started(const organisation_id& organisation);
    void on_finished(const organisation_id& organisation);

    /// This node's own use, for its digest; begins a new period for the concurrency estimate.
    [[nodiscard]] std::vector<work_digest::usage> take_usage(instant now);
    [[nodiscard]] std::uint32_t running(const organisation_id& organisation) const;
    [[nodiscard]] std::uint32_t total_running() const { return total_running_; }
    /// Whether the organisation holds more of this node than its weight among the active ones gives it.
    [[nodiscard]] bool over_fair_share(const organisation_id& organisation,
                                       const std::map<organisation_id, double>& weights) const;

private:
    struct own_use
    {
        double demand = 0; ///< requests a second, smoothed
        instant measured{};
        std::uint32_t running = 0;
        std::uint32_t running_at_digest = 0;
        token_bucket bucket;
    };
    struct peer_use
    {
        std::map<organisation_id, work_digest::usage> organisations;
        instant received{};
    };
    struct peer_totals
    {
        double demand = 0;
        std::uint32_t concurrent = 0;
        std::size_t known = 0;
    };

    void measure(own_use& use, double arrivals, instant now) const;
    [[nodiscard]] peer_totals sum_peers(const organisation_id& organisation, instant now) const;
    [[nodiscard]] double limit_fraction(const own_use& use, const peer_totals& totals,
                                        std::size_t nodes) const;

    usage_limiter_options options_;
    std::map<organisation_id, own_use> own_;
    std::map<node_id, peer_use> peers_;
    std::uint32_t total_running_ = 0;
};

} // namespace currantspar::policy

#endif
