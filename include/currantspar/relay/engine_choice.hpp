#ifndef CURRANTSPAR_RELAY_ENGINE_CHOICE_HPP
#define CURRANTSPAR_RELAY_ENGINE_CHOICE_HPP

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "currantspar/base/random.hpp"
#include "currantspar/relay/decaying_rate.hpp"
#include "currantspar/relay/engine_cost.hpp"
#include "currantspar/relay/speed_estimate.hpp"
#include "currantspar/relay/spread_choice.hpp"

namespace currantspar::relay {

struct engine_choice_options
{
    data_centre_id data_centre;
    std::uint64_t seed = 0;
    engine_speed speed{}; ///< nominal; the measured speed scales it and the penalties in prefill time
    speed_estimate_options estimate{};
    duration segment_ttl = std::chrono::seconds(20); ///< how long a computed segment counts as cached
    duration peer_load_max_age = std::chrono::milliseconds(2500); ///< older loads of peers are discarded
    duration segment_announce_interval =
        std::chrono::seconds(3); ///< between two announcements of a segment in use
    double recompute_ms_per_thousand =
        30; ///< penalty, beyond its time, for computing tokens that another engine has cached
    /// Bonus of a segment's preferred engine per thousand shared tokens, so that all nodes choose the same
    /// engine while the segment is cached nowhere.
    double affinity_ms_per_thousand = 7.5;
    double max_affinity_ms = 100;
    double remote_ms = 4;  ///< penalty of an engine in another data centre
    double connect_ms = 8; ///< penalty of an engine without an open connection
    double decode_interference =
        4.0; ///< penalty for the streams of a decode engine that prefills, as a multiple of the prefill time
};

/// The engines that prefill and decode a request, with the predicted times.
struct placement
{
    backend_id prefill_engine;       ///< empty: the decode engine prefills
    backend_id decode_engine;        ///< generates the output
    double prefill_ms = 0;           ///< work that the prefill adds to its engine
    double backlog_ms = 0;           ///< work queued before it at the engine that prefills
    double fleet_backlog_ms = 0;     ///< mean work queued at the engines of its role
    double first_event_ms = 0;       ///< predicted time to the first event
    std::uint32_t cached_tokens = 0; ///< prompt tokens expected in the cache of the engine that prefills
};

/// Outstanding work by engine_hash.
using engine_loads = std::unordered_map<std::uint64_t, engine_work>;

/// A shared prompt segment in the cache of an engine.
struct cached_segment
{
    std::uint64_t engine = 0; ///< engine_hash of its name
    std::uint64_t segment = 0;
};

/// Returns the hash that identifies an engine in messages between nodes. Thread safe.
[[nodiscard]] std::uint64_t engine_hash(const backend_id& engine);

/// Chooses engines for prompts that share segments. A segment that no engine has cached goes to its preferred
/// engine, which rendezvous hashing makes the same at all nodes without communication. Nodes announce to each
/// other where segments were computed. A request goes to another engine when that one is predicted to respond
/// first even though it must recompute the segment. The cost model follows the measured speed of a service's
/// engines. Not thread safe.
class engine_choice
{
public:
    /// Returns whether an idle connection to an address is open.
    using connection_check = std::function<bool(const std::string& address)>;

    explicit engine_choice(engine_choice_options options)
        : options_(std::move(options)), random_(options_.seed)
    {}

    /// Gives engines with an open connection a small advantage. With many nodes and engines, nearly every
    /// request would otherwise open a new connection.
    void prefer_connected(connection_check connected) { connected_ = std::move(connected); }

    /// Sets how old the view of the peers' work is on average.
    void set_view_lag(duration lag) { view_lag_ = lag; }

    /// Chooses among the open engines of a service except `excluded`; returns nothing when none can decode.
    /// With a `target` other than 0, a decode engine prefills if only that meets the target.
    [[nodiscard]] std::optional<placement> choose(const request_info& request, const engine_traits& traits,
                                                  const std::vector<server_entry>& engines,
                                                  const std::set<backend_id>& excluded, instant now,
                                                  duration target = {});

    /// Returns the decode engine with the fewest running requests; null when there is none.
    [[nodiscard]] const server_entry* least_busy_decode_engine(const std::vector<server_entry>& engines,
                                                               const std::set<backend_id>& excluded) const;

    /// This node sent an attempt of a request for `service`.
    void on_sent(attempt_id attempt, const service_id& service, const placement& chosen,
                 const request_info& request, instant now);
    /// The attempt's prompt was prefilled: its KV handle or first event arrived.
    void on_prefilled(attempt_id attempt, instant now);
    /// The attempt ended, successfully or not.
    void on_ended(attempt_id attempt);
    /// Discards an engine's cached segments: it restarted or left.
    void forget_engine(const backend_id& engine);

