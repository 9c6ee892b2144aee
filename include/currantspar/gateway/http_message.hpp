#ifndef CURRANTSPAR_GATEWAY_HTTP_MESSAGE_HPP
#define CURRANTSPAR_GATEWAY_HTTP_MESSAGE_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "currantspar/base/result.hpp"

namespace currantspar::gateway {

struct http_field
{
    std::string name;
    std::string value;
};

/// Header fields in wire order.
using http_fields = std::vector<http_field>;

/// The value of the first field of that name, compared without case; null when there is none. Thread safe.
[[nodiscard]] const std::string* find_field(const http_fields& fields, std::string_view name);
/// Compares header names without case. Thread safe.
[[nodiscard]] bool same_name(std::string_view left, std::string_view right);
/// True when a field of that name has `token` in its comma-separated list. Thread safe.
[[nodiscard]] bool has_token(const http_fields& fields, std::string_view name, std::string_view token);
/// True for hop-by-hop fields and for those that frame the body. Thread safe.
[[nodiscard]] bool is_connection_field(std::string_view name);

/// True for statuses that guarantee that a request hasn't run and never will. Thread safe.
[[nodiscard]] bool promises_not_run(int status);

struct http_request
{
    std::string method;
    std::string target;
    http_fields fields;
    std::string body;
};

struct http_response
{
    int status = 0;
    http_fields fields;
    std::string body;
};

/// The head of a response that this process sends.
struct response_head
{
    int status = 0;
    http_fields fields;                    ///< hop-by-hop and framing fields among them are left out
    std::optional<std::size_t> body_bytes; ///< nothing: the body is sent in chunks
    bool closes_connection = false;
    bool to_head_request = false; ///< no body follows, and nothing is said of its length
};

/// True for a final status whose responses have no body and say nothing of its length. Thread safe.
[[nodiscard]] bool is_bodiless(int status);

/// Returns an error of kind `invalid` when a field could end its line, add another field or isn't one at all.
/// Thread safe.
[[nodiscard]] result<void> check_fields(const http_fields& fields);

// The only functions that write heads. Whatever they are given, they write one message or return an error of
// kind `invalid`, which names the part that can't be written.

/// Serializes a request with a Content-Length. Hop-by-hop and framing fields of `request` are left out.
/// Thread safe.
[[nodiscard]] result<std::string> write_request(const http_request& request);
/// The same with a body that isn't the request's own. Thread safe.
[[nodiscard]] result<std::string> write_request(const http_request& request, std::string_view body);
/// Serializes the head of a final response: status line with the standard reason phrase, fields, framing and
/// empty line. A status without a body takes none. Thread safe.
[[nodiscard]] result<std::string> write_response_head(const response_head& head);
/// Serializes one chunk of a chunked body. Precondition: `bytes` isn't empty. Thread safe.
[[nodiscard]] std::string write_chunk(std::string_view bytes);

inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace currantspar::gateway

#endif
