#include <algorithm>
#include <utility>

#include "currantspar/relay/engine_choice.hpp"

// The part of engine_choice that follows the engines' load, cached segments and speed.

namespace currantspar::relay {

engine_work engine_choice::load(std::uint64_t engine) const
{
    engine_work sum;
    for (const engine_loads* loads : {&own_, &peer_total_}) {
        const auto found = loads->find(engine);
        if (found != loads->end()) {
            sum.prefill_ms += std::max(0.0, found->second.prefill_ms);
            sum.running += std::max(0, found->second.running);
            sum.tokens += std::max<std::int64_t>(0, found->second.tokens);
        }
    }
    return sum;
}

std::size_t engine_choice::prefilling_engines(const std::vector<server_entry>& engines) const
{
    return static_cast<std::size_t>(
        std::count_if(engines.begin(), engines.end(), [this](const server_entry& engine) {
            return load(engine_hash(engine.id)).prefill_ms > 0;
        }));
}

double engine_choice::unseen_prefill_ms(instant now) const
{
    const double seconds = static_cast<double>(peers_.size()) * to_seconds(view_lag_);
    const double requests = own_request_rate_.per_second(now) * seconds;
    return requests <= 1 ? 0 : own_prefill_rate_.per_second(now) * seconds * (1 - 1 / requests);
}

void engine_choice::on_sent(attempt_id attempt, const service_id& service, const placement& chosen,
                            const request_info& request, instant now)
{
    on_ended(attempt);
    const backend_id& prefill_engine =
        chosen.prefill_engine.empty() ? chosen.decode_engine : chosen.prefill_engine;
    const std::int64_t tokens = static_cast<std::int64_t>(request.prompt_tokens) + output_tokens(request);
    sent record{chosen, service, tokens, false, now, speed_factor(service)};
    own_prefill_rate_.add(chosen.prefill_ms, now);
    own_request_rate_.add(1, now);
    own_[engine_hash(prefill_engine)].prefill_ms += chosen.prefill_ms;
    own_[engine_hash(chosen.decode_engine)].running += 1;
    own_[engine_hash(chosen.decode_engine)].tokens += record.tokens;
    record_segments(request, engine_hash(prefill_engine), now);
    sent_.emplace(attempt, std::move(record));
}

void engine_choice::record_segments(const request_info& request, std::uint64_t engine, instant now)
{
    auto& known = cached_segments_[engine];
    for (std::size_t index = 0; index < request.segments.size(); ++index) {
        const std::uint64_t segment = request.segments[index].id;
        const auto [position, added] = known.try_emplace(segment, now);
        const bool own = index + 1 == request.segments.size();
        if (!own && (added || now - position->second > options_.segment_announce_interval)) {
            new_segments_.push_back({engine, segment});
            position->second = now;
        }
    }
}

std::vector<cached_segment> engine_choice::take_new_segments()
{
    return std::exchange(new_segments_, {});
}

void engine_choice::on_peer_segments(const std::vector<cached_segment>& segments, instant now)
{
    for (const cached_segment& announced : segments) {
        cached_segments_[announced.engine][announced.segment] = now;
    }
}

void engine_choice::on_prefilled(attempt_id attempt, instant now)
{
    const auto found = sent_.find(attempt);
    if (found == sent_.end() || found->second.prefilled) {
        return;
    }
    sent& record = found->second;
    const double queue_ms = record.placed.backlog_ms;
    const auto measured = std::chrono::duration_cast<duration>(now - record.at);
    speeds_.try_emplace(record.service, options_.estimate)
        .first->second.on_prefill({(queue_ms + record.placed.prefill_ms) * record.speed_factor,
                                   queue_ms * record.speed_factor, measured});
    release_prefill(record);
}

void engine_choice::release_prefill(sent& record)
{
    if (std::exchange(record.prefilled, true)) {
        return;
    }
    const placement& placed = record.placed;
    engine_work& work =
        own_[engine_hash(placed.prefill_engine.empty() ? placed.decode_engine : placed.prefill_engine)];
    work.prefill_ms = std::max(0.0, work.prefill_ms - placed.prefill_ms);
}

void engine_choice::on_ended(attempt_id attempt)
{
    const auto found = sent_.find(attempt);
    if (found == sent_.end()) {
        return;
    }
    release_prefill(found->second);
    engine_work& work = own_[engine_hash(found->second.placed.decode_engine)];
    work.running = std::max(0, work.running - 1);
    work.tokens = std::max<std::int64_t>(0, work.tokens - found->second.tokens);
    sent_.erase(found);
}

void engine_choice::forget_engine(const backend_id& engine)
{
    cached_segments_.erase(engine_hash(engine));
}

void engine_choice::add_to_peer_total(const engine_loads& work, int sign)
{
    for (const auto& [engine, change] : work) {
        engine_work& total = peer_total_[engine];
        total.prefill_ms += sign * change.prefill_ms;
        total.running += sign * change.running;
        total.tokens += sign * change.tokens;
    }
}

void engine_choice::on_peer_work(const std::string& peer, const engine_loads& work, bool full, instant now)
{
    peer_work& known = peers_[peer];
    known.received = now;
    add_to_peer_total(known.engines, -1);
    if (full) {
        known.engines = work;
    } else {
        for (const auto& [engine, change] : work) {
            known.engines[engine] = change;
        }
    }
    add_to_peer_total(known.engines, 1);
}

std::map<service_id, speed_report> engine_choice::own_speeds() const
{
    std::map<service_id, speed_report> result;
    for (const auto& [service, speed] : speeds_) {
        if (speed.own().weight > 0) {
            result.emplace(service, speed.own());
        }
    }
    return result;
}

std::map<service_id, double> engine_choice::speed_factors() const
{
    std::map<service_id, double> result;
    for (const auto& [service, speed] : speeds_) {
        result.emplace(service, speed.factor());
    }
    return result;
}

void engine_choice::on_peer_speeds(const std::string& peer, const std::map<service_id, speed_report>& speeds,
                                   instant now)
{
    for (const auto& [service, report] : speeds) {
        speeds_.try_emplace(service, options_.estimate).first->second.on_peer(peer, report, now);
    }
}

void engine_choice::on_tick(instant now)
{
    std::erase_if(peers_, [&](const auto& entry) {
        const bool timed_out = now - entry.second.received > options_.peer_load_max_age;
        if (timed_out) {
            add_to_peer_total(entry.second.engines, -1);
        }
        return timed_out;
    });
    if (now < purge_due_) {
        return;
    }
    purge_due_ = now + options_.segment_ttl;
    for (auto& [service, speed] : speeds_) {
        speed.on_tick(now);
    }
    for (auto& [engine, known] : cached_segments_) {
        std::erase_if(known, [&](const auto& entry) { return now - entry.second > options_.segment_ttl; });
    }
}

} // namespace currantspar::relay
