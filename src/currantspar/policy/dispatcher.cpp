#include "currantspar/policy/dispatcher.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "currantspar/base/hash.hpp"

namespace currantspar::policy {

namespace {

constexpr double smoothing = 0.1; ///< weight of a new measurement in an error average
constexpr double min_error = 0.2;
constexpr double max_error = 10;
constexpr double confidence_after_gap = 0.5;
constexpr double confidence_gain = 0.02;
constexpr std::uint32_t min_tokens_for_itl = 8; ///< output tokens needed to measure the inter-token latency
constexpr duration network_local = std::chrono::microseconds(150);
constexpr std::size_t max_organisations = 4096;

/// Adjusts an error factor by the ratio of a measured to a predicted time, within bounds.
void correct(double& error, double measured, double predicted)
{
    const double ratio = std::clamp(measured / predicted, 0.5, 2.0);
    error = std::clamp(error * (1 + smoothing * (ratio - 1)), min_error, max_error);
}

} // namespace

dispatcher::dispatcher(dispatcher_options options)
    : options_(std::move(options)), preference_seed_(fast_hash(options_.self.str()))
{}

std::optional<std::size_t> dispatcher::number_of_engine(const engine_id& id) const
{
    const auto found = numbers_.find(id);
    return found == numbers_.end() ? std::nullopt : std::optional(found->second);
}

void dispatcher::on_fleet(const config::fleet& fleet)
{
    for (engine_view& view : engines_) {
        view.listed = false;
    }
    for (service_view& service : services_) {
        service.local.clear();
        service.remote.clear();
    }
    for (const config::service_spec& spec : fleet.services) {
        const std::size_t service_number =
            service_numbers_.try_emplace(spec.id, services_.size()).first->second;
        services_.resize(std::max(services_.size(), service_number + 1));
        service_view& service = services_[service_number];
        service.id = spec.id;
        service.piece_tokens = std::max(1U, spec.piece_tokens);
        for (const config::engine_spec& engine : spec.engines) {
            const std::size_t number = numbers_.try_emplace(engine.id, engines_.size()).first->second;
            engines_.resize(std::max(engines_.size(), number + 1));
            engine_view& view = engines_[number];
            view.spec = engine;
            view.service = service_number;
            view.listed = true;
            view.network = network_local + fleet.delay(options_.data_centre, engine.data_centre);
            const bool local = engine.data_centre == options_.data_centre;
            (local ? service.local : service.remote).push_back(number);
        }
    }
}

void dispatcher::on_report(const engine_report& report, instant now)
{
    const auto number = number_of_engine(report.engine);
    if (!number) {
        return;
    }
    engine_view& view = engines_[*number];
    if (view.has_report && report.taken_at < view.report.taken_at) {
        return;
    }
    const bool restarted = report.prefill_tokens_total < view.report.prefill_tokens_total;
    if (view.has_report && (restarted || report.role != view.report.role)) {
        prefixes_.forget(static_cast<prefix_index::engine_number>(*number));
        view.prefill_fraction = 0;
        view.prefill_error = 1;
    }
    const double seconds = to_seconds(report.taken_at - view.report.taken_at);
    if (view.has_report && !restarted && seconds > 0) {
        const auto computed =
            static_cast<double>(report.prefill_tokens_total - view.report.prefill_tokens_total);
        const double share = computed * seconds_per_token(view) / seconds;
        view.prefill_fraction += std::min(1.0, seconds / 2) * (std::min(1.0, share) - view.prefill_fraction);
    }
    view.report = report;
    view.report_received = now;
    view.has_report = true;
}

void dispatcher::on_cache_events(const cache_event_batch& batch, instant)
{
    const auto number = number_of_engine(batch.engine);
    if (!number) {
        return;
    }
    engine_view& view = engines_[*number];
    if (batch.first_sequence > view.next_cache_event && view.next_cache_event > 0) {
        view.cache_confidence *= confidence_after_gap;
    }
    view.next_cache_event = batch.first_sequence + batch.changes.size();
    for (const cache_event_batch::change& change : batch.changes) {
        view.cache_confidence += confidence_gain * (1 - view.cache_confidence);
        if (change.cached) {
            prefixes_.add(change.piece, static_cast<prefix_index::engine_number>(*number));
        } else {
            prefixes_.remove(change.piece, static_cast<prefix_index::engine_number>(*number));
        }
    }
}

void dispatcher::on_digest(const work_digest& digest, instant now)
{
    peer_view& peer = peers_[digest.node];
    if (!digest.partial) {
        std::unordered_set<std::size_t> reported;
        for (const sent_work& sent : digest.engines) {
            reported.insert(number_of_engine(sent.engine).value_or(engines_.size()));
        }
        for (auto& [number, work] : peer.engines) {
            if (!reported.contains(number)) {
                set_peer_work(number, work, {}, now);
            }
        }
        peer.organisations = digest.organisations;
        peer.services = digest.services;
    }
    for (const sent_work& sent : digest.engines) {
        const auto number = number_of_engine(sent.engine);
        if (!number) {
            continue;
        }
        engine_work fresh;
        fresh.prefill_tokens = static_cast<std::int64_t>(sent.prefill_tokens);
        fresh.prefilling = static_cast<std::int32_t>(sent.prefilling);
        fresh.decoding = static_cast<std::int32_t>(sent.running - std::min(sent.running, sent.prefilling));
        fresh.pieces = static_cast<std::int32_t>(sent.pieces);
        set_peer_work(*number, peer.engines[*number], fresh, now);
    }
}

void dispatcher::set_peer_work(std::size_t number, engine_work& known, const engine_work& fresh, instant now)
{
    engine_view& view = engines_[number];
    const std::int64_t before = view.prefill_tokens();
    view.peers.add(known, -1);
    view.peers.add(fresh, 1);
    known = fresh;
    prefill_changed(view, before, now);
}

void dispatcher::forget_node(const node_id& node)
{
    const auto found = peers_.find(node);
    if (found == peers_.end()) {
        return;
    }
    for (const auto& [number, work] : found->second.engines) {
        engines_[number].peers.add(work, -1);
    }
    peers_.erase(found);
}

void dispatcher::set_open(const engine_id& engine, bool open)
{
    if (const auto number = number_of_engine(engine)) {
        engines_[*number].open = open;
    }
}

bool dispatcher::takes_new_work(const engine_id& engine, instant now) const
{
    const auto number = number_of_engine(engine);
    return number && usable(engines_[*number], {}, now);
}

void dispatcher::on_sent(attempt_id id, const route& chosen, const request_shape& shape, instant now)
{
    const auto decode = number_of_engine(chosen.engine);
    const bool split = !chosen.prefill_engine.empty();
    const auto prefill = split ? number_of_engine(chosen.prefill_engine) : decode;
    if (!decode || !prefill) {
        return;
    }
    sent_attempt sent;
    sent.prefill = *prefill;
    sent.decode = *decode;
    sent.split = split;
    sent.service = engines_[*decode].service;
    sent.organisation = shape.organisation;
    sent.prefix = shape.prefix_pieces;
    sent.uncached_tokens = shape.prompt_tokens - std::min(shape.prompt_tokens, chosen.cached_tokens);
    const double total_tokens = shape.prompt_tokens + expected_output(shape);
    sent.pieces = 1 + static_cast<std::int32_t>(total_tokens / services_[sent.service].piece_tokens);
    sent.sent = now;
    sent.predicted_first_token = chosen.predicted_first_token;
    sent.first_token_target = first_token_target(shape);
    mark_changed(*prefill);
    mark_changed(*decode);
    engine_view& prefill_view = engines_[*prefill];
    sent.predicted = prefill_seconds(prefill_view, sent.uncached_tokens, now);
    const std::int64_t before = prefill_view.prefill_tokens();
    prefill_view.own.prefill_tokens += sent.uncached_tokens;
    prefill_changed(prefill_view, before, now);
    engines_[*prefill].own.prefilling += 1;
    engines_[*decode].own.pieces += sent.pieces;
    if (split) {
        engines_[*decode].own.decoding += 1;
    }
    attempts_[id] = std::move(sent);
    organisations_[shape.organisation].admitted.add(1, now);
    if (organisations_.size() > max_organisations) {
        organisations_.erase(organisations_.begin());
    }
}

void dispatcher::on_accepted(attempt_id, engine_time) {}

void dispatcher::prefill_done(sent_attempt& attempt, instant now)
{
    attempt.prefilled = true;
    mark_changed(attempt.prefill);
    engine_view& view = engines_[attempt.prefill];
    const std::int64_t before = view.prefill_tokens();
    view.own.prefill_tokens -= attempt.uncached_tokens;
    view.own.prefilling -= 1;
    prefill_changed(view, before, now);
    if (!attempt.split) {
        view.own.decoding += 1;
    }
    for (const std::uint64_t piece : attempt.prefix) {
        prefixes_.add(piece, static_cast<prefix_index::engine_number>(attempt.prefill));
    }
    constexpr double min_predicted = 0.02; ///< seconds; shorter predictions don't update the error
    if (attempt.predicted > min_predicted) {
        const double measured = to_seconds(now - attempt.sent - 2 * view.network);
        correct(view.prefill_error, measured, attempt.predicted);
    }
}

void dispatcher::on_prefilled(attempt_id id, instant now)
{
    const auto found = attempts_.find(id);
    if (found != attempts_.end() && !found->second.prefilled) {
        prefill_done(found->second, now);
    }
}

void dispatcher::on_tokens(attempt_id id, std::uint32_t count, instant now)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    sent_attempt& attempt = found->second;
    if (!attempt.prefilled) {
        prefill_done(attempt, now);
    }
    if (attempt.tokens == 0) {
        if (attempt.predicted_first_token > duration{}) {
            services_[attempt.service].lateness.observe(attempt.predicted_first_token, now - attempt.sent,
                                                        attempt.first_token_target);
        }
        attempt.first = now;
        attempt.last = now;
    }
    attempt.tokens += count;
    engine_view& view = engines_[attempt.decode];
    if (count >= min_tokens_for_itl && now > attempt.last && view.prefill_fraction < 0.1) {
        const double step = step_seconds(view, std::max(1.0, view.sequences()));
        correct(view.decode_error, to_seconds(now - attempt.last) / count, step);
    }
    attempt.last = now;
}

