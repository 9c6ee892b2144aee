#ifndef CURRANTSPAR_GATEWAY_MESSAGE_READER_HPP
#define CURRANTSPAR_GATEWAY_MESSAGE_READER_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "currantspar/gateway/http_message.hpp"

namespace currantspar::gateway {

/// The parse state after the bytes received so far.
enum class read_progress
{
    incomplete, ///< more bytes of the message are needed
    complete,   ///< the message is complete; further bytes belong to the next one
    malformed,  ///< not an HTTP/1.1 message, or one whose framing is ambiguous
    head_too_large,
    body_too_large,
};

struct reader_limits
{
    std::size_t header_bytes = 16384; ///< also of a chunk's size line and of the trailer
    std::size_t body_bytes = 4194304;
};

/// Parses one request. Not thread safe.
class request_reader
{
public:
    explicit request_reader(reader_limits limits);
    ~request_reader();

    /// Consumes bytes from the front of `bytes` as far as they belong to this request.
    read_progress read(std::string& bytes);
    [[nodiscard]] bool head_done() const;
    /// True when the caller waits for `100 Continue` before it sends the body.
    [[nodiscard]] bool expects_continue() const;
    /// True when the caller allows the connection to stay open. Precondition: complete.
    [[nodiscard]] bool keep_alive() const;
    /// The body's declared length, if there is one. Precondition: the head is done.
    [[nodiscard]] std::optional<std::uint64_t> content_length() const;
    /// The bytes of the body received so far.
    [[nodiscard]] std::size_t body_bytes() const;
    /// The memory that the request takes so far.
    [[nodiscard]] std::size_t allocated_bytes() const;
    /// Allocates memory for a body of as many bytes at once, so that it isn't copied while it grows.
    /// Precondition: the head is done.
    void allocate_body(std::size_t bytes);
    /// Moves the request out. Precondition: complete; the reader can't be used again.
    [[nodiscard]] http_request take();

private:
    struct implementation;

    /// Consumes the head and checks its framing; `complete` when it is done and sound.
    read_progress read_head(std::string& bytes);

    std::unique_ptr<implementation> impl_;
};

/// Parses one response, whose body can be taken while it arrives. Interim (1xx) responses are skipped up to a
/// number. Not thread safe.
class response_reader
{
public:
    /// `answers_head`: the response is to a HEAD request, so it ends with its head whatever that says.
    explicit response_reader(reader_limits limits, bool answers_head = false);
    ~response_reader();

    /// Consumes the response's head from the front of `bytes`; the body is left. Returns `complete` only when
    /// the response ends with its head.
    read_progress read_head(std::string& bytes);
    /// Consumes bytes from the front of `bytes` as far as they belong to this response.
    read_progress read(std::string& bytes);
    /// Lifts the limit on the body's total size, for a stream whose events are limited one by one.
    /// Precondition: the head is done.
    void allow_endless_body();
    /// Reports that the connection was closed; true when that properly ends the response.
    [[nodiscard]] bool end_of_connection();
    [[nodiscard]] bool head_done() const;
    [[nodiscard]] int status() const;
    /// The body's declared length, if there is one. Precondition: the head is done.
    [[nodiscard]] std::optional<std::uint64_t> content_length() const;
    [[nodiscard]] http_fields fields() const;
    /// True when the server allows the connection to stay open.
    [[nodiscard]] bool keep_alive() const;
    /// The body bytes received since the last call, without chunk framing.
    [[nodiscard]] std::string take_body();

private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace currantspar::gateway

#endif
