#include <algorithm>

#include "currantspar/relay/relay_core.hpp"
#include "relay_log.hpp"

// The part of relay_core that decides what follows a failed attempt, and ends requests.

namespace currantspar::relay {

namespace {

constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

std::string_view outcome_name(core::request_outcome outcome)
{
    switch (outcome) {
    case core::request_outcome::answered:
        return "answered";
    case core::request_outcome::not_run:
        return "not_run";
    case core::request_outcome::unknown:
        return "unknown";
    }
    return "";
}

} // namespace

relay_effects relay_core::on_failure(attempt_id attempt, attempt_failure how, const std::string& detail,
                                     instant now)
{
    relay_effects out;
    const auto it = find_attempt(attempt);
    if (it == requests_.end()) {
        return out;
    }
    request& req = it->second;
    const bool lost = how == attempt_failure::lost;
    circuit_.on_failure(req.server, how == attempt_failure::not_written, now);
    const backend_id server = req.server;
    const bool prefilling = req.stage == attempt_stage::prefill_only;
    if (lost) {
        probe_after_loss(req, now, out);
    }
    if (lost && !prefilling) {
        req.runs += 1;
        req.may_have_run = true;
    }
    if (how == attempt_failure::not_run && req.runs == 0) {
        req.may_have_run = false;
    }
    const bool refused = req.stage == attempt_stage::decode_only && how == attempt_failure::not_run;
    end_attempt(req, false, now);
    req.excluded.insert(server);
    out.push_back(log_decision{"attempt_failed",
                               req.info.id,
                               {{"server", server.str()},
                                {"how", how == attempt_failure::not_written ? "not_written"
                                        : how == attempt_failure::not_run   ? "not_run"
                                                                            : "lost"},
                                {"detail", detail},
                                {"after_ms", milliseconds_text(now - req.sent)},
                                {"stage", std::string(stage_name(req.stage))},
                                {"first_event", req.has_events ? "true" : "false"},
                                {"segments", shared_segments_text(req.info)}}});
    if (refused) {
        if (retry_decode_elsewhere(it, now, out)) {
            return out;
        }
        avoided_prefill_[req.placed.prefill_engine] = now + options_.kv_failure_avoid_time;
    }
    retry_or_fail(it, lost && !prefilling, detail, now, out);
    return out;
}

relay_effects relay_core::on_not_encoded(attempt_id attempt, const std::string& detail, instant now)
{
    relay_effects out;
    const auto it = find_attempt(attempt);
    if (it == requests_.end()) {
        return out;
    }
    request& req = it->second;
    abandon_current(req, out);
    req.current = attempt_id();
    out.push_back(log_decision{
        "attempt_not_encoded",
        req.info.id,
        {{"server", req.server.str()}, {"detail", detail}, {"stage", std::string(stage_name(req.stage))}}});
    fail(it, detail, now, out);
    return out;
}

bool relay_core::may_send_again(const request& req, bool after_run, instant now)
{
    if (req.attempts_made >= options_.max_total_attempts || now + options_.min_time_left >= req.deadline) {
        return false;
    }
    if (after_run || req.runs > 0) {
        const bool repeatable = req.route->kind == route_kind::idempotent || req.route->resumable;
        if (!repeatable || req.runs >= req.route->max_attempts) {
            return false;
        }
    }
    // A retry may request both the prefill and the execution again.
    return budget(req.service).available(2);
}

void relay_core::retry_or_fail(request_map::iterator it, bool after_run, const std::string& detail,
                               instant now, relay_effects& out)
{
    request& req = it->second;
    if (!may_send_again(req, after_run, now)) {
        fail(it, detail, now, out);
        return;
    }
    dispatch(it, now, out);
}

void relay_core::end_attempt(request& req, bool good, instant now)
{
    health_[req.service].on_ended(req.server, good, std::chrono::duration_cast<duration>(now - req.sent),
                                  now);
    if (good) {
        circuit_.on_success(req.server);
    }
    attempts_.erase(req.current);
    req.current = attempt_id();
}

void relay_core::release_load(request& req)
{
    if (req.load_key.value() != 0) {
        engines_.on_ended(req.load_key);
        req.load_key = attempt_id();
    }
}

void relay_core::fail(request_map::iterator it, const std::string& reason, instant now, relay_effects& out)
{
    request& req = it->second;
    if (req.streaming) {
        out.push_back(abort_response{it->first});
        finish(it, core::request_outcome::unknown, reason, now, out);
        return;
    }
    if (!req.may_have_run) {
        refuse(it, status_unavailable, retry_wait(req.service, reason, now), reason, now, out);
        return;
    }
    const bool late = now + options_.min_time_left >= req.deadline;
    out.push_back(reply{it->first, late ? status_gateway_timeout : status_bad_gateway, {}, reason});
    finish(it, core::request_outcome::unknown, reason, now, out);
}

duration relay_core::retry_wait(const service_id& service, std::string_view reason, instant now) const
{
    if (reason == stopping_reason) {
        return stopping_retry;
    }
    if (reason == limited_reason) {
        return limits_wait(service, now);
    }
    return reason == "no_server" ? no_server_wait(service, now) : options_.full_retry;
}

duration relay_core::no_server_wait(const service_id& service, instant now) const
{
    const auto pause_end = directory_.first_pause_end(service);
    if (!pause_end || *pause_end <= now) {
        return options_.no_server_retry;
    }
    return std::chrono::duration_cast<duration>(*pause_end - now);
}

void relay_core::refuse(request_map::iterator it, int status, duration retry_after, const std::string& reason,
                        instant now, relay_effects& out)
{
    out.push_back(reply{it->first, status, retry_after, reason});
    finish(it, core::request_outcome::not_run, reason, now, out);
}

void relay_core::finish(request_map::iterator it, core::request_outcome outcome, const std::string& reason,
                        instant now, relay_effects& out)
{
    request& req = it->second;
    release_load(req);
    core::ledger_account& account = accounts_[req.service];
    account.in_flight -= 1;
    switch (outcome) {
    case core::request_outcome::answered:
        account.answered += 1;
        break;
    case core::request_outcome::not_run:
        account.not_run += 1;
        break;
    case core::request_outcome::unknown:
        account.unknown += 1;
        break;
    }
    out.push_back(log_decision{"request_ended",
                               req.info.id,
                               {{"outcome", std::string(outcome_name(outcome))},
                                {"reason", reason},
                                {"server", req.server.str()},
                                {"sends", std::to_string(req.attempts_made)},
                                {"longest_pause_ms", milliseconds_text(req.longest_pause)},
                                {"after_ms", milliseconds_text(now - req.arrived)}}});
    requests_.erase(it);
}

const char* relay_core::timeout_reason(const request& req, instant now) const
{
    if (req.current.value() == 0) {
        return nullptr;
    }
    const bool may_repeat =
        req.route->kind == route_kind::idempotent && req.written && req.runs + 1 < req.route->max_attempts;
    if (may_repeat && now - req.sent > req.route->target * options_.idempotent_timeout_factor) {
        return "silent";
    }
    const bool prefilling = req.stage == attempt_stage::prefill_only;
    const duration expected = from_seconds(req.placed.first_event_ms / 1000.0);
    return prefilling && now - req.sent > expected + options_.prefill_grace ? "prompt_late" : nullptr;
}

} // namespace currantspar::relay
