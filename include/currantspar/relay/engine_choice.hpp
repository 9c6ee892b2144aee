#ifndef CURRANTSPAR_RELAY_ENGINE_CHOICE_HPP
#define CURRANTSPAR_RELAY_ENGINE_CHOICE_HPP

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "currantspar/relay/model.hpp"

namespace currantspar::relay {

/// How fast an engine works; the estimates are corrected by what is measured.
struct engine_speed
{
    double prefill_tokens_per_ms = 64;       ///< prompt tokens at a prefill engine
    double decode_prefill_fraction = 0.5;    ///< of that speed, at a decode engine
    double attention_ms_per_million = 0.65;  ///< for each million pairs of a new token and an earlier one
    double step_ms = 4.3;                    ///< one token for each running request
    double context_ms_per_thousand = 0.0086; ///< added to a step for each thousand tokens of context
    double transfer_setup_ms = 2.7;
};

struct engine_choice_options
{
    data_centre_id data_centre;
    engine_speed speed{};
    duration segment_ttl = std::chrono::seconds(20); ///< how long a part that was read counts as cached
    duration peer_load_max_age = std::chrono::milliseconds(2500); ///< older loads of peers are forgotten
    duration segment_announce_interval =
        std::chrono::seconds(3); ///< a part that was used again later is told again
    double recompute_ms_per_thousand =
        30; ///< cost above its time of reading a thousand tokens that another engine has cached
    /// Gain of a part's home for each thousand shared tokens, so that nodes agree on it while it is cold.
    double affinity_ms_per_thousand = 7.5;
    double max_affinity_ms = 100;
    double remote_ms = 4;             ///< cost of an engine in another data centre
    double connect_ms = 8;            ///< cost of an engine to which no connection is open
    double decode_interference = 4.0; ///< cost for the streams of a decode engine that reads, of its time
};

/// Where a request's prompt is read and where its answer is made.
struct placement
{
    backend_id prefill_engine;       ///< computes the prompt; empty: the decoder does it
    backend_id decode_engine;        ///< makes the answer
    double prefill_ms = 0;           ///< work that reading the prompt adds to its engine
    double first_event_ms = 0;       ///< predicted time to the first event
    std::uint32_t cached_tokens = 0; ///< of the prompt, expected at the engine that reads it
};

/// Work that one node has at an engine.
struct engine_work
{
    double prefill_ms = 0;    ///< prompts not read yet
    std::int32_t running = 0; ///< requests sent and not ended
    std::int64_t tokens = 0;  ///< of these requests, prompt and answer
};

/// Work at engines, by the hash of the engine's name.
using engine_loads = std::unordered_map<std::uint64_t, engine_work>;

/// A shared prompt part that an engine has read.
struct cached_segment
{
    std::uint64_t engine = 0; ///< its number
    std::uint64_t segment = 0;
};

/// The number under which nodes name an engine to each other. Thread safe.
[[nodiscard]] std::uint64_t engine_hash(const backend_id& engine);

/// Chooses engines for prompts that share parts. A part that no engine has read yet goes to its home, the
/// same at every node without a message (rendezvous hashing). Nodes tell each other where parts were read; a
/// request goes to another engine when that is predicted to answer first even though it must read the part
/// again. Not thread safe.
class engine_choice
{
public:
    /// Tells whether a connection to an address is open and free.
    using connection_check = std::function<bool(const std::string& address)>;

    explicit engine_choice(engine_choice_options options) : options_(std::move(options)) {}

    /// Engines to which a connection is open are preferred a little: with many nodes and engines, requests
    /// that go anywhere would open a new connection for nearly each of them.
    void prefer_connected(connection_check connected) { connected_ = std::move(connected); }

    /// Chooses among the open engines of a service, leaving out `excluded`; nothing when there is none.
    [[nodiscard]] std::optional<placement> choose(const request_info& request, const engine_traits& traits,
                                                  const std::vector<server_entry>& engines,
                                                  const std::set<backend_id>& excluded, instant now) const;

    /// The engine with the fewest requests among those that make answers; null when there is none.
    [[nodiscard]] const server_entry* least_busy_decode_engine(const std::vector<server_entry>& engines,
                                                               const std::set<backend_id>& excluded) const;

    /// An attempt was sent by this node.
    void on_sent(attempt_id attempt, const placement& chosen, const request_info& request, instant now);
    /// Its prompt has been read: the handle or the first event arrived.
    void on_prefilled(attempt_id attempt);
    /// It ended, however.
    void on_ended(attempt_id attempt);
    /// An engine restarted or left: what it had cached is gone.
    void forget_engine(const backend_id& engine);

    /// What this node has at each engine, for its peers.
    [[nodiscard]] const engine_loads& own_work() const { return own_; }
    /// Shared parts that engines read for this node and that its peers should know; each is told once in a
    /// while.
    [[nodiscard]] std::vector<cached_segment> take_new_segments();
    /// A peer had these parts read.
    void on_peer_segments(const std::vector<cached_segment>& segments, instant now);
    /// A peer told what it has at engines; with `whole` at all of them.
    void on_peer_work(const std::string& peer, const engine_loads& work, bool full, instant now);
    /// Forgets peers that haven't been heard for too long.
    void on_tick(instant now);

private:
    struct sent
    {
        placement placed;
        std::int64_t tokens = 0;
        bool prefilled = false;
    };
    struct peer_work
    {
        engine_loads engines;
        instant received{};
    };
    struct candidate;
    struct estimate;

    /// This node's and its peers' work at an engine.
    [[nodiscard]] engine_work load(std::uint64_t engine) const;
    void record_segments(const request_info& request, std::uint64_t engine, instant now);
    void add_to_peer_total(const engine_loads& work, int sign);
    [[nodiscard]] std::uint32_t cached_tokens(const request_info& request, std::uint64_t engine,
                                              instant now) const;
    /// What is known of an engine that a request may go to.
    [[nodiscard]] candidate describe(const server_entry& engine, const request_info& request,
                                     instant now) const;
    [[nodiscard]] double prefill_ms(const request_info& request, std::uint32_t cached,
                                    bool at_decode_engine) const;
    [[nodiscard]] double decode_wait_ms(const engine_work& load, const engine_traits& traits,
                                        const request_info& request) const;
    [[nodiscard]] estimate estimate_prefill(const candidate& prefill_engine, const request_info& request,
                                            std::uint32_t best_cached, bool preferred) const;

    engine_choice_options options_;
    connection_check connected_;
    engine_loads own_;
    engine_loads peer_total_; ///< the sum of all peers' work
    std::map<std::string, peer_work> peers_;
    std::unordered_map<attempt_id, sent> sent_;
    /// By engine number and part: when it was last used, as far as known.
    std::unordered_map<std::uint64_t, std::unordered_map<std::uint64_t, instant>> cached_segments_;
    std::vector<cached_segment> new_segments_;
    instant purge_due_{};
};

/// The part by which requests share most: the last one that isn't the request's own; 0: none. Thread safe.
[[nodiscard]] std::uint64_t sharing_key(const request_info& request);

/// The engine whose rendezvous rank for a key is highest; null when there are none. Thread safe.
[[nodiscard]] const server_entry* preferred_engine(std::uint64_t key,
                                                   const std::vector<const server_entry*>& engines);

} // namespace currantspar::relay

#endif
