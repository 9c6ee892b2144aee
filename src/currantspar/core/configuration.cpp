#include "currantspar/core/configuration.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "currantspar/core/step.hpp"

namespace currantspar::core::configuration {

namespace {

/// Failed reads in a row after which the log counts as out of reach.
constexpr unsigned failures_before_alarm = 3;
/// Between two requests to peers for their state.
constexpr duration ask_peer_every = std::chrono::seconds(1);
/// How long the log must have had no base before a node writes a restart: a node that has read everything
/// writes a checkpoint well before.
constexpr duration restart_wait = std::chrono::seconds(5);

agreement::replica_options replica_options(const core_options& options)
{
    agreement::replica_options made;
    made.reader = options.fleet_reader;
    made.trust_latest_position = options.fault == injected_fault::checkpoint_by_position;
    return made;
}

void raise(step& run, alarm which, bool& raised, bool wanted, std::string detail = {})
{
    if (raised != wanted) {
        raised = wanted;
        run.emit(set_alarm{which, wanted, std::move(detail)});
    }
}

void trace_publish(step& run, const agreement::publish_result& verdict)
{
    static constexpr const char* kinds[] = {"configuration.accepted", "configuration.conflict",
                                            "configuration.invalid"};
    timeline_entry entry;
    entry.kind = kinds[static_cast<std::size_t>(verdict.verdict)];
    entry.in_force = verdict.current;
    entry.offset = verdict.offset;
    entry.detail = "id=" + verdict.id.str() + " author=" + verdict.author;
    run.trace(std::move(entry));
}

void tell(step& run, const agreement::applied_change& change)
{
    if (change.publish) {
        trace_publish(run, *change.publish);
    }
    if (!change.authority.empty()) {
        authority::on_change(run, change);
    }
    if (change.order) {
        orders::on_change(run, change);
    }
    if (!change.keys.empty()) {
        keyed_calls::on_change(run, change);
    }
}

void announce_revision(step& run)
{
    configuration_state& state = run.state.configuration;
    const agreement::agreed_state& agreed = state.replica.state();
    if (agreed.current == state.announced) {
        return;
    }
    state.announced = agreed.current;
    routing::on_fleet(run);
    orders::on_fleet(run);
    lifecycle::on_fleet(run);
}

/// Notes when the log's best checkpoint changed.
void note_checkpoint(step& run)
{
    configuration_state& state = run.state.configuration;
    if (!state.replica.has_base()) {
        return;
    }
    const bool changed = state.replica.checkpointed() > state.checkpoint_seen;
    if (changed || state.checkpoint_at == instant()) {
        state.checkpoint_seen = state.replica.checkpointed();
        state.checkpoint_at = run.now;
        state.checkpoint_due = instant();
    }
}

bool checkpoint_needed(const step& run)
{
    const configuration_state& state = run.state.configuration;
    const core_options& options = run.state.options;
    const std::uint64_t covered = state.replica.checkpointed().value();
    const std::uint64_t applied = state.replica.state().applied.value();
    const bool many = applied - covered >= options.checkpoint_every;
    const bool old = applied > covered && run.now - state.checkpoint_at >= options.checkpoint_age;
    return many || old || !state.replica.log_has_base();
}

/// True when it is this node's turn to write what all nodes may write. They take turns in an order that
/// differs for each `turn`, the first after `wait`; `due` is 0 until this node has its place.
bool turn_has_come(const step& run, instant& due, const std::string& turn, duration wait)
{
    const core_options& options = run.state.options;
    if (due == instant()) {
        const auto rank = static_cast<duration::rep>(membership::rank(run.state, turn));
        due = run.now + std::max(wait, duration(1)) + options.checkpoint_step * rank;
        return false;
    }
    if (run.now < due) {
        return false;
    }
    due = run.now + wait + options.checkpoint_step * 10;
    return true;
}

/// Appends the state as a checkpoint, or as a restart when records up to `lost_up_to` were lost.
void append_state(step& run, timeline_entry entry, log_offset lost_up_to = {})
{
    const agreement::agreed_state& agreed = run.state.configuration.replica.state();
    for (agreement::checkpoint_record& part :
         agreement::make_checkpoint(agreed, run.state.options.checkpoint_body_limit)) {
        part.lost_up_to = lost_up_to;
        log_writer::append(run, std::move(part));
    }
    entry.offset = agreed.applied;
    run.trace(std::move(entry));
}

void write_checkpoint_when_due(step& run)
{
    configuration_state& state = run.state.configuration;
    const bool reachable = state.failed_reads == 0;
    if (!reachable || !verified(run.state) || !state.replica.caught_up() || !checkpoint_needed(run)) {
        state.checkpoint_due = instant();
        return;
    }
    const std::string turn = "checkpoint" + std::to_string(state.checkpoint_seen.value());
    if (turn_has_come(run, state.checkpoint_due, turn, duration())) {
        timeline_entry entry;
        entry.kind = "checkpoint.written";
        append_state(run, std::move(entry));
    }
}

/// True while a peer knows records that this node doesn't; it is the one to go on from.
bool peer_knows_more(const node_state& state)
{
    const log_offset applied = state.configuration.replica.state().applied;
    const auto& members = state.membership.members;
    return std::any_of(members.begin(), members.end(), [&](const auto& entry) {
        return entry.second.health == member_health::alive && entry.second.summary.applied > applied;
    });
}

/// Records that nobody has read aged out in an outage and no checkpoint reaches over them: the state as it
/// was before them goes into the log, for all to go on from.
void write_restart_when_due(step& run)
{
    configuration_state& state = run.state.configuration;
    const bool reachable = state.failed_reads == 0;
    if (!reachable || !state.replica.stranded() || peer_knows_more(run.state)) {
        state.restart_due = instant();
        return;
    }
    const log_offset lost = state.replica.lost_up_to();
    const std::string lost_text = std::to_string(lost.value());
    if (turn_has_come(run, state.restart_due, "restart" + lost_text, restart_wait)) {
        timeline_entry entry;
        entry.kind = "checkpoint.restart";
        entry.detail = "lost_up_to=" + lost_text;
        append_state(run, std::move(entry), lost);
    }
}

/// While the log can't be read, a fresh node asks a peer for its state.
void ask_peer_when_due(step& run)
{
    configuration_state& state = run.state.configuration;
    const bool stuck = state.failed_reads >= failures_before_alarm && !state.replica.has_base();
    if (!stuck || run.now < state.ask_peer_due) {
        return;
    }
    const std::vector<node_id> peers = membership::live_members(run.state);
    if (peers.empty()) {
        return;
    }
    state.ask_peer_due = run.now + ask_peer_every;
    run.send(peers[run.state.random.below(peers.size())], checkpoint_request{});
}

void update_alarms(step& run)
{
    configuration_state& state = run.state.configuration;
    raise(run, alarm::log_unreachable, state.alarmed_log, state.failed_reads >= failures_before_alarm);
    raise(run, alarm::unverified_start, state.alarmed_unverified, state.replica.unverified());
    const bool based = state.replica.has_base() || state.replica.stranded();
    const bool overdue = based && !state.replica.log_has_base();
    raise(run, alarm::checkpoint_overdue, state.alarmed_checkpoint, overdue);
}

/// A keyed call goes on with the log's next records, so they are read sooner; after a failed read the backoff
/// stands.
void hasten_read(step& run)
{
    configuration_state& state = run.state.configuration;
    if (state.failed_reads == 0 && keyed_calls::is_waiting_for_log(run.state)) {
        state.read_due = std::min(state.read_due, state.last_read + run.state.options.key_log_poll);
    }
}

} // namespace

duration backoff(step& run, unsigned failed)
{
    const core_options& options = run.state.options;
    const unsigned doublings = std::min(failed, 10U);
    const duration wait = std::min(options.retry_most, options.retry_first * (1U << doublings));
    return wait / 2 + duration(static_cast<duration::rep>(
                          run.state.random.below(static_cast<std::uint64_t>(wait.count()) + 1)));
}

bool verified(const node_state& state)
{
    return state.configuration.replica.has_base() && !state.configuration.replica.unverified();
}

void on_log_read(step& run, const log_read& happened)
{
    configuration_state& state = run.state.configuration;
    state.read_open = false;
    state.failed_reads = 0;
    state.last_read = run.now;
    const std::uint64_t bases = state.replica.bases_taken();
    const std::vector<agreement::applied_change> changes = state.replica.on_batch(happened.batch);
    if (state.replica.bases_taken() != bases) {
        authority::on_base(run);
        orders::on_base(run);
    }
    for (const agreement::applied_change& change : changes) {
        tell(run, change);
    }
    announce_revision(run);
    note_checkpoint(run);
    update_alarms(run);
    const bool behind = state.replica.next_read() < state.replica.head() && !happened.batch.records.empty();
    state.read_due = behind ? run.now : run.now + run.state.options.log_poll;
}

void on_log_read_failed(step& run, const log_read_failed&)
{
    configuration_state& state = run.state.configuration;
    state.read_open = false;
    state.failed_reads += 1;
    state.read_due = run.now + backoff(run, state.failed_reads);
    update_alarms(run);
}

void on_tick(step& run)
{
    configuration_state& state = run.state.configuration;
    hasten_read(run);
    ask_peer_when_due(run);
    write_checkpoint_when_due(run);
    write_restart_when_due(run);
    const bool lost = state.read_open && run.now - state.read_sent >= run.state.options.read_timeout;
    if ((state.read_open && !lost) || run.now < state.read_due) {
        return;
    }
    state.read_open = true;
    state.read_sent = run.now;
    run.emit(read_log{state.replica.next_read()});
}

void on_checkpoint_request(step& run, const peer_received& from)
{
    if (!verified(run.state)) {
        return;
    }
    const core_options& options = run.state.options;
    run.send(from.from, checkpoint_answer{agreement::make_checkpoint(run.state.configuration.replica.state(),
                                                                     options.checkpoint_body_limit)});
}

void on_checkpoint_answer(step& run, const peer_received&, const checkpoint_answer& answer)
{
    configuration_state& state = run.state.configuration;
    if (state.failed_reads == 0 || !state.replica.on_peer_checkpoint(answer.parts)) {
        return;
    }
    announce_revision(run);
    update_alarms(run);
}

void on_summary(step& run, const node_id& peer, const node_summary& summary)
{
    configuration_state& state = run.state.configuration;
    const auto own = state.replica.hash_at(summary.hashed_at);
    if (!own || *own == summary.state_hash) {
        return;
    }
    raise(run, alarm::state_divergence, state.alarmed_divergence, true,
          "peer=" + peer.str() + " offset=" + std::to_string(summary.hashed_at.value()));
}

} // namespace currantspar::core::configuration

namespace currantspar::core {

configuration_state::configuration_state(const core_options& options)
    : replica(configuration::replica_options(options))
{}

} // namespace currantspar::core
