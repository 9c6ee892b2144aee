#ifndef CURRANTSPAR_GATEWAY_GATEWAY_NODE_HPP
#define CURRANTSPAR_GATEWAY_GATEWAY_NODE_HPP

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "caller_server.hpp"
#include "capacity_control.hpp"
#include "connect_probe.hpp"
#include "currantspar/gateway/caller_connection.hpp"
#include "currantspar/gateway/event_splitter.hpp"
#include "currantspar/gateway/memory_plan.hpp"
#include "currantspar/gateway/peer_link.hpp"
#include "currantspar/gateway/server_connection.hpp"
#include "currantspar/gateway/wire_protocol.hpp"
#include "currantspar/relay/relay_core.hpp"
#include "duty_controller.hpp"
#include "gateway_metrics.hpp"
#include "probe_server.hpp"
#include "role_controller.hpp"
#include "store_reader.hpp"
#include "unary_call.hpp"
#include "usage_collection.hpp"

namespace currantspar::gateway {

/// For the node's own calls, whose responses no request waits for.
inline constexpr duration call_timeout = std::chrono::milliseconds(1500);

/// One node: connects its sockets to the relay core and applies the core's effects. Runs in its reactor's
/// thread.
class gateway_node : public caller_sink
{
public:
    gateway_node(ACE_Reactor& reactor, const wire_protocol& wire, gateway_settings settings);
    ~gateway_node() override;

    /// Opens the listeners and starts reading the shared store.
    [[nodiscard]] result<void> start();
    /// Starts a graceful stop that was requested at `requested`: the node is no longer ready, later closes
    /// idle connections, and is done() once no request is open. Requests that are open near the end of the
    /// grace get an error response. Further calls have no effect.
    void stop(instant requested);
    /// Applies the settings that may change at run time.
    void reload(const gateway_settings& new_settings);
    void on_tick(instant now);
    /// Reports how much later than scheduled a tick comes: for so long nothing else was served either.
    void on_tick_delay(duration delay);
    [[nodiscard]] bool done(instant now) const;
    /// True while requests can be served and the node isn't stopping.
    [[nodiscard]] bool ready() const;

private:
    class attempt;
    struct caller
    {
        caller_connection* connection = nullptr;
        http_request request;
        instant arrived{};
    };

    // Callers.
    void request_arrived(caller_connection& from, http_request request) override;
    void request_malformed(int status) override;
    void connection_closed(caller_connection& closed) override;
    /// Lets the budget follow what the process's tables and free memory leave of its memory.
    void update_budget(instant now);
    /// False late in a stop, when a request might not end before the process does.
    [[nodiscard]] bool accepts_requests(instant now) const;
    /// Answers a request as not run because the memory is used up.
    void refuse_for_memory(caller_connection& from, instant now);
    /// Answers a request that arrived late during a stop as not run.
    void refuse_while_stopping(caller_connection& from, const std::string& request_id);
    /// Ends all open requests when a stop runs out of time.
    void end_open_requests(instant now);
    /// The callers' limits of the configuration in force.
    [[nodiscard]] relay::caller_limits limits() const;
    /// Closes connections whose request is overdue or that are idle too long; while stopping, once the load
    /// balancer has had time to drain the node, all idle ones.
    void close_idle(instant now);

    // Effects.
    void run(const relay::relay_effects& effects, instant now);
    void apply(const relay::start_attempt& effect, instant now);
    void apply(const relay::cancel_attempt& effect, instant now);
    void apply(const relay::open_response& effect, instant now);
    void apply(const relay::end_response& effect, instant now);
    void apply(const relay::abort_response& effect, instant now);
    void apply(const relay::deliver_response& effect, instant now);
    void apply(const relay::reply& effect, instant now);
    void apply(const relay::free_kv_cache& effect, instant now);
    void apply(const relay::probe_server& effect, instant now);
    void apply(const relay::log_decision& effect, instant now);

    // Servers.
    void on_head(attempt& from);
    void on_body(attempt& from, std::string_view bytes);
    void on_complete(attempt& from);
    void on_failed(attempt& from, bool written, const std::string& detail);
    void retire(attempt_id number);
    /// Sets what an attempt counts for in the node's total of buffered bytes.
    void count_buffered(attempt& from, std::size_t bytes);
    /// Counts the run of an attempt in the usage of its organisation, once.
    void count_usage(attempt& from);
    /// Fails the attempts with the largest responses until the rest fits into the memory for them.
    void enforce_buffer_limit();

    // Peers.
    /// Applies a peer's digest.
    void on_digest(const load_digest& digest, instant now);
    /// Sends what has changed to the peers, unless the last digest was sent too recently.
    void update_peers(instant now);
    /// Sends and adds up the counts of usage.
    /// Sends what this node's callers ask of servers that can be ordered to the collectors.
    void send_demand(instant now);
    void update_usage(instant now);
    /// Appends this node's entry to the shared store, by which its peers discover it.
    void announce(instant now);
    /// Acts on the store's era once it is known or has risen.
    void apply_store_era(std::uint64_t era, instant now);
    /// Logs a service's engine speed when the estimate has changed noticeably.
    void log_engine_speeds(instant now);

    [[nodiscard]] http_response handle_readiness_probe(const http_request& request) const;
    [[nodiscard]] http_response handle_metrics_request();
    [[nodiscard]] caller* find_caller(relay::request_number number);
    /// Removes an open request and returns its connection; null when its caller has disconnected.
    caller_connection* finish_caller(relay::request_number number, instant now);

    const wire_protocol& wire_;
    gateway_settings settings_;
    memory_plan memory_plan_;
    memory_budget budget_;
    memory_account responses_{&budget_}; ///< incomplete ones of all attempts
    relay::relay_core core_;
    server_pool servers_;
    server_pool store_;
    probe_server readiness_server_;
    probe_server metrics_server_;
    caller_server caller_server_;
    peer_link peers_;
    usage_collection usage_;
    role_controller roles_;
    duty_controller duties_;
    store_reader store_reader_;
    unary_calls calls_;
    connect_probes probes_;
    capacity_control capacity_;
    gateway_metrics metrics_;
    bool announced_ = false;
    instant announce_due_{};
    std::optional<std::uint64_t> store_era_;      ///< the highest one that was acted on
    std::optional<std::uint64_t> seen_store_era_; ///< the highest one in a response of the store
    std::map<service_id, double> logged_speeds_;
    instant speed_log_due_{};
    instant shares_due_{};
    instant budget_due_{};
    instant release_due_{};
    instant demand_due_{};

    std::unordered_map<relay::request_number, caller> callers_;
    std::unordered_map<attempt_id, std::unique_ptr<attempt>> attempts_;
    std::vector<std::unique_ptr<attempt>> retired_;
    std::size_t buffered_bytes_ = 0; ///< of all attempts' responses
    std::uint64_t last_request_ = 0;
    bool stopping_ = false;
    bool was_ready_ = false;
    instant stop_began_{};
    instant idle_check_due_{};
    std::uint64_t refused_for_memory_ = 0;
    io::log_limiter malformed_lines_;
    io::log_limiter invalid_lines_;
    io::log_limiter memory_lines_;
};

} // namespace currantspar::gateway

#endif
