#include "currantspar/core/reports.hpp"

#include <algorithm>
#include <utility>

#include "currantspar/base/hash.hpp"
#include "currantspar/core/step.hpp"

namespace currantspar::core::reports {

namespace {

/// Interval between assignments of engines to the nodes that poll them.
constexpr duration assign_every = std::chrono::seconds(1);
/// A node polls an engine itself when its last report is older than the expected interval plus this margin.
constexpr duration overdue_margin = std::chrono::milliseconds(500);
/// An engine with a failed poll is considered unresponsive when its last report is older than this.
constexpr duration unanswered_timeout = std::chrono::seconds(2);
/// Timeout of a report request; engines respond within milliseconds.
constexpr duration report_timeout = std::chrono::seconds(1);
/// Estimated wire size of a digest, for the byte budget: header, entry, cache change.
constexpr double digest_bytes = 200;
constexpr double entry_bytes = 110;
constexpr double cache_change_bytes = 12;
/// Estimated wire size of polling one engine's report and cache events.
constexpr double collect_bytes = 1100;
/// Maximum number of cache event batches in one digest. Receivers see omitted batches as a sequence gap.
constexpr std::size_t max_cache_batches = 32;

std::vector<node_id> live_neighbours(const step_context& context)
{
    std::vector<node_id> nodes;
    for (const auto& [id, known] : context.state.membership.members) {
        const bool neighbour = known.data_centre == context.state.options.data_centre;
        if (neighbour && known.health == member_health::alive && !known.leaving) {
            nodes.push_back(id);
        }
    }
    return nodes;
}

/// Rendezvous hashing: nodes with the same view of which nodes are alive select the same collector for an
/// engine.
bool collects(const step_context& context, const std::vector<node_id>& neighbours, const engine_id& engine)
{
    const auto weight = [&](const node_id& node) { return fast_hash(node.str(), fast_hash(engine.str())); };
    const std::uint64_t own = weight(context.state.options.self);
    return std::none_of(neighbours.begin(), neighbours.end(),
                        [&](const node_id& node) { return weight(node) > own; });
}

/// Poll interval of each engine, which grows with the number of engines polled by this node.
duration collect_interval(const step_context& context)
{
    const core_options& options = context.state.options;
    const double bytes = static_cast<double>(context.state.reports.collected.size()) * collect_bytes;
    return std::max(options.report_every, from_seconds(bytes / options.collect_bytes_per_second));
}

/// Maximum time between two reports of a healthy engine.
duration max_report_gap(const step_context& context)
{
    return overdue_margin + context.state.reports.digest_interval + collect_interval(context);
}

bool is_overdue(const step_context& context, const engine_id& engine)
{
    const auto known = context.state.reports.engines.find(engine);
    const bool is_known = known != context.state.reports.engines.end();
    return !is_known || context.now - known->second.last > max_report_gap(context);
}

/// Selects the engines that this node polls.
void assign(step_context& context)
{
    report_state& state = context.state.reports;
    state.assign_due = context.now + assign_every;
    state.collected.clear();
    state.shared.clear();
    const std::vector<node_id> neighbours = live_neighbours(context);
    const data_centre_id& own = context.state.options.data_centre;
    for (const auto& [pool, engines] : context.state.routing.index.pools) {
        if (!routing::reaches(context.state, own, pool.data_centre)) {
            continue;
        }
        for (const config::engine_spec* spec : engines) {
            const bool chosen = pool.data_centre == own && collects(context, neighbours, spec->id);
            if (chosen) {
                state.shared.insert(spec->id);
            }
            if (chosen || orders::has_active_change(context.state, spec->id) ||
                is_overdue(context, spec->id)) {
                state.collected.insert(spec->id);
            }
        }
    }
}

void poll(step_context& context, const engine_id& engine)
{
    report_state::polled& entry = context.state.reports.engines[engine];
    const bool timed_out = entry.open && context.now - entry.opened >= report_timeout;
    entry.unanswered = entry.unanswered || timed_out;
    const config::engine_spec* spec = routing::find_engine(context.state, engine);
    if (spec == nullptr || (entry.open && !timed_out) || context.now < entry.due) {
        return;
    }
    entry.open = true;
    entry.opened = context.now;
    entry.due = context.now + collect_interval(context);
    context.emit(read_report{spec->id, spec->address});
    context.emit(read_cache_events{spec->id, spec->address, entry.next_cache_sequence});
}

void close_poll(step_context& context, const engine_id& engine, bool answered)
{
    const auto found = context.state.reports.engines.find(engine);
    if (found != context.state.reports.engines.end()) {
        found->second.open = false;
        found->second.unanswered = !answered;
    }
}

/// Passes an engine's report on to the other modules of this node.
void apply_report(step_context& context, const policy::engine_report& report)
{
    report_state::polled& entry = context.state.reports.engines[report.engine];
    entry.condition = report.condition;
    entry.last = context.now;
    entry.unanswered = false;
    policy::engine_report seen = report;
    if (context.state.options.fault == injected_fault::leaving_ignored) {
        seen.condition = policy::engine_condition::serving;
    }
    routing::on_report(context, seen);
    orders::on_report(context, report);
}

/// Nodes that route to this data centre's engines.
std::vector<node_id> receivers(const step_context& context)
{
    std::vector<node_id> nodes;
    for (const auto& [id, known] : context.state.membership.members) {
        const bool in_reach =
            routing::reaches(context.state, known.data_centre, context.state.options.data_centre);
        if (in_reach && known.health != member_health::gone) {
            nodes.push_back(id);
        }
    }
    return nodes;
}

load_digest make_digest(step_context& context)
{
    report_state& state = context.state.reports;
    load_digest digest;
    for (const auto& [engine, received] : std::exchange(state.outgoing, {})) {
        if (const policy::engine_report* report = context.state.routing.dispatcher.report(engine)) {
            digest.reports.push_back(*report);
            digest.report_ages.push_back(context.now - received);
        }
    }
    digest.cache_events = std::exchange(state.cache_events, {});
    digest.work = context.state.routing.dispatcher.make_digest(context.now);
    digest.work.organisations = admission::take_usage(context);
    return digest;
}

/// Sends a digest and schedules the next one, the later the larger this one was.
void send_digest(step_context& context)
{
    const std::vector<node_id> nodes = receivers(context);
    const load_digest digest = make_digest(context);
    const auto entries = static_cast<double>(digest.reports.size() + digest.work.engines.size() +
                                             digest.work.organisations.size());
    double each = digest_bytes + entry_bytes * entries;
    for (const policy::cache_event_batch& batch : digest.cache_events) {
        each += cache_change_bytes * static_cast<double>(batch.changes.size());
    }
    const double bytes = static_cast<double>(nodes.size()) * each;
    const core_options& options = context.state.options;
    report_state& state = context.state.reports;
    state.digest_interval = std::max({options.digest_every, collect_interval(context),
                                      from_seconds(bytes / options.digest_bytes_per_second)});
    state.digest_due = context.now + state.digest_interval;
    for (const node_id& node : nodes) {
        context.send(node, digest);
    }
}

} // namespace

bool unresponsive(const step_context& context, const engine_id& engine)
{
    const auto known = context.state.reports.engines.find(engine);
    if (known == context.state.reports.engines.end()) {
        return true;
    }
    const duration since_last = context.now - known->second.last;
    return since_last >
           (known->second.unanswered ? unanswered_timeout : max_report_gap(context) + report_timeout);
}

std::string unresponsive_detail(const step_context& context, const engine_id& engine)
{
    const auto known = context.state.reports.engines.find(engine);
    if (known == context.state.reports.engines.end()) {
        return "never_heard";
    }
    const auto since_last =
        std::chrono::duration_cast<std::chrono::milliseconds>(context.now - known->second.last);
    return "unheard_ms=" + std::to_string(since_last.count()) +
           (known->second.unanswered ? " asked_in_vain" : "");
}

void send_delta_digest(step_context& context)
{
    policy::dispatcher& dispatcher = context.state.routing.dispatcher;
    if (!dispatcher.has_changes()) {
        return;
    }
    report_state& state = context.state.reports;
    const double budget = context.state.options.delta_bytes_per_second;
    state.delta_bytes =
        std::min(budget, state.delta_bytes + to_seconds(context.now - state.delta_refilled) * budget);
    state.delta_refilled = context.now;
    if (state.delta_bytes <= 0) {
        return;
    }
    load_digest digest;
    digest.work = dispatcher.make_delta_digest();
    const std::vector<node_id> nodes = receivers(context);
    const double each = digest_bytes + entry_bytes * static_cast<double>(digest.work.engines.size());
    state.delta_bytes -= each * static_cast<double>(nodes.size());
    for (const node_id& node : nodes) {
        context.send(node, digest);
    }
}

void on_report(step_context& context, const report_received& incoming)
{
    close_poll(context, incoming.report.engine, true);
    const auto known = context.state.reports.engines.find(incoming.report.engine);
    const bool urgent =
        known == context.state.reports.engines.end() || known->second.condition != incoming.report.condition;
    apply_report(context, incoming.report);
    if (context.state.reports.shared.contains(incoming.report.engine)) {
        context.state.reports.outgoing[incoming.report.engine] = context.now;
    }
    if (urgent) {
        context.state.reports.digest_due = context.now;
    }
}

void on_report_failed(step_context& context, const report_failed& incoming)
{
    close_poll(context, incoming.engine, false);
}

void on_cache_events(step_context& context, const cache_events_received& incoming)
{
    report_state& state = context.state.reports;
    const policy::cache_event_batch& batch = incoming.batch;
    context.state.routing.dispatcher.on_cache_events(batch, context.now);
    state.engines[batch.engine].next_cache_sequence = batch.first_sequence + batch.changes.size();
    if (!batch.changes.empty() && state.cache_events.size() < max_cache_batches) {
        state.cache_events.push_back(batch);
    }
}

void on_digest(step_context& context, const peer_received&, const load_digest& digest)
{
    for (const policy::engine_report& report : digest.reports) {
        apply_report(context, report);
    }
    for (const policy::cache_event_batch& batch : digest.cache_events) {
        context.state.routing.dispatcher.on_cache_events(batch, context.now);
    }
    context.state.routing.dispatcher.on_digest(digest.work, context.now);
    admission::on_digest(context, digest.work);
}

void on_tick(step_context& context)
{
    report_state& state = context.state.reports;
    if (!context.state.configuration.replica.state().fleet) {
        return;
    }
    if (context.now >= state.assign_due) {
        assign(context);
    }
    for (const engine_id& engine : state.collected) {
        poll(context, engine);
    }
    if (context.now >= state.digest_due) {
        send_digest(context);
    }
}

} // namespace currantspar::core::reports
