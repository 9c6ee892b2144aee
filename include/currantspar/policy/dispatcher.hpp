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

/// How an attempt ended; only complete ones update the output length estimates.
enum class attempt_end
{
    complete,
    broken,    ///< the engine or the connection failed
    cancelled, ///< the caller disconnected or the request was moved to another engine
};

struct dispatcher_options
{
    node_id self;
    data_centre_id data_centre;
    duration report_max_age = std::chrono::seconds(30); ///< older reports are treated as missing
    engine_timing timing{};
    double kv_tokens_per_second = 130000; ///< KV cache transfer rate between engines
    double admit_fraction = 0.97;         ///< longest accepted predicted wait, over the first-token target
    double tie_break_noise = 0.08;        ///< cost difference within which engines count as equally good
    std::size_t max_sample = 48;          ///< engines evaluated for one request
};

/// Routes model requests to engines. Each node decides from its own view of the engines: their reports, which
/// arrive late, the requests it sent itself, the requests that its peers announce, and its own latency
/// measurements. Not thread safe.
class dispatcher
{
public:
    explicit dispatcher(dispatcher_options options);

    /// Applies a new configuration; engines that remain keep their estimates.
    void on_fleet(const config::fleet& fleet);
    void on_report(const engine_report& report, instant now);
    void on_cache_events(const cache_event_batch& batch, instant now);
    void on_digest(const work_digest& digest, instant now);
    /// Removes the work that a departed node announced.
    void forget_node(const node_id& node);
    /// Opens or closes an engine for new work; running requests are unaffected.
    void set_open(const engine_id& engine, bool open);
    /// True when the engine accepts new work: configured, open, not drained, and serving by its last report.
    [[nodiscard]] bool takes_new_work(const engine_id& engine, instant now) const;

    /// Chooses the engines for a request, or refuses it with a reason and a retry time. `exclude` lists
    /// engines that already failed this request; such a retry is not refused for its predicted wait.
    [[nodiscard]] tl::expected<route, refusal> choose(const request_shape& shape, instant now,
                                                      random_generator& random,
                                                      const std::set<engine_id>& exclude = {});

    void on_sent(attempt_id attempt, const route& chosen, const request_shape& shape, instant now);
    /// The engine accepted the attempt at its own time `at`; later reports include it. No-op; see on_sent().
    void on_accepted(attempt_id attempt, engine_time at);
    /// The prefill engine completed the prompt of a split route.
    void on_prefilled(attempt_id attempt, instant now);
    void on_tokens(attempt_id attempt, std::uint32_t count, instant now);
    void on_ended(attempt_id attempt, attempt_end how, instant now);

    [[nodiscard]] work_digest make_digest(instant now) const;
    /// True when work in flight changed since the last make_delta_digest().
    [[nodiscard]] bool has_changes() const { return !changed_.empty(); }
    /// Returns a delta digest: the engines whose work changed since the last call. The next full digest
    /// corrects peers that miss one.
    [[nodiscard]] work_digest make_delta_digest();

    /// The last report of an engine, or null if there is none.
    [[nodiscard]] const engine_report* report(const engine_id& engine) const;
    /// Sets the demand fields of `pool` to the total demand of all nodes for `pool.pool.service`.
    void describe_pool(pool_view& pool, instant now) const;
    [[nodiscard]] const prefix_index& prefixes() const { return prefixes_; }

private:
    /// Work in flight at one engine, sent by this node or by its peers.
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
        bool listed = true; ///< in the current configuration
        duration network{}; ///< one-way network delay
        engine_work own;
        engine_work peers;
        double prefill_error = 1; ///< measured time over predicted time, moving average
        double decode_error = 1;
        double prefill_fraction = 0; ///< recent fraction of time spent on prefill
        double cache_confidence = 1; ///< 1 if the cache events are complete; lower after a gap
        std::uint64_t next_cache_event = 0;
        bool changed = false;    ///< since the last delta digest
        instant prefill_until{}; ///< predicted end of all prefill sent so far

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
        std::vector<std::size_t> local; ///< engine numbers in this data centre
        std::vector<std::size_t> remote;
        rate_meter requests;
        rate_meter prefill;
        rate_meter decode;
        rate_meter refused;
        lateness_margin lateness;
        double output_tokens = 200;       ///< moving average of the tokens of a response
        std::vector<prompt_size> prompts; ///< ring buffer of this node's newest prompts
        std::size_t next_prompt = 0;
    };
    struct sent_attempt
    {
        std::size_t prefill = 0; ///< engine numbers
        std::size_t decode = 0;
        std::size_t service = 0;
        organisation_id organisation;
        std::vector<std::uint64_t> prefix;
        std::uint32_t uncached_tokens = 0; ///< of the prompt, outside the cached prefix
        std::int32_t pieces = 0;
        bool split = false;
        bool prefilled = false;
        std::uint32_t tokens = 0;
        instant sent{};
        instant first{};
        instant last{};
        double predicted = 0; ///< predicted seconds until the prefill is complete
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
    /// The first-token target of the request, or the default of a service if unset.
    [[nodiscard]] static duration first_token_target(const request_shape& shape);
    [[nodiscard]] double expected_output(const request_shape& shape) const;
    [[nodiscard]] std::vector<std::size_t> candidates(const service_view& service, random_generator& random,
                                                      const std::vector<prefix_index::match>& cached) const;
    [[nodiscard]] bool usable(const engine_view& view, const std::set<engine_id>& exclude, instant now) const;
    /// A pseudorandom value in [0, 1) that differs between nodes, so that nodes which see the same idle
    /// engines choose different ones.
    [[nodiscard]] double preference(std::size_t number) const;
    [[nodiscard]] option estimate(std::size_t number, const request_demand& demand, instant now) const;
    /// True when a significant fraction of the requests is refused.
    [[nodiscard]] bool under_pressure(const service_view& service, instant now) const;
    /// True for a long prompt that would be late even at an idle engine, while other requests are refused for
    /// lack of capacity. Limited to the longest prompts, so that a general slowdown doesn't refuse every
    /// request.
    [[nodiscard]] bool displaces_others(const service_view& service, double uncached, double ratio,
                                        instant now) const;
    [[nodiscard]] double allowed_wait_ratio(const request_shape& shape, const service_view& service,
                                            instant now) const;
    [[nodiscard]] bool above_fair_share(const organisation_id& organisation, instant now) const;
    void record_demand(const request_shape& shape, service_view& service, double uncached, instant now);
    /// Engine seconds per prompt token, from the engine's role and the measured prediction error.
    [[nodiscard]] double seconds_per_token(const engine_view& view) const;
    /// Predicted seconds until a prompt sent now is computed, queueing included.
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
    std::vector<engine_view> engines_; ///< engine numbers are stable; removed engines have `listed` unset
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
