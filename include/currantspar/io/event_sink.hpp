#ifndef CURRANTSPAR_IO_EVENT_SINK_HPP
#define CURRANTSPAR_IO_EVENT_SINK_HPP

#include <functional>

#include "currantspar/core/event.hpp"

namespace currantspar::io {

/// Takes an event from an adapter to the node's queue. Adapters call it from any of their threads, so it must
/// be thread safe and must not block.
using event_sink = std::function<void(core::event_body)>;

} // namespace currantspar::io

#endif
