#ifndef CURRANTSPAR_GATEWAY_WIRE_PROTOCOL_HPP
#define CURRANTSPAR_GATEWAY_WIRE_PROTOCOL_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "currantspar/base/result.hpp"
#include "currantspar/gateway/http_message.hpp"
#include "currantspar/relay/duty.hpp"
#include "currantspar/relay/model.hpp"
#include "currantspar/relay/relay_effect.hpp"

namespace currantspar::gateway {

/// The calls to the cloud API that one node at a time makes.
struct duty_settings
{
    std::string address;                          ///< of the cloud API, `IP:port`; empty: there are no duties
    bool usage = false;                           ///< usage of each organisation is reported
    bool capacity = false;                        ///< servers can be ordered
    double calls_per_second = 50;                 ///< that the API accepts of all nodes together
    bool fencing_checked = false;                 ///< the API rejects calls with an outdated fencing token
    duration lease_gap = std::chrono::seconds(3); ///< minimum time between the calls of two holders
    duration usage_window = std::chrono::seconds(5);
    duration usage_deadline = std::chrono::seconds(10); ///< from a window's end until its report is due
};

/// The settings of a gateway process, read at its start and at a reload.
struct gateway_settings
{
    std::string node; ///< this node's name
    data_centre_id data_centre;
    std::string caller_address;  ///< callers connect here
    std::string ready_address;   ///< readiness probes of the load balancer
    std::string metrics_address; ///< empty: metrics are not served
    std::string peer_address;    ///< other nodes send digests here; empty: no peers
    std::string store_address;   ///< the shared store
    duration retry_window = std::chrono::seconds(10);
    double retry_ratio = 0.1;                 ///< retries per request, over all nodes
    double retry_reserve = 20;                ///< further retries per `retry_window`, over all nodes
    std::size_t memory_bytes = 256U << 20U;   ///< the process may use; it is killed beyond that
    duration grace = std::chrono::seconds(8); ///< from the stop signal until the process is killed
    std::size_t max_descriptors = 0;          ///< that the process may open; 0: unknown
    /// The deployment starts for the first time, so the shared store holds no claim of an earlier process.
    bool first_start = false;
    bool strict_revocation = false; ///< open requests end when their API key is removed
    bool batches_load = false;      ///< changes of the load are sent to other data centres together
    bool ranks_requests = false;    ///< under overload, requests are rejected by priority and organisation
    duty_settings duties;
};

/// A record of a keyed topic in the shared store.
struct keyed_record
{
    std::uint64_t offset = 0;
    std::string key;
    std::optional<std::string> value; ///< empty: the key was removed
};

/// The topics of the shared store that the gateway uses.
enum class shared_topic
{
    configuration, ///< the configuration document
    servers,       ///< entries of backend servers and engines
    nodes,         ///< entries of the gateway's own nodes
    authority,     ///< claims of the lease under which engines are ordered
    duties,        ///< claims of the lease and records of the calls to the cloud API
};

/// Who makes a call to the cloud API.
struct duty_holder
{
    std::string node;
    std::uint64_t token = 0; ///< fencing token
};

/// The state that an engine reports.
struct engine_status
{
    std::optional<config::engine_role> role;
    std::uint64_t orders = 0; ///< orders accepted since its start
    bool changing = false;    ///< an order is in progress
};

/// An order to change an engine's role.
struct role_order
{
    config::engine_role role = config::engine_role::prefill;
    std::string holder;                ///< the node that holds the lease
    std::uint64_t token = 0;           ///< the fencing token
    std::uint64_t expected_orders = 0; ///< the engine refuses if it has accepted another number of orders
};

enum class order_outcome
{
    accepted,   ///< in progress, or already in effect
    refused,    ///< rejected without effect
    superseded, ///< rejected: the engine has seen a higher fencing token
};

/// A page of a listing: the latest record of each key of a topic.
struct listing_page
{
    std::vector<keyed_record> records;
    bool has_more = false; ///< another page follows after the last key
    std::uint64_t end = 0; ///< the topic's end offset when the page was made
};

/// Records read from an offset onwards.
struct record_batch
{
    std::vector<keyed_record> records;
    std::uint64_t next = 0; ///< offset of the next read
    bool compacted = false; ///< records from the requested offset on are gone; list the topic
};

/// The wire format of the gateway's requests, responses and store calls on one platform. An implementation
/// only translates and makes no decisions. A function that serializes a request returns an error of kind
/// `invalid` when the request can't be written as one message. Thread safe.
class wire_protocol
{
public:
    wire_protocol() = default;
    wire_protocol(const wire_protocol&) = delete;
    wire_protocol& operator=(const wire_protocol&) = delete;
    virtual ~wire_protocol() = default;

