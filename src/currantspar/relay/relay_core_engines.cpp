#include <algorithm>
#include <cmath>

#include "currantspar/relay/relay_core.hpp"
#include "relay_log.hpp"

// The part of relay_core that places prompts on engines: admission, prefill, and decoding elsewhere.

namespace currantspar::relay {

namespace {

constexpr int status_unavailable = 503;

} // namespace

void relay_core::dispatch_generation(request_map::iterator it, const engine_traits& traits, instant now,
                                     relay_effects& out)
{
    if (refuse_quarantined(it, now, out)) {
        return;
    }
    request& req = it->second;
    const std::vector<server_entry>& servers = directory_.open_servers(req.service);
    std::set<backend_id> avoided = avoided_servers(req, servers, now);
    for (const auto& [engine, until] : avoided_prefill_) {
        if (now < until) {
            avoided.insert(engine);
        }
    }
    auto chosen = engines_.choose(req.info, traits, servers, avoided, now, req.route->target);
    if (!chosen) {
        const std::set<backend_id> excluded = excluded_servers(req, servers, now);
        chosen = engines_.choose(req.info, traits, servers, excluded, now, req.route->target);
    }
    if (!chosen) {
        count_unserved_demand(req, traits, nullptr, now);
        fail(it, unavailable_reason(servers, now), now, out);
        return;
    }
    if (!req.last_event.empty() && !chosen->prefill_engine.empty()) {
        // A resumed stream is prefilled by its decode engine, without a KV cache transfer.
        chosen->prefill_engine = {};
    }
    if (refuse_overload(it, *chosen, now, out)) {
        return;
    }
    release_load(req);
    req.handle = {};
    req.kv_transfer_refused = false;
    req.placed = *chosen;
    req.load_key = attempt_id(last_attempt_ + 1);
    engines_.on_sent(req.load_key, req.service, *chosen, req.info, now);
    const bool split = !chosen->prefill_engine.empty();
    send(it, *directory_.find(split ? chosen->prefill_engine : chosen->decode_engine),
         split ? attempt_stage::prefill_only : attempt_stage::full_request, {}, {}, now, out);
}

void relay_core::count_unserved_demand(const request& req, const engine_traits& traits,
                                       const placement* chosen, instant now)
{
    if (req.attempts_made == 0) {
        const engine_speed speed = scaled(options_.engines.speed, engines_.speed_factor(req.service));
        demand_.on_request(req.service, request_work_ms(speed, traits, req.info, chosen), now);
    }
}

bool relay_core::refuse_overload(request_map::iterator it, const placement& chosen, instant now,
                                 relay_effects& out)
{
    const request& req = it->second;
    if (req.attempts_made > 0 || !req.last_event.empty()) {
        return false;
    }
    const auto left = std::chrono::duration_cast<duration>(req.deadline - now);
    const auto waited = std::chrono::duration_cast<duration>(now - req.arrived);
    const auto refusal =
        admissions_.try_emplace(req.service, options_.admission)
            .first->second.check(
                chosen, {req.route->target - waited, left, req.route->target, req.priority, req.organisation},
                random_, now);
    if (!refusal) {
        return false;
    }
    out.push_back(log_decision{
        "request_refused",
        req.info.id,
        {{"reason", refusal->reason},
         {"priority", std::to_string(req.priority)},
         {"organisation", req.organisation.str()},
         {"server", chosen.prefill_engine.empty() ? chosen.decode_engine.str() : chosen.prefill_engine.str()},
         {"backlog_ms", std::to_string(std::lround(chosen.backlog_ms))},
         {"fleet_backlog_ms", std::to_string(std::lround(chosen.fleet_backlog_ms))},
         {"predicted_ms", std::to_string(std::lround(chosen.first_event_ms))},
         {"target_ms", milliseconds_text(req.route->target)},
         {"retry_after_ms", milliseconds_text(refusal->retry_after)}}});
    refusals_[{req.service, refusal->reason}] += 1;
    count_unserved_demand(req, *req.config->find_service(req.service)->engines, &chosen, now);
    refuse(it, status_unavailable, refusal->retry_after, refusal->reason, now, out);
    return true;
}

relay_effects relay_core::on_prompt_prefilled(attempt_id attempt, const kv_handle& handle, instant now)
{
    relay_effects out;
    const auto it = find_attempt(attempt);
    if (it == requests_.end()) {
        return out;
    }
    end_attempt(it->second, true, now);
    engines_.on_prefilled(it->second.load_key, now);
    start_decode(it, handle, now, out);
    return out;
}

void relay_core::start_decode(request_map::iterator it, const kv_handle& handle, instant now,
                              relay_effects& out)
{
    request& req = it->second;
    req.handle = handle;
    const server_entry* prefill_engine = directory_.find(req.placed.prefill_engine);
    const server_entry* decode_engine = choose_decode_engine(req, now);
    if (prefill_engine == nullptr || decode_engine == nullptr) {
        if (prefill_engine != nullptr) {
            out.push_back(free_kv_cache{prefill_engine->address, handle});
        }
        dispatch(it, now, out);
        return;
    }
    if (refuse_quarantined(it, now, out)) {
        out.push_back(free_kv_cache{prefill_engine->address, handle});
        return;
    }
    send(it, *decode_engine, attempt_stage::decode_only, handle, prefill_engine->address, now, out);
}

const server_entry* relay_core::choose_decode_engine(const request& req, instant now) const
{
    const server_entry* placed = directory_.find(req.placed.decode_engine);
    if (placed == nullptr || !directory_.is_open(placed->id)) {
        return nullptr;
    }
    if (limits_.admits(placed->id, now)) {
        return placed;
    }
    const std::vector<server_entry>& servers = directory_.open_servers(req.service);
    return engines_.least_busy_decode_engine(servers, avoided_servers(req, servers, now));
}

bool relay_core::retry_decode_elsewhere(request_map::iterator it, instant now, relay_effects& out)
{
    request& req = it->second;
    if (req.handle.empty() || std::exchange(req.kv_transfer_refused, true) ||
        !may_send_again(req, false, now)) {
        return false;
    }
    const std::vector<server_entry>& servers = directory_.open_servers(req.service);
    const server_entry* decode_engine =
        engines_.least_busy_decode_engine(servers, avoided_servers(req, servers, now));
    const server_entry* prefill_engine = directory_.find(req.placed.prefill_engine);
    if (decode_engine == nullptr || prefill_engine == nullptr) {
        return false;
    }
    const kv_handle handle = req.handle;
    if (refuse_quarantined(it, now, out)) {
        out.push_back(free_kv_cache{prefill_engine->address, handle});
        return true;
    }
    send(it, *decode_engine, attempt_stage::decode_only, req.handle, prefill_engine->address, now, out);
    return true;
}

} // namespace currantspar::relay
