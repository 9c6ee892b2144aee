#include "currantspar/core/membership.hpp"

#include <algorithm>
#include <string>

#include "currantspar/base/hash.hpp"
#include "currantspar/core/step.hpp"

namespace currantspar::core::membership {

namespace {

/// Number of nodes that are requested to probe an unresponsive node indirectly.
constexpr unsigned indirect_probes = 2;
/// Interval between reviews of the health of all members.
constexpr duration review_every = std::chrono::milliseconds(250);

void set_health(step_context& context, const node_id& id, member& known, member_health health)
{
    if (known.health == health) {
        return;
    }
    static constexpr const char* kinds[] = {"member.alive", "member.suspect", "member.gone"};
    known.health = health;
    known.suspected = health == member_health::suspect ? context.now : known.suspected;
    if (health == member_health::gone) {
        context.state.routing.dispatcher.forget_node(id);
    }
    timeline_entry entry;
    entry.kind = kinds[static_cast<std::size_t>(health)];
    entry.peer = id;
    context.trace(std::move(entry));
}

void record_summary(step_context& context, const node_id& from, const node_summary& summary)
{
    const auto found = context.state.membership.members.find(from);
    if (found != context.state.membership.members.end()) {
        found->second.summary = summary;
        found->second.data_centre = summary.data_centre;
        found->second.leaving = found->second.leaving || summary.stopping;
    }
    configuration::on_summary(context, from, summary);
}

/// A random member among those that are alive or suspect.
node_id random_member(step_context& context, const node_id& except)
{
    std::vector<node_id> live = live_members(context.state);
    std::erase(live, except);
    return live.empty() ? node_id() : live[context.state.random.below(live.size())];
}

void send_probe(step_context& context)
{
    membership_state& state = context.state.membership;
    state.probed = random_member(context, node_id());
    state.probed_indirectly = false;
    if (state.probed.empty()) {
        return;
    }
    state.probe_sent = context.now;
    context.send(state.probed, probe{++state.probe_sequence, {}, summary(context.state)});
}

void probe_indirectly(step_context& context)
{
    membership_state& state = context.state.membership;
    state.probed_indirectly = true;
    for (unsigned count = 0; count < indirect_probes; ++count) {
        const node_id helper = random_member(context, state.probed);
        if (!helper.empty()) {
            context.send(helper, probe{state.probe_sequence, state.probed, summary(context.state)});
        }
    }
}

void fail_probe(step_context& context)
{
    membership_state& state = context.state.membership;
    const auto found = state.members.find(state.probed);
    if (found != state.members.end()) {
        found->second.probe_failed = context.now;
        if (found->second.health == member_health::alive) {
            set_health(context, found->first, found->second, member_health::suspect);
        }
    }
    state.probed = node_id();
}

void probe_when_due(step_context& context)
{
    membership_state& state = context.state.membership;
    const duration timeout = context.state.options.probe_timeout;
    if (!state.probed.empty()) {
        const duration waited = context.now - state.probe_sent;
        if (waited >= timeout * 3) {
            fail_probe(context);
        } else if (waited >= timeout && !state.probed_indirectly) {
            probe_indirectly(context);
        }
        return;
    }
    if (context.now >= state.probe_due) {
        state.probe_due = context.now + context.state.options.probe_every;
        send_probe(context);
    }
}

/// Nodes that send digests to this node are suspected when the digests stop; other nodes only by probes.
bool sends_digests(const step_context& context, const member& known)
{
    return routing::reaches(context.state, known.data_centre, context.state.options.data_centre);
}

void review(step_context& context)
{
    membership_state& state = context.state.membership;
    if (context.now < state.review_due) {
        return;
    }
    state.review_due = context.now + review_every;
    const core_options& options = context.state.options;
    for (auto& [id, known] : state.members) {
        const instant last_activity = std::max(known.last_received, known.listed_since);
        const bool overdue =
            context.now - last_activity >= options.suspect_for + context.state.reports.digest_interval * 2;
        if (known.health == member_health::alive && overdue && sends_digests(context, known)) {
            set_health(context, id, known, member_health::suspect);
        }
        const bool timed_out = context.now - known.last_received >= options.suspect_for;
        if (known.health == member_health::suspect && timed_out &&
            context.now - known.suspected >= options.suspect_for) {
            set_health(context, id, known, member_health::gone);
        }
    }
    std::erase_if(state.members, [&](const auto& entry) {
        return !entry.second.listed && context.now - entry.second.last_received >= options.list_valid_for * 2;
    });
}

void read_list_when_due(step_context& context)
{
    membership_state& state = context.state.membership;
    if (state.list_open || context.now < state.list_due) {
        return;
    }
    state.list_open = true;
    state.list_due = context.now + context.state.options.vm_list_poll;
    context.emit(read_vm_list{});
}

void apply_list_entry(step_context& context, const vm_entry& vm)
{
    membership_state& state = context.state.membership;
    if (vm.node == context.state.options.self) {
        state.self_listed = state.self_listed == instant() ? context.now : state.self_listed;
        return;
    }
    member& known = state.members[vm.node];
    if (known.listed_since == instant()) {
        known.listed_since = context.now;
    }
    known.data_centre = vm.data_centre;
    known.listed = true;
    known.leaving = vm.leaving || known.summary.stopping;
}

std::uint64_t weight(const std::string& topic, const node_id& node)
{
    return fast_hash(topic + "/" + node.str());
}

template <typename Predicate>
std::size_t rank_among(const node_state& state, const std::string& topic, const Predicate& matches)
{
    const std::uint64_t own = weight(topic, state.options.self);
    std::size_t before = 0;
    for (const auto& [id, known] : state.membership.members) {
        const bool counts = known.health == member_health::alive && !known.leaving && matches(known);
        before += counts && weight(topic, id) > own ? 1U : 0U;
    }
    return before;
}

} // namespace

void on_vm_list(step_context& context, const vm_list_read& incoming)
{
    membership_state& state = context.state.membership;
    state.list_open = false;
    state.list_read = context.now;
    for (auto& [id, known] : state.members) {
        known.listed = false;
    }
    const bool shown = std::any_of(incoming.vms.begin(), incoming.vms.end(),
                                   [&](const vm_entry& vm) { return vm.node == context.state.options.self; });
    if (!shown) {
        state.self_listed = instant();
    }
    for (const vm_entry& vm : incoming.vms) {
        apply_list_entry(context, vm);
    }
    for (auto& [id, known] : state.members) {
        if (!known.listed && known.listed_since != instant()) {
            known.listed_since = instant();
            set_health(context, id, known, member_health::gone);
        }
    }
}

void on_vm_list_failed(step_context& context, const vm_list_failed&)
{
    context.state.membership.list_open = false;
}

void on_probe(step_context& context, const peer_received& from, const probe& message)
{
    record_summary(context, from.from, message.sender);
    if (message.target.empty()) {
        context.send(from.from, probe_answer{message.sequence, {}, true, summary(context.state)});
        return;
    }
    const auto found = context.state.membership.members.find(message.target);
    const duration recent = context.state.options.probe_every * 2;
    const bool recently_received = found != context.state.membership.members.end() &&
                                   found->second.last_received != instant() &&
                                   context.now - found->second.last_received <= recent;
    if (recently_received) {
        context.send(from.from, probe_answer{message.sequence, message.target, true, summary(context.state)});
        return;
    }
    context.send(message.target, probe{0, {}, summary(context.state)});
}

void on_probe_answer(step_context& context, const peer_received& from, const probe_answer& message)
{
    record_summary(context, from.from, message.sender);
    membership_state& state = context.state.membership;
    const node_id subject = message.target.empty() ? from.from : message.target;
    if (subject != state.probed || message.sequence != state.probe_sequence || !message.alive) {
        return;
    }
    state.probed = node_id();
    const auto found = state.members.find(subject);
    if (found != state.members.end() && found->second.health == member_health::suspect) {
        set_health(context, subject, found->second, member_health::alive);
    }
}

void on_message(step_context& context, const peer_received& from)
{
    member& known = context.state.membership.members[from.from];
    known.last_received = context.now;
    if (known.process != from.process) {
        known.process = from.process;
        known.summary = node_summary();
    }
    if (known.health != member_health::alive && (known.listed || known.listed_since == instant())) {
        set_health(context, from.from, known, member_health::alive);
    }
}

void on_unreachable(step_context& context, const peer_unreachable& incoming)
{
    const auto found = context.state.membership.members.find(incoming.node);
    if (found != context.state.membership.members.end() && found->second.health == member_health::alive) {
        set_health(context, found->first, found->second, member_health::suspect);
    }
}

void on_tick(step_context& context)
{
    read_list_when_due(context);
    review(context);
    probe_when_due(context);
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

bool list_is_current(const node_state& state, instant now)
{
    const membership_state& known = state.membership;
    return known.list_read != instant() && now - known.list_read < state.options.list_valid_for;
}

std::size_t rank(const node_state& state, const std::string& topic)
{
    return rank_among(state, topic, [](const member&) { return true; });
}

std::size_t rank_in_data_centre(const node_state& state, const std::string& topic)
{
    return rank_among(state, topic,
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
