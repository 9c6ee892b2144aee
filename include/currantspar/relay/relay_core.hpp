#ifndef CURRANTSPAR_RELAY_RELAY_CORE_HPP
#define CURRANTSPAR_RELAY_RELAY_CORE_HPP

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "currantspar/base/random.hpp"
#include "currantspar/core/ledger.hpp"
#include "currantspar/policy/backend_health.hpp"
#include "currantspar/policy/limits.hpp"
#include "currantspar/relay/circuit_breaker.hpp"
#include "currantspar/relay/directory_changelog.hpp"
#include "currantspar/relay/engine_choice.hpp"
#include "currantspar/relay/relay_effect.hpp"
#include "currantspar/relay/routing_table.hpp"
#include "currantspar/relay/server_directory.hpp"

namespace currantspar::relay {

struct relay_options
{
    data_centre_id data_centre;
    std::uint64_t seed = 0;
    double retries_per_request = 0.1; ///< arrivals beyond the first that each request allows
    double retries_reserve = 20;      ///< arrivals beyond the first besides, over all nodes
    engine_choice_options engines{};
    duration min_time_left = std::chrono::milliseconds(8); ///< with less left, a request isn't sent
    duration no_server_retry = std::chrono::milliseconds(700);
    duration full_retry = std::chrono::milliseconds(400);
    unsigned max_total_attempts = 6; ///< of one request, refusals included
    double hedge_factor = 8;         ///< idempotent: silent after this many objectives
    duration kv_failure_avoid_time =
        std::chrono::seconds(2); ///< an engine whose prompts couldn't be taken over reads none
    duration prefill_grace =
        std::chrono::milliseconds(1500); ///< a prompt that takes longer is read elsewhere
};

/// When a stream's first event came after its request, and when it was expected.
struct first_event_times
{
    duration measured{};
    duration predicted{};
};

/// How an attempt came to its end without a whole answer.
enum class attempt_failure
{
    not_written, ///< the server couldn't be reached; no byte of the request was written
    not_run,     ///< the server says that it didn't run the request
    lost,        ///< reset, closed, spoilt or silent: it may have run
};

/// Decides what becomes of each request of the callers: the one place that knows which of them may be sent
/// again. It does no I/O: each call returns what is to be done. Not thread safe.
class relay_core
{
public:
    explicit relay_core(relay_options options);

    // What is agreed.

    /// Takes a configuration over; false: it isn't newer than the one in force.
    bool on_config(std::shared_ptr<const relay_config> config);
    /// Takes a change of the servers over; an engine that restarted or left has nothing cached any more.
    entry_change on_server_change(const directory_change& change, instant now);
    /// Takes a whole listing of the servers over, with the same effects as its changes one by one.
    void on_listing(const std::vector<server_entry>& listed, instant now);
    [[nodiscard]] server_directory& directory() { return directory_; }
    [[nodiscard]] const server_directory& directory() const { return directory_; }
    [[nodiscard]] const routing_table& routes() const { return routes_; }
    [[nodiscard]] engine_choice& engines() { return engines_; }
    /// The servers of a service that are open and that this node's requests reach.
    [[nodiscard]] std::vector<server_entry> responsive_servers(const service_id& service, instant now) const;
    /// True when requests can be served: a configuration and servers are known.
    [[nodiscard]] bool ready() const;

    /// How many nodes share the budget of retries, this one included. Precondition: nodes > 0.
    void on_nodes(std::size_t nodes);

    // Callers.

    [[nodiscard]] relay_effects on_request(request_number number, request_info info, instant now);
    [[nodiscard]] relay_effects on_caller_disconnected(request_number number, instant now);

    // Servers.

    /// The first byte of an attempt was written: from here on it may run.
    void on_written(attempt_id attempt);
    /// A prompt was computed and waits under `handle`.
    [[nodiscard]] relay_effects on_prompt_prefilled(attempt_id attempt, const std::string& handle,
                                                    instant now);
    /// The head of a stream arrived.
    [[nodiscard]] relay_effects on_stream_head(attempt_id attempt, instant now);
    /// Whole events of a stream arrived; `last_event` is the id of the last one.
    [[nodiscard]] relay_effects on_events(attempt_id attempt, const std::string& last_event, instant now);
    /// The times of a stream's first event, if the events that come now are its first; call it before
    /// on_events.
    [[nodiscard]] std::optional<first_event_times> first_event(attempt_id attempt, instant now);
    /// A stream came to its proper end.
    [[nodiscard]] relay_effects on_stream_end(attempt_id attempt, instant now);
    /// An answer that isn't a stream is whole.
    [[nodiscard]] relay_effects on_response(attempt_id attempt, const response_info& response, instant now);
    [[nodiscard]] relay_effects on_failure(attempt_id attempt, attempt_failure how, const std::string& detail,
                                           instant now);

