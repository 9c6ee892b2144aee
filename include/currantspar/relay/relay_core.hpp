#ifndef CURRANTSPAR_RELAY_RELAY_CORE_HPP
#define CURRANTSPAR_RELAY_RELAY_CORE_HPP

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "currantspar/base/random.hpp"
#include "currantspar/core/ledger.hpp"
#include "currantspar/policy/backend_health.hpp"
#include "currantspar/policy/limits.hpp"
#include "currantspar/relay/admission.hpp"
#include "currantspar/relay/api_keys.hpp"
#include "currantspar/relay/circuit_breaker.hpp"
#include "currantspar/relay/directory_changelog.hpp"
#include "currantspar/relay/engine_choice.hpp"
#include "currantspar/relay/relay_effect.hpp"
#include "currantspar/relay/routing_table.hpp"
#include "currantspar/relay/segment_quarantine.hpp"
#include "currantspar/relay/server_directory.hpp"
#include "currantspar/relay/server_limits.hpp"
#include "currantspar/relay/service_demand.hpp"

namespace currantspar::relay {

struct relay_options
{
    data_centre_id data_centre;
    std::uint64_t seed = 0;
    double retries_per_request = 0.1; ///< repeated arrivals that each request adds to the budget
    double retries_reserve = 20;      ///< additional repeated arrivals, over all nodes
    engine_choice_options engines{};
    admission_options admission{};
    segment_quarantine_options quarantine{};
    server_limits_options limits{};
    /// An engine that crashes later than this after a request's first event did not crash because of it.
    duration crash_after_first_event = std::chrono::milliseconds(250);
    duration min_time_left = std::chrono::milliseconds(8); ///< a request with less time left is not sent
    duration no_server_retry = std::chrono::milliseconds(700);
    duration full_retry = std::chrono::milliseconds(400);
    unsigned max_total_attempts = 6;      ///< of one request, including refused attempts
    double idempotent_timeout_factor = 8; ///< idempotent calls: timeout as a multiple of the route's target
    duration kv_failure_avoid_time =
        std::chrono::seconds(2); ///< no prefills at an engine after its KV caches could not be transferred
    duration prefill_grace = std::chrono::milliseconds(
        1500); ///< a prefill later than its prediction by more than this is retried elsewhere
    bool strict_revocation = false; ///< open requests end when a configuration removes their API key
};

/// Time from a request to its stream's first event, measured and predicted.
struct first_event_times
{
    duration measured{};
    duration predicted{};
};

/// How an attempt ended without a complete response.
enum class attempt_failure
{
    not_written, ///< the server was unreachable; no byte of the request was written
    not_run,     ///< the server states that it did not execute the request
    lost,        ///< reset, closed, corrupted or timed out: may have been executed
};

/// What became of a probe of a server.
enum class probe_result
{
    connected, ///< the server's process lives
    refused,   ///< nothing listens at its address
    timed_out, ///< the server can't be reached, which says nothing about its process
};

/// The reason of refusals by a node that stops, and when their callers may come back: another node can serve
/// them at once.
inline constexpr const char* stopping_reason = "stopping";
inline constexpr duration stopping_retry = std::chrono::milliseconds(1);
/// The reason of refusals while the limits of all servers leave this node no request.
inline constexpr const char* limited_reason = "server_limits";

/// State machine of all requests: routes them, chooses servers, and decides which of them may be retried. It
/// does no I/O: each call returns the effects that its caller must carry out. Not thread safe.
class relay_core
{
public:
    explicit relay_core(relay_options options);

    // Shared state.