void dispatcher::on_ended(attempt_id id, attempt_end how, instant now)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    const sent_attempt& attempt = found->second;
    engine_work& prefill = engines_[attempt.prefill].own;
    engine_work& decode = engines_[attempt.decode].own;
    if (!attempt.prefilled) {
        const std::int64_t before = engines_[attempt.prefill].prefill_tokens();
        prefill.prefill_tokens -= attempt.uncached_tokens;
        prefill.prefilling -= 1;
        prefill_changed(engines_[attempt.prefill], before, now);
    }
    mark_changed(attempt.prefill);
    mark_changed(attempt.decode);
    if (attempt.prefilled || attempt.split) {
        decode.decoding -= 1;
    }
    decode.pieces -= attempt.pieces;
    if (how == attempt_end::complete && attempt.tokens > 0) {
        service_view& service = services_[attempt.service];
        service.output_tokens += 0.02 * (attempt.tokens - service.output_tokens);
        double& average = organisations_[attempt.organisation].output_tokens;
        average = average == 0 ? attempt.tokens : average + 0.2 * (attempt.tokens - average);
    }
    attempts_.erase(found);
}

void dispatcher::mark_changed(std::size_t number)
{
    if (!std::exchange(engines_[number].changed, true)) {
        changed_.push_back(number);
    }
}

