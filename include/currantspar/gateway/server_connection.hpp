#ifndef CURRANTSPAR_GATEWAY_SERVER_CONNECTION_HPP
#define CURRANTSPAR_GATEWAY_SERVER_CONNECTION_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "currantspar/gateway/message_reader.hpp"
#include "currantspar/gateway/tcp_connection.hpp"

namespace currantspar::gateway {

/// Receives what becomes of one request that was sent to a server. After response_complete or request_failed
/// no more calls follow.
class exchange_sink
{
public:
    exchange_sink() = default;
    exchange_sink(const exchange_sink&) = delete;
    exchange_sink& operator=(const exchange_sink&) = delete;
    virtual ~exchange_sink() = default;

    /// The first byte of the request was written.
    virtual void request_written() {}
    /// The head of an answer arrived. False: it belongs to another request; it is skipped and the next one
    /// read.
    virtual bool response_head(int status, const http_fields& fields) = 0;
    virtual void response_body(std::string_view bytes) = 0;
    virtual void response_complete() = 0;
    /// No whole answer will come. `written` false: no byte of the request left this process.
    virtual void request_failed(bool written, const std::string& detail) = 0;
};

/// Lets one exchange be given up. Not thread safe.
using exchange_id = std::uint64_t;

struct server_pool_options
{
    duration connect_timeout = std::chrono::milliseconds(400);
    duration max_idle_time =
        std::chrono::seconds(4); ///< for servers that don't say how long they keep a connection
    duration idle_margin = std::chrono::milliseconds(1200); ///< taken off what a server says
    std::size_t max_idle_connections = 16;                  ///< kept to one server
    reader_limits response_limits{65536, 16777216};
};

/// Connections to servers, kept open for the next request. One request at a time goes over a connection, and
/// a connection on which a request was given up or an answer was spoilt is closed. Not thread safe.
class server_pool
{
public:
    server_pool(ACE_Reactor& reactor, server_pool_options options);
    ~server_pool();

    /// Sends a request to `IP:port`. `sink` must live until it was told the end or the exchange was
    /// cancelled; from within start() only
    /// request_written may be called.
    exchange_id start(const std::string& address, const std::string& request, exchange_sink& sink,
                      instant now);
    /// Closes the connection of an exchange; its sink isn't called again.
    void cancel(exchange_id exchange);
    /// Ends overdue connects and idle connections, and frees what was closed.
    void on_tick(instant now);
    /// True when a connection to `IP:port` is open and free.
    [[nodiscard]] bool has_idle(const std::string& address) const;
    /// New connections since the start.
    [[nodiscard]] std::uint64_t connects() const { return connects_; }

private:
    class connection;
    friend class connection;

    void release(connection& idle);
    void drop(connection& closed);

    ACE_Reactor& reactor_;
    server_pool_options options_;
    std::map<exchange_id, connection*> busy_;
    std::map<std::string, std::vector<connection*>> idle_; ///< the newest at the back
    std::map<connection*, std::unique_ptr<connection>> connections_;
    std::vector<std::unique_ptr<connection>> closed_; ///< freed in the next tick
    instant now_{};
    exchange_id last_exchange_ = 0;
    std::uint64_t connects_ = 0;
};

} // namespace currantspar::gateway

#endif
