#ifndef CURRANTSPAR_GATEWAY_MESSAGE_READER_HPP
#define CURRANTSPAR_GATEWAY_MESSAGE_READER_HPP

#include <memory>
#include <string>
#include <string_view>

#include "currantspar/gateway/http_message.hpp"

namespace currantspar::gateway {

/// What a reader makes of the bytes so far.
enum class read_progress
{
    incomplete, ///< the message goes on
    complete,   ///< the message is whole; further bytes belong to the next one
    malformed,  ///< no HTTP message, or one whose framing is ambiguous
    head_too_large,
    body_too_large,
};

struct reader_limits
{
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 4194304;
};

/// Reads one request. Not thread safe.
class request_reader
{
public:
    explicit request_reader(reader_limits limits);
    ~request_reader();

    /// Takes bytes from the front of `bytes` as far as they belong to this request.
    read_progress read(std::string& bytes);
    [[nodiscard]] bool head_done() const;
    /// The caller waits for `100 Continue` before it sends the body.
    [[nodiscard]] bool expects_continue() const;
    /// The caller lets the connection stay open. Precondition: complete.
    [[nodiscard]] bool keep_alive() const;
    /// The whole request. Precondition: complete; leaves the reader empty.
    [[nodiscard]] http_request take();

private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

/// Reads one answer, whose body may be taken while it arrives. Not thread safe.
class response_reader
{
public:
    explicit response_reader(reader_limits limits);
    ~response_reader();

    /// Takes bytes from the front of `bytes` as far as they belong to this answer.
    read_progress read(std::string& bytes);
    /// The connection ended: true when that is the proper end of the answer.
    [[nodiscard]] bool end_of_connection();
    [[nodiscard]] bool head_done() const;
    [[nodiscard]] int status() const;
    [[nodiscard]] http_fields fields() const;
    /// The server lets the connection stay open.
    [[nodiscard]] bool keep_alive() const;
    /// The body bytes that arrived since the last call, without their framing.
    [[nodiscard]] std::string take_body();

private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace currantspar::gateway

#endif
