#include "currantspar/core/reports.hpp"

#include <algorithm>
#include <utility>

#include "currantspar/base/hash.hpp"
#include "currantspar/core/step.hpp"

namespace currantspar::core::reports {

namespace {

/// Between two looks at which node reads which engine.
constexpr duration assign_every = std::chrono::seconds(1);
/// A node that hasn't heard of an engine for so long, besides the time between two digests, reads it itself.
constexpr duration missed_after = std::chrono::milliseconds(500);
/// An engine that was asked in vain and hasn't been heard of for so long counts as silent.
constexpr duration doubted_after = std::chrono::seconds(2);
/// An answer that didn't come by then never will; engines answer within milliseconds.
constexpr duration report_timeout = std::chrono::seconds(1);
/// A digest's size on the wire, for the budget: its head, and each entry.
constexpr double digest_bytes = 200;
constexpr double entry_bytes = 110;
constexpr double cache_change_bytes = 12;
/// Reading one engine's report and cache events, on the wire.
constexpr double collect_bytes = 1100;
/// Batches of cache events in one digest; what is left out shows as a gap.
constexpr std::size_t cache_batches_most = 32;

std::vector<node_id> live_neighbours(const step& run)
{
    std::vector<node_id> nodes;
    for (const auto& [id, known] : run.state.membership.members) {
        const bool neighbour = known.data_centre == run.state.options.data_centre;
        if (neighbour && known.health == member_health::alive && !known.leaving) {
            nodes.push_back(id);
        }
    }
    return nodes;
}

/// Every node chooses the same collector for an engine while they know the same nodes to be alive.
bool collects(const step& run, const std::vector<node_id>& neighbours, const engine_id& engine)
{
    const auto weight = [&](const node_id& node) { return fast_hash(node.str(), fast_hash(engine.str())); };
    const std::uint64_t own = weight(run.state.options.self);
    return std::none_of(neighbours.begin(), neighbours.end(),
                        [&](const node_id& node) { return weight(node) > own; });
}

/// The more engines this node reads, the less often it reads each.
duration collect_interval(const step& run)
{
    const core_options& options = run.state.options;
    const double bytes = static_cast<double>(run.state.reports.collected.size()) * collect_bytes;
    return std::max(options.report_every, from_seconds(bytes / options.collect_bytes_per_second));
}

/// For how long an engine of which nothing is wrong may not be heard of.
duration silence_expected(const step& run)
{
    return missed_after + run.state.reports.digest_interval + collect_interval(run);
}

bool missed(const step& run, const engine_id& engine)
{
    const auto known = run.state.reports.engines.find(engine);
    const bool heard = known != run.state.reports.engines.end();
    return !heard || run.now - known->second.last > silence_expected(run);
}

/// Chooses the engines that this node reads.
void assign(step& run)
{
    report_state& state = run.state.reports;
    state.assign_due = run.now + assign_every;
    state.collected.clear();
    state.shared.clear();
    const std::vector<node_id> neighbours = live_neighbours(run);
    const data_centre_id& own = run.state.options.data_centre;
    for (const auto& [pool, engines] : run.state.routing.index.pools) {
        if (!routing::reaches(run.state, own, pool.data_centre)) {
            continue;
        }
        for (const config::engine_spec* spec : engines) {
            const bool chosen = pool.data_centre == own && collects(run, neighbours, spec->id);
            if (chosen) {
                state.shared.insert(spec->id);
            }
            if (chosen || orders::watches(run.state, spec->id) || missed(run, spec->id)) {
                state.collected.insert(spec->id);
            }
        }
    }
}

void poll(step& run, const engine_id& engine)
{
    report_state::polled& entry = run.state.reports.engines[engine];
    const bool lost = entry.open && run.now - entry.opened >= report_timeout;
    entry.unanswered = entry.unanswered || lost;
    const config::engine_spec* spec = routing::find_engine(run.state, engine);
    if (spec == nullptr || (entry.open && !lost) || run.now < entry.due) {
        return;
    }
    entry.open = true;
    entry.opened = run.now;
    entry.due = run.now + collect_interval(run);
    run.emit(read_report{spec->id, spec->address});
    run.emit(read_cache_events{spec->id, spec->address, entry.next_cache_sequence});
}

void close_poll(step& run, const engine_id& engine, bool answered)
{
    const auto found = run.state.reports.engines.find(engine);
    if (found != run.state.reports.engines.end()) {
        found->second.open = false;
        found->second.unanswered = !answered;
    }
}

/// Tells the other concerns of this node what an engine said.
void take(step& run, const policy::engine_report& report)
{
    report_state::polled& entry = run.state.reports.engines[report.engine];
    entry.condition = report.condition;
    entry.last = run.now;
    entry.unanswered = false;
    policy::engine_report seen = report;
    if (run.state.options.fault == injected_fault::leaving_ignored) {
        seen.condition = policy::engine_condition::serving;
    }
    routing::on_report(run, seen);
    orders::on_report(run, report);
}

/// The nodes that route to this data centre's engines.
std::vector<node_id> receivers(const step& run)
{
    std::vector<node_id> nodes;
    for (const auto& [id, known] : run.state.membership.members) {
        const bool wanted = routing::reaches(run.state, known.data_centre, run.state.options.data_centre);
        if (wanted && known.health != member_health::gone) {
            nodes.push_back(id);
        }
    }
    return nodes;
}

load_digest make_digest(step& run)
{
    report_state& state = run.state.reports;
    load_digest digest;
    for (const auto& [engine, received] : std::exchange(state.outgoing, {})) {
        if (const policy::engine_report* report = run.state.routing.dispatcher.report(engine)) {
            digest.reports.push_back(*report);
            digest.report_ages.push_back(run.now - received);
        }
    }
    digest.cache_events = std::exchange(state.cache_events, {});
    digest.work = run.state.routing.dispatcher.make_digest(run.now);
    digest.work.organisations = admission::take_usage(run);
    return digest;
}

/// Sends a digest, and the next one later the more bytes this one had.
void send_digest(step& run)
{
    const std::vector<node_id> nodes = receivers(run);
    const load_digest digest = make_digest(run);
    const auto entries = static_cast<double>(digest.reports.size() + digest.work.engines.size() +
                                             digest.work.organisations.size());
    double each = digest_bytes + entry_bytes * entries;
    for (const policy::cache_event_batch& batch : digest.cache_events) {
        each += cache_change_bytes * static_cast<double>(batch.changes.size());
    }
    const double bytes = static_cast<double>(nodes.size()) * each;
    const core_options& options = run.state.options;
    report_state& state = run.state.reports;
    state.digest_interval = std::max(
        {options.digest_every, collect_interval(run), from_seconds(bytes / options.digest_bytes_per_second)});
    state.digest_due = run.now + state.digest_interval;
    for (const node_id& node : nodes) {
        run.send(node, digest);
    }
}

} // namespace

bool silent(const step& run, const engine_id& engine)
{
    const auto known = run.state.reports.engines.find(engine);
    if (known == run.state.reports.engines.end()) {
        return true;
    }
    const duration unheard = run.now - known->second.last;
    return unheard > (known->second.unanswered ? doubted_after : silence_expected(run) + report_timeout);
}

std::string silence_text(const step& run, const engine_id& engine)
{
    const auto known = run.state.reports.engines.find(engine);
    if (known == run.state.reports.engines.end()) {
        return "never_heard";
    }
    const auto unheard = std::chrono::duration_cast<std::chrono::milliseconds>(run.now - known->second.last);
    return "unheard_ms=" + std::to_string(unheard.count()) +
           (known->second.unanswered ? " asked_in_vain" : "");
}

void share_news(step& run)
{
    policy::dispatcher& dispatcher = run.state.routing.dispatcher;
    if (!dispatcher.has_changes()) {
        return;
    }
    report_state& state = run.state.reports;
    const double budget = run.state.options.news_bytes_per_second;
    state.news_bytes = std::min(budget, state.news_bytes + to_seconds(run.now - state.news_at) * budget);
    state.news_at = run.now;
    if (state.news_bytes <= 0) {
        return;
    }
    load_digest digest;
    digest.work = dispatcher.make_delta_digest();
    const std::vector<node_id> nodes = receivers(run);
    const double each = digest_bytes + entry_bytes * static_cast<double>(digest.work.engines.size());
    state.news_bytes -= each * static_cast<double>(nodes.size());
    for (const node_id& node : nodes) {
        run.send(node, digest);
    }
}

void on_report(step& run, const report_received& happened)
{
    close_poll(run, happened.report.engine, true);
    const auto known = run.state.reports.engines.find(happened.report.engine);
    const bool urgent =
        known == run.state.reports.engines.end() || known->second.condition != happened.report.condition;
    take(run, happened.report);
    if (run.state.reports.shared.contains(happened.report.engine)) {
        run.state.reports.outgoing[happened.report.engine] = run.now;
    }
    if (urgent) {
        run.state.reports.digest_due = run.now;
    }
}

void on_report_failed(step& run, const report_failed& happened)
{
    close_poll(run, happened.engine, false);
}

void on_cache_events(step& run, const cache_events_received& happened)
{
    report_state& state = run.state.reports;
    const policy::cache_event_batch& batch = happened.batch;
    run.state.routing.dispatcher.on_cache_events(batch, run.now);
    state.engines[batch.engine].next_cache_sequence = batch.first_sequence + batch.changes.size();
    if (!batch.changes.empty() && state.cache_events.size() < cache_batches_most) {
        state.cache_events.push_back(batch);
    }
}

void on_digest(step& run, const peer_received&, const load_digest& digest)
{
    for (const policy::engine_report& report : digest.reports) {
        take(run, report);
    }
    for (const policy::cache_event_batch& batch : digest.cache_events) {
        run.state.routing.dispatcher.on_cache_events(batch, run.now);
    }
    run.state.routing.dispatcher.on_digest(digest.work, run.now);
    admission::on_digest(run, digest.work);
}

void on_tick(step& run)
{
    report_state& state = run.state.reports;
    if (!run.state.configuration.replica.state().fleet) {
        return;
    }
    if (run.now >= state.assign_due) {
        assign(run);
    }
    for (const engine_id& engine : state.collected) {
        poll(run, engine);
    }
    if (run.now >= state.digest_due) {
        send_digest(run);
    }
}

} // namespace currantspar::core::reports
