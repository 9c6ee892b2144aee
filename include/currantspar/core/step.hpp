#ifndef CURRANTSPAR_CORE_STEP_HPP
#define CURRANTSPAR_CORE_STEP_HPP

#include <utility>

#include "currantspar/core/effect.hpp"
#include "currantspar/core/state.hpp"

namespace currantspar::core {

/// Context of one reducer call: the node's state, the event's time, and the effects emitted so far.
struct step_context
{
    node_state& state;
    instant now;
    wall_time wall;
    effect_list& effects;

    void emit(effect value) const { effects.push_back(std::move(value)); }

    /// Adds an entry to the timeline and sets its times and sequence number.
    void trace(timeline_entry entry) const
    {
        entry.at = now;
        entry.wall = wall;
        entry.sequence = ++state.timeline_sequence;
        effects.push_back(add_timeline{std::move(entry)});
    }

    /// Sends a message to another node, numbered with this node's message counter.
    void send(const node_id& to, peer_message message) const
    {
        effects.push_back(send_peer{to, ++state.peer_counter, std::move(message)});
    }
};

} // namespace currantspar::core

#endif
