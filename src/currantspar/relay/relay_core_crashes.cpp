#include <algorithm>

#include "currantspar/relay/relay_core.hpp"
#include "relay_log.hpp"

// The part of relay_core that finds out which losses were crashes, and refuses requests that cause them.

namespace currantspar::relay {

namespace {

constexpr int status_unavailable = 503;
constexpr std::size_t max_logged_requests = 8;

std::string joined(const std::vector<std::string>& parts)
{
    std::string text;
    for (std::size_t index = 0; index < std::min(parts.size(), max_logged_requests); ++index) {
        text.append(index > 0 ? "," : "").append(parts[index]);
    }
    return text;
}

const char* event_name(quarantine_change::kind what)
{
    switch (what) {
    case quarantine_change::kind::started:
        return "segment_quarantined";
    case quarantine_change::kind::trial:
        return "quarantine_trial";
    case quarantine_change::kind::ended:
        return "quarantine_ended";
    }
    return "";
}

} // namespace

void relay_core::probe_after_loss(const request& req, instant now, relay_effects& out)
{
    const server_entry* server = directory_.find(req.server);
    // A draining server ends by itself, so that losses there say nothing about the requests.
    const bool crash_is_possible = server != nullptr && server->role && !server->draining;
    const std::vector<segment_id> segments = shared_segments(req.info);
    const bool began_long_ago = req.has_events && req.first_event_at >= req.sent &&
                                now - req.first_event_at > options_.crash_after_first_event;
    if (!crash_is_possible || segments.empty() || began_long_ago) {
        return;
    }
    const auto [losses, added] = unexplained_.try_emplace(req.server);
    losses->second.push_back({req.info.id, server->started_ms, req.sent, now, segments});
    if (added) {
        out.push_back(probe_server{req.server, server->address});
    }
}

relay_effects relay_core::on_probed(const backend_id& server, probe_result result, instant now)
{
    relay_effects out;
    const auto found = unexplained_.find(server);
    if (found == unexplained_.end()) {
        return out;
    }
    const std::vector<unexplained_loss> losses = std::move(found->second);
    unexplained_.erase(found);
    if (result != probe_result::refused) {
        return out;
    }
    std::vector<lost_request> lost;
    std::vector<std::string> ids;
    for (const unexplained_loss& loss : losses) {
        lost.push_back({loss.request_id, server, loss.server_started_ms,
                        std::chrono::duration_cast<duration>(now - loss.sent),
                        std::chrono::duration_cast<duration>(now - loss.lost), loss.segments});
        ids.push_back(loss.request_id);
    }
    out.push_back(log_decision{"engine_crashed",
                               {},
                               {{"server", server.str()},
                                {"started_ms", std::to_string(losses.front().server_started_ms)},
                                {"lost", std::to_string(losses.size())},
                                {"requests", joined(ids)}}});
    quarantine_.on_crash(lost, now);
    log_quarantine_changes(out);
    return out;
}

bool relay_core::refuse_quarantined(request_map::iterator it, instant now, relay_effects& out)
{
    request& req = it->second;
    if (req.is_trial) {
        return false;
    }
    const quarantine_verdict verdict = quarantine_.check(req.info, now);
    req.is_trial = verdict.trial;
    if (!verdict.refused) {
        return false;
    }
    constexpr const char* reason = "segment_quarantined";
    const quarantined_segment& state = *verdict.refused;
    out.push_back(log_decision{"request_refused",
                               req.info.id,
                               {{"reason", reason},
                                {"segment", segment_text(state.segment)},
                                {"trials", std::to_string(state.trials)},
                                {"quarantine_age_ms", milliseconds_text(state.age)},
                                {"retry_after_ms", milliseconds_text(state.remaining)}}});
    refusals_[{req.service, reason}] += 1;
    if (req.may_have_run || req.streaming) {
        fail(it, reason, now, out);
    } else {
        refuse(it, status_unavailable, state.remaining, reason, now, out);
    }
    return true;
}

void relay_core::log_quarantine_changes(relay_effects& out)
{
    for (const quarantine_change& change : quarantine_.take_changes()) {
        out.push_back(log_decision{event_name(change.what),
                                   {},
                                   {{"segment", segment_text(change.segment)},
                                    {"trials", std::to_string(change.trials)},
                                    {"remaining_ms", milliseconds_text(change.remaining)},
                                    {"source", change.source.empty() ? "own" : change.source},
                                    {"engines", joined(change.engines)},
                                    {"requests", joined(change.requests)}}});
    }
}

void relay_core::log_statement_ends(relay_effects& out)
{
    for (const statement_end& end : directory_.take_statement_ends()) {
        const bool paused = end.what == statement_end::kind::pause;
        out.push_back(log_decision{paused ? "server_pause_ended" : "server_leaving_ended",
                                   {},
                                   {{"server", end.server.str()},
                                    {"reason", end.reason},
                                    {"lasted_ms", milliseconds_text(end.lasted)}}});
    }
}

} // namespace currantspar::relay