    /// Adopts a configuration; false: it isn't newer than the one in force. With strict revocation, the next
    /// on_tick ends the open requests whose API keys it removed.
    bool on_config(std::shared_ptr<const relay_config> config);
    /// Applies a change of the directory and discards the cached segments of an engine that restarted or
    /// left.
    entry_change on_server_change(const directory_change& change, instant now);
    /// Applies a complete listing of the servers, with the same effects as the individual changes.
    void on_listing(const std::vector<server_entry>& listed, instant now);
    [[nodiscard]] server_directory& directory() { return directory_; }
    [[nodiscard]] const server_directory& directory() const { return directory_; }
    [[nodiscard]] const routing_table& routes() const { return routes_; }
    [[nodiscard]] engine_choice& engines() { return engines_; }
    [[nodiscard]] const engine_choice& engines() const { return engines_; }
    [[nodiscard]] segment_quarantine& quarantine() { return quarantine_; }
    [[nodiscard]] const segment_quarantine& quarantine() const { return quarantine_; }
    [[nodiscard]] server_limits& limits() { return limits_; }
    [[nodiscard]] const server_limits& limits() const { return limits_; }
    /// Returns what callers asked of engines.
    [[nodiscard]] const service_demand& demand() const { return demand_; }
    /// Returns the open servers of a service that the circuit breaker does not avoid.
    [[nodiscard]] std::vector<server_entry> responsive_servers(const service_id& service, instant now) const;
    /// Returns whether requests can be served: a configuration and servers are known.
    [[nodiscard]] bool ready() const;

    /// A peer reported the limits that servers named to it.
    [[nodiscard]] relay_effects on_peer_limits(const std::string& peer,
                                               const std::vector<limit_report>& reports, instant now);
    /// Sets the number of nodes that share the retry budget, including this one. Precondition: nodes > 0.
    void on_nodes(std::size_t nodes);

    // Callers.

    [[nodiscard]] relay_effects on_request(request_number number, request_info info, instant now);
    /// The caller's connection ended before its response; `detail` says why, for the log.
    [[nodiscard]] relay_effects on_caller_disconnected(request_number number, const std::string& detail,
                                                       instant now);

    // Servers.

    /// The first byte of an attempt was written: from now on it may be executed.
    void on_written(attempt_id attempt);
    /// The head of a response to this request arrived, with what the server says of itself.
    [[nodiscard]] relay_effects on_response_head(attempt_id attempt, const response_info& head, instant now);
    /// A prompt was prefilled and its KV cache exported under `handle`.
    [[nodiscard]] relay_effects on_prompt_prefilled(attempt_id attempt, const kv_handle& handle, instant now);
    /// The head of a stream arrived.
    [[nodiscard]] relay_effects on_stream_head(attempt_id attempt, instant now);
    /// Complete events of a stream arrived; `last_event` is the id of the last one that has one.
    [[nodiscard]] relay_effects on_events(attempt_id attempt, const event_id& last_event, instant now);
    /// Returns the times of a stream's first event if no events have arrived yet; call it before on_events.
    [[nodiscard]] std::optional<first_event_times> first_event(attempt_id attempt, instant now);
    /// Returns the organisation whose request an attempt executes; empty when none is known.
    [[nodiscard]] organisation_id organisation(attempt_id attempt);
    /// A stream ended regularly.
    [[nodiscard]] relay_effects on_stream_end(attempt_id attempt, instant now);
    /// The complete response of a call that isn't a stream arrived.
    [[nodiscard]] relay_effects on_response(attempt_id attempt, const response_info& response, instant now);
    [[nodiscard]] relay_effects on_failure(attempt_id attempt, attempt_failure how, const std::string& detail,
                                           instant now);
    /// An attempt's request can't be written as one message. This says nothing about the server, and the
    /// request ends, because it would be the same for another one.
    [[nodiscard]] relay_effects on_not_encoded(attempt_id attempt, const std::string& detail, instant now);

    /// A probe that this object asked for has ended.
    [[nodiscard]] relay_effects on_probed(const backend_id& server, probe_result result, instant now);

    // Time.

    [[nodiscard]] relay_effects on_tick(instant now);

    /// Ends all open requests, because the process is about to exit: those whose response has begun are
    /// aborted, the others get an error response that states whether they may have been executed.
    [[nodiscard]] relay_effects end_all(instant now);

