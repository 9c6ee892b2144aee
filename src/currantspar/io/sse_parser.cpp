#include "sse_parser.hpp"

#include <utility>

namespace currantspar::io {

std::vector<sse_event> sse_parser::feed(std::string_view bytes)
{
    std::vector<sse_event> events;
    while (!bytes.empty() && !overflowed_) {
        const std::size_t end = bytes.find('\n');
        partial_.append(bytes.substr(0, end));
        overflowed_ = partial_.size() + current_.data.size() > most_;
        if (end == std::string_view::npos) {
            break;
        }
        take_line(partial_, events);
        partial_.clear();
        bytes.remove_prefix(end + 1);
    }
    return events;
}

void sse_parser::take_line(std::string_view line, std::vector<sse_event>& events)
{
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (line.empty()) {
        if (has_data_) {
            events.push_back(std::exchange(current_, {}));
        }
        current_ = {};
        has_data_ = false;
        return;
    }
    const std::size_t colon = line.find(':');
    const std::string_view field = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (field == "event") {
        current_.name = value;
    } else if (field == "data") {
        current_.data.append(has_data_ ? "\n" : "").append(value);
        has_data_ = true;
    }
}

} // namespace currantspar::io
