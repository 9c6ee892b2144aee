#include "currantspar/relay/relay_core.hpp"

#include <algorithm>
#include <cmath>

#include "relay_log.hpp"

namespace currantspar::relay {

namespace {

constexpr int status_unavailable = 503;
constexpr int status_not_found = 404;
constexpr int first_non_success_status = 300;
constexpr int first_server_error = 500;
/// A prefill and a decode attempt; a retry makes the first event later than admission predicted.
constexpr unsigned attempts_without_retry = 2;
/// Number of nodes assumed to share the retry budget until on_nodes is called.
constexpr double assumed_nodes = 32;

engine_choice_options engine_options(const relay_options& options)
{
    engine_choice_options result = options.engines;
    result.data_centre = options.data_centre;
    result.seed = options.seed;
    return result;
}

} // namespace

relay_core::relay_core(relay_options options)
    : options_(std::move(options)), random_(options_.seed), engines_(engine_options(options_)),
      quarantine_(options_.quarantine),
      limits_(options_.limits), retries_{options_.retries_per_request,
                                         options_.retries_reserve / assumed_nodes}
{}

void relay_core::on_nodes(std::size_t nodes)
{
    const double reserve = options_.retries_reserve / static_cast<double>(nodes);
    if (reserve == retries_.reserve) {
        return;
    }
    retries_.reserve = reserve;
    for (auto& [service, left] : budgets_) {
        left.set_options(retries_);
    }
}

policy::retry_budget& relay_core::budget(const service_id& service)
{
    return budgets_.try_emplace(service, retries_).first->second;
}

bool relay_core::on_config(std::shared_ptr<const relay_config> config)
{
    if (!routes_.adopt(std::move(config))) {
        return false;
    }
    keys_ = api_keys(routes_.config());
    revocation_due_ = options_.strict_revocation;
    return true;
}

entry_change relay_core::on_server_change(const directory_change& change, instant now)
{
    const server_entry* before = directory_.find(change.id);
    const bool restarted =
        before != nullptr && change.entry && change.entry->started_ms != before->started_ms;
    const entry_change effect = directory_.apply(change, now);
    if (restarted || (!change.entry && effect == entry_change::closed)) {
        engines_.forget_engine(change.id);
    }
    if (change.entry) {
        limits_.on_entry(*change.entry);
    }
    return effect;
}

void relay_core::on_listing(const std::vector<server_entry>& listed, instant now)
{
    for (const directory_change& change : directory_.changes_to(listed)) {
        on_server_change(change, now);
    }
}

std::vector<server_entry> relay_core::responsive_servers(const service_id& service, instant now) const
{
    const std::vector<server_entry>& open = directory_.open_servers(service);
    const std::set<backend_id> avoided = circuit_.avoided(open, now);
    std::vector<server_entry> responsive;
    std::copy_if(open.begin(), open.end(), std::back_inserter(responsive),
                 [&](const server_entry& server) { return !avoided.contains(server.id); });
    return responsive;
}

bool relay_core::ready() const
{
    return routes_.config() != nullptr && directory_.size() > 0;
}

std::set<backend_id> relay_core::excluded_servers(const request& req,
                                                  const std::vector<server_entry>& servers, instant now) const
{
    std::set<backend_id> result = req.excluded;
    for (const server_entry& server : servers) {
        if (!limits_.admits(server.id, now)) {
            result.insert(server.id);
        }
    }
    return result;
}

std::set<backend_id> relay_core::avoided_servers(const request& req, const std::vector<server_entry>& servers,
                                                 instant now) const
{
    std::set<backend_id> result = circuit_.avoided(servers, now);
    result.merge(excluded_servers(req, servers, now));
    return result;
}

relay_core::request_map::iterator relay_core::find_attempt(attempt_id attempt)
{
    const auto found = attempts_.find(attempt);
    return found == attempts_.end() ? requests_.end() : requests_.find(found->second);
}

relay_effects relay_core::on_request(request_number number, request_info info, instant now)
{
    relay_effects out;
    const route_lookup found = routes_.find(info.host, info.path);
    if (found.match != route_match::found || found.route->services.empty()) {
        const bool unknown = found.match == route_match::unknown_route;
        out.push_back(reply{number, unknown ? status_not_found : status_unavailable,
                            unknown ? duration{} : options_.no_server_retry,
                            unknown ? "no_such_route" : "no_configuration"});
        out.push_back(log_decision{"request_rejected",
                                   info.id,
                                   {{"reason", unknown ? "no_such_route" : "no_configuration"},
                                    {"config_version", std::to_string(routes_.version())}}});
        return out;
    }
    const organisation_spec* organisation = keys_.find(info.api_key_hash);
    if (organisation == nullptr && keys_.required() && !found.route->is_public) {
        refuse_key(number, info, *found.route, out);
        return out;
    }
    request req;
    req.priority = found.route->priority;
    if (organisation != nullptr) {
        req.organisation = organisation->name;
        req.priority = organisation->priority.value_or(req.priority);
    }
    req.info = std::move(info);
    req.config = routes_.config();
    req.route = found.route;
    req.service = choose_service(*found.route, random_);
    req.arrived = now;
    req.last_event = req.info.resume_after;
    const duration caller_timeout = req.info.time_left.value_or(req.route->timeout);
    req.deadline = now + (req.route->timeout.count() > 0 ? std::min(caller_timeout, req.route->timeout)
                                                         : caller_timeout);
    accounts_[req.service].accepted += 1;
    accounts_[req.service].in_flight += 1;
    budget(req.service).earn();
    const auto it = requests_.emplace(number, std::move(req)).first;
    dispatch(it, now, out);
    return out;
}

relay_effects relay_core::on_caller_disconnected(request_number number, const std::string& detail,
                                                 instant now)
{
    relay_effects out;
    const auto it = requests_.find(number);
    if (it == requests_.end()) {
        return out;
    }
    request& req = it->second;
    abandon_current(req, out);
    release_load(req);
    accounts_[req.service].in_flight -= 1;
    accounts_[req.service].caller_gone += 1;
    out.push_back(log_decision{"caller_gone",
                               req.info.id,
                               {{"detail", detail},
                                {"after_ms", milliseconds_text(now - req.arrived)},
                                {"server", req.server.str()},
                                {"last_event", req.last_event.str()}}});
    requests_.erase(it);
    return out;
}

void relay_core::dispatch(request_map::iterator it, instant now, relay_effects& out)
{
    request& req = it->second;
    if (now + options_.min_time_left >= req.deadline) {
        fail(it, "no_time_left", now, out);
        return;
    }
    const relayed_service* service = req.config->find_service(req.service);
    if (service != nullptr && service->engines) {
        dispatch_generation(it, *service->engines, now, out);
    } else {
        dispatch_call(it, now, out);
    }
}

void relay_core::dispatch_call(request_map::iterator it, instant now, relay_effects& out)
{
    request& req = it->second;
    const std::vector<server_entry>& servers = directory_.open_servers(req.service);
    const std::set<backend_id> avoided = circuit_.avoided(servers, now);
    const std::set<backend_id> excluded = excluded_servers(req, servers, now);
    std::vector<backend_id> candidates;
    std::vector<backend_id> fallbacks;
    for (const server_entry& server : servers) {
        if (excluded.contains(server.id)) {
            continue;
        }
        // A retry after an error response may go to the same server, but only if no other one is left.
        const bool is_fallback = avoided.contains(server.id) || server.id == req.server;
        (is_fallback ? fallbacks : candidates).push_back(server.id);
    }
    const auto chosen =
        health_[req.service].choose(candidates.empty() ? fallbacks : candidates, now, random_);
    if (!chosen) {
        fail(it, unavailable_reason(servers, now), now, out);
        return;
    }
    send(it, *directory_.find(*chosen), attempt_stage::full_request, {}, {}, now, out);
}

void relay_core::send(request_map::iterator it, const server_entry& server, attempt_stage stage,
                      const kv_handle& handle, const server_address& handle_address, instant now,
                      relay_effects& out)
{
    request& req = it->second;
    const attempt_id attempt(++last_attempt_);
    req.current = attempt;
    req.server = server.id;
    req.stage = stage;
    req.sent = now;
    req.written = false;
    req.attempts_made += 1;
    spend_retry(req, stage);
    attempts_.emplace(attempt, it->first);
    limits_.on_sent(server.id, now);
    health_[req.service].on_started(server.id);
    const event_id resume = stage == attempt_stage::prefill_only ? event_id() : req.last_event;
    const bool stream = req.route->kind == route_kind::stream && stage != attempt_stage::prefill_only;
    out.push_back(start_attempt{attempt, it->first, req.info.id, stream, stream && req.route->resumable,
                                server.id, server.address, stage, handle, handle_address, req.deadline - now,
                                req.priority, resume, req.organisation});
    out.push_back(log_decision{"attempt_started",
                               req.info.id,
                               {{"route", req.route->name},
                                {"config_version", std::to_string(req.config->version)},
                                {"server", server.id.str()},
                                {"address", server.address.str()},
                                {"stage", std::string(stage_name(stage))},
                                {"send", std::to_string(req.attempts_made)},
                                {"tokens", std::to_string(req.info.prompt_tokens)},
                                {"cached", std::to_string(req.placed.cached_tokens)},
                                {"predicted_ms", std::to_string(std::lround(req.placed.first_event_ms))}}});
}

void relay_core::spend_retry(request& req, attempt_stage stage)
{
    bool& requested = stage == attempt_stage::prefill_only ? req.prefill_requested : req.run_requested;
    if (std::exchange(requested, true)) {
        budget(req.service).spend();
    }
}

void relay_core::on_written(attempt_id attempt)
{
    const auto it = find_attempt(attempt);
    if (it == requests_.end() || it->second.written) {
        return;
    }
    it->second.written = true;
    if (it->second.stage != attempt_stage::prefill_only) {
        it->second.may_have_run = true;
    }
}

relay_effects relay_core::on_response_head(attempt_id attempt, const response_info& head, instant now)
{
    relay_effects out;
    const auto it = find_attempt(attempt);
    if (it == requests_.end()) {
        return out;
    }
    const request& req = it->second;
    if (head.leaving && directory_.on_leaving(req.server, now)) {
        out.push_back(log_decision{"server_leaving", req.info.id, {{"server", req.server.str()}}});
    }
    if (head.pause > duration{} && directory_.on_pause(req.server, now + head.pause, now)) {
        out.push_back(
            log_decision{"server_paused",
                         req.info.id,
                         {{"server", req.server.str()}, {"pause_ms", milliseconds_text(head.pause)}}});
    }
    const server_entry* server = directory_.find(req.server);
    const bool is_success = head.status < first_non_success_status;
    if (server != nullptr && (head.limit || is_success)) {
        limits_.on_response(*server, head.limit, req.sent, now);
        log_limit_changes(out);
    }
    return out;
}

relay_effects relay_core::on_stream_head(attempt_id attempt, instant)
{
    relay_effects out;
    const auto it = find_attempt(attempt);
    if (it == requests_.end()) {
        return out;
    }
    request& req = it->second;
    out.push_back(open_response{it->first, attempt, !req.streaming});
    req.streaming = true;
    return out;
}

relay_effects relay_core::on_events(attempt_id attempt, const event_id& last_event, instant now)
{
    relay_effects out;
    const auto it = find_attempt(attempt);
    if (it == requests_.end()) {
        return out;
    }
    request& req = it->second;
    if (!last_event.empty()) {
        req.last_event = last_event;
    }
    if (std::exchange(req.has_events, true)) {
        req.longest_pause = std::max(req.longest_pause, duration(now - req.last_event_at));
    } else {
        req.first_event_at = now;
        engines_.on_prefilled(req.load_key, now);
        if (req.attempts_made <= attempts_without_retry) {
            admissions_.try_emplace(req.service, options_.admission)
                .first->second.on_first_event(from_seconds(req.placed.first_event_ms / 1000.0),
                                              std::chrono::duration_cast<duration>(now - req.arrived),
                                              req.route->target);
        }
        out.push_back(log_decision{"first_event",
                                   req.info.id,
                                   {{"after_ms", milliseconds_text(now - req.arrived)},
                                    {"predicted_ms", std::to_string(std::lround(req.placed.first_event_ms))},
                                    {"target_ms", milliseconds_text(req.route->target)},
                                    {"server", req.server.str()}}});
    }
    req.last_event_at = now;
    return out;
}

std::optional<first_event_times> relay_core::first_event(attempt_id attempt, instant now)
{
    const auto it = find_attempt(attempt);
    if (it == requests_.end() || it->second.has_events) {
        return std::nullopt;
    }
    return first_event_times{now - it->second.arrived,
                             from_seconds(it->second.placed.first_event_ms / 1000.0)};
}

organisation_id relay_core::organisation(attempt_id attempt)
{
    const auto it = find_attempt(attempt);
    return it == requests_.end() ? organisation_id() : it->second.organisation;
}

relay_effects relay_core::on_stream_end(attempt_id attempt, instant now)
{
    relay_effects out;
    const auto it = find_attempt(attempt);
    if (it == requests_.end()) {
        return out;
    }
    end_attempt(it->second, true, now);
    quarantine_.on_completed(it->second.info, now);
    out.push_back(end_response{it->first});
    finish(it, core::request_outcome::answered, "stream", now, out);
    return out;
}

relay_effects relay_core::on_response(attempt_id attempt, const response_info& response, instant now)
{
    relay_effects out;
    const auto it = find_attempt(attempt);
    if (it == requests_.end()) {
        return out;
    }
    request& req = it->second;
    if (req.streaming) {
        // The caller has a part of a stream: another response can neither continue nor replace it.
        return on_failure(attempt, attempt_failure::lost, "status " + std::to_string(response.status), now);
    }
    const bool failed = response.status >= first_server_error;
    if (failed && req.route->kind == route_kind::idempotent) {
        req.runs += 1;
        if (may_send_again(req, true, now)) {
            end_attempt(req, false, now);
            retry_or_fail(it, true, "status_" + std::to_string(response.status), now, out);
            return out;
        }
    }
    end_attempt(req, !failed, now);
    out.push_back(deliver_response{it->first, attempt});
    finish(it, core::request_outcome::answered, "status_" + std::to_string(response.status), now, out);
    return out;
}

relay_effects relay_core::end_all(instant now)
{
    relay_effects out;
    while (!requests_.empty()) {
        const auto it = requests_.begin();
        cancel_current(it->second, now, out);
        fail(it, stopping_reason, now, out);
    }
    return out;
}

void relay_core::cancel_current(request& req, instant now, relay_effects& out)
{
    if (req.current.value() == 0) {
        return;
    }
    out.push_back(cancel_attempt{req.current});
    if (req.stage != attempt_stage::prefill_only && req.written) {
        req.runs += 1;
    }
    end_attempt(req, false, now);
}

relay_effects relay_core::on_tick(instant now)
{
    relay_effects out;
    directory_.on_tick(now);
    log_statement_ends(out);
    engines_.on_tick(now);
    quarantine_.on_tick(now);
    limits_.on_tick(now);
    log_quarantine_changes(out);
    end_revoked(now, out);
    for (auto it = requests_.begin(); it != requests_.end();) {
        const auto next = std::next(it);
        request& req = it->second;
        if (now >= req.deadline) {
            cancel_current(req, now, out);
            fail(it, "timeout", now, out);
        } else if (const char* late_reason = timeout_reason(req, now)) {
            const attempt_id cancelled = req.current;
            out.push_back(cancel_attempt{cancelled});
            relay_effects effects = on_failure(cancelled, attempt_failure::lost, late_reason, now);
            std::move(effects.begin(), effects.end(), std::back_inserter(out));
        }
        it = next;
    }
    return out;
}

} // namespace currantspar::relay