    [[nodiscard]] std::size_t open_requests() const { return requests_.size(); }
    /// Returns the request counts of each service by outcome.
    [[nodiscard]] const std::map<service_id, core::ledger_account>& accounts() const { return accounts_; }
    /// Returns the numbers of requests that admission refused, by service and reason.
    [[nodiscard]] const std::map<std::pair<service_id, std::string>, std::uint64_t>& refusals() const
    {
        return refusals_;
    }

private:
    struct request
    {
        request_info info;
        std::shared_ptr<const relay_config> config; ///< keeps `route` alive
        const route_spec* route = nullptr;
        service_id service;
        organisation_id organisation; ///< of the caller; empty: none is known
        unsigned priority = 0; ///< of the organisation if it has one, else of the route; 0 is the highest
        instant arrived{};
        instant deadline{};
        std::set<backend_id> excluded;
        unsigned attempts_made = 0;       ///< attempts, including those that were not written
        bool prefill_requested = false;   ///< a prefill was requested before
        bool run_requested = false;       ///< an execution was requested before
        kv_handle handle;                 ///< at `placed.prefill_engine`; empty: none
        bool kv_transfer_refused = false; ///< a decode engine refused the KV cache
        unsigned runs = 0;                ///< attempts that may have been executed
        bool may_have_run = false;
        bool streaming = false; ///< the caller received the head of a stream
        event_id last_event;
        attempt_id current;
        attempt_id load_key; ///< under which engine_choice counts the request's load; 0: not counted
        attempt_stage stage = attempt_stage::full_request;
        placement placed;
        backend_id server;
        instant sent{};
        bool written = false;
        bool has_events = false;
        instant first_event_at{};
        instant last_event_at{};
        duration longest_pause{};
        bool is_trial = false; ///< let through although it has a quarantined segment
    };

    /// A request that was lost at a server of which it isn't known yet whether it crashed.
    struct unexplained_loss
    {
        std::string request_id;
        std::int64_t server_started_ms = 0;
        instant sent{};
        instant lost{};
        std::vector<segment_id> segments;
    };

    using request_map = std::map<request_number, request>;

