#ifndef CURRANTSPAR_POLICY_LIMITS_HPP
#define CURRANTSPAR_POLICY_LIMITS_HPP

#include <cstdint>
#include <map>
#include <optional>

#include "currantspar/policy/views.hpp"

namespace currantspar::policy {

/// Bounds the retries in proportion to first attempts, so that failures don't multiply the load.
struct retry_budget_options
{
    double per_first_attempt = 0.1; ///< retries earned by each first attempt
    double reserve = 20;            ///< maximum of saved retries, and the initial value
};

/// A retry budget that first attempts refill. Not thread safe.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options = {}) : options_(options), left_(options.reserve) {}

    void earn();
    /// Replaces the options; saved retries above the new reserve are lost.
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
    /// Refills at `rate` tokens a second up to `burst`, then takes one token. Returns false if there is none.
    [[nodiscard]] bool take(double rate, double burst, instant now);
    /// The time until the next token at `rate` tokens a second. Precondition: rate > 0.
    [[nodiscard]] duration until_next(double rate) const;

private:
    double tokens_ = 0;
    instant refilled_{};
    bool started_ = false;
};

struct lateness_margin_options
{
    double on_time_fraction = 0.95; ///< of the responses, whose first token should meet its target
    double step = 0.2;              ///< change of the factor's logarithm for one response
    double max_factor = 4;
};

/// The safety factor applied to a predicted time to first token before it is compared with the target, so
/// that nearly all admitted requests meet their target. It grows with each late response whose time
/// exceeds the prediction times the factor, and shrinks slowly with every other one. Not thread safe.
class lateness_margin
{
public:
    explicit lateness_margin(lateness_margin_options options = {}) : options_(options) {}

    /// Records the measured time to a response's first token. A request predicted to miss its target is
    /// ignored, because it was admitted for another reason.
    void observe(duration predicted, duration measured, duration target);
    /// The current factor, at least 1.
    [[nodiscard]] double factor() const { return factor_; }

private:
    lateness_margin_options options_;
    double factor_ = 1;
};

struct usage_limiter_options
{
    duration rate_window = std::chrono::seconds(1);    ///< averaging time of this node's demand
    duration digest_max_age = std::chrono::seconds(5); ///< older digests of peers are ignored
    duration burst = std::chrono::milliseconds(500);   ///< the bucket holds the tokens of this time
    double min_fraction = 0.25; ///< of an equal share, granted to a node even without demand
};

/// Enforces an organisation's limits across all nodes without a central counter: each node uses a fraction of
/// the limit equal to its fraction of the total demand, which it knows from the peers' digests. Not thread
/// safe.
class usage_limiter
{
public:
    explicit usage_limiter(usage_limiter_options options = {}) : options_(options) {}

    /// Replaces the known usage of the node that sent the digest.
    void on_digest(const work_digest& digest, instant now);
    void forget_node(const node_id& node);

    /// Returns nothing if the request may start now, else the refusal; counts as demand in both cases.
    /// `nodes` is the number of live nodes, this one included. Precondition: nodes > 0.
    [[nodiscard]] std::optional<refusal> admit(const organisation_id& organisation,
                                               const config::organisation_limits& limits, std::size_t nodes,
                                               instant now);
    void on_started(const organisation_id& organisation);
    void on_finished(const organisation_id& organisation);

    /// Returns this node's usage for its digest and restarts the growth count of the concurrency estimate.
    [[nodiscard]] std::vector<work_digest::usage> take_usage(instant now);
    [[nodiscard]] std::uint32_t running(const organisation_id& organisation) const;
    [[nodiscard]] std::uint32_t total_running() const { return total_running_; }
    /// True when the organisation runs more requests on this node than its weighted share among the active
    /// organisations.
    [[nodiscard]] bool over_fair_share(const organisation_id& organisation,
                                       const std::map<organisation_id, double>& weights) const;

private:
    struct own_use
    {
        double demand = 0; ///< requests a second, decaying average
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
