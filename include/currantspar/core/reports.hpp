#ifndef CURRANTSPAR_CORE_REPORTS_HPP
#define CURRANTSPAR_CORE_REPORTS_HPP

#include <map>
#include <set>
#include <string>
#include <vector>

#include "currantspar/core/event.hpp"

namespace currantspar::core {

struct node_state;
struct step_context;

/// Collection of engine reports: one node of the data centre polls an engine and sends digests to the others.
struct report_state
{
    struct polled
    {
        instant due{};
        bool open = false;
        instant opened{};
        instant last{};          ///< when the last report arrived, directly or through another node
        bool unanswered = false; ///< a poll by this node has failed since then
        std::uint64_t next_cache_sequence = 0;
        policy::engine_condition condition = policy::engine_condition::serving; ///< of the last report
    };
    std::map<engine_id, polled> engines;                 ///< engines of this data centre
    std::set<engine_id> collected;                       ///< engines polled by this node
    std::set<engine_id> shared;                          ///< polled engines whose reports this node forwards
    std::map<engine_id, instant> outgoing;               ///< reports received since the last digest
    std::vector<policy::cache_event_batch> cache_events; ///< received since the last digest
    instant assign_due{};
    instant digest_due{};
    duration digest_interval{}; ///< time until the next digest, grows with the size of the last one
    double delta_bytes = 0;     ///< remaining byte budget for delta digests
    instant delta_refilled{};   ///< when delta_bytes was refilled
};

namespace reports {

void on_report(step_context& context, const report_received& incoming);
void on_report_failed(step_context& context, const report_failed& incoming);
void on_cache_events(step_context& context, const cache_events_received& incoming);
void on_digest(step_context& context, const peer_received& from, const load_digest& digest);
void on_tick(step_context& context);
/// True for an engine without a report for so long that a poll by this node must have failed as well.
[[nodiscard]] bool unresponsive(const step_context& context, const engine_id& engine);
/// Time since the last report of an engine and whether a poll has failed since, as text for the timeline.
[[nodiscard]] std::string unresponsive_detail(const step_context& context, const engine_id& engine);
/// Sends peers a delta digest of the engines whose work from this node has changed, within a byte budget.
/// Changes that exceed the budget wait for the next call or the next digest.
void send_delta_digest(step_context& context);

} // namespace reports
} // namespace currantspar::core

#endif
