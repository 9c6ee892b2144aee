#ifndef CURRANTSPAR_RELAY_MODEL_HPP
#define CURRANTSPAR_RELAY_MODEL_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "currantspar/base/ids.hpp"
#include "currantspar/base/time.hpp"
#include "currantspar/config/fleet.hpp"

namespace currantspar::relay {

/// A caller's request while this process relays it; unique within one process.
using request_number = number_of<struct request_number_tag>;

/// What may be done with a request whose fate is unknown.
enum class route_kind
{
    idempotent,   ///< may run any number of times
    at_most_once, ///< may run once
    stream,       ///< answered by a stream of numbered events; runs once unless its route is resumable
};

/// A share of a route's requests.
struct weighted_service
{
    service_id service;
    std::uint32_t weight = 1;
};

/// Requests of one host whose path begins with a prefix.
struct route_spec
{
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    route_kind kind = route_kind::at_most_once;
    duration timeout{};        ///< a caller is answered before
    duration target{};         ///< latency objective: to the answer, or to a stream's first event
    duration pause_target{};   ///< longest pause between two events of a stream that is in time
    unsigned priority = 0;     ///< 0 is served first
    unsigned max_attempts = 1; ///< servers on which one request may run
    bool resumable = false;    ///< a broken stream may go on at another server
    std::vector<weighted_service> services;
};

/// What a service's engines have in common.
struct engine_traits
{
    std::uint32_t slots = 1;
    std::uint64_t memory_tokens = 0;
    std::uint64_t bytes_per_token = 0;
    double link_mbps = 0;
    duration kv_retention{}; ///< how long a computed prompt waits for the engine that takes it over
};

/// A service that requests are relayed to.
struct relayed_service
{
    service_id id;
    unsigned max_connections = 0;
    std::optional<engine_traits> engines; ///< model services
};

/// What a caller's connection may do.
struct caller_limits
{
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 4194304;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);
};

/// A whole version of the operators' configuration.
struct relay_config
{
    std::uint64_t version = 0;
    std::vector<route_spec> routes;
    std::vector<relayed_service> services;
    caller_limits limits;

    /// The service of that name, or null. Thread safe.
    [[nodiscard]] const relayed_service* find_service(const service_id& id) const;
};

/// A backend server or engine as it describes itself.
struct server_entry
{
    backend_id id;
    service_id service;
    std::string address; ///< `IP:port`
    data_centre_id data_centre;
    std::uint32_t slots = 1;
    bool draining = false;
    std::optional<config::engine_role> role; ///< engines only
    std::int64_t started_ms = 0;             ///< wall clock of its start; tells a restart under the same name

    friend bool operator==(const server_entry&, const server_entry&) = default;
};

/// A part of a prompt; requests with the same parts in the same order share them.
struct prompt_segment
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// What the relay needs to know of a request. Headers and body stay with the connection.
struct request_info
{
    std::string id; ///< the caller's name of this attempt
    std::string host;
    std::string path;
    std::optional<duration> time_left; ///< how long the caller will wait
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output = 0;
    std::uint32_t expected_output = 0;    ///< the caller's estimate; 0: none
    std::vector<prompt_segment> segments; ///< the last one belongs to the request or its session
    std::string resume_after;             ///< id of the last event that the caller has; empty: from the start
};

/// What the head of a server's answer says.
struct response_info
{
    int status = 0;
    std::string request_id; ///< echoed by the server; empty: none
    bool not_run = false;   ///< the server says that it didn't run the request
    bool has_proof = false; ///< carries the server's signature
    bool encoded = false;   ///< the body is not the server's plain body
};

} // namespace currantspar::relay

#endif
