#include "currantspar/gateway/event_splitter.hpp"

#include <algorithm>
#include <utility>

namespace currantspar::gateway {

namespace {

constexpr std::string_view id_field = "id:";
/// A line of an event ends with either or both.
constexpr std::string_view line_ends = "\r\n";
/// The receiver of a header field drops them at its value's ends.
constexpr std::string_view blanks = " \t";

constexpr std::string_view blank_line = "\n\n";
constexpr std::string_view blank_line_with_returns = "\r\n\r\n";

/// The position after the last blank line that ends after `from`; 0 when there is none.
std::size_t last_event_end(std::string_view text, std::size_t from)
{
    const std::size_t overlap = blank_line_with_returns.size() - 1;
    const std::size_t begin = from - std::min(from, overlap);
    const std::string_view recent = text.substr(begin);
    std::size_t end = 0;
    for (const std::string_view separator : {blank_line, blank_line_with_returns}) {
        const std::size_t found = recent.rfind(separator);
        if (found != std::string_view::npos) {
            end = std::max(end, begin + found + separator.size());
        }
    }
    return end;
}

} // namespace

std::string event_splitter::push(std::string_view bytes)
{
    // What was buffered before holds no blank line, so only the new bytes are searched.
    const std::size_t searched = incomplete_.size();
    incomplete_.append(bytes);
    const std::size_t end = last_event_end(incomplete_, searched);
    if (end == 0) {
        return {};
    }
    std::string rest = incomplete_.substr(end);
    incomplete_.resize(end);
    std::string events = std::exchange(incomplete_, std::move(rest));
    update_last_id(events);
    return events;
}

void event_splitter::update_last_id(std::string_view events)
{
    while (!events.empty()) {
        const std::size_t end = std::min(events.find_first_of(line_ends), events.size());
        std::string_view line = events.substr(0, end);
        events.remove_prefix(std::min(end + 1, events.size()));
        if (!line.starts_with(id_field)) {
            continue;
        }
        line.remove_prefix(id_field.size());
        line.remove_prefix(std::min(line.find_first_not_of(blanks), line.size()));
        line.remove_suffix(line.size() - (line.find_last_not_of(blanks) + 1));
        last_id_ = line.empty() ? event_id() : event_id::parse(std::string(line));
    }
}

} // namespace currantspar::gateway
