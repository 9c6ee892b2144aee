#include "currantspar/gateway/http_message.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <ostream>

#include <boost/beast/http/status.hpp>

#include "currantspar/base/wire_text.hpp"

namespace currantspar::gateway {

namespace {

constexpr std::array<std::string_view, 11> connection_fields = {
    "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
    "TE",         "Trailer",    "Upgrade",          "Transfer-Encoding",  "Content-Length",
    "Expect"};

constexpr int first_final_status = 200;
constexpr int last_final_status = 599;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

constexpr std::array<int, 4> not_run_statuses = {408, 421, 429, 503};

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

void append_field(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

/// Appends all fields but those that belong to one connection or frame the body.
void append_fields(std::string& out, const http_fields& fields)
{
    for (const http_field& field : fields) {
        if (!is_connection_field(field.name)) {
            append_field(out, field.name, field.value);
        }
    }
}

tl::unexpected<error> refuse(std::string_view part, std::string_view text)
{
    return fail(error_kind::invalid, std::string(part) + " can't be written: " + escaped_excerpt(text));
}

result<void> check_framing(const response_head& head)
{
    if (head.status < first_final_status || head.status > last_final_status) {
        return refuse("status", std::to_string(head.status));
    }
    if (is_bodiless(head.status) && !head.to_head_request && head.body_bytes != 0U) {
        return refuse("body of a response without one, status", std::to_string(head.status));
    }
    return {};
}

} // namespace

bool is_bodiless(int status)
{
    return status == status_no_content || status == status_not_modified;
}

result<void> check_fields(const http_fields& fields)
{
    for (const http_field& field : fields) {
        if (!is_http_token(field.name)) {
            return refuse("field name", field.name);
        }
        if (!is_field_value(field.value)) {
            // The value isn't quoted, because it may be a caller's secret.
            return fail(error_kind::invalid, "value of " + field.name + " can't be written");
        }
    }
    return {};
}

bool promises_not_run(int status)
{
    return std::find(not_run_statuses.begin(), not_run_statuses.end(), status) != not_run_statuses.end();
}

bool same_name(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

const std::string* find_field(const http_fields& fields, std::string_view name)
{
    const auto found = std::find_if(fields.begin(), fields.end(),
                                    [&](const http_field& field) { return same_name(field.name, name); });
    return found == fields.end() ? nullptr : &found->value;
}

bool has_token(const http_fields& fields, std::string_view name, std::string_view token)
{
    for (const http_field& field : fields) {
        if (!same_name(field.name, name)) {
            continue;
        }
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const std::size_t comma = rest.find(',');
            if (same_name(trimmed(rest.substr(0, comma)), token)) {
                return true;
            }
            rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
        }
    }
    return false;
}

bool is_connection_field(std::string_view name)
{
    return std::any_of(connection_fields.begin(), connection_fields.end(),
                       [&](std::string_view known) { return same_name(known, name); });
}

result<std::string> write_request(const http_request& request)
{
    return write_request(request, request.body);
}

result<std::string> write_request(const http_request& request, std::string_view body)
{
    if (!is_http_token(request.method)) {
        return refuse("method", request.method);
    }
    if (!is_request_target(request.target)) {
        return refuse("request target", request.target);
    }
    if (const auto checked = check_fields(request.fields); !checked) {
        return tl::unexpected(checked.error());
    }
    std::string out;
    out.reserve(512);
    out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    append_fields(out, request.fields);
    if (!body.empty() || request.method == "POST" || request.method == "PUT") {
        append_field(out, "Content-Length", std::to_string(body.size()));
    }
    out.append("\r\n");
    out.reserve(out.size() + body.size());
    out.append(body);
    return out;
}

result<std::string> write_response_head(const response_head& head)
{
    if (const auto checked = check_framing(head); !checked) {
        return tl::unexpected(checked.error());
    }
    if (const auto checked = check_fields(head.fields); !checked) {
        return tl::unexpected(checked.error());
    }
    std::string out;
    out.reserve(512);
    const auto reason =
        boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(head.status));
    out.append("HTTP/1.1 ").append(std::to_string(head.status)).append(" ");
    out.append(reason.data(), reason.size()).append("\r\n");
    append_fields(out, head.fields);
    if (head.to_head_request || is_bodiless(head.status)) {
        // Its end is that of the head.
    } else if (!head.body_bytes) {
        append_field(out, "Transfer-Encoding", "chunked");
    } else {
        append_field(out, "Content-Length", std::to_string(*head.body_bytes));
    }
    if (head.closes_connection) {
        append_field(out, "Connection", "close");
    }
    return out.append("\r\n");
}

std::string write_chunk(std::string_view bytes)
{
    std::array<char, 20> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), bytes.size(), 16).ptr;
    std::string out;
    out.reserve(bytes.size() + 24);
    out.append(digits.data(), end).append("\r\n").append(bytes).append("\r\n");
    return out;
}

} // namespace currantspar::gateway