    // Time.

    [[nodiscard]] relay_effects on_tick(instant now);

    [[nodiscard]] std::size_t open_requests() const { return requests_.size(); }
    /// Counts of each service's requests, by outcome.
    [[nodiscard]] const std::map<service_id, core::ledger_account>& accounts() const { return accounts_; }

private:
    struct request
    {
        request_info info;
        std::shared_ptr<const relay_config> config; ///< keeps `route` alive
        const route_spec* route = nullptr;
        service_id service;
        instant arrived{};
        instant deadline{};
        std::set<backend_id> excluded;
        unsigned attempts_made = 0;       ///< attempts written or tried
        bool prefill_requested = false;   ///< an engine was asked to read the prompt before
        bool run_requested = false;       ///< a server was asked to run the request before
        std::string handle;               ///< the computed prompt at `where.reader`; empty: none
        bool kv_transfer_refused = false; ///< a decoder refused to take the prompt over
        unsigned runs = 0;                ///< attempts that may have run
        bool may_have_run = false;
        bool streaming = false; ///< the caller has the head of a stream
        std::string last_event;
        attempt_id current;
        attempt_id load_key; ///< under which engine_choice counts the request; 0: not counted
        attempt_stage stage = attempt_stage::full_request;
        placement placed;
        backend_id server;
        instant sent{};
        bool written = false;
        bool has_events = false;
        instant last_event_at{};
        duration longest_pause{};
    };

    using request_map = std::map<request_number, request>;

    [[nodiscard]] policy::retry_budget& budget(const service_id& service);
    /// Servers that a request doesn't go to: those that the circuit avoids, and those that it was at.
    [[nodiscard]] std::set<backend_id>
    excluded_servers(const request& req, const std::vector<server_entry>& servers, instant now) const;
    [[nodiscard]] request_map::iterator find_attempt(attempt_id attempt);
    void dispatch(request_map::iterator it, instant now, relay_effects& out);
    void dispatch_call(request_map::iterator it, instant now, relay_effects& out);
    void dispatch_generation(request_map::iterator it, const engine_traits& traits, instant now,
                             relay_effects& out);
    void send(request_map::iterator it, const server_entry& server, attempt_stage stage,
              const std::string& handle, const std::string& handle_address, instant now, relay_effects& out);
    /// Another decoder is asked for a prompt that one refused, as that may have been full. False: there is
    /// none.
    bool retry_decode_elsewhere(request_map::iterator it, instant now, relay_effects& out);
    void start_decode(request_map::iterator it, const std::string& handle, instant now, relay_effects& out);
    /// Takes an arrival beyond a request's first one from the budget.
    void spend_retry(request& req, attempt_stage stage);
    [[nodiscard]] bool may_send_again(const request& req, bool after_run, instant now);
    /// Why a request's attempt is given up for its silence; null: it isn't.
    [[nodiscard]] const char* timeout_reason(const request& req, instant now) const;
    void end_attempt(request& req, bool good, instant now);
    void release_load(request& req);
    void retry_or_fail(request_map::iterator it, bool after_run, const std::string& detail, instant now,
                       relay_effects& out);
    /// Tells the caller that the request can't be answered, as truthfully as it is known.
    void fail(request_map::iterator it, const std::string& reason, instant now, relay_effects& out);
    void refuse(request_map::iterator it, int status, duration retry_after, const std::string& reason,
                instant now, relay_effects& out);
    void finish(request_map::iterator it, core::request_outcome outcome, const std::string& reason,
                instant now, relay_effects& out);

    relay_options options_;
    random_generator random_;
    routing_table routes_;
    server_directory directory_;
    engine_choice engines_;
    circuit_breaker circuit_;
    std::map<backend_id, instant>
        avoided_prefill_; ///< engines whose prompts couldn't be taken over, until when
    std::map<service_id, policy::backend_health> health_;
    policy::retry_budget_options retries_;
    std::map<service_id, policy::retry_budget> budgets_;
    std::map<service_id, core::ledger_account> accounts_;
    request_map requests_;
    std::map<attempt_id, request_number> attempts_;
    std::uint64_t last_attempt_ = 0;
};

} // namespace currantspar::relay

#endif