    /// Returns how many of these engines prefill for this node or its peers, as far as known.
    [[nodiscard]] std::size_t prefilling_engines(const std::vector<server_entry>& engines) const;
    /// Returns this node's outstanding work at each engine, to be sent to peers.
    [[nodiscard]] const engine_loads& own_work() const { return own_; }
    /// Returns the shared segments, computed for this node since the last call, to announce to peers. A
    /// segment in use is announced once per segment_announce_interval.
    [[nodiscard]] std::vector<cached_segment> take_new_segments();
    /// Engines computed these segments for a peer.
    void on_peer_segments(const std::vector<cached_segment>& segments, instant now);
    /// A peer sent its outstanding work: at all engines if `full`, otherwise only at those that changed.
    void on_peer_work(const std::string& peer, const engine_loads& work, bool full, instant now);
    /// Returns this node's measurements of the engines' speed by service, to be sent to peers.
    [[nodiscard]] std::map<service_id, speed_report> own_speeds() const;
    /// A peer sent its measurements of the engines' speed.
    void on_peer_speeds(const std::string& peer, const std::map<service_id, speed_report>& speeds,
                        instant now);
    /// Returns the measured speed of a service's engines relative to the nominal cost model.
    [[nodiscard]] double speed_factor(const service_id& service) const;
    /// Returns the measured speeds of all services whose engines were measured.
    [[nodiscard]] std::map<service_id, double> speed_factors() const;
    /// Discards the loads of unresponsive peers and expired segments.
    void on_tick(instant now);

private:
    struct sent
    {
        placement placed;
        service_id service;
        std::int64_t tokens = 0;
        bool prefilled = false;
        instant at{};
        double speed_factor = 1; ///< with which the placement was predicted
    };
    struct peer_work
    {
        engine_loads engines;
        instant received{};
    };
    struct candidate;
    struct candidates;
    struct estimate;
    struct rated_placement;
    struct cost_model;

    [[nodiscard]] static double mean_backlog_ms(const std::vector<candidate>& engines);
    /// Returns this node's and its peers' outstanding work at an engine.
    [[nodiscard]] engine_work load(std::uint64_t engine) const;
    void record_segments(const request_info& request, std::uint64_t engine, instant now);
    void add_to_peer_total(const engine_loads& work, int sign);
    [[nodiscard]] std::uint32_t cached_tokens(const request_info& request, std::uint64_t engine,
                                              instant now) const;
    /// Collects the load, cached tokens and connection state of an engine for a request.
    [[nodiscard]] candidate describe(const server_entry& engine, const request_info& request,
                                     instant now) const;
    /// Returns the cost model scaled to the measured speed of a service's engines.
    [[nodiscard]] cost_model service_costs(const service_id& service) const;
    /// Chooses the decode engine for a request that one engine prefills and decodes.
    [[nodiscard]] rated_placement choose_whole(const cost_model& model, const request_info& request,
                                               const engine_traits& traits, const candidates& all) const;
    /// Chooses a prefill and a decode engine. Precondition: there are engines of both roles.
    [[nodiscard]] rated_placement choose_split(const cost_model& model, const request_info& request,
                                               const engine_traits& traits, const candidates& all,
                                               instant now);
    /// Spreads concurrent choices over the engines that have cached as much as the one of the lowest cost;
    /// requests with other segments go elsewhere. Precondition: neither vector is empty.
    [[nodiscard]] spread_choice spread_over_equally_cached(const std::vector<estimate>& estimates,
                                                           const std::vector<double>& costs,
                                                           double unseen_ms);
    /// Removes a prefilled prompt from its engine's outstanding work.
    void release_prefill(sent& record);
    [[nodiscard]] estimate estimate_prefill(const cost_model& model, const candidate& prefill_engine,
                                            const request_info& request, std::uint32_t best_cached,
                                            bool preferred) const;

    /// Returns the prefill work that several peers are expected to have placed since their last digests; 0 if
    /// it is at most one request, which a random choice would disturb more than it prevents.
    [[nodiscard]] double unseen_prefill_ms(instant now) const;

    engine_choice_options options_;
    random_generator random_;
    duration view_lag_{};
    decaying_rate own_prefill_rate_; ///< prefill time placed by this node, in milliseconds a second
    decaying_rate own_request_rate_; ///< requests placed by this node
    connection_check connected_;
    engine_loads own_;
    engine_loads peer_total_; ///< sum over all peers
    std::map<std::string, peer_work> peers_;
    std::unordered_map<attempt_id, sent> sent_;
    std::map<service_id, speed_estimate> speeds_;
    /// By engine_hash and segment: the last known use.
    std::unordered_map<std::uint64_t, std::unordered_map<std::uint64_t, instant>> cached_segments_;
    std::vector<cached_segment> new_segments_;
    instant purge_due_{};
};

/// Returns the key for prefix affinity: the last segment that isn't private to the request; 0: none. Thread
/// safe.
[[nodiscard]] std::uint64_t sharing_key(const request_info& request);

/// Returns the engine whose rendezvous rank for a key is highest; null when there are none. Thread safe.
[[nodiscard]] const server_entry* preferred_engine(std::uint64_t key,
                                                   const std::vector<const server_entry*>& engines);

} // namespace currantspar::relay

#endif
