#include "currantspar/relay/relay_core.hpp"

// The part of relay_core that keeps to the limits which servers name.

namespace currantspar::relay {

void relay_core::log_limit_changes(relay_effects& out)
{
    for (const limit_change& change : limits_.take_changes()) {
        log_decision logged{
            change.per_second ? "server_limited" : "server_limit_ended",
            {},
            {{"server", change.server.str()}, {"source", change.source.empty() ? "own" : change.source}}};
        if (change.per_second) {
            logged.fields.emplace_back("per_second", std::to_string(*change.per_second));
            logged.fields.emplace_back("own_share", std::to_string(change.own_share));
        }
        out.push_back(std::move(logged));
    }
}

} // namespace currantspar::relay
