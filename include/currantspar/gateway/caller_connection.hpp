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

/// Receives what callers do.
class caller_sink
{
public:
    caller_sink() = default;
    caller_sink(const caller_sink&) = delete;
    caller_sink& operator=(const caller_sink&) = delete;
    virtual ~caller_sink() = default;

    /// A whole request arrived; the connection reads the next one only after its answer.
    virtual void request_arrived(caller_connection& from, http_request request) = 0;
    /// A request that can't be read; the connection has answered and closes.
    virtual void request_malformed(int status) = 0;
    /// The connection is closed. With a request in hand the caller has left it.
    virtual void connection_closed(caller_connection& closed) = 0;
};

/// A caller's connection: reads one request after the other and writes their answers. Not thread safe.
class caller_connection : public tcp_connection
{
public:
    caller_connection(ACE_Reactor& reactor, caller_sink& sink, reader_limits limits, instant now);

    bool accept(ACE_SOCK_Stream& accepted) { return adopt(accepted); }

    /// A whole answer. Fields that frame the body are added.
    void answer(int status, const http_fields& fields, std::string_view body, bool close_after);
    /// The head of an answer whose body follows in pieces.
    void begin_answer(int status, const http_fields& fields, bool close_after);
    void continue_answer(std::string_view bytes);
    void end_response();
    /// Closes at once; an answer that was begun doesn't look whole.
    void abort();

    [[nodiscard]] bool has_request() const { return request_open_; }
    [[nodiscard]] bool begun() const { return answer_begun_; }
    /// Closes a connection that is overdue with its request, or idle for too long.
    void check_time(const relay::caller_limits& limits, instant now);
    /// Closes the connection when no request is in hand.
    void close_if_idle();

    relay::request_number number; ///< of the request in hand

protected:
    void on_bytes(std::string_view bytes) override;
    void on_sent() override;
    void on_closed(bool reset) override;

private:
    void read_request();
    void refuse(int status);
    void finished();
    void shut();

    caller_sink& sink_;
    reader_limits limits_;
    std::optional<request_reader> reader_;
    std::string in_;
    bool request_open_ = false;
    bool answer_begun_ = false;
    bool close_after_ = false;
    bool keep_alive_ = true;
    bool continue_sent_ = false;
    bool closing_ = false; ///< close once everything is sent
    bool in_read_ = false;
    instant since_{}; ///< begin of the request that is being read, or of the idle time
};

} // namespace currantspar::gateway

#endif