    [[nodiscard]] policy::retry_budget& budget(const service_id& service);
    /// Returns the servers that a request must not go to: those that it was sent to before, and those whose
    /// limit leaves this node no request now.
    [[nodiscard]] std::set<backend_id>
    excluded_servers(const request& req, const std::vector<server_entry>& servers, instant now) const;
    /// Returns the same and those that the circuit breaker avoids.
    [[nodiscard]] std::set<backend_id>
    avoided_servers(const request& req, const std::vector<server_entry>& servers, instant now) const;
    /// Returns why none of a service's open servers can be sent a request.
    [[nodiscard]] const char* unavailable_reason(const std::vector<server_entry>& servers, instant now) const;
    /// Returns the time until a limit leaves this node a request for a server of the service, at most that
    /// until a caller comes back when there is no server.
    [[nodiscard]] duration limits_wait(const service_id& service, instant now) const;
    [[nodiscard]] request_map::iterator find_attempt(attempt_id attempt);
    void dispatch(request_map::iterator it, instant now, relay_effects& out);
    void dispatch_call(request_map::iterator it, instant now, relay_effects& out);
    void dispatch_generation(request_map::iterator it, const engine_traits& traits, instant now,
                             relay_effects& out);
    /// Rejects a request whose route requires an API key that is known.
    void refuse_key(request_number number, const request_info& info, const route_spec& route,
                    relay_effects& out);
    void log_key_refused(const request_info& info, const route_spec& route, const char* reason,
                         relay_effects& out) const;
    /// Returns whether the configuration in force has removed the API key that an open request needs.
    [[nodiscard]] bool is_revoked(const request& req) const;
    /// Ends the open requests whose API keys were removed since the last call.
    void end_revoked(instant now, relay_effects& out);
    /// Cancels a request's current attempt, if it has one, for a reason that says nothing about its server.
    void abandon_current(request& req, relay_effects& out);
    /// Counts the work of a request that is refused for want of engines, for capacity planning; what is
    /// admitted shows in the load of the engines.
    void count_unserved_demand(const request& req, const engine_traits& traits, const placement* chosen,
                               instant now);
    /// Refuses a request that no engine has attempted yet when its engine is overloaded; false: admitted.
    bool refuse_overload(request_map::iterator it, const placement& chosen, instant now, relay_effects& out);
    /// Refuses a request that has a quarantined segment; false: it may be sent.
    bool refuse_quarantined(request_map::iterator it, instant now, relay_effects& out);
    /// Probes the engine at which a request was lost, unless a probe is under way.
    void probe_after_loss(const request& req, instant now, relay_effects& out);
    void log_quarantine_changes(relay_effects& out);
    void log_limit_changes(relay_effects& out);
    void log_statement_ends(relay_effects& out);
    void send(request_map::iterator it, const server_entry& server, attempt_stage stage,
              const kv_handle& handle, const server_address& handle_address, instant now, relay_effects& out);
    /// Sends a request whose KV cache was refused to another decode engine, since the first may have been
    /// full; false: there is none.
    bool retry_decode_elsewhere(request_map::iterator it, instant now, relay_effects& out);
    void start_decode(request_map::iterator it, const kv_handle& handle, instant now, relay_effects& out);
    /// Returns the engine that decodes a prefilled request: the one that was chosen with the prefill engine,
    /// or another one if that has used up its limit since; null when there is none.
    [[nodiscard]] const server_entry* choose_decode_engine(const request& req, instant now) const;
    /// Charges the retry budget when a request arrives at a server for this stage more than once.
    void spend_retry(request& req, attempt_stage stage);
    [[nodiscard]] bool may_send_again(const request& req, bool after_run, instant now);
    /// Returns why a request's attempt has timed out; null: it hasn't.
    [[nodiscard]] const char* timeout_reason(const request& req, instant now) const;
    void end_attempt(request& req, bool good, instant now);
    /// Cancels a request's current attempt, if it has one.
    void cancel_current(request& req, instant now, relay_effects& out);
    void release_load(request& req);
    void retry_or_fail(request_map::iterator it, bool after_run, const std::string& detail, instant now,
                       relay_effects& out);
    /// Returns when a caller may come back after a request failed for `reason` without having run.
    [[nodiscard]] duration retry_wait(const service_id& service, std::string_view reason, instant now) const;
    /// Returns when a caller may come back to a service without an open server.
    [[nodiscard]] duration no_server_wait(const service_id& service, instant now) const;
    /// Ends a request with an error response that states whether it may have been executed.
    void fail(request_map::iterator it, const std::string& reason, instant now, relay_effects& out);
    void refuse(request_map::iterator it, int status, duration retry_after, const std::string& reason,
                instant now, relay_effects& out);
    void finish(request_map::iterator it, core::request_outcome outcome, const std::string& reason,
                instant now, relay_effects& out);

    relay_options options_;
    random_generator random_;
    routing_table routes_;
    api_keys keys_;               ///< of the configuration in force
    bool revocation_due_ = false; ///< keys may have been removed since end_revoked
    server_directory directory_;
    engine_choice engines_;
    circuit_breaker circuit_;
    segment_quarantine quarantine_;
    server_limits limits_;
    service_demand demand_;
    std::map<backend_id, std::vector<unexplained_loss>> unexplained_; ///< by probed server
    std::map<backend_id, instant> avoided_prefill_; ///< after failed KV cache transfers: avoided until
    std::map<service_id, policy::backend_health> health_;
    std::map<service_id, admission> admissions_;
    std::map<std::pair<service_id, std::string>, std::uint64_t> refusals_;
    policy::retry_budget_options retries_;
    std::map<service_id, policy::retry_budget> budgets_;
    std::map<service_id, core::ledger_account> accounts_;
    request_map requests_;
    std::map<attempt_id, request_number> attempts_;
    std::uint64_t last_attempt_ = 0;
};

} // namespace currantspar::relay

#endif
