#ifndef CURRANTSPAR_GATEWAY_EVENT_SPLITTER_HPP
#define CURRANTSPAR_GATEWAY_EVENT_SPLITTER_HPP

#include <cstddef>
#include <string>
#include <string_view>

#include "currantspar/base/wire_text.hpp"

namespace currantspar::gateway {

/// Splits a stream of server-sent events at event boundaries, so that only complete events are forwarded. The
/// bytes of an event aren't changed. Not thread safe.
class event_splitter
{
public:
    /// Adds bytes and returns all complete events received so far; an incomplete event stays buffered.
    [[nodiscard]] std::string push(std::string_view bytes);
    /// The last id among the complete events, empty when none had an id; an error of kind `invalid` when no
    /// server can be sent it.
    [[nodiscard]] const result<event_id>& last_id() const { return last_id_; }
    /// True when no incomplete event is buffered.
    [[nodiscard]] bool at_event_end() const { return incomplete_.empty(); }
    /// The size of the incomplete event.
    [[nodiscard]] std::size_t buffered_bytes() const { return incomplete_.size(); }

private:
    void update_last_id(std::string_view events);

    std::string incomplete_;
    result<event_id> last_id_;
};

} // namespace currantspar::gateway

#endif
