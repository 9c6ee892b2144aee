#include "currantspar/base/wire_text.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>

#include <arpa/inet.h>
#include <nlohmann/json.hpp>

namespace currantspar {

namespace {

constexpr unsigned char delete_character = 0x7f;
/// In UTF-8, this byte and one from 0x80 to 0x9f make a control character of C1.
constexpr char c1_lead = '\xc2';
constexpr char c1_first = '\x80';
constexpr char c1_last = '\x9f';

bool is_alphanumeric(char each)
{
    return (each >= '0' && each <= '9') || (each >= 'a' && each <= 'z') || (each >= 'A' && each <= 'Z');
}

bool is_control(char each)
{
    const auto byte = static_cast<unsigned char>(each);
    return byte < ' ' || byte == delete_character;
}

/// The receiver of a header field drops the spaces at its value's ends.
bool keeps_its_ends(std::string_view text)
{
    return !text.empty() && text.front() != ' ' && text.back() != ' ';
}

/// Such a segment of a path stands for another one (RFC 3986, 5.2.4).
bool is_dot_segment(std::string_view text)
{
    return text == "." || text == "..";
}

/// Encodes all but letters, digits and `plain`.
std::string percent_encoded(std::string_view text, std::string_view plain)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (const char each : text) {
        if (is_alphanumeric(each) || plain.find(each) != std::string_view::npos) {
            out.push_back(each);
            continue;
        }
        const auto byte = static_cast<unsigned char>(each);
        out.append({'%', digits[byte >> 4U], digits[byte & 0xfU]});
    }
    return out;
}

bool is_port(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), port);
    return problem == std::errc() && end == text.data() + text.size() && port > 0;
}

} // namespace

bool is_http_token(std::string_view text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char each) {
        return is_alphanumeric(each) || marks.find(each) != std::string_view::npos;
    });
}

bool is_field_value(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char each) { return is_control(each) && each != '\t'; });
}

bool is_request_target(std::string_view text)
{
    return !text.empty() &&
           std::none_of(text.begin(), text.end(), [](char each) { return is_control(each) || each == ' '; });
}

bool is_printable(std::string_view text)
{
    for (std::size_t index = 0; index < text.size(); ++index) {
        const bool is_c1 = text[index] == c1_lead && index + 1 < text.size() && text[index + 1] >= c1_first &&
                           text[index + 1] <= c1_last;
        if (is_c1 || is_control(text[index])) {
            return false;
        }
    }
    return true;
}

std::string to_path_segment(std::string_view text)
{
    return percent_encoded(text, "-._~!$&'()*+,;=:@");
}

std::string to_query_value(std::string_view text)
{
    return percent_encoded(text, "-._~");
}

std::string escaped_excerpt(std::string_view text, std::size_t max_bytes)
{
    const nlohmann::json beginning = std::string(text.substr(0, max_bytes));
    std::string out = beginning.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    if (text.size() > max_bytes) {
        out.append("... (").append(std::to_string(text.size())).append(" bytes)");
    }
    return out;
}

bool kv_handle_rule::allows(std::string_view text)
{
    return is_printable(text) && keeps_its_ends(text) && !is_dot_segment(text);
}

bool event_id_rule::allows(std::string_view text)
{
    return is_printable(text) && keeps_its_ends(text);
}

bool server_address_rule::allows(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || !is_printable(text)) {
        return false;
    }
    in_addr number{};
    const std::string host(text.substr(0, colon));
    return inet_pton(AF_INET, host.c_str(), &number) == 1 && is_port(text.substr(colon + 1));
}

result<backend_id> parse_server_id(std::string text)
{
    constexpr auto is_graphic = [](char each) { return each > ' ' && each <= '~'; };
    if (text.empty() || text.size() > max_name_bytes || !std::all_of(text.begin(), text.end(), is_graphic)) {
        return fail(error_kind::invalid, "server id can't be passed on: " + escaped_excerpt(text));
    }
    return backend_id(std::move(text));
}

bool is_sound_name(std::string_view text)
{
    const auto is_utf8 = [&] {
        try {
            static_cast<void>(nlohmann::json(text).dump());
            return true;
        } catch (const nlohmann::json::type_error&) {
            return false;
        }
    };
    return text.size() <= max_name_bytes && keeps_its_ends(text) && is_printable(text) && is_utf8();
}

} // namespace currantspar
