#ifndef CURRANTSPAR_POLICY_DISPATCHER_HPP
#define CURRANTSPAR_POLICY_DISPATCHER_HPP

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include <tl/expected.hpp>

#include "currantspar/base/random.hpp"
#include "currantspar/policy/engine_timing.hpp"
#include "currantspar/policy/limits.hpp"
#include "currantspar/policy/prefix_index.hpp"
#include "currantspar/policy/role_planner.hpp"
#include "currantspar/policy/views.hpp"

namespace currantspar::policy {

/// How an attempt ended, for the estimates.
enum class attempt_end
{
    complete,
    broken,    ///< the engine or the connection failed
    cancelled, ///< the caller went away or the request went elsewhere
};

struct dispatcher_options
{
    node_id self;
    data_centre_id data_centre;
    duration report_max_age = std::chrono::seconds(30); ///< older views count as unknown
    engine_timing timing{};
    double kv_tokens_per_second = 130000; ///< moving a prompt's cache between engines
    double admit_fraction = 0.97;  ///< of the first-token target, up to which a predicted wait is accepted
    double tie_break_noise = 0.08; ///< cost above the best, within which engines count as equally good
    std::size_t max_sample = 48;   ///< engines looked at for one request
};

/// Decides where model requests go, from this node's own view of the engines: late reports, what this node
/// has sent since, what the other nodes say they sent, and its own measurements. Not thread safe.
class dispatcher
{
public:
    explicit dispatcher(dispatcher_options options);

    /// Takes over the engines of a new configuration; engines that stay keep their estimates.
    void on_fleet(const config::fleet& fleet);
    void on_report(const engine_report& report, instant now);
    void on_cache_events(const cache_event_batch& batch, instant now);
    void on_digest(const work_digest& digest, instant now);
    /// Forgets a node that has gone.
    void forget_node(const node_id& node);
    /// Opens or closes an engine to new work; what runs there goes on.
    void set_open(const engine_id& engine, bool open);
    /// True when new work may go to the engine now: known, open, not drained and not away.
    [[nodiscard]] bool takes_new_work(const engine_id& engine, instant now) const;

    /// Chooses an engine, or says why none may take the request and when to come back. `exclude` holds
    /// engines that failed this request already.
    [[nodiscard]] tl::expected<route, refusal> choose(const request_shape& shape, instant now,
                                                      random_generator& random,
                                                      const std::set<engine_id>& exclude = {});

    void on_sent(attempt_id attempt, const route& chosen, const request_shape& shape, instant now);
    /// The engine took the attempt in at its own time `at`: reports taken later include it.
    void on_accepted(attempt_id attempt, engine_time at);
    /// The prefill engine has computed the prompt of a split route.
    void on_prefilled(attempt_id attempt, instant now);
    void on_tokens(attempt_id attempt, std::uint32_t count, instant now);
    void on_ended(attempt_id attempt, attempt_end how, instant now);

    [[nodiscard]] work_digest make_digest(instant now) const;
    /// Whether work was sent or computed since the last make_delta_digest().
    [[nodiscard]] bool has_changes() const { return !changed_.empty(); }
    /// A partial digest of the engines whose work has changed since the last call. Peers that miss one are
    /// put right by the next whole digest.
    [[nodiscard]] work_digest make_delta_digest();

    /// The last report of an engine, or null.
    [[nodiscard]] const engine_report* report(const engine_id& engine) const;
    /// Fills in what all nodes together are asked for, for `pool.pool.service`.
    void describe_pool(pool_view& pool, instant now) const;
    [[nodiscard]] const prefix_index& prefixes() const { return prefixes_; }

private:
    /// Work at one engine: this node's or the peers'.
    struct engine_work
    {
        std::int64_t prefill_tokens = 0;
        std::int32_t prefilling = 0;
        std::int32_t decoding = 0;
        std::int32_t pieces = 0;

        void add(const engine_work& other, int sign)
        {
            prefill_tokens += sign * other.prefill_tokens;
            prefilling += sign * other.prefilling;
            decoding += sign * other.decoding;
            pieces += sign * other.pieces;
        }
    };
    struct engine_view
    {
        config::engine_spec spec;
        std::size_t service = 0;
        engine_report report;
        instant report_received{};
        bool has_report = false;
        bool open = true;
        bool listed = true; ///< in the configuration in force
        duration network{}; ///< one way
        engine_work own;
        engine_work peers;
        double prefill_error = 1; ///< measured by predicted, smoothed
        double decode_error = 1;
        double prefill_fraction = 0; ///< of its time, spent on prompts lately
        double cache_confidence = 1; ///< less after a gap in the cache events
        std::uint64_t next_cache_event = 0;
        bool changed = false;    ///< since the last news
        instant prefill_until{}; ///< when the prompts sent so far should be computed

