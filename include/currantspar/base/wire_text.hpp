#ifndef CURRANTSPAR_BASE_WIRE_TEXT_HPP
#define CURRANTSPAR_BASE_WIRE_TEXT_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "currantspar/base/ids.hpp"
#include "currantspar/base/result.hpp"

namespace currantspar {

// What the parts of an HTTP message may hold (RFC 9110, 5.5 and 5.6.2; RFC 9112, 3.2).

/// True for a method or the name of a header field. Thread safe.
[[nodiscard]] bool is_http_token(std::string_view text);
/// True for the value of a header field: no control characters but the tab. Thread safe.
[[nodiscard]] bool is_field_value(std::string_view text);
/// True for the target of a request line: neither empty, nor with spaces or control characters. Thread safe.
[[nodiscard]] bool is_request_target(std::string_view text);

/// True for text that holds no control characters, of ASCII or of C1 in UTF-8. Thread safe.
[[nodiscard]] bool is_printable(std::string_view text);

/// Returns text as one segment of a path, percent-encoded as RFC 3986, 3.3 asks. Thread safe.
[[nodiscard]] std::string to_path_segment(std::string_view text);
/// Returns text as the value of a query's parameter, percent-encoded. Thread safe.
[[nodiscard]] std::string to_query_value(std::string_view text);

/// Returns text for a log line or an error: in ASCII and quotes, with escapes, and cut after `max_bytes`.
/// Thread safe.
[[nodiscard]] std::string escaped_excerpt(std::string_view text, std::size_t max_bytes = 64);

/// Text that one peer has sent and that is written into a message to another one. It holds only what its rule
/// allows, because parse() is the only way to make one that isn't empty. `Rule` has `name`, `max_bytes` and
/// `allows`. Like a string, it can be read from several threads at once.
template <typename Rule>
class wire_text
{
public:
    /// Stands for no text.
    wire_text() = default;

    /// Returns an error of kind `invalid`, which quotes the text, when the rule doesn't allow it. Thread
    /// safe.
    [[nodiscard]] static result<wire_text> parse(std::string text)
    {
        const char* problem = text.empty()                    ? "is empty"
                              : text.size() > Rule::max_bytes ? "is too long"
                              : !Rule::allows(text)           ? "has characters that can't be passed on"
                                                              : nullptr;
        if (problem != nullptr) {
            return fail(error_kind::invalid,
                        std::string(Rule::name) + " " + problem + ": " + escaped_excerpt(text));
        }
        return wire_text(std::move(text));
    }

    [[nodiscard]] const std::string& str() const { return text_; }
    [[nodiscard]] bool empty() const { return text_.empty(); }

    friend auto operator<=>(const wire_text&, const wire_text&) = default;
    friend bool operator==(const wire_text&, const wire_text&) = default;
    friend void to_json(nlohmann::json& out, const wire_text& value) { out = value.text_; }
    /// Reads text that the rule doesn't allow as none.
    friend void from_json(const nlohmann::json& in, wire_text& value)
    {
        value = parse(in.get<std::string>()).value_or(wire_text());
    }

private:
    explicit wire_text(std::string text) : text_(std::move(text)) {}

    std::string text_;
};

/// The handle of a KV cache that an engine exports, opaque but for what a header field and a path can carry.
struct kv_handle_rule
{
    static constexpr std::string_view name = "KV handle";
    /// Percent-encoded it fits into the 8,000 bytes that every server accepts for a request line.
    static constexpr std::size_t max_bytes = 2048;
    [[nodiscard]] static bool allows(std::string_view text);
};
using kv_handle = wire_text<kv_handle_rule>;

/// The id of an event of a stream, which a server is sent to resume the stream.
struct event_id_rule
{
    static constexpr std::string_view name = "event id";
    static constexpr std::size_t max_bytes = 2048;
    [[nodiscard]] static bool allows(std::string_view text);
};
using event_id = wire_text<event_id_rule>;

/// The address of a server, `IP:port` with an IPv4 number and a port other than 0.
struct server_address_rule
{
    static constexpr std::string_view name = "address";
    static constexpr std::size_t max_bytes = std::string_view("255.255.255.255:65535").size();
    [[nodiscard]] static bool allows(std::string_view text);
};
using server_address = wire_text<server_address_rule>;

/// The longest name of a server or an organisation.
inline constexpr std::size_t max_name_bytes = 255;

/// True for a name that a header field, a path and a JSON text can carry: printable UTF-8 of 1 to
/// max_name_bytes bytes without spaces at its ends. Thread safe.
[[nodiscard]] bool is_sound_name(std::string_view text);

/// Decodes the id of a server, graphic ASCII of 1 to max_name_bytes characters; an error of kind `invalid`
/// quotes it. Thread safe.
[[nodiscard]] result<backend_id> parse_server_id(std::string text);

/// Decodes a name that a peer has sent; an error of kind `invalid` quotes it. Thread safe.
template <typename Name>
[[nodiscard]] result<Name> parse_name(std::string text)
{
    if (!is_sound_name(text)) {
        return fail(error_kind::invalid, "name can't be passed on: " + escaped_excerpt(text));
    }
    return Name(std::move(text));
}

} // namespace currantspar

#endif
