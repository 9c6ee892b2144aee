#include <algorithm>
#include <cmath>
#include <limits>

#include "currantspar/policy/dispatcher.hpp"

namespace currantspar::policy {

namespace {

constexpr double infinite = std::numeric_limits<double>::infinity();
// TTFT is the time to first token, ITL the inter-token latency.
constexpr double itl_knee = 0.8;   ///< fraction of the inter-token target where the lateness cost begins
constexpr double ttft_knee = 0.25; ///< fraction of the first-token target where the lateness cost begins
constexpr double steepness = 8;    ///< factor of the quadratic part of the lateness cost
constexpr double engine_second_cost = 3.0;    ///< cost of a second on a busy engine, in lost responses
constexpr double typical_output_tokens = 60;  ///< output tokens over which a sequence's delay is spread
constexpr double itl_weight = 0.4;            ///< weight of the predicted inter-token latency in admission
constexpr std::size_t max_prompts = 64;       ///< size of the ring buffer of prompt sizes
constexpr double heavy_use_factor = 1.3;      ///< times the mean rate, above which use counts as heavy
constexpr double min_refused_fraction = 0.02; ///< of the requests, above which a service is under pressure
constexpr double certain_late_ratio = 1.05; ///< first-token time over target, above which lateness is certain
constexpr double long_quantile = 0.75; ///< of the recent prompt sizes, from which a prompt counts as long

/// Returns the expected loss for a response whose predicted time is `ratio` times its target.
double lateness_cost(double ratio, double knee)
{
    const double over = std::max(0.0, ratio - knee);
    return 0.05 * ratio + steepness * over * over;
}

} // namespace

/// The size of a request, its targets in seconds, and the engines that cache a prefix of its prompt.
struct dispatcher::request_demand
{
    double prompt = 0;
    double output = 0;
    std::uint32_t piece_tokens = 2000;
    double ttft_target = 0.63;
    double itl_target = 0.03;
    const std::vector<prefix_index::match>* cached = nullptr;
};

/// The estimated cost of running a request's prefill, its decode, or both on one engine.
struct dispatcher::option
{
    std::size_t engine = 0;
    double prefill_cost = infinite; ///< excluding the cost of a late first token
    double first_token = infinite;  ///< seconds, network delay included
    double decode_cost = infinite;
    double itl = infinite; ///< seconds
    bool combined = false; ///< a mixed engine, which can run prefill and decode
    double cached_tokens = 0;
};

duration dispatcher::first_token_target(const request_shape& shape)
{
    const bool has_target = shape.first_token_target > duration{};
    return has_target ? shape.first_token_target : config::service_targets{}.first_token;
}

double dispatcher::expected_output(const request_shape& shape) const
{
    if (shape.expected_output > 0) {
        return shape.expected_output;
    }
    const auto organisation = organisations_.find(shape.organisation);
    if (organisation != organisations_.end() && organisation->second.output_tokens > 0) {
        return organisation->second.output_tokens;
    }
    const auto service = service_numbers_.find(shape.service);
    return service == service_numbers_.end() ? 200 : services_[service->second].output_tokens;
}

bool dispatcher::usable(const engine_view& view, const std::set<engine_id>& exclude, instant now) const
{
    const bool report_current = view.has_report && now - view.report_received < options_.report_max_age;
    const bool serving = !report_current || view.report.condition == engine_condition::serving;
    return view.listed && view.open && !view.spec.drained && serving &&
           (exclude.empty() || !exclude.contains(view.spec.id));
}

std::vector<std::size_t> dispatcher::candidates(const service_view& service, random_generator& random,
                                                const std::vector<prefix_index::match>& cached) const
{
    const std::size_t all = service.local.size() + service.remote.size();
    std::vector<std::size_t> chosen;
    chosen.reserve(std::min(all, options_.max_sample) + cached.size());
    if (all <= options_.max_sample) {
        chosen = service.local;
        chosen.insert(chosen.end(), service.remote.begin(), service.remote.end());
        return chosen;
    }
    const std::size_t max_local = service.remote.empty() ? options_.max_sample : options_.max_sample * 3 / 4;
    const auto sample = [&](const std::vector<std::size_t>& from, std::size_t max_count) {
        if (from.size() <= max_count) {
            chosen.insert(chosen.end(), from.begin(), from.end());
            return;
        }
        const std::size_t start = random.below(from.size());
        const std::size_t stride = from.size() / max_count;
        for (std::size_t i = 0; i < max_count; ++i) {
            chosen.push_back(from[(start + i * stride) % from.size()]);
        }
    };
    sample(service.local, max_local);
    sample(service.remote, options_.max_sample - std::min(options_.max_sample, chosen.size()));
    for (const prefix_index::match& match : cached) {
        if (std::find(chosen.begin(), chosen.end(), match.engine) == chosen.end()) {
            chosen.push_back(match.engine);
        }
    }
    return chosen;
}

double dispatcher::step_seconds(const engine_view& view, double batch) const
{
    const engine_timing& timing = options_.timing;
    if (batch < 0.5) {
        return 0;
    }
    return (to_seconds(timing.decode_step) + (batch - 1) * to_seconds(timing.decode_step_per_sequence)) *
           view.decode_error;
}

double dispatcher::seconds_per_token(const engine_view& view) const
{
    const bool mixed = !view.has_report || view.report.role == config::engine_role::mixed;
    const double share = mixed ? options_.timing.mixed_prefill_fraction : 1;
    return view.prefill_error / (options_.timing.prefill_tokens_per_second * share);
}

double dispatcher::waiting_seconds(const engine_view& view, instant now) const
{
    const double max_wait = static_cast<double>(view.prefill_tokens()) * seconds_per_token(view);
    return std::clamp(to_seconds(view.prefill_until - now), 0.1 * max_wait, max_wait);
}

double dispatcher::prefill_seconds(const engine_view& view, double uncached, instant now) const
{
    const double per_token = seconds_per_token(view);
    const double chunk = options_.timing.prefill_chunk * per_token;
    const double undisturbed = waiting_seconds(view, now) + uncached * per_token;
    const double sequences = view.sequences();
    return sequences > 0 ? undisturbed + std::ceil(undisturbed / chunk) * step_seconds(view, sequences)
                         : undisturbed;
}

void dispatcher::prefill_changed(engine_view& view, std::int64_t before, instant now)
{
    const double per_token = seconds_per_token(view);
    const std::int64_t after = view.prefill_tokens();
    if (after > before) {
        view.prefill_until =
            std::max(now, view.prefill_until) + from_seconds(static_cast<double>(after - before) * per_token);
    } else if (after < before) {
        view.prefill_until = now + from_seconds(static_cast<double>(after) * per_token);
    }
}

double dispatcher::preference(std::size_t number) const
{
    return random_generator(preference_seed_ + number).unit();
}

dispatcher::option dispatcher::estimate(std::size_t number, const request_demand& demand, instant now) const
{
    const engine_view& view = engines_[number];
    const engine_timing& timing = options_.timing;
    const config::engine_role role = view.has_report ? view.report.role : config::engine_role::mixed;
    const double sequences = view.sequences();
    option estimated;
    estimated.engine = number;
    estimated.combined = role == config::engine_role::mixed;
    for (const prefix_index::match& match : *demand.cached) {
        if (match.engine == number) {
            estimated.cached_tokens =
                std::min(demand.prompt - 1, static_cast<double>(match.pieces) * demand.piece_tokens);
        }
    }
    const double per_token = seconds_per_token(view);
    const double uncached = demand.prompt - estimated.cached_tokens * view.cache_confidence;
    const double work = uncached * per_token;
    const double share = std::max(view.prefill_fraction, std::min(1.0, waiting_seconds(view, now) / 0.5));
    const double chunk_time = timing.prefill_chunk * per_token;
    const auto itl_of = [&](double batch, double busy) {
        const double step = step_seconds(view, batch);
        return std::min(step / std::max(0.05, 1 - busy), step + chunk_time);
    };
    const auto delay_cost = [&](double before, double after) {
        return lateness_cost(after / demand.itl_target, itl_knee) -
               lateness_cost(before / demand.itl_target, itl_knee);
    };
    if (role != config::engine_role::decode) {
        estimated.first_token = prefill_seconds(view, uncached, now) + 2 * to_seconds(view.network);
        const double itl = itl_of(sequences, view.prefill_fraction);
        estimated.prefill_cost =
            engine_second_cost * work + sequences * delay_cost(itl, itl + work / typical_output_tokens);
    }
    const auto pieces = static_cast<std::int32_t>(demand.prompt / demand.piece_tokens) + 1;
    const auto total = static_cast<std::int32_t>(view.report.pieces_total);
    const bool fits = total == 0 || view.own.pieces + view.peers.pieces + pieces < total;
    const bool room = sequences + view.prefilling() < timing.max_batch && fits;
    if (role != config::engine_role::prefill && room) {
        const double before = itl_of(sequences, share);
        estimated.itl = itl_of(sequences + 1, share);
        const double longer_steps =
            (step_seconds(view, sequences + 1) - step_seconds(view, sequences)) * demand.output * share;
        estimated.decode_cost = lateness_cost(estimated.itl / demand.itl_target, itl_knee) +
                                sequences * delay_cost(before, estimated.itl) +
                                engine_second_cost * longer_steps;
    }
    return estimated;
}

bool dispatcher::above_fair_share(const organisation_id& organisation, instant now) const
{
    std::map<organisation_id, double> rates;
    for (const auto& [id, known] : organisations_) {
        rates[id] += known.admitted.rate(now);
    }
    for (const auto& [node, peer] : peers_) {
        for (const work_digest::usage& usage : peer.organisations) {
            rates[usage.organisation] += usage.requests_per_second;
        }
    }
    double total_rate = 0;
    double active = 0;
    constexpr double min_rate = 0.1;
    for (const auto& [id, rate] : rates) {
        total_rate += rate;
        active += rate >= min_rate ? 1 : 0;
    }
    return active > 1 && rates[organisation] > heavy_use_factor * total_rate / active;
}

bool dispatcher::under_pressure(const service_view& service, instant now) const
{
    const double requested = service.requests.rate(now);
    return requested > 0 && service.refused.rate(now) / requested > min_refused_fraction;
}

bool dispatcher::displaces_others(const service_view& service, double uncached, double ratio,
                                  instant now) const
{
    if (ratio <= certain_late_ratio || !under_pressure(service, now)) {
        return false;
    }
    const auto shorter =
        std::count_if(service.prompts.begin(), service.prompts.end(),
                      [&](const prompt_size& prompt) { return prompt.uncached_tokens < uncached; });
    const double quantile =
        static_cast<double>(shorter) / std::max(1.0, static_cast<double>(service.prompts.size()));
    return quantile >= long_quantile;
}

double dispatcher::allowed_wait_ratio(const request_shape& shape, const service_view& service,
                                      instant now) const
{
    double allowed = options_.admit_fraction;
    if (under_pressure(service, now) && above_fair_share(shape.organisation, now)) {
        allowed *= 0.5;
    }
    if (shape.priority == 0) {
        allowed *= 1.5;
    }
    return allowed;
}

void dispatcher::record_demand(const request_shape& shape, service_view& service, double uncached,
                               instant now)
{
    service.requests.add(1, now);
    service.prefill.add(uncached, now);
    service.decode.add(expected_output(shape), now);
    const prompt_size size{uncached, static_cast<double>(shape.prompt_tokens)};
    if (service.prompts.size() < max_prompts) {
        service.prompts.push_back(size);
        return;
    }
    service.prompts[service.next_prompt] = size;
    service.next_prompt = (service.next_prompt + 1) % max_prompts;
}

tl::expected<route, refusal> dispatcher::choose(const request_shape& shape, instant now,
                                                random_generator& random, const std::set<engine_id>& exclude)
{
    const auto found = service_numbers_.find(shape.service);
    if (found == service_numbers_.end()) {
        return tl::unexpected<refusal>(refusal{});
    }
    service_view& service = services_[found->second];
    const std::vector<prefix_index::match> cached = prefixes_.find(shape.prefix_pieces);
    request_demand demand;
    demand.prompt = std::max(1U, shape.prompt_tokens);
    demand.output = expected_output(shape);
    demand.piece_tokens = service.piece_tokens;
    demand.ttft_target = to_seconds(first_token_target(shape));
    demand.itl_target =
        shape.between_tokens_target > duration{} ? to_seconds(shape.between_tokens_target) : 0.03;
    demand.cached = &cached;

    option prefill;
    option decode;
    option combined;
    double prefill_best = infinite;
    double decode_best = infinite;
    double combined_best = infinite;
    const double transfer = demand.prompt / options_.kv_tokens_per_second + 0.002;
    for (const std::size_t number : candidates(service, random, cached)) {
        if (!usable(engines_[number], exclude, now)) {
            continue;
        }
        const option next = estimate(number, demand, now);
        const double bias = preference(number);
        const double noise = options_.tie_break_noise * (0.8 * bias + 0.2 * random.unit());
        const double split_cost =
            next.prefill_cost + noise +
            lateness_cost((next.first_token + transfer) / demand.ttft_target, ttft_knee);
        if (split_cost < prefill_best) {
            prefill_best = split_cost;
            prefill = next;
        }
        if (next.decode_cost + noise < decode_best) {
            decode_best = next.decode_cost + noise;
            decode = next;
        }
        const double combined_cost = next.combined
                                         ? next.prefill_cost + next.decode_cost + noise +
                                               lateness_cost(next.first_token / demand.ttft_target, ttft_knee)
                                         : infinite;
        if (combined_cost < combined_best) {
            combined_best = combined_cost;
            combined = next;
        }
    }
    const bool split = prefill_best + decode_best < combined_best && prefill.engine != decode.engine;
    if (!split && combined_best == infinite) {
        service.requests.add(1, now);
        return tl::unexpected<refusal>(refusal{});
    }
    const option& prefill_choice = split ? prefill : combined;
    const option& decode_choice = split ? decode : combined;
    if (exclude.empty()) {
        record_demand(shape, service, demand.prompt - prefill_choice.cached_tokens, now);
    }
    const double wait = prefill_choice.first_token + (split ? transfer : 0);
    const double adjusted_wait = wait * service.lateness.factor();
    const double ratio =
        std::max(adjusted_wait / demand.ttft_target, itl_weight * decode_choice.itl / demand.itl_target);
    const engine_view& target = engines_[prefill_choice.engine];
    const bool idle = target.own.prefilling + target.peers.prefilling <= 0;
    const bool admit_idle = idle && !displaces_others(service, demand.prompt - prefill_choice.cached_tokens,
                                                      wait / demand.ttft_target, now);
    if (exclude.empty() && ratio > allowed_wait_ratio(shape, service, now) && !admit_idle) {
        service.refused.add(1, now);
        refusal why;
        why.reason = refusal_reason::too_late;
        why.retry_after = std::chrono::seconds(1 + random.below(3));
        return tl::unexpected<refusal>(why);
    }
    route chosen;
    chosen.engine = engines_[decode_choice.engine].spec.id;
    if (split) {
        chosen.prefill_engine = engines_[prefill_choice.engine].spec.id;
    }
    chosen.predicted_first_token = from_seconds(wait);
    chosen.predicted_between_tokens = from_seconds(decode_choice.itl);
    chosen.cached_tokens = static_cast<std::uint32_t>(prefill_choice.cached_tokens);
    return chosen;
}

} // namespace currantspar::policy
