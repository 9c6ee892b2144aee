#include "currantspar/core/membership.hpp"

#include <algorithm>
#include <string>

#include "currantspar/base/hash.hpp"
#include "currantspar/core/step.hpp"

namespace currantspar::core::membership {

namespace {

/// Nodes that are asked to probe a third one that didn't answer.
constexpr unsigned probes_through_others = 2;
/// Between two looks at the health of all members.
constexpr duration review_every = std::chrono::milliseconds(250);

void set_health(step_context& run, const node_id& id, member& known, member_health health)
{
    if (known.health == health) {
        return;
    }
    static constexpr const char* kinds[] = {"member.alive", "member.suspect", "member.gone"};
    known.health = health;
    known.suspected = health == member_health::suspect ? run.now : known.suspected;
    if (health == member_health::gone) {
        run.state.routing.dispatcher.forget_node(id);
    }
    timeline_entry entry;
    entry.kind = kinds[static_cast<std::size_t>(health)];
    entry.peer = id;
    run.trace(std::move(entry));
}

void note_summary(step_context& run, const node_id& from, const node_summary& summary)
{
    const auto found = run.state.membership.members.find(from);
    if (found != run.state.membership.members.end()) {
        found->second.summary = summary;
        found->second.data_centre = summary.data_centre;
        found->second.leaving = found->second.leaving || summary.stopping;
    }
    configuration::on_summary(run, from, summary);
}

/// A member at random, of those that haven't gone.
node_id some_member(step_context& run, const node_id& except)
{
    std::vector<node_id> live = live_members(run.state);
    std::erase(live, except);
    return live.empty() ? node_id() : live[run.state.random.below(live.size())];
}

void send_probe(step_context& run)
{
    membership_state& state = run.state.membership;
    state.probed = some_member(run, node_id());
    state.probed_through_others = false;
    if (state.probed.empty()) {
        return;
    }
    state.probe_sent = run.now;
    run.send(state.probed, probe{++state.probe_sequence, {}, summary(run.state)});
}

void probe_through_others(step_context& run)
{
    membership_state& state = run.state.membership;
    state.probed_through_others = true;
    for (unsigned count = 0; count < probes_through_others; ++count) {
        const node_id helper = some_member(run, state.probed);
        if (!helper.empty()) {
            run.send(helper, probe{state.probe_sequence, state.probed, summary(run.state)});
        }
    }
}

void give_up_probe(step_context& run)
{
    membership_state& state = run.state.membership;
    const auto found = state.members.find(state.probed);
    if (found != state.members.end()) {
        found->second.probe_failed = run.now;
        if (found->second.health == member_health::alive) {
            set_health(run, found->first, found->second, member_health::suspect);
        }
    }
    state.probed = node_id();
}

void probe_when_due(step_context& run)
{
    membership_state& state = run.state.membership;
    const duration timeout = run.state.options.probe_timeout;
    if (!state.probed.empty()) {
        const duration waited = run.now - state.probe_sent;
        if (waited >= timeout * 3) {
            give_up_probe(run);
        } else if (waited >= timeout && !state.probed_through_others) {
            probe_through_others(run);
        }
        return;
    }
    if (run.now >= state.probe_due) {
        state.probe_due = run.now + run.state.options.probe_every;
        send_probe(run);
    }
}

/// Nodes that send this one digests are missed when they fall silent; the others by probes.
bool sends_digests(const step_context& run, const member& known)
{
    return routing::reaches(run.state, known.data_centre, run.state.options.data_centre);
}

void review(step_context& run)
{
    membership_state& state = run.state.membership;
    if (run.now < state.review_due) {
        return;
    }
    state.review_due = run.now + review_every;
    const core_options& options = run.state.options;
    for (auto& [id, known] : state.members) {
        const instant sign = std::max(known.heard, known.listed_since);
        const bool silent = run.now - sign >= options.suspect_for + run.state.reports.digest_interval * 2;
        if (known.health == member_health::alive && silent && sends_digests(run, known)) {
            set_health(run, id, known, member_health::suspect);
        }
        const bool long_silent = run.now - known.heard >= options.suspect_for;
        if (known.health == member_health::suspect && long_silent &&
            run.now - known.suspected >= options.suspect_for) {
            set_health(run, id, known, member_health::gone);
        }
    }
    std::erase_if(state.members, [&](const auto& entry) {
        return !entry.second.listed && run.now - entry.second.heard >= options.list_valid_for * 2;
    });
}

void read_list_when_due(step_context& run)
{
    membership_state& state = run.state.membership;
    if (state.list_open || run.now < state.list_due) {
        return;
    }
    state.list_open = true;
    state.list_due = run.now + run.state.options.vm_list_poll;
    run.emit(read_vm_list{});
}

void take_entry(step_context& run, const vm_entry& vm)
{
    membership_state& state = run.state.membership;
    if (vm.node == run.state.options.self) {
        state.self_listed = state.self_listed == instant() ? run.now : state.self_listed;
        return;
    }
    member& known = state.members[vm.node];
    if (known.listed_since == instant()) {
        known.listed_since = run.now;
    }
    known.data_centre = vm.data_centre;
    known.listed = true;
    known.leaving = vm.leaving || known.summary.stopping;
}

std::uint64_t weight(const std::string& turn, const node_id& node)
{
    return fast_hash(turn + "/" + node.str());
}

template <typename Wanted>
std::size_t rank_among(const node_state& state, const std::string& turn, const Wanted& wanted)
{
    const std::uint64_t own = weight(turn, state.options.self);
    std::size_t before = 0;
    for (const auto& [id, known] : state.membership.members) {
        const bool counts = known.health == member_health::alive && !known.leaving && wanted(known);
        before += counts && weight(turn, id) > own ? 1U : 0U;
    }
    return before;
}

} // namespace

void on_vm_list(step_context& run, const vm_list_read& happened)
{
    membership_state& state = run.state.membership;
    state.list_open = false;
    state.list_read = run.now;
    for (auto& [id, known] : state.members) {
        known.listed = false;
    }
    const bool shown = std::any_of(happened.vms.begin(), happened.vms.end(),
                                   [&](const vm_entry& vm) { return vm.node == run.state.options.self; });
    if (!shown) {
        state.self_listed = instant();
    }
    for (const vm_entry& vm : happened.vms) {
        take_entry(run, vm);
    }
    for (auto& [id, known] : state.members) {
        if (!known.listed && known.listed_since != instant()) {
            known.listed_since = instant();
            set_health(run, id, known, member_health::gone);
        }
    }
}

void on_vm_list_failed(step_context& run, const vm_list_failed&)
{
    run.state.membership.list_open = false;
}

void on_probe(step_context& run, const peer_received& from, const probe& message)
{
    note_summary(run, from.from, message.sender);
    if (message.target.empty()) {
        run.send(from.from, probe_answer{message.sequence, {}, true, summary(run.state)});
        return;
    }
    const auto found = run.state.membership.members.find(message.target);
    const duration recent = run.state.options.probe_every * 2;
    const bool heard = found != run.state.membership.members.end() && found->second.heard != instant() &&
                       run.now - found->second.heard <= recent;
    if (heard) {
        run.send(from.from, probe_answer{message.sequence, message.target, true, summary(run.state)});
        return;
    }
    run.send(message.target, probe{0, {}, summary(run.state)});
}

void on_probe_answer(step_context& run, const peer_received& from, const probe_answer& message)
{
    note_summary(run, from.from, message.sender);
    membership_state& state = run.state.membership;
    const node_id about = message.target.empty() ? from.from : message.target;
    if (about != state.probed || message.sequence != state.probe_sequence || !message.alive) {
        return;
    }
    state.probed = node_id();
    const auto found = state.members.find(about);
    if (found != state.members.end() && found->second.health == member_health::suspect) {
        set_health(run, about, found->second, member_health::alive);
    }
}

void on_heard(step_context& run, const peer_received& from)
{
    member& known = run.state.membership.members[from.from];
    known.heard = run.now;
    if (known.process != from.process) {
        known.process = from.process;
        known.summary = node_summary();
    }
    if (known.health != member_health::alive && (known.listed || known.listed_since == instant())) {
        set_health(run, from.from, known, member_health::alive);
    }
}

void on_unreachable(step_context& run, const peer_unreachable& happened)
{
    const auto found = run.state.membership.members.find(happened.node);
    if (found != run.state.membership.members.end() && found->second.health == member_health::alive) {
        set_health(run, found->first, found->second, member_health::suspect);
    }
}

void on_tick(step_context& run)
{
    read_list_when_due(run);
    review(run);
    probe_when_due(run);
}

node_summary summary(const node_state& state)
{
    const agreement::replica& replica = state.configuration.replica;
    node_summary own;
    own.data_centre = state.options.data_centre;
    own.current = replica.state().current;
    own.applied = replica.state().applied;
    if (!replica.hashes().empty()) {
        own.state_hash = replica.hashes().back().hash;
        own.hashed_at = replica.hashes().back().offset;
    }
    own.stopping = !lifecycle::accepting(state);
    own.version = state.options.version;
    return own;
}

bool list_is_fresh(const node_state& state, instant now)
{
    const membership_state& known = state.membership;
    return known.list_read != instant() && now - known.list_read < state.options.list_valid_for;
}

std::size_t rank(const node_state& state, const std::string& turn)
{
    return rank_among(state, turn, [](const member&) { return true; });
}

std::size_t rank_in_data_centre(const node_state& state, const std::string& turn)
{
    return rank_among(state, turn,
                      [&](const member& known) { return known.data_centre == state.options.data_centre; });
}

std::vector<node_id> live_members(const node_state& state)
{
    std::vector<node_id> live;
    for (const auto& [id, known] : state.membership.members) {
        if (known.health != member_health::gone) {
            live.push_back(id);
        }
    }
    return live;
}

} // namespace currantspar::core::membership
