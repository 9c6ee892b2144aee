#ifndef CURRANTSPAR_RELAY_MODEL_HPP
#define CURRANTSPAR_RELAY_MODEL_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "currantspar/base/ids.hpp"
#include "currantspar/base/time.hpp"
#include "currantspar/base/wire_text.hpp"
#include "currantspar/config/fleet.hpp"

namespace currantspar::relay {

/// Identifies a caller's request while this process relays it; unique within one process.
using request_number = number_of<struct request_number_tag>;

/// How a request may be executed; decides whether it may be retried when its outcome is unknown.
enum class route_kind
{
    idempotent,   ///< may be executed any number of times
    at_most_once, ///< must not be executed more than once
    stream,       ///< response is a stream of numbered events; executed once unless the route is resumable
};

/// A service of a route and its weight in the traffic split.
struct weighted_service
{
    service_id service;
    std::uint32_t weight = 1;
};

/// A route: the requests to one host whose path begins with a prefix.
struct route_spec
{
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    route_kind kind = route_kind::at_most_once;
    duration timeout{};        ///< maximum time to respond to the caller
    duration target{};         ///< latency objective: to the response, or to a stream's first event
    duration pause_target{};   ///< objective for the longest pause between two events of a stream
    unsigned priority = 0;     ///< 0 is the highest
    unsigned max_attempts = 1; ///< servers on which one request may be executed
    bool resumable = false;    ///< an interrupted stream may continue at another server
    bool is_public = false;    ///< requests need no API key
    std::vector<weighted_service> services;
};

/// Properties that a service's engines share.
struct engine_traits
{
    std::uint32_t slots = 1;
    std::uint64_t memory_tokens = 0;
    std::uint64_t bytes_per_token = 0;
    double link_mbps = 0;
    duration kv_retention{}; ///< how long an exported KV cache is kept for the decode engine
};

/// The bounds and prices of a service whose servers can be ordered.
struct scaling_traits
{
    unsigned min_servers = 0;                ///< in each data centre, reclaimable ones included
    unsigned max_servers = 0;                ///< in each data centre, reclaimable ones included
    duration boot_time{};                    ///< from an order until a new server serves
    std::optional<double> reclaimable_price; ///< relative to other servers; nothing: none can be ordered
    std::map<data_centre_id, double> prices; ///< of a server's second
};

/// A service to which requests are relayed.
struct relayed_service
{
    service_id id;
    unsigned max_connections = 0;
    std::optional<engine_traits> engines;  ///< model services only
    std::optional<scaling_traits> scaling; ///< services whose servers can be ordered
};

/// A customer whose callers identify themselves by API keys.
struct organisation_spec
{
    organisation_id name;
    std::vector<std::string> key_hashes; ///< SHA-256 of each API key, in lower-case hexadecimal
    std::optional<unsigned> priority;    ///< replaces the priority of the route; 0 is the highest
};

/// Limits of a caller's connection.
struct caller_limits
{
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 4194304;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);
};

/// One complete version of the operators' configuration.
struct relay_config
{
    std::uint64_t version = 0;
    std::vector<route_spec> routes;
    std::vector<relayed_service> services;
    /// Whether requests on routes that aren't public need the API key of an organisation. A configuration may
    /// require keys and hold none, so the removal of the last organisation opens no route.
    bool requires_keys = false;
    std::vector<organisation_spec> organisations;
    caller_limits limits;
    std::vector<std::string> left_out; ///< parts of the document that can't be used, and why

    /// Returns the service with this name, or null. Thread safe.
    [[nodiscard]] const relayed_service* find_service(const service_id& id) const;
};

/// The directory entry that a backend server or engine publishes about itself.
struct server_entry
{
    backend_id id;
    service_id service;
    server_address address;
    data_centre_id data_centre;
    std::uint32_t slots = 1;
    bool draining = false;
    bool reclaimable = false;                ///< its data centre may take it back at short notice
    std::optional<config::engine_role> role; ///< engines only
    std::int64_t started_ms = 0; ///< wall clock at its start; a change reveals a restart under the same name

    friend bool operator==(const server_entry&, const server_entry&) = default;
};

/// A segment of a prompt. Requests whose prompts begin with the same segments share their KV cache.
struct prompt_segment
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// The properties of a request that the relay's decisions use. Headers and body stay with the connection.
struct request_info
{
    std::string id; ///< the caller's identifier of this attempt
    std::string host;
    std::string path;
    std::optional<duration> time_left; ///< how long the caller waits for a response
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output = 0;
    std::uint32_t expected_output = 0;    ///< the caller's estimate; 0: none
    std::vector<prompt_segment> segments; ///< the last one is private to the request or its session
    event_id resume_after;    ///< the last event that the caller received; empty: stream from the start
    std::string api_key_hash; ///< SHA-256 of the caller's API key, in hexadecimal; empty: it sent none
};

/// The properties of a server's response head.
struct response_info
{
    int status = 0;
    std::string request_id;      ///< as echoed by the server; empty: none
    bool not_run = false;        ///< the server states that it did not execute the request
    bool has_proof = false;      ///< has the server's signature
    bool encoded = false;        ///< the body has a content encoding
    bool leaving = false;        ///< the server announces that it shuts down
    std::optional<double> limit; ///< requests a second that the server accepts from all nodes together
    duration pause{}; ///< with a refusal: the server wants no requests of this node for so long; 0: none
};

} // namespace currantspar::relay

#endif
