#include "currantspar/gateway/event_splitter.hpp"

#include <algorithm>
#include <utility>

namespace currantspar::gateway {

namespace {

constexpr std::string_view id_field = "id:";

/// The position after the last blank line; 0 when there is none.
std::size_t last_event_end(std::string_view text)
{
    const std::size_t plain = text.rfind("\n\n");
    const std::size_t with_returns = text.rfind("\r\n\r\n");
    const std::size_t plain_end = plain == std::string_view::npos ? 0 : plain + 2;
    const std::size_t returns_end = with_returns == std::string_view::npos ? 0 : with_returns + 4;
    return std::max(plain_end, returns_end);
}

} // namespace

std::string event_splitter::push(std::string_view bytes)
{
    incomplete_.append(bytes);
    const std::size_t end = last_event_end(incomplete_);
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
        const std::size_t end = std::min(events.find('\n'), events.size());
        std::string_view line = events.substr(0, end);
        events.remove_prefix(std::min(end + 1, events.size()));
        if (!line.starts_with(id_field)) {
            continue;
        }
        line.remove_prefix(id_field.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        while (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        last_id_.assign(line);
    }
}

} // namespace currantspar::gateway
