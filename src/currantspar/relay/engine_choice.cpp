#include "currantspar/relay/engine_choice.hpp"

#include <algorithm>
#include <limits>

#include "currantspar/base/hash.hpp"

namespace currantspar::relay {

namespace {

constexpr double tokens_per_thousand = 1000.0;
constexpr double pairs_per_million = 1e6;
constexpr double bits_per_byte = 8.0;
/// Divides the maximum output to estimate the output of a request whose caller gives no estimate.
constexpr std::uint32_t expected_output_divisor = 2;

std::uint32_t shared_tokens(const request_info& request)
{
    std::uint32_t sum = 0;
    for (std::size_t index = 0; index + 1 < request.segments.size(); ++index) {
        sum += request.segments[index].tokens;
    }
    return sum;
}

std::uint32_t output_tokens(const request_info& request)
{
    return request.expected_output > 0 ? request.expected_output
                                       : request.max_output / expected_output_divisor;
}

bool is_prefill(const server_entry& engine)
{
    return engine.role == config::engine_role::prefill;
}

} // namespace

struct engine_choice::candidate
{
    const server_entry* engine = nullptr;
    engine_work work;         ///< of this node and its peers
    std::uint32_t cached = 0; ///< prompt tokens in its cache
    double connect_ms = 0;    ///< penalty for opening a connection
};

struct engine_choice::estimate
{
    double ready_ms = 0; ///< until the prompt is prefilled
    double prefill_ms = 0;
    double cost = 0; ///< ready_ms and penalties
    std::uint32_t cached = 0;
};

std::uint64_t sharing_key(const request_info& request)
{
    return request.segments.size() < 2 ? 0 : request.segments[request.segments.size() - 2].id;
}

const server_entry* preferred_engine(std::uint64_t key, const std::vector<const server_entry*>& engines)
{
    const server_entry* best = nullptr;
    std::uint64_t best_rank = 0;
    for (const server_entry* engine : engines) {
        const std::uint64_t rank = fast_hash(engine->id.str(), key);
        if (best == nullptr || rank > best_rank) {
            best = engine;
            best_rank = rank;
        }
    }
    return best;
}

std::uint64_t engine_hash(const backend_id& engine)
{
    return fast_hash(engine.str());
}

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

std::uint32_t engine_choice::cached_tokens(const request_info& request, std::uint64_t engine,
                                           instant now) const
{
    const auto known = cached_segments_.find(engine);
    if (known == cached_segments_.end()) {
        return 0;
    }
    std::uint32_t cached = 0;
    for (const prompt_segment& segment : request.segments) {
        const auto found = known->second.find(segment.id);
        if (found == known->second.end() || now - found->second > options_.segment_ttl) {
            break;
        }
        cached += segment.tokens;
    }
    return std::min(cached, request.prompt_tokens);
}

double engine_choice::prefill_ms(const request_info& request, std::uint32_t cached,
                                 bool at_decode_engine) const
{
    const double new_tokens = request.prompt_tokens - std::min(cached, request.prompt_tokens);
    const double mean_earlier_tokens = (request.prompt_tokens + cached) / 2.0;
    const double attention =
        new_tokens * mean_earlier_tokens / pairs_per_million * options_.speed.attention_ms_per_million;
    const double at_full_speed = new_tokens / options_.speed.prefill_tokens_per_ms + attention;
    return at_decode_engine ? at_full_speed / options_.speed.decode_prefill_fraction : at_full_speed;
}

double engine_choice::decode_wait_ms(const engine_work& load, const engine_traits& traits,
                                     const request_info& request) const
{
    const double step = options_.speed.step_ms + static_cast<double>(load.tokens) / tokens_per_thousand *
                                                     options_.speed.context_ms_per_thousand;
    double wait = step;
    const auto needed = static_cast<double>(load.tokens) + request.prompt_tokens + request.max_output;
    const bool memory_full = traits.memory_tokens > 0 && needed > static_cast<double>(traits.memory_tokens);
    const bool slots_full = load.running >= static_cast<std::int32_t>(traits.slots);
    if (memory_full || slots_full) {
        wait += step * output_tokens(request);
    }
    return wait + load.running * options_.speed.context_ms_per_thousand;
}

engine_choice::estimate engine_choice::estimate_prefill(const candidate& prefill_engine,
                                                        const request_info& request,
                                                        std::uint32_t best_cached, bool preferred) const
{
    const bool at_decode_engine = !is_prefill(*prefill_engine.engine);
    estimate result;
    result.cached = prefill_engine.cached;
    result.prefill_ms = prefill_ms(request, prefill_engine.cached, at_decode_engine);
    result.ready_ms = prefill_engine.work.prefill_ms + result.prefill_ms;
    const double recomputed_tokens = best_cached - std::min(prefill_engine.cached, best_cached);
    result.cost =
        result.ready_ms + recomputed_tokens / tokens_per_thousand * options_.recompute_ms_per_thousand;
    if (at_decode_engine) {
        result.cost += result.prefill_ms * options_.decode_interference;
    }
    if (preferred) {
        const double shared = shared_tokens(request);
        result.cost -= std::min(options_.max_affinity_ms,
                                shared / tokens_per_thousand * options_.affinity_ms_per_thousand);
    }
    const bool remote = prefill_engine.engine->data_centre != options_.data_centre;
    result.cost += (remote ? options_.remote_ms : 0) + prefill_engine.connect_ms;
    return result;
}

engine_choice::candidate engine_choice::describe(const server_entry& engine, const request_info& request,
                                                 instant now) const
{
    const std::uint64_t hash = engine_hash(engine.id);
    const bool connected = !connected_ || connected_(engine.address);
    return {&engine, load(hash), cached_tokens(request, hash, now), connected ? 0 : options_.connect_ms};
}

std::optional<placement> engine_choice::choose(const request_info& request, const engine_traits& traits,
                                               const std::vector<server_entry>& engines,
                                               const std::set<backend_id>& excluded, instant now) const
{
    std::vector<candidate> prefill_engines;
    std::vector<candidate> decode_engines;
    std::uint32_t best_cached = 0;
    for (const server_entry& engine : engines) {
        if (!excluded.contains(engine.id)) {
            const candidate each = describe(engine, request, now);
            best_cached = std::max(best_cached, each.cached);
            (is_prefill(engine) ? prefill_engines : decode_engines).push_back(each);
        }
    }
    if (decode_engines.empty()) {
        return std::nullopt;
    }
    best_cached = std::min(shared_tokens(request), best_cached);

    placement best;
    double best_cost = std::numeric_limits<double>::max();
    for (const candidate& decode_engine : decode_engines) {
        const estimate current = estimate_prefill(decode_engine, request, best_cached, false);
        const double wait = decode_wait_ms(decode_engine.work, traits, request);
        if (current.cost + wait < best_cost) {
            best_cost = current.cost + wait;
            best = {
                {}, decode_engine.engine->id, current.prefill_ms, current.ready_ms + wait, current.cached};
        }
    }
    if (prefill_engines.empty()) {
        return best;
    }
    const std::uint64_t key = sharing_key(request);
    std::vector<const server_entry*> prefill_entries;
    prefill_entries.reserve(prefill_engines.size());
    for (const candidate& prefill_engine : prefill_engines) {
        prefill_entries.push_back(prefill_engine.engine);
    }
    const server_entry* preferred = key == 0 ? nullptr : preferred_engine(key, prefill_entries);
    const server_entry* best_prefill_engine = nullptr;
    estimate best_prefill;
    for (const candidate& prefill_engine : prefill_engines) {
        const estimate current =
            estimate_prefill(prefill_engine, request, best_cached, prefill_engine.engine == preferred);
        if (best_prefill_engine == nullptr || current.cost < best_prefill.cost) {
            best_prefill_engine = prefill_engine.engine;
            best_prefill = current;
        }
    }
    const double bytes = static_cast<double>(traits.bytes_per_token) * request.prompt_tokens;
    const double transfer_ms =
        traits.link_mbps > 0 ? bytes * bits_per_byte / (traits.link_mbps * tokens_per_thousand) : 0;
    for (const candidate& decode_engine : decode_engines) {
        const bool same_data_centre = decode_engine.engine->data_centre == best_prefill_engine->data_centre;
        const double kv_transfer_ms =
            options_.speed.transfer_setup_ms + transfer_ms * (same_data_centre ? 1 : 2);
        // A decode engine that prefills emits the first token of a request between two prefill chunks.
        const double wait = decode_wait_ms(decode_engine.work, traits, request) +
                            std::min(decode_engine.work.prefill_ms, options_.speed.step_ms * 4);
        const double cost =
            best_prefill.cost + kv_transfer_ms * (same_data_centre ? 1 : 2) + wait + decode_engine.connect_ms;
        if (cost < best_cost) {
            best_cost = cost;
            best = {best_prefill_engine->id, decode_engine.engine->id, best_prefill.prefill_ms,
                    best_prefill.ready_ms + kv_transfer_ms + wait, best_prefill.cached};
        }
    }
    return best;
}

const server_entry* engine_choice::least_busy_decode_engine(const std::vector<server_entry>& engines,
                                                            const std::set<backend_id>& excluded) const
{
    const server_entry* best = nullptr;
    std::int32_t min_running = 0;
    for (const server_entry& engine : engines) {
        if (is_prefill(engine) || excluded.contains(engine.id)) {
            continue;
        }
        const std::int32_t running = load(engine_hash(engine.id)).running;
        if (best == nullptr || running < min_running) {
            best = &engine;
            min_running = running;
        }
    }
    return best;
}

void engine_choice::on_sent(attempt_id attempt, const placement& chosen, const request_info& request,
                            instant now)
{
    on_ended(attempt);
    const backend_id& prefill_engine =
        chosen.prefill_engine.empty() ? chosen.decode_engine : chosen.prefill_engine;
    sent record{chosen, static_cast<std::int64_t>(request.prompt_tokens) + output_tokens(request), false};
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

void engine_choice::on_prefilled(attempt_id attempt)
{
    const auto found = sent_.find(attempt);
    if (found == sent_.end() || found->second.prefilled) {
        return;
    }
    found->second.prefilled = true;
    const placement& placed = found->second.placed;
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
    on_prefilled(attempt);
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
    for (auto& [engine, known] : cached_segments_) {
        std::erase_if(known, [&](const auto& entry) { return now - entry.second > options_.segment_ttl; });
    }
}

} // namespace currantspar::relay