    /// Reads the settings of the process; an error of kind `invalid` names what is missing or wrong.
    [[nodiscard]] virtual result<gateway_settings> read_settings() const = 0;

    // Callers and servers.

    /// True when the method and path are those of the load balancer's readiness probe.
    [[nodiscard]] virtual bool is_readiness_probe(const http_request& request) const = 0;
    /// Decodes a caller's request; an error of kind `invalid` when a field can't be parsed.
    [[nodiscard]] virtual result<relay::request_info> decode_request(const http_request& request) const = 0;
    /// Serializes a caller's request for the server of `attempt`.
    [[nodiscard]] virtual result<std::string> encode_attempt(const http_request& request,
                                                             const relay::start_attempt& attempt) const = 0;
    [[nodiscard]] virtual relay::response_info decode_response(int status,
                                                               const http_fields& fields) const = 0;
    /// Decodes the handle of the KV cache that a server computed and exported; an error of kind `invalid`
    /// when there is none, or one that other servers can't be sent.
    [[nodiscard]] virtual result<kv_handle> decode_kv_handle(std::string_view body) const = 0;
    /// Serializes the request that makes a server free an exported KV cache.
    [[nodiscard]] virtual result<std::string>
    encode_free_kv_cache(const relay::free_kv_cache& kv_cache) const = 0;
    /// The header fields of an error response that the gateway itself makes.
    [[nodiscard]] virtual http_fields encode_reply(const relay::reply& response) const = 0;

    // The shared store.

    [[nodiscard]] virtual result<std::string> encode_listing(shared_topic topic,
                                                             const std::string& after_key) const = 0;
    [[nodiscard]] virtual result<listing_page> decode_listing(const http_response& response) const = 0;
    [[nodiscard]] virtual result<std::string> encode_read(shared_topic topic, std::uint64_t from,
                                                          duration wait) const = 0;
    [[nodiscard]] virtual result<record_batch> decode_read(const http_response& response,
                                                           std::uint64_t from) const = 0;
    [[nodiscard]] virtual result<std::string> encode_append(shared_topic topic, const std::string& key,
                                                            const std::string& value) const = 0;

    /// Serializes an append that succeeds only if the topic ends at `end`.
    [[nodiscard]] virtual result<std::string> encode_conditional_append(shared_topic topic,
                                                                        const std::string& key,
                                                                        const std::string& value,
                                                                        std::uint64_t end) const = 0;
    /// Decodes the offset of an appended record; an error of kind `conflict` when its condition didn't hold.
    [[nodiscard]] virtual result<std::uint64_t> decode_append(const http_response& response) const = 0;

    /// Returns the era of the store's data, which rises each time that the store loses acknowledged writes; 0
    /// when the response names none.
    [[nodiscard]] virtual std::uint64_t decode_store_era(const http_fields& fields) const = 0;

    // The cloud API.

    [[nodiscard]] virtual result<std::string> encode_usage(const relay::usage_report& report,
                                                           const duty_holder& holder) const = 0;
    [[nodiscard]] virtual result<std::string> encode_capacity_order(const relay::capacity_order& order,
                                                                    const duty_holder& holder) const = 0;
    [[nodiscard]] virtual relay::duty_outcome decode_duty_response(const http_response& response) const = 0;

    // The control interface of engines.

    [[nodiscard]] virtual result<std::string> encode_status(const relay::server_entry& engine) const = 0;
    [[nodiscard]] virtual result<engine_status> decode_status(const http_response& response) const = 0;
    [[nodiscard]] virtual result<std::string> encode_order(const relay::server_entry& engine,
                                                           const role_order& order) const = 0;
    [[nodiscard]] virtual order_outcome decode_order(const http_response& response) const = 0;

    /// Decodes a record's configuration; null when the record holds something else.
    [[nodiscard]] virtual result<std::shared_ptr<const relay::relay_config>>
    decode_config(const keyed_record& record) const = 0;
    /// Decodes a server's entry; an error of kind `invalid` when the record describes no usable server.
    [[nodiscard]] virtual result<relay::server_entry> decode_server(const keyed_record& record) const = 0;
};

} // namespace currantspar::gateway

#endif
