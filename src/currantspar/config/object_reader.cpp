#include "currantspar/config/object_reader.hpp"

#include <algorithm>

#include "currantspar/config/units.hpp"

namespace currantspar::config {

namespace {

constexpr std::size_t longest_name = 64;
constexpr std::size_t longest_shown_value = 80;

std::string shown(const nlohmann::json& value)
{
    std::string text = value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    if (text.size() > longest_shown_value) {
        text.resize(longest_shown_value);
        text += "...";
    }
    return text;
}

std::string range_text(const std::string& what, const std::string& least, const std::string& most)
{
    return what + " from " + least + " to " + most;
}

std::string plain(double value)
{
    return nlohmann::json(value).dump();
}

} // namespace

void fault_list::add(const std::string& pointer, std::string found, std::string expected)
{
    faults_.push_back({pointer, document_.line(pointer), std::move(found), std::move(expected)});
}

void fault_list::add_value(const std::string& pointer, const nlohmann::json& value, std::string expected)
{
    add(pointer, shown(value), std::move(expected));
}

diagnostics fault_list::sorted() const
{
    diagnostics ordered = faults_;
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const diagnostic& left, const diagnostic& right) { return left.line < right.line; });
    return ordered;
}

object_reader::object_reader(fault_list& faults, const nlohmann::json& value, std::string pointer)
    : faults_(faults), value_(value), pointer_(std::move(pointer))
{
    if (!value_.is_object()) {
        faults_.add_value(pointer_, value_, "an object");
    }
}

bool object_reader::has(std::string_view key) const
{
    return value_.is_object() && value_.contains(key);
}

const nlohmann::json* object_reader::find(std::string_view key, presence need)
{
    if (!value_.is_object()) {
        return nullptr;
    }
    read_.emplace(key);
    const auto found = value_.find(key);
    if (found != value_.end()) {
        return &*found;
    }
    if (need == presence::required) {
        faults_.add(pointer_, "no key \"" + std::string(key) + "\"", "the key \"" + std::string(key) + "\"");
    }
    return nullptr;
}

void object_reader::fault(std::string_view key, const nlohmann::json& value, std::string expected)
{
    faults_.add_value(pointer_to(pointer_, key), value, std::move(expected));
}

void object_reader::text(std::string_view key, std::string& out, presence need)
{
    const nlohmann::json* found = find(key, need);
    if (found == nullptr) {
        return;
    }
    if (!found->is_string()) {
        fault(key, *found, "a string");
        return;
    }
    found->get_to(out);
}

void object_reader::name(std::string_view key, std::string& out, presence need)
{
    const nlohmann::json* found = find(key, need);
    if (found == nullptr) {
        return;
    }
    if (!found->is_string() || !is_name(found->get_ref<const std::string&>())) {
        fault(key, *found, "a name of letters, digits, `.`, `_` and `-`, at most 64");
        return;
    }
    found->get_to(out);
}

void object_reader::address(std::string_view key, std::string& out, presence need)
{
    const nlohmann::json* found = find(key, need);
    if (found == nullptr) {
        return;
    }
    if (!found->is_string() || !is_address(found->get_ref<const std::string&>())) {
        fault(key, *found, "an address \"IP:port\"");
        return;
    }
    found->get_to(out);
}

void object_reader::boolean(std::string_view key, bool& out)
{
    const nlohmann::json* found = find(key, presence::optional);
    if (found == nullptr) {
        return;
    }
    if (!found->is_boolean()) {
        fault(key, *found, "true or false");
        return;
    }
    found->get_to(out);
}

void object_reader::number(std::string_view key, double& out, bounds<double> range)
{
    const nlohmann::json* found = find(key, presence::optional);
    if (found == nullptr) {
        return;
    }
    const bool inside =
        found->is_number() && found->get<double>() >= range.least && found->get<double>() <= range.most;
    if (!inside) {
        fault(key, *found, range_text("a number", plain(range.least), plain(range.most)));
        return;
    }
    found->get_to(out);
}

void object_reader::read_integer(std::string_view key, std::uint64_t& out, bounds<std::uint64_t> range)
{
    const nlohmann::json* found = find(key, presence::optional);
    if (found == nullptr) {
        return;
    }
    const bool inside = found->is_number_unsigned() && found->get<std::uint64_t>() >= range.least &&
                        found->get<std::uint64_t>() <= range.most;
    if (!inside) {
        fault(key, *found,
              range_text("a whole number", std::to_string(range.least), std::to_string(range.most)));
        return;
    }
    found->get_to(out);
}

void object_reader::time(std::string_view key, duration& out, bounds<duration> range)
{
    const nlohmann::json* found = find(key, presence::optional);
    if (found == nullptr) {
        return;
    }
    const auto read =
        found->is_string() ? parse_duration(found->get_ref<const std::string&>()) : std::optional<duration>();
    if (!read || *read < range.least || *read > range.most) {
        fault(key, *found,
              range_text("a duration with its unit, such as \"630ms\" or \"2h\",",
                         format_duration(range.least), format_duration(range.most)));
        return;
    }
    out = *read;
}

const nlohmann::json* object_reader::choice(std::string_view key, const std::set<std::string>& names)
{
    const nlohmann::json* found = find(key, presence::optional);
    if (found == nullptr) {
        return nullptr;
    }
    if (!found->is_string() || !names.contains(found->get<std::string>())) {
        fault(key, *found, "one of " + joined(names));
        return nullptr;
    }
    return found;
}

void object_reader::list(std::string_view key, const item_handler& handle, presence need)
{
    const nlohmann::json* found = find(key, need);
    if (found == nullptr) {
        return;
    }
    if (!found->is_array()) {
        fault(key, *found, "a list");
        return;
    }
    const std::string at = pointer_to(pointer_, key);
    for (std::size_t i = 0; i < found->size(); ++i) {
        handle((*found)[i], pointer_to(at, i));
    }
}

void object_reader::member(std::string_view key, const item_handler& handle, presence need)
{
    if (const nlohmann::json* found = find(key, need)) {
        handle(*found, pointer_to(pointer_, key));
    }
}

void object_reader::finish()
{
    if (!value_.is_object()) {
        return;
    }
    for (const auto& [key, value] : value_.items()) {
        if (!read_.contains(key)) {
            const std::set<std::string> known(read_.begin(), read_.end());
            faults_.add(pointer_to(pointer_, key), "the unknown key \"" + key + "\"",
                        "one of " + joined(known));
        }
    }
}

bool is_name(std::string_view text)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
               c == '_' || c == '-';
    };
    return !text.empty() && text.size() <= longest_name && std::all_of(text.begin(), text.end(), allowed);
}

std::string joined(const std::set<std::string>& names)
{
    std::string text;
    for (const std::string& name : names) {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text;
}

} // namespace currantspar::config
