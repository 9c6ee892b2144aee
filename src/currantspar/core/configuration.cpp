#include "currantspar/core/configuration.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "currantspar/core/step.hpp"

namespace currantspar::core::configuration {

namespace {

/// Consecutive failed reads after which the log is considered unreachable.
constexpr unsigned failures_before_alarm = 3;
/// Interval between requests for a peer's state.
constexpr duration peer_request_interval = std::chrono::seconds(1);
/// Time without a base in the log before a node writes a restart checkpoint. A node that has read all records
/// writes an ordinary checkpoint well before.
constexpr duration restart_wait = std::chrono::seconds(5);

agreement::replica_options replica_options(const core_options& options)
{
    agreement::replica_options made;
    made.parser = options.fleet_parser;
    made.trust_latest_position = options.fault == injected_fault::checkpoint_by_position;
    return made;
}

void set_alarm_state(step_context& context, alarm which, bool& raised, bool active, std::string detail = {})
{
    if (raised != active) {
        raised = active;
        context.emit(set_alarm{which, active, std::move(detail)});
    }
}

void trace_publish(step_context& context, const agreement::publish_result& verdict)
{
    static constexpr const char* kinds[] = {"configuration.accepted", "configuration.conflict",
                                            "configuration.invalid"};
    timeline_entry entry;
    entry.kind = kinds[static_cast<std::size_t>(verdict.verdict)];
    entry.in_force = verdict.current;
    entry.offset = verdict.offset;
    entry.detail = "id=" + verdict.id.str() + " author=" + verdict.author;
    context.trace(std::move(entry));
}

void notify(step_context& context, const agreement::applied_change& change)
{
    if (change.publish) {
        trace_publish(context, *change.publish);
    }
    if (!change.authority.empty()) {
        authority::on_change(context, change);
    }
    if (change.order) {
        orders::on_change(context, change);
    }
    if (!change.keys.empty()) {
        keyed_calls::on_change(context, change);
    }
}

void announce_revision(step_context& context)
{
    configuration_state& state = context.state.configuration;
    const agreement::agreed_state& agreed = state.replica.state();
    if (agreed.current == state.announced) {
        return;
    }
    state.announced = agreed.current;
    routing::on_fleet(context);
    orders::on_fleet(context);
    lifecycle::on_fleet(context);
}

/// Records when the log's latest checkpoint changed.
void record_checkpoint(step_context& context)
{
    configuration_state& state = context.state.configuration;
    if (!state.replica.has_base()) {
        return;
    }
    const bool changed = state.replica.checkpointed() > state.checkpoint_seen;
    if (changed || state.checkpoint_at == instant()) {
        state.checkpoint_seen = state.replica.checkpointed();
        state.checkpoint_at = context.now;
        state.checkpoint_due = instant();
    }
}

bool checkpoint_needed(const step_context& context)
{
    const configuration_state& state = context.state.configuration;
    const core_options& options = context.state.options;
    const std::uint64_t covered = state.replica.checkpointed().value();
    const std::uint64_t applied = state.replica.state().applied.value();
    const bool many = applied - covered >= options.checkpoint_every;
    const bool old = applied > covered && context.now - state.checkpoint_at >= options.checkpoint_age;
    return many || old || !state.replica.log_has_base();
}

/// Staggers a write that every node may do: nodes write in the order of their rank for `topic`, the first
/// after `wait`. Returns true when this node's time has come. `due` is 0 until it has been scheduled.
bool stagger_elapsed(const step_context& context, instant& due, const std::string& topic, duration wait)
{
    const core_options& options = context.state.options;
    if (due == instant()) {
        const auto rank = static_cast<duration::rep>(membership::rank(context.state, topic));
        due = context.now + std::max(wait, duration(1)) + options.checkpoint_step * rank;
        return false;
    }
    if (context.now < due) {
        return false;
    }
    due = context.now + wait + options.checkpoint_step * 10;
    return true;
}

/// Appends the state as a checkpoint, or as a restart checkpoint when records up to `lost_up_to` were lost.
void append_state(step_context& context, timeline_entry entry, log_offset lost_up_to = {})
{
    const agreement::agreed_state& agreed = context.state.configuration.replica.state();
    for (agreement::checkpoint_record& part :
         agreement::make_checkpoint(agreed, context.state.options.checkpoint_body_limit)) {
        part.lost_up_to = lost_up_to;
        log_writer::append(context, std::move(part));
    }
    entry.offset = agreed.applied;
    context.trace(std::move(entry));
}

void write_checkpoint_when_due(step_context& context)
{
    configuration_state& state = context.state.configuration;
    const bool reachable = state.failed_reads == 0;
    if (!reachable || !verified(context.state) || !state.replica.caught_up() || !checkpoint_needed(context)) {
        state.checkpoint_due = instant();
        return;
    }
    const std::string topic = "checkpoint" + std::to_string(state.checkpoint_seen.value());
    if (stagger_elapsed(context, state.checkpoint_due, topic, duration())) {
        timeline_entry entry;
        entry.kind = "checkpoint.written";
        append_state(context, std::move(entry));
    }
}

/// True while a live peer has applied records that this node hasn't; the restart must then come from that
/// peer.
bool peer_knows_more(const node_state& state)
{
    const log_offset applied = state.configuration.replica.state().applied;
    const auto& members = state.membership.members;
    return std::any_of(members.begin(), members.end(), [&](const auto& entry) {
        return entry.second.health == member_health::alive && entry.second.summary.applied > applied;
    });
}

/// Writes a restart checkpoint when unread records have expired from the log during an outage and no
/// checkpoint covers them. All nodes then continue from the state before the lost records.
void write_restart_when_due(step_context& context)
{
    configuration_state& state = context.state.configuration;
    const bool reachable = state.failed_reads == 0;
    if (!reachable || !state.replica.has_lost_base() || peer_knows_more(context.state)) {
        state.restart_due = instant();
        return;
    }
    const log_offset lost = state.replica.lost_up_to();
    const std::string lost_text = std::to_string(lost.value());
    if (stagger_elapsed(context, state.restart_due, "restart" + lost_text, restart_wait)) {
        timeline_entry entry;
        entry.kind = "checkpoint.restart";
        entry.detail = "lost_up_to=" + lost_text;
        append_state(context, std::move(entry), lost);
    }
}

/// Requests a peer's state while the log is unreachable and this node has no base.
void request_checkpoint_when_due(step_context& context)
{
    configuration_state& state = context.state.configuration;
    const bool unreachable = state.failed_reads >= failures_before_alarm && !state.replica.has_base();
    if (!unreachable || context.now < state.peer_request_due) {
        return;
    }
    const std::vector<node_id> peers = membership::live_members(context.state);
    if (peers.empty()) {
        return;
    }
    state.peer_request_due = context.now + peer_request_interval;
    context.send(peers[context.state.random.below(peers.size())], checkpoint_request{});
}

void update_alarms(step_context& context)
{
    configuration_state& state = context.state.configuration;
    set_alarm_state(context, alarm::log_unreachable, state.alarmed_log,
                    state.failed_reads >= failures_before_alarm);
    set_alarm_state(context, alarm::unverified_start, state.alarmed_unverified, state.replica.unverified());
    const bool based = state.replica.has_base() || state.replica.has_lost_base();
    const bool overdue = based && !state.replica.log_has_base();
    set_alarm_state(context, alarm::checkpoint_overdue, state.alarmed_checkpoint, overdue);
}

/// Shortens the poll interval while a keyed call waits for log records. After a failed read the backoff
/// applies unchanged.
void shorten_log_poll(step_context& context)
{
    configuration_state& state = context.state.configuration;
    if (state.failed_reads == 0 && keyed_calls::is_waiting_for_log(context.state)) {
        state.read_due = std::min(state.read_due, state.last_read + context.state.options.key_log_poll);
    }
}

} // namespace

duration backoff(step_context& context, unsigned failed)
{
    const core_options& options = context.state.options;
    const unsigned doublings = std::min(failed, 10U);
    const duration wait = std::min(options.retry_most, options.retry_first * (1U << doublings));
    return wait / 2 + duration(static_cast<duration::rep>(
                          context.state.random.below(static_cast<std::uint64_t>(wait.count()) + 1)));
}

bool verified(const node_state& state)
{
    return state.configuration.replica.has_base() && !state.configuration.replica.unverified();
}

void on_log_read(step_context& context, const log_read& incoming)
{
    configuration_state& state = context.state.configuration;
    state.read_open = false;
    state.failed_reads = 0;
    state.last_read = context.now;
    const std::uint64_t bases = state.replica.bases_adopted();
    const std::vector<agreement::applied_change> changes = state.replica.on_batch(incoming.batch);
    if (state.replica.bases_adopted() != bases) {
        authority::on_base(context);
        orders::on_base(context);
    }
    for (const agreement::applied_change& change : changes) {
        notify(context, change);
    }
    announce_revision(context);
    record_checkpoint(context);
    update_alarms(context);
    const bool behind = state.replica.next_read() < state.replica.head() && !incoming.batch.records.empty();
    state.read_due = behind ? context.now : context.now + context.state.options.log_poll;
}

void on_log_read_failed(step_context& context, const log_read_failed&)
{
    configuration_state& state = context.state.configuration;
    state.read_open = false;
    state.failed_reads += 1;
    state.read_due = context.now + backoff(context, state.failed_reads);
    update_alarms(context);
}

void on_tick(step_context& context)
{
    configuration_state& state = context.state.configuration;
    shorten_log_poll(context);
    request_checkpoint_when_due(context);
    write_checkpoint_when_due(context);
    write_restart_when_due(context);
    const bool timed_out =
        state.read_open && context.now - state.read_sent >= context.state.options.read_timeout;
    if ((state.read_open && !timed_out) || context.now < state.read_due) {
        return;
    }
    state.read_open = true;
    state.read_sent = context.now;
    context.emit(read_log{state.replica.next_read()});
}

void on_checkpoint_request(step_context& context, const peer_received& from)
{
    if (!verified(context.state)) {
        return;
    }
    const core_options& options = context.state.options;
    context.send(from.from, checkpoint_answer{agreement::make_checkpoint(
                                context.state.configuration.replica.state(), options.checkpoint_body_limit)});
}

void on_checkpoint_answer(step_context& context, const peer_received&, const checkpoint_answer& answer)
{
    configuration_state& state = context.state.configuration;
    if (state.failed_reads == 0 || !state.replica.on_peer_checkpoint(answer.parts)) {
        return;
    }
    announce_revision(context);
    update_alarms(context);
}

void on_summary(step_context& context, const node_id& peer, const node_summary& summary)
{
    configuration_state& state = context.state.configuration;
    const auto own = state.replica.hash_at(summary.hashed_at);
    if (!own || *own == summary.state_hash) {
        return;
    }
    set_alarm_state(context, alarm::state_divergence, state.alarmed_divergence, true,
                    "peer=" + peer.str() + " offset=" + std::to_string(summary.hashed_at.value()));
}

} // namespace currantspar::core::configuration

namespace currantspar::core {

configuration_state::configuration_state(const core_options& options)
    : replica(configuration::replica_options(options))
{}

} // namespace currantspar::core
