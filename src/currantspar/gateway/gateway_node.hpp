#ifndef CURRANTSPAR_GATEWAY_GATEWAY_NODE_HPP
#define CURRANTSPAR_GATEWAY_GATEWAY_NODE_HPP

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "caller_server.hpp"
#include "currantspar/gateway/caller_connection.hpp"
#include "currantspar/gateway/event_splitter.hpp"
#include "currantspar/gateway/peer_link.hpp"
#include "currantspar/gateway/server_connection.hpp"
#include "currantspar/gateway/wire_protocol.hpp"
#include "currantspar/relay/relay_core.hpp"
#include "gateway_metrics.hpp"
#include "question_server.hpp"
#include "role_controller.hpp"
#include "store_reader.hpp"
#include "whole_call.hpp"

namespace currantspar::gateway {

/// One node: carries events between its connections and the relay core. Runs in the thread of its reactor.
class gateway_node : public caller_sink
{
public:
    gateway_node(ACE_Reactor& reactor, const wire_protocol& wire, gateway_settings settings);
    ~gateway_node() override;

    /// Opens the listeners and begins to read the shared store.
    [[nodiscard]] result<void> start();
    /// Stops gracefully: no longer ready, then closes idle connections, then done() once nothing is in hand.
    void stop(instant now);
    /// Takes over settings that may change while running.
    void reload(const gateway_settings& fresh);
    void on_tick(instant now);
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
    /// What callers may do by the configuration in force.
    [[nodiscard]] relay::caller_limits limits() const;
    /// Closes connections that are overdue or idle for too long; idle ones at once when the node stops.
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
    void apply(const relay::log_decision& effect, instant now);

    // Servers.
    void on_head(attempt& from);
    void on_body(attempt& from, std::string_view bytes);
    void on_complete(attempt& from);
    void on_failed(attempt& from, bool written, const std::string& detail);
    void retire(attempt_id number);

    // Peers.
    /// Takes over what a peer tells.
    void on_digest(const load_digest& digest, instant now);
    /// Tells the peers what has changed, unless that was done a moment ago.
    void tell_peers(instant now);
    /// Writes this node's record, by which the others find it.
    void announce(instant now);

    [[nodiscard]] http_answer answer_ready(const http_request& request) const;
    [[nodiscard]] http_answer answer_metrics();
    [[nodiscard]] caller* find_caller(relay::request_number number);
    /// Takes a request off the list of open ones; null when its caller has left.
    caller_connection* finish_caller(relay::request_number number, instant now);

    const wire_protocol& wire_;
    gateway_settings settings_;
    relay::relay_core core_;
    server_pool servers_;
    server_pool store_;
    question_server ready_;
    question_server metrics_server_;
    caller_server front_;
    peer_link peers_;
    role_controller roles_;
    store_reader store_reader_;
    whole_calls calls_;
    gateway_metrics metrics_;
    bool announced_ = false;
    instant announce_due_{};

    std::unordered_map<relay::request_number, caller> callers_;
    std::unordered_map<attempt_id, std::unique_ptr<attempt>> attempts_;
    std::vector<std::unique_ptr<attempt>> retired_;
    std::uint64_t last_request_ = 0;
    bool stopping_ = false;
    bool was_ready_ = false;
    instant stop_began_{};
    instant idle_check_due_{};
};

} // namespace currantspar::gateway

#endif
