#ifndef CURRANTSPAR_GATEWAY_CALLER_CONNECTION_HPP
#define CURRANTSPAR_GATEWAY_CALLER_CONNECTION_HPP

#include <optional>
#include <string>

#include "currantspar/gateway/memory_budget.hpp"
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
    /// A connection has taken more memory, and the budget is exceeded.
    virtual void memory_exceeded() {}
};

/// How much a connection holds up others, for the choice of those that are closed first.
struct connection_stall
{
    std::size_t bytes = 0;  ///< of memory
    duration since{};       ///< without progress
    bool held_back = false; ///< by this process, not by its caller
    bool too_long = false;  ///< so that its memory goes to connections that wait for it

    [[nodiscard]] double weight() const { return static_cast<double>(bytes) * to_seconds(since); }
};

/// A caller's HTTP/1.1 connection: parses one request at a time and writes its response. Charges the memory
/// that it takes to a budget, and reads a large body only when the budget has room for it. Not thread safe.
class caller_connection : public tcp_connection
{
public:
    /// `budget` is optional and must outlive the connection.
    caller_connection(ACE_Reactor& reactor, caller_sink& sink, reader_limits limits, instant now,
                      memory_budget* budget = nullptr);

    bool accept(ACE_SOCK_Stream& accepted) { return adopt(accepted); }

    /// Sends a complete response. The fields that frame the body are added. A head that can't be written
    /// becomes an error response.
    void respond(int status, const http_fields& fields, std::string_view body, bool close_after);
    /// Sends the head of a response whose body follows in chunks, or closes if it can't be written.
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

    /// Since when nothing is read because the memory is used up; empty when that isn't so.
    [[nodiscard]] std::optional<instant> waits_since() const;
    /// Reads on when the budget allows it; false when the connection must wait longer.
    bool stop_waiting(instant now);
    /// The memory that is bound by a partly received request or by unread output; empty when there is none.
    [[nodiscard]] std::optional<connection_stall> stall(instant now) const;
    /// The time without a request; empty while one is open, partly received or its response isn't read.
    [[nodiscard]] std::optional<duration> idle_time(instant now) const;
    /// Frees the memory: refuses a partly received request as not run, or closes.
    void give_up_memory();

    relay::request_number number; ///< of the open request

protected:
    void on_bytes(std::string_view bytes) override;
    void on_sent() override;
    void on_closed(std::error_code problem) override;
    [[nodiscard]] std::size_t read_limit() const override;

private:
    /// A large body is held twice at its peak: in the request, and in the output to its server.
    static constexpr std::size_t body_copies = 2;
    /// Memory of a connection without a request, about.
    static constexpr std::size_t connection_bytes = 2048;

    /// True when received bytes wait to be parsed and no request is open.
    [[nodiscard]] bool has_unread_request() const;
    void read_request();
    /// Goes on with a body that isn't complete; false when it must wait for memory.
    bool admit_body();
    /// The body's bytes for which memory must be reserved before it is read on: those declared, or the next
    /// step beyond those received; 0 for a small body.
    [[nodiscard]] std::size_t expected_body_bytes() const;
    /// True when the reserved memory has brought in too little of its body.
    [[nodiscard]] bool wastes_reservation(instant now) const;
    void wait_for_memory();
    void note_progress(std::size_t bytes);
    void update_memory();
    /// Pauses reading while a caller sends further requests ahead.
    void update_reading();
    void refuse(int status);
    void on_response_finished();
    void close_and_notify();

    caller_sink& sink_;
    reader_limits limits_;
    memory_budget* budget_;
    memory_account account_;
    std::optional<request_reader> reader_;
    std::string in_;
    std::string close_reason_;
    bool request_open_ = false;
    bool response_begun_ = false;
    bool close_after_ = false;
    bool keep_alive_ = true;
    bool continue_sent_ = false;
    bool answers_head_ = false; ///< the open request's method is HEAD, so its response has no body
    bool closing_ = false;      ///< close once all output is sent
    bool parsing_ = false;
    bool requests_left_ = false; ///< one event has answered as many as it may
    instant since_{};            ///< start of the request being received, or of the idle time
    std::optional<instant> waits_since_;
    instant received_at_{};           ///< when bytes were last received, or a wait for memory ended
    instant reserved_at_{};           ///< when memory was first reserved for the body
    instant progress_at_{};           ///< when enough of a request was last received, or output was last sent
    std::size_t progress_bytes_ = 0;  ///< received since then
    std::size_t request_bytes_ = 0;   ///< memory of the open request
    std::size_t discarded_bytes_ = 0; ///< received while closing
};

} // namespace currantspar::gateway

#endif