        [[nodiscard]] std::int64_t prefill_tokens() const
        {
            return std::max<std::int64_t>(0, own.prefill_tokens + peers.prefill_tokens);
        }
        [[nodiscard]] double sequences() const { return std::max(0, own.decoding + peers.decoding); }
        [[nodiscard]] double prefilling() const { return std::max(0, own.prefilling + peers.prefilling); }
    };
    struct peer_view
    {
        std::unordered_map<std::size_t, engine_work> engines;
        std::vector<work_digest::usage> organisations;
        std::vector<work_digest::demand> services;
    };
    struct service_view
    {
        service_id id;
        std::uint32_t piece_tokens = 2000;
        std::vector<std::size_t> local; ///< engines in this data centre
        std::vector<std::size_t> remote;
        rate_meter requests;
        rate_meter prefill;
        rate_meter decode;
        rate_meter refused;
        lateness_margin lateness;
        double output_tokens = 200;       ///< of a usual answer
        std::vector<prompt_size> prompts; ///< the newest ones of this node, in a ring
        std::size_t next_prompt = 0;
    };
    struct sent_attempt
    {
        std::size_t prefill = 0; ///< engine numbers
        std::size_t decode = 0;
        std::size_t service = 0;
        organisation_id organisation;
        std::vector<std::uint64_t> prefix;
        std::uint32_t uncached_tokens = 0; ///< of the prompt, not cached
        std::int32_t pieces = 0;
        bool split = false;
        bool prefilled = false;
        std::uint32_t tokens = 0;
        instant sent{};
        instant first{};
        instant last{};
        double predicted = 0; ///< seconds until the prompt is computed
        duration predicted_first_token{};
        duration first_token_target{};
    };
    struct organisation_view
    {
        rate_meter admitted;
        double output_tokens = 0; ///< 0: unknown
    };
    struct option;
    struct request_demand;

    [[nodiscard]] std::optional<std::size_t> number_of_engine(const engine_id& id) const;
    /// Of the request, or a service's usual one when it has none.
    [[nodiscard]] static duration first_token_target(const request_shape& shape);
    [[nodiscard]] double expected_output(const request_shape& shape) const;
    [[nodiscard]] std::vector<std::size_t> candidates(const service_view& service, random_generator& random,
                                                      const std::vector<prefix_index::match>& cached) const;
    [[nodiscard]] bool usable(const engine_view& view, const std::set<engine_id>& exclude, instant now) const;
    /// In [0, 1), another for each node: nodes that see the same idle engines take different ones.
    [[nodiscard]] double preference(std::size_t number) const;
    [[nodiscard]] option estimate(std::size_t number, const request_demand& demand, instant now) const;
    /// True when a notable part of the requests is refused.
    [[nodiscard]] bool under_pressure(const service_view& service, instant now) const;
    /// True for a long prompt that would be late even at an idle engine, while others are refused for want
    /// of engines. Only the longest count, so that a common slowdown doesn't shut out all requests.
    [[nodiscard]] bool displaces_others(const service_view& service, double uncached, double ratio,
                                        instant now) const;
    [[nodiscard]] double allowed_wait_ratio(const request_shape& shape, const service_view& service,
                                            instant now) const;
    [[nodiscard]] bool above_fair_share(const organisation_id& organisation, instant now) const;
    void record_demand(const request_shape& shape, service_view& service, double uncached, instant now);
    /// Engine seconds for one token of a prompt, by the engine's role and the measured error.
    [[nodiscard]] double seconds_per_token(const engine_view& view) const;
    /// Seconds that a prompt sent now would take, its wait included.
    [[nodiscard]] double prefill_seconds(const engine_view& view, double uncached, instant now) const;
    [[nodiscard]] double step_seconds(const engine_view& view, double batch) const;
    [[nodiscard]] double waiting_seconds(const engine_view& view, instant now) const;
    void prefill_changed(engine_view& view, std::int64_t before, instant now);
    void prefill_done(sent_attempt& attempt, instant now);
    void set_peer_work(std::size_t number, engine_work& known, const engine_work& fresh, instant now);
    void mark_changed(std::size_t number);
    [[nodiscard]] sent_work describe(const engine_view& view) const;

    dispatcher_options options_;
    std::uint64_t preference_seed_;
    std::vector<engine_view> engines_; ///< numbers stay; engines that left are not listed
    std::unordered_map<engine_id, std::size_t> numbers_;
    std::vector<service_view> services_;
    std::unordered_map<service_id, std::size_t> service_numbers_;
    std::unordered_map<attempt_id, sent_attempt> attempts_;
    std::map<node_id, peer_view> peers_;
    std::vector<std::size_t> changed_;
    std::map<organisation_id, organisation_view> organisations_;
    prefix_index prefixes_;
};

} // namespace currantspar::policy

#endif
