#ifndef CURRANTSPAR_GATEWAY_SERVER_CONNECTION_HPP
#define CURRANTSPAR_GATEWAY_SERVER_CONNECTION_HPP

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "currantspar/gateway/message_reader.hpp"
#include "currantspar/gateway/tcp_connection.hpp"

namespace currantspar::gateway {

inline constexpr std::size_t default_body_bytes = 16777216;
inline constexpr std::size_t unlimited_body_bytes = std::numeric_limits<std::size_t>::max();

/// Receives the outcome of one request that was sent to a server. No calls follow response_complete or
/// request_failed.
class exchange_sink
{
public:
    exchange_sink() = default;
    exchange_sink(const exchange_sink&) = delete;
    exchange_sink& operator=(const exchange_sink&) = delete;
    virtual ~exchange_sink() = default;

    /// The request is sent on a connection that carried `earlier_requests` others: a response that names no
    /// request may belong to one of them.
    virtual void connection_kept(std::size_t /*earlier_requests*/) {}
    /// Asked when a new connection is established, immediately before the request is written; false: the
    /// request fails without being written. On a kept connection the request is written within
    /// server_pool::start().
    [[nodiscard]] virtual bool may_be_written() const { return true; }
    /// The first byte of the request was written.
    virtual void request_written() {}
    /// The head of a response arrived. Returns false when the response belongs to another request; it is then
    /// skipped and the next one parsed.
    virtual bool response_head(int status, const http_fields& fields) = 0;
    /// The most bytes of a body that are read before the request fails; asked after response_head().
    [[nodiscard]] virtual std::size_t max_body_bytes() const { return default_body_bytes; }
    virtual void response_body(std::string_view bytes) = 0;
    virtual void response_complete() = 0;
    /// No complete response will arrive. `written` false: no byte of the request left this process.
    virtual void request_failed(bool written, const std::string& detail) = 0;
};

/// Identifies one request and its response, for cancel().
using exchange_id = std::uint64_t;

/// A serialized request.
struct outgoing_request
{
    std::string bytes;
    std::string id;       ///< by which responses name it; empty: it has none
    bool is_head = false; ///< its method is HEAD, so its response has no body
};

struct server_pool_options
{
    duration connect_timeout = std::chrono::milliseconds(400);
    duration max_idle_time = std::chrono::seconds(4);       ///< for servers that send no Keep-Alive timeout
    duration idle_margin = std::chrono::milliseconds(1200); ///< subtracted from a server's Keep-Alive timeout
    std::size_t max_idle_connections = 16;                  ///< per server
    reader_limits response_limits{65536, default_body_bytes};
    /// Bytes that the kernel may hold unread for each connection; 0: its default.
    std::size_t receive_buffer = 0;
    /// A connection that has carried as many requests is closed, because all their ids are kept.
    std::size_t max_requests_per_connection = 128;
    /// False for a peer that sends exactly one response to each request and names none, like the shared
    /// store.
    bool responses_have_ids = true;
};

/// A pool of persistent connections to servers. A connection carries one request at a time, and is closed
/// after a cancelled request or a malformed response.
///
/// A server may send a response twice, and the id of its request is all that tells to which request it
/// belongs. So a connection carries a request id once at most: when a request is sent again, it takes a
/// connection on which nothing that the server sent before can be read. A request without an id takes a new
/// connection, which is closed after it. Not thread safe.
class server_pool
{
public:
    server_pool(ACE_Reactor& reactor, server_pool_options options);
    ~server_pool();

    /// Sends a request to `address`, `IP:port`. `sink` must live until response_complete, request_failed or
    /// cancel(). Within start() only connection_kept and request_written may be called.
    exchange_id start(const std::string& address, outgoing_request request, exchange_sink& sink, instant now);
    /// Closes the connection of an exchange; its sink isn't called again.
    void cancel(exchange_id exchange);
    /// Fails overdue connects, closes expired idle connections and frees closed ones.
    void on_tick(instant now);
    /// `observer` receives the head of each response from now on, before its sink does. It must not call this
    /// pool.
    void observe_heads(std::function<void(int status, const http_fields&)> observer)
    {
        observer_ = std::move(observer);
    }
    /// True when an idle connection to `IP:port` is open.
    [[nodiscard]] bool has_idle(const std::string& address) const;
    /// The number of connections opened since the start.
    [[nodiscard]] std::uint64_t connects() const { return connects_; }

private:
    class connection;
    friend class connection;

    /// Removes an idle connection that may carry the request from the idle ones; null when there is none.
    [[nodiscard]] connection* take_idle(const std::string& address, const outgoing_request& request,
                                        instant now);
    void release(connection& idle);
    void drop(connection& closed);

    ACE_Reactor& reactor_;
    server_pool_options options_;
    std::function<void(int, const http_fields&)> observer_;
    std::map<exchange_id, connection*> busy_;
    std::map<std::string, std::vector<connection*>> idle_; ///< most recently used last
    std::map<connection*, std::unique_ptr<connection>> connections_;
    std::vector<std::unique_ptr<connection>> closed_; ///< freed in the next tick
    instant now_{};
    exchange_id last_exchange_ = 0;
    std::uint64_t connects_ = 0;
};

} // namespace currantspar::gateway

#endif