sent_work dispatcher::describe(const engine_view& view) const
{
    const engine_work& own = view.own;
    sent_work sent;
    sent.engine = view.spec.id;
    sent.running = static_cast<std::uint32_t>(std::max(0, own.prefilling + own.decoding));
    sent.prefill_tokens = static_cast<std::uint64_t>(std::max<std::int64_t>(0, own.prefill_tokens));
    sent.pieces = static_cast<std::uint32_t>(std::max(0, own.pieces));
    sent.prefilling = static_cast<std::uint32_t>(std::max(0, own.prefilling));
    return sent;
}

work_digest dispatcher::make_delta_digest()
{
    work_digest digest;
    digest.node = options_.self;
    digest.partial = true;
    for (const std::size_t number : std::exchange(changed_, {})) {
        engines_[number].changed = false;
        digest.engines.push_back(describe(engines_[number]));
    }
    return digest;
}

work_digest dispatcher::make_digest(instant now) const
{
    work_digest digest;
    digest.node = options_.self;
    for (const engine_view& view : engines_) {
        if (view.own.prefilling + view.own.decoding > 0) {
            digest.engines.push_back(describe(view));
        }
    }
    for (const service_view& service : services_) {
        digest.services.push_back(
            {service.id, service.requests.rate(now), service.prefill.rate(now), service.decode.rate(now)});
    }
    constexpr double min_rate = 0.05;
    for (const auto& [id, organisation] : organisations_) {
        const double rate = organisation.admitted.rate(now);
        if (rate >= min_rate) {
            digest.organisations.push_back({id, rate, 0});
        }
    }
    return digest;
}

const engine_report* dispatcher::report(const engine_id& engine) const
{
    const auto number = number_of_engine(engine);
    return number && engines_[*number].has_report ? &engines_[*number].report : nullptr;
}

void dispatcher::describe_pool(pool_view& pool, instant now) const
{
    const auto found = service_numbers_.find(pool.pool.service);
    if (found == service_numbers_.end()) {
        return;
    }
    const service_view& service = services_[found->second];
    pool.prompts = service.prompts;
    pool.requests_per_second = service.requests.rate(now);
    pool.prefill_tokens_per_second = service.prefill.rate(now);
    pool.decode_tokens_per_second = service.decode.rate(now);
    for (const auto& [node, peer] : peers_) {
        for (const work_digest::demand& demand : peer.services) {
            if (demand.service == service.id) {
                pool.requests_per_second += demand.requests_per_second;
                pool.prefill_tokens_per_second += demand.prefill_tokens_per_second;
                pool.decode_tokens_per_second += demand.decode_tokens_per_second;
            }
        }
    }
}

} // namespace currantspar::policy
