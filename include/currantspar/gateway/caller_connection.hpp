#ifndef CURRANTSPAR_GATEWAY_CALLER_CONNECTION_HPP
#define CURRANTSPAR_GATEWAY_CALLER_CONNECTION_HPP

#include <functional>
#include <optional>
#include <string>

#include "currantspar/gateway/message_reader.hpp"
#include "currantspar/gateway/tcp_connection.hpp"
#include "currantspar/relay/model.hpp"

namespace currantspar::gateway {

class caller_connection;

/// Receives the events of callers' connections.
class caller_sink
{
public:
    caller_sink() = default;
    caller_sink(const caller_sink&) = delete;
    caller_sink& operator=(const caller_sink&) = delete;
    virtual ~caller_sink() = default;

    /// A complete request arrived; the connection parses the next one only after the response to this one.
    virtual void request_arrived(caller_connection& from, http_request request) = 0;
    /// A request couldn't be parsed; the connection has sent an error response and closes.
    virtual void request_malformed(int status) = 0;
    /// The connection is closed. If it has an open request, its caller disconnected before the response.
    virtual void connection_closed(caller_connection& closed) = 0;
};

/// A caller's HTTP/1.1 connection: parses one request at a time and writes its response. Not thread safe.
class caller_connection : public tcp_connection
{
public:
    caller_connection(ACE_Reactor& reactor, caller_sink& sink, reader_limits limits, instant now);

    bool accept(ACE_SOCK_Stream& accepted) { return adopt(accepted); }

    /// Sends a complete response. The fields that frame the body are added.
    void respond(int status, const http_fields& fields, std::string_view body, bool close_after);
    /// Sends the head of a response whose body follows in chunks.
    void begin_response(int status, const http_fields& fields, bool close_after);
    void continue_response(std::string_view bytes);
    void end_response();
    /// Closes at once; without the last chunk the caller sees that a streamed response is truncated.
    void abort(std::string_view reason);
    /// Why the connection was closed; empty before that.
    [[nodiscard]] const std::string& close_reason() const { return close_reason_; }

    [[nodiscard]] bool has_request() const { return request_open_; }
    [[nodiscard]] bool has_begun_response() const { return response_begun_; }
    /// Answers a request that arrives too slowly with an error, and closes a connection that is idle too
    /// long.
    void check_time(const relay::caller_limits& limits, instant now);
    /// Goes on with pipelined requests that one event left, and closes once the last response has arrived.
    void on_tick(instant now);
    /// Closes the connection when no request is open, partly received or waits to be read, and the caller has
    /// all output.
    void close_if_idle();

    relay::request_number number; ///< of the open request

protected:
    void on_bytes(std::string_view bytes) override;
    void on_sent() override;
    void on_closed(std::error_code problem) override;

private:
    /// True when received bytes wait to be parsed and no request is open.
    [[nodiscard]] bool has_unread_request() const;
    void read_request();
    void refuse(int status);
    void on_response_finished();
    void close_and_notify();

    caller_sink& sink_;
    reader_limits limits_;
    std::optional<request_reader> reader_;
    std::string in_;
    std::string close_reason_;
    bool request_open_ = false;
    bool response_begun_ = false;
    bool close_after_ = false;
    bool keep_alive_ = true;
    bool continue_sent_ = false;
    bool closing_ = false; ///< close once all output is sent
    bool parsing_ = false;
    bool requests_left_ = false; ///< one event has answered as many as it may
    instant since_{};            ///< start of the request being received, or of the idle time
};

} // namespace currantspar::gateway

#endif
