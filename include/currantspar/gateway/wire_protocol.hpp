#ifndef CURRANTSPAR_GATEWAY_WIRE_PROTOCOL_HPP
#define CURRANTSPAR_GATEWAY_WIRE_PROTOCOL_HPP

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "currantspar/base/result.hpp"
#include "currantspar/gateway/http_message.hpp"
#include "currantspar/relay/model.hpp"
#include "currantspar/relay/relay_effect.hpp"

namespace currantspar::gateway {

/// What a process of the gateway is told at its start and at a reload.
struct gateway_settings
{
    std::string node; ///< this node's name
    data_centre_id data_centre;
    std::string front_address;   ///< callers connect here
    std::string ready_address;   ///< the load balancer asks here
    std::string metrics_address; ///< empty: no metrics
    std::string peer_address;    ///< other nodes send datagrams here; empty: none
    std::string store_address;   ///< the shared store
    duration retry_window = std::chrono::seconds(10);
    double retry_ratio = 0.1;                 ///< retries that each request earns, over all nodes
    double retry_reserve = 20;                ///< retries in one window besides, over all nodes
    duration grace = std::chrono::seconds(8); ///< from the signal to stop until the process is killed
};

/// A record of a keyed topic in the shared store.
struct keyed_record
{
    std::uint64_t offset = 0;
    std::string key;
    std::optional<std::string> value; ///< nothing: the key was removed
};

/// The topics of the shared store that the gateway uses.
enum class shared_topic
{
    configuration, ///< the operators' configuration
    servers,       ///< what backend servers and engines say of themselves
    nodes,         ///< what the gateway's own nodes say of themselves
    authority,     ///< claims of the right to order engines
};

/// What an engine says of its state.
struct engine_status
{
    std::optional<config::engine_role> role;
    std::uint64_t orders = 0; ///< accepted since its start
    bool changing = false;    ///< carries out an order
};

/// An order to change an engine's role.
struct role_order
{
    config::engine_role role = config::engine_role::prefill;
    std::string holder;              ///< who orders
    std::uint64_t token = 0;         ///< the fencing token
    std::uint64_t orders_before = 0; ///< the engine refuses when it has accepted another number
};

enum class order_outcome
{
    accepted,   ///< is carried out, or holds already
    refused,    ///< not carried out
    superseded, ///< the engine has seen a higher token
};

/// A page of the newest records of a topic.
struct newest_page
{
    std::vector<keyed_record> records;
    bool more = false;     ///< another page follows the last key
    std::uint64_t end = 0; ///< the topic's end when the page was made
};

/// Records read from an offset on.
struct record_batch
{
    std::vector<keyed_record> records;
    std::uint64_t next = 0; ///< where to read on
    bool compacted = false; ///< records from the asked offset are gone; read the newest ones
};

/// How the gateway's requests, answers and store calls look on the wire of one kind of platform. An adapter
/// translates and decides nothing. Thread safe.
class wire_protocol
{
public:
    wire_protocol() = default;
    wire_protocol(const wire_protocol&) = delete;
    wire_protocol& operator=(const wire_protocol&) = delete;
    virtual ~wire_protocol() = default;

    /// Reads the process's settings; an error of kind `invalid` names what is missing or wrong.
    [[nodiscard]] virtual result<gateway_settings> read_settings() const = 0;

    // Callers and servers.

    /// The method and path by which the load balancer asks whether the node is ready.
    [[nodiscard]] virtual bool is_ready_question(const http_request& request) const = 0;
    /// What a caller's request asks for; an error of kind `invalid` when a field can't be read.
    [[nodiscard]] virtual result<relay::request_info> decode_request(const http_request& request) const = 0;
    /// The request as the attempt's server gets it.
    [[nodiscard]] virtual std::string encode_attempt(const http_request& request,
                                                     const relay::start_attempt& attempt) const = 0;
    [[nodiscard]] virtual relay::response_info decode_answer(int status, const http_fields& fields) const = 0;
    /// The name of the prompt that a server computed and keeps.
    [[nodiscard]] virtual result<std::string> decode_prompt_handle(std::string_view body) const = 0;
    /// The request by which a server frees a prompt that it keeps.
    [[nodiscard]] virtual std::string encode_free_prompt(const relay::free_kv_cache& prompt) const = 0;
    /// Fields of an answer in the relay's own name.
    [[nodiscard]] virtual http_fields encode_reply(const relay::reply& answer) const = 0;

    // The shared store.

    [[nodiscard]] virtual std::string encode_newest(shared_topic topic,
                                                    const std::string& after_key) const = 0;
    [[nodiscard]] virtual result<newest_page> decode_newest(const http_answer& answer) const = 0;
    [[nodiscard]] virtual std::string encode_read(shared_topic topic, std::uint64_t from,
                                                  duration wait) const = 0;
    [[nodiscard]] virtual result<record_batch> decode_read(const http_answer& answer,
                                                           std::uint64_t from) const = 0;
    [[nodiscard]] virtual std::string encode_put(shared_topic topic, const std::string& key,
                                                 const std::string& value) const = 0;

    /// An append under the condition that the topic ends at `end`.
    [[nodiscard]] virtual std::string encode_put_at(shared_topic topic, const std::string& key,
                                                    const std::string& value, std::uint64_t end) const = 0;
    /// The offset of a record that was put; an error of kind `conflict` when its condition didn't hold.
    [[nodiscard]] virtual result<std::uint64_t> decode_put(const http_answer& answer) const = 0;

    // Engines' control side.

    [[nodiscard]] virtual std::string encode_status(const relay::server_entry& engine) const = 0;
    [[nodiscard]] virtual result<engine_status> decode_status(const http_answer& answer) const = 0;
    [[nodiscard]] virtual std::string encode_order(const relay::server_entry& engine,
                                                   const role_order& order) const = 0;
    [[nodiscard]] virtual order_outcome decode_order(const http_answer& answer) const = 0;

    /// The configuration that a record holds; nothing when the record is another one.
    [[nodiscard]] virtual result<std::shared_ptr<const relay::relay_config>>
    decode_config(const keyed_record& record) const = 0;
    /// A server's entry; an error of kind `invalid` when the record names no server that can be used.
    [[nodiscard]] virtual result<relay::server_entry> decode_server(const keyed_record& record) const = 0;
};

} // namespace currantspar::gateway

#endif
