#ifndef CURRANTSPAR_CORE_TIMELINE_ENTRY_HPP
#define CURRANTSPAR_CORE_TIMELINE_ENTRY_HPP

#include <cstdint>
#include <string>

#include "currantspar/base/ids.hpp"
#include "currantspar/base/json.hpp"

namespace currantspar::core {

/// An entry of the timeline: a node's events, readable by operators. Empty and zero members don't apply.
struct timeline_entry
{
    std::string kind; ///< from a fixed set, such as `request.routed` or `order.intent`
    wall_time wall{};
    instant at{};
    std::uint64_t sequence = 0; ///< counter of the node; a gap means that entries were dropped
    request_id request;
    attempt_id attempt;
    engine_id engine;
    backend_id backend;
    service_id service;
    revision in_force;
    log_offset offset; ///< of the log record that caused the entry
    node_id peer;      ///< sender of the message that caused the entry
    std::uint64_t peer_counter = 0;
    std::string detail; ///< `key=value` pairs; never contains bodies or keys
};

CURRANTSPAR_JSON(timeline_entry, kind, wall, at, sequence, request, attempt, engine, backend, service,
                 in_force, offset, peer, peer_counter, detail)

} // namespace currantspar::core

#endif
