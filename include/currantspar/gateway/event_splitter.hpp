#ifndef CURRANTSPAR_GATEWAY_EVENT_SPLITTER_HPP
#define CURRANTSPAR_GATEWAY_EVENT_SPLITTER_HPP

#include <string>
#include <string_view>

namespace currantspar::gateway {

/// Cuts a stream of server-sent events at their ends, so that only whole events are passed on. The events
/// stay byte for byte as they came. Not thread safe.
class event_splitter
{
public:
    /// Adds bytes and returns those that end a whole event; the rest waits.
    [[nodiscard]] std::string push(std::string_view bytes);
    /// The id of the last whole event; empty: none had one.
    [[nodiscard]] const std::string& last_id() const { return last_id_; }
    /// True when no part of an event waits.
    [[nodiscard]] bool at_event_end() const { return incomplete_.empty(); }

private:
    void update_last_id(std::string_view events);

    std::string incomplete_;
    std::string last_id_;
};

} // namespace currantspar::gateway

#endif
