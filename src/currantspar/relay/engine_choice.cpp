#include "currantspar/relay/engine_choice.hpp"

#include <algorithm>
#include <limits>

#include "currantspar/base/hash.hpp"
#include "currantspar/relay/spread_choice.hpp"

namespace currantspar::relay {

namespace {

constexpr double tokens_per_thousand = 1000.0;
constexpr double ms_per_second = 1000.0;
/// Decode steps that a request waits for at most while a decode engine prefills other prompts.
constexpr double interleaved_steps = 4;

std::uint32_t shared_tokens(const request_info& request)
{
    std::uint32_t sum = 0;
    for (std::size_t index = 0; index + 1 < request.segments.size(); ++index) {
        sum += request.segments[index].tokens;
    }
    return sum;
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

struct engine_choice::cost_model
{
    engine_speed speed;
    double penalty_scale = 1; ///< of the penalties that stand for prefill time
};

struct engine_choice::estimate
{
    double ready_ms = 0; ///< until the prompt is prefilled
    double prefill_ms = 0;
    double cost = 0; ///< ready_ms and penalties
    std::uint32_t cached = 0;
};

struct engine_choice::candidates
{
    std::vector<candidate> prefill;
    std::vector<candidate> decode;
    std::uint32_t best_cached = 0; ///< shared prompt tokens in the cache of any of them
};

struct engine_choice::rated_placement
{
    placement placed;
    double cost = std::numeric_limits<double>::max();
};

double engine_choice::mean_backlog_ms(const std::vector<candidate>& engines)
{
    double sum = 0;
    for (const candidate& engine : engines) {
        sum += engine.work.prefill_ms;
    }
    return engines.empty() ? 0 : sum / static_cast<double>(engines.size());
}

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

engine_choice::cost_model engine_choice::service_costs(const service_id& service) const
{
    const double factor = speed_factor(service);
    return {scaled(options_.speed, factor), 1 / factor};
}

double engine_choice::speed_factor(const service_id& service) const
{
    const auto found = speeds_.find(service);
    return found == speeds_.end() ? 1 : found->second.factor();
}

engine_choice::estimate engine_choice::estimate_prefill(const cost_model& model,
                                                        const candidate& prefill_engine,
                                                        const request_info& request,
                                                        std::uint32_t best_cached, bool preferred) const
{
    const bool at_decode_engine = !is_prefill(*prefill_engine.engine);
    estimate result;
    result.cached = prefill_engine.cached;
    result.prefill_ms = prefill_ms(model.speed, request, prefill_engine.cached, at_decode_engine);
    result.ready_ms = prefill_engine.work.prefill_ms + result.prefill_ms;
    const double recomputed_tokens = best_cached - std::min(prefill_engine.cached, best_cached);
    result.cost = result.ready_ms + recomputed_tokens / tokens_per_thousand *
                                        options_.recompute_ms_per_thousand * model.penalty_scale;
    if (at_decode_engine) {
        result.cost += result.prefill_ms * options_.decode_interference;
    }
    if (preferred) {
        const double shared = shared_tokens(request);
        result.cost -= std::min(options_.max_affinity_ms,
                                shared / tokens_per_thousand * options_.affinity_ms_per_thousand) *
                       model.penalty_scale;
    }
    const bool remote = prefill_engine.engine->data_centre != options_.data_centre;
    result.cost += (remote ? options_.remote_ms : 0) + prefill_engine.connect_ms;
    return result;
}

engine_choice::candidate engine_choice::describe(const server_entry& engine, const request_info& request,
                                                 instant now) const
{
    const std::uint64_t hash = engine_hash(engine.id);
    const bool connected = !connected_ || connected_(engine.address.str());
    return {&engine, load(hash), cached_tokens(request, hash, now), connected ? 0 : options_.connect_ms};
}

std::optional<placement> engine_choice::choose(const request_info& request, const engine_traits& traits,
                                               const std::vector<server_entry>& engines,
                                               const std::set<backend_id>& excluded, instant now,
                                               duration target)
{
    candidates all;
    for (const server_entry& engine : engines) {
        if (!excluded.contains(engine.id)) {
            const candidate each = describe(engine, request, now);
            all.best_cached = std::max(all.best_cached, each.cached);
            (is_prefill(engine) ? all.prefill : all.decode).push_back(each);
        }
    }
    if (all.decode.empty()) {
        return std::nullopt;
    }
    all.best_cached = std::min(shared_tokens(request), all.best_cached);
    const cost_model model = service_costs(engines.front().service);
    const rated_placement whole = choose_whole(model, request, traits, all);
    if (all.prefill.empty()) {
        return whole.placed;
    }
    const rated_placement split = choose_split(model, request, traits, all, now);
    const double target_ms = to_seconds(target) * ms_per_second;
    const bool only_whole_in_time = target.count() > 0 && split.placed.first_event_ms > target_ms &&
                                    whole.placed.first_event_ms <= target_ms;
    return only_whole_in_time || whole.cost <= split.cost ? whole.placed : split.placed;
}

engine_choice::rated_placement engine_choice::choose_whole(const cost_model& model,
                                                           const request_info& request,
                                                           const engine_traits& traits,
                                                           const candidates& all) const
{
    rated_placement best;
    for (const candidate& decode_engine : all.decode) {
        const estimate current = estimate_prefill(model, decode_engine, request, all.best_cached, false);
        const double wait = decode_wait_ms(model.speed, decode_engine.work, traits, request);
        if (current.cost + wait < best.cost) {
            best.cost = current.cost + wait;
            best.placed = {{},
                           decode_engine.engine->id,
                           current.prefill_ms,
                           decode_engine.work.prefill_ms,
                           mean_backlog_ms(all.decode),
                           current.ready_ms + wait,
                           current.cached};
        }
    }
    return best;
}

engine_choice::rated_placement engine_choice::choose_split(const cost_model& model,
                                                           const request_info& request,
                                                           const engine_traits& traits, const candidates& all,
                                                           instant now)
{
    const std::uint64_t key = sharing_key(request);
    std::vector<const server_entry*> entries;
    entries.reserve(all.prefill.size());
    for (const candidate& engine : all.prefill) {
        entries.push_back(engine.engine);
    }
    const server_entry* preferred = key == 0 ? nullptr : preferred_engine(key, entries);
    std::vector<estimate> estimates;
    std::vector<double> costs;
    for (const candidate& engine : all.prefill) {
        const bool is_preferred = engine.engine == preferred;
        estimates.push_back(estimate_prefill(model, engine, request, all.best_cached, is_preferred));
        costs.push_back(estimates.back().cost);
    }
    const spread_choice spread = spread_over_equally_cached(estimates, costs, unseen_prefill_ms(now));
    const server_entry& prefill_engine = *all.prefill[spread.index].engine;
    const estimate& prefill = estimates[spread.index];
    const double unseen_ms = spread.expected_extra / 2;
    const double transfer_ms = kv_transfer_ms(traits, request);
    rated_placement best;
    for (const candidate& decode_engine : all.decode) {
        const bool same_data_centre = decode_engine.engine->data_centre == prefill_engine.data_centre;
        const double transfer = model.speed.transfer_setup_ms + transfer_ms * (same_data_centre ? 1 : 2);
        // A decode engine that prefills emits the first token of a request between two prefill chunks.
        const double wait = decode_wait_ms(model.speed, decode_engine.work, traits, request) +
                            std::min(decode_engine.work.prefill_ms, model.speed.step_ms * interleaved_steps);
        const double cost =
            prefill.cost + transfer * (same_data_centre ? 1 : 2) + wait + decode_engine.connect_ms;
        if (cost < best.cost) {
            best.cost = cost;
            best.placed = {prefill_engine.id,
                           decode_engine.engine->id,
                           prefill.prefill_ms,
                           prefill.ready_ms - prefill.prefill_ms + unseen_ms,
                           mean_backlog_ms(all.prefill),
                           prefill.ready_ms + unseen_ms + transfer + wait,
                           prefill.cached};
        }
    }
    return best;
}

spread_choice engine_choice::spread_over_equally_cached(const std::vector<estimate>& estimates,
                                                        const std::vector<double>& costs, double unseen_ms)
{
    const auto lowest = std::min_element(costs.begin(), costs.end());
    const std::uint32_t cached = estimates[static_cast<std::size_t>(lowest - costs.begin())].cached;
    std::vector<std::size_t> indices;
    std::vector<double> equal_costs;
    for (std::size_t index = 0; index < costs.size(); ++index) {
        if (estimates[index].cached >= cached) {
            indices.push_back(index);
            equal_costs.push_back(costs[index]);
        }
    }
    const double fraction = static_cast<double>(indices.size()) / static_cast<double>(costs.size());
    spread_choice chosen = choose_spread(equal_costs, unseen_ms * fraction, random_);
    chosen.index = indices[chosen.index];
    return chosen;
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

} // namespace currantspar::relay
