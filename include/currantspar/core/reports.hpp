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

/// Collecting engine reports: one node of the data centre reads an engine, the others get a digest.
struct report_state
{
    struct polled
    {
        instant due{};
        bool open = false;
        instant opened{};
        instant last{};          ///< when it was heard of, also from another node
        bool unanswered = false; ///< this node asked it in vain since then
        std::uint64_t next_cache_sequence = 0;
        policy::engine_condition condition = policy::engine_condition::serving; ///< as reported last
    };
    std::map<engine_id, polled> engines;                 ///< of this data centre
    std::set<engine_id> collected;                       ///< the engines that this node reads
    std::set<engine_id> shared;                          ///< those of them whose reports it passes on
    std::map<engine_id, instant> outgoing;               ///< reports received since the last digest
    std::vector<policy::cache_event_batch> cache_events; ///< read since the last digest
    instant assign_due{};
    instant digest_due{};
    duration digest_interval{}; ///< before the next digest, by the size of the last one
    double delta_bytes = 0;     ///< that may be sent now
    instant delta_refilled{};   ///< when delta_bytes was counted
};

namespace reports {

void on_report(step_context& context, const report_received& incoming);
void on_report_failed(step_context& context, const report_failed& incoming);
void on_cache_events(step_context& context, const cache_events_received& incoming);
void on_digest(step_context& context, const peer_received& from, const load_digest& digest);
void on_tick(step_context& context);
/// True for an engine of which this node has heard nothing for so long that it must have asked it in vain.
[[nodiscard]] bool unresponsive(const step_context& context, const engine_id& engine);
/// For how long an engine hasn't been heard of and whether it was asked in vain, for the time line.
[[nodiscard]] std::string unresponsive_detail(const step_context& context, const engine_id& engine);
/// Tells peers at once which engines got work from this node or finished it, within a budget of bytes; what
/// doesn't fit waits for the next call or the next digest.
void send_delta_digest(step_context& context);

} // namespace reports
} // namespace currantspar::core

#endif
