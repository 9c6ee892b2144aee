#include "currantspar/agreement/agreed_state.hpp"

#include <algorithm>
#include <memory>

#include "currantspar/agreement/entry_hash.hpp"
#include "currantspar/config/parse.hpp"

namespace currantspar::agreement {

namespace {

/// The key window before the first configuration.
constexpr duration default_key_window = std::chrono::hours(24);

revision revision_at(log_offset offset)
{
    return revision(offset.value());
}

fence fence_at(log_offset offset)
{
    return fence(offset.value());
}

/// Changes one entry of a map of the state and updates the state's hash.
template <typename Map, typename Change>
void change_entry(agreed_state& state, section part, Map& map, const typename Map::key_type& key,
                  const Change& change)
{
    const auto found = map.find(key);
    if (found != map.end()) {
        state.entries_hash -= entry_hash(part, key, found->second);
        change(found->second);
        state.entries_hash += entry_hash(part, key, found->second);
        return;
    }
    auto& fresh = map[key];
    change(fresh);
    state.entries_hash += entry_hash(part, key, fresh);
}

template <typename Map>
void erase_entry(agreed_state& state, section part, Map& map, const typename Map::key_type& key)
{
    const auto found = map.find(key);
    if (found != map.end()) {
        state.entries_hash -= entry_hash(part, key, found->second);
        map.erase(found);
    }
}

bool is_in_history(const agreed_state& state, const publish_id& id)
{
    return std::any_of(state.history.begin(), state.history.end(),
                       [&](const publish_result& entry) { return entry.id == id; });
}

void append_to_history(agreed_state& state, const publish_result& verdict)
{
    state.history.push_back(verdict);
    state.entries_hash += entry_hash(section::history, verdict.offset, verdict);
    if (state.history.size() > history_limit) {
        const publish_result& oldest = state.history.front();
        state.entries_hash -= entry_hash(section::history, oldest.offset, oldest);
        state.history.pop_front();
    }
}

/// Makes the published document current, or sets the verdict to invalid with its reason. The reason is part
/// of the hashed state, so its wording must be the same on every node.
void apply_document(agreed_state& state, const publish_record& record, publish_result& verdict,
                    const fleet_parser& parser)
{
    auto text = published_text(record, state.text);
    if (!text) {
        verdict.verdict = publish_verdict::invalid;
        verdict.detail = text.error().message;
        return;
    }
    auto fleet = parser(*text, record.schema_version);
    if (!fleet) {
        verdict.verdict = publish_verdict::invalid;
        verdict.detail = config::describe(fleet.error().front(), "text");
        return;
    }
    state.fleet = std::move(*fleet);
    state.text = std::move(*text);
    state.text_schema = record.schema_version;
    state.current = revision_at(verdict.offset);
    verdict.current = state.current;
}

/// Returns the former holders of a pool after its authority passes to another node.
std::vector<former_holder> former_holders_after(const authority_entry& entry)
{
    std::vector<former_holder> former = entry.former;
    if (!entry.holder.empty() && !entry.released) {
        std::erase_if(former, [&](const former_holder& known) { return known.process == entry.process; });
        former.push_back({entry.holder, entry.process, entry.held});
    }
    if (former.size() > former_limit) {
        former.erase(former.begin());
    }
    return former;
}

/// Applies one record; has an overload for each kind.
class applier
{
public:
    applier(agreed_state& state, applied_change& change, const fleet_parser& parser)
        : state_(state), change_(change), parser_(parser)
    {}

    void operator()(const publish_record& record)
    {
        if (is_in_history(state_, record.id)) {
            change_.effective = false;
            return;
        }
        publish_result verdict{record.id,      change_.offset, publish_verdict::accepted,
                               state_.current, record.author,  {}};
        if (record.base != state_.current) {
            verdict.verdict = publish_verdict::conflict;
        } else {
            apply_document(state_, record, verdict, parser_);
        }
        append_to_history(state_, verdict);
        change_.publish = verdict;
    }

    void operator()(const checkpoint_record&) {}

    void operator()(const claim_record& record)
    {
        const auto found = state_.authority.find(record.pool);
        const fence held = found == state_.authority.end() ? fence() : found->second.held;
        if (held != record.previous) {
            change_.effective = false;
            return;
        }
        change_.claimed_after_release = found == state_.authority.end() || found->second.released;
        change_entry(state_, section::authority, state_.authority, record.pool, [&](authority_entry& entry) {
            std::vector<former_holder> former = former_holders_after(entry);
            entry = authority_entry{record.node, record.process, fence_at(change_.offset), change_.offset,
                                    0,           false,          std::move(former)};
        });
        change_.authority.push_back(record.pool);
    }

    void operator()(const renew_record& record)
    {
        for (const auto& [pool, held] : state_.authority) {
            const bool named =
                std::find(record.fences.begin(), record.fences.end(), held.held) != record.fences.end();
            if (named && !held.released && held.holder == record.node && held.process == record.process) {
                change_.authority.push_back(pool);
            }
        }
        for (const pool_id& pool : change_.authority) {
            change_entry(state_, section::authority, state_.authority, pool, [&](authority_entry& entry) {
                entry.renewed_at = change_.offset;
                entry.renew_sequence = std::max(entry.renew_sequence, record.sequence);
            });
        }
        change_.effective = !change_.authority.empty();
    }

    void operator()(const release_record& record)
    {
        const auto found = state_.authority.find(record.pool);
        if (found == state_.authority.end() || found->second.held != record.held) {
            change_.effective = false;
            return;
        }
        change_entry(state_, section::authority, state_.authority, record.pool,
                     [](authority_entry& entry) { entry.released = true; });
        change_.authority.push_back(record.pool);
    }

    void operator()(const intent_record& record)
    {
        const auto holder = state_.authority.find(record.pool);
        const bool authorised = holder != state_.authority.end() && !holder->second.released &&
                                holder->second.held == record.held;
        if (!authorised || state_.orders.contains(record.engine) || repeated(record)) {
            change_.effective = false;
            return;
        }
        change_entry(state_, section::orders, state_.orders, record.engine, [&](open_order& order) {
            order = open_order{order_id(change_.offset.value()), record};
        });
        change_entry(state_, section::intents, state_.intent_marks, record.engine, [&](intent_mark& mark) {
            mark = intent_mark{record.held, record.sequence};
        });
        change_.order = record.engine;
    }

    void operator()(const result_record& record)
    {
        const auto found = state_.orders.find(record.engine);
        if (found == state_.orders.end() || found->second.id != record.order) {
            change_.effective = false;
            return;
        }
        erase_entry(state_, section::orders, state_.orders, record.engine);
        change_entry(state_, section::goals, state_.engine_goals, record.engine,
                     [&](engine_goal& goal) { goal = record.state; });
        change_.order = record.engine;
    }

    void operator()(const key_record& record)
    {
        advance_stamp(record.recorder, record.written_at);
        for (const key_entry& entry : record.entries) {
            change_.keys.push_back(entry.key);
            const auto found = state_.keys.find(entry.key);
            if (found != state_.keys.end() && !may_run_again(found->second, entry)) {
                continue;
            }
            change_entry(state_, section::keys, state_.keys, entry.key, [&](key_state& fresh) {
                fresh.recorder = record.recorder;
                fresh.process = record.process;
                fresh.request = entry.request;
                fresh.request_digest = entry.request_digest;
                fresh.recorded_at = change_.offset;
                fresh.written_at = state_.newest_stamp;
                fresh.outcome.reset();
            });
            state_.key_ages.emplace_back(state_.newest_stamp, entry.key);
        }
        expire_keys();
    }

    void operator()(const key_outcome_record& record)
    {
        for (const key_outcome_entry& entry : record.entries) {
            const auto found = state_.keys.find(entry.key);
            if (found == state_.keys.end() || found->second.outcome ||
                found->second.process != record.process || found->second.request != entry.request) {
                continue;
            }
            change_entry(state_, section::keys, state_.keys, entry.key,
                         [&](key_state& key) { key.outcome = entry; });
            change_.keys.push_back(entry.key);
        }
    }

    void operator()(const unknown_record&) { change_.effective = false; }

private:
    /// A key whose call is known not to have run may be recorded again by another request.
    static bool may_run_again(const key_state& recorded, const key_entry& entry)
    {
        const bool did_not_run = recorded.outcome && recorded.outcome->outcome == call_outcome::not_run;
        return did_not_run && recorded.request != entry.request;
    }

    /// True for a duplicate, or a record that was delayed past a later one of the same holder.
    [[nodiscard]] bool repeated(const intent_record& record) const
    {
        const auto found = state_.intent_marks.find(record.engine);
        return found != state_.intent_marks.end() && found->second.held == record.held &&
               record.sequence <= found->second.sequence;
    }

    /// Uses the median, so that one recorder with a wrong clock can't expire the keys of all recorders.
    void advance_stamp(const node_id& recorder, wall_time written_at)
    {
        change_entry(state_, section::stamps, state_.stamps, recorder,
                     [&](wall_time& stamp) { stamp = written_at; });
        if (state_.stamps.size() > stamp_limit) {
            const auto oldest =
                std::min_element(state_.stamps.begin(), state_.stamps.end(),
                                 [](const auto& a, const auto& b) { return a.second < b.second; });
            const node_id gone = oldest->first;
            erase_entry(state_, section::stamps, state_.stamps, gone);
        }
        std::vector<wall_time> sorted;
        for (const auto& [node, stamp] : state_.stamps) {
            sorted.push_back(stamp);
        }
        std::sort(sorted.begin(), sorted.end());
        state_.newest_stamp = std::max(state_.newest_stamp, sorted[(sorted.size() - 1) / 2]);
    }

    void expire_keys()
    {
        const duration window = state_.fleet ? state_.fleet->key_window : default_key_window;
        while (!state_.key_ages.empty() && state_.newest_stamp - state_.key_ages.front().first > window) {
            const auto& [stamp, key] = state_.key_ages.front();
            const auto found = state_.keys.find(key);
            if (found != state_.keys.end() && found->second.written_at == stamp) {
                erase_entry(state_, section::keys, state_.keys, key);
            }
            state_.key_ages.pop_front();
        }
    }

    agreed_state& state_;
    applied_change& change_;
    const fleet_parser& parser_;
};

} // namespace

void vacate_authority(agreed_state& state, log_offset offset)
{
    for (auto& [pool, held] : state.authority) {
        change_entry(state, section::authority, state.authority, pool, [&](authority_entry& entry) {
            std::vector<former_holder> former = former_holders_after(entry);
            entry = authority_entry();
            entry.held = fence_at(offset);
            entry.renewed_at = offset;
            entry.former = std::move(former);
        });
    }
}

config::checked<config::fleet_ptr> parse_fleet_document(const std::string& text, unsigned schema)
{
    auto parsed = config::parse_fleet(text, schema);
    if (!parsed) {
        return tl::unexpected<config::diagnostics>(std::move(parsed.error()));
    }
    return std::make_shared<const config::fleet>(std::move(*parsed));
}

applied_change apply_record(agreed_state& state, const log_record& record, const fleet_parser& parser)
{
    applied_change change;
    change.offset = record.offset;
    change.kind = record_kind(record.body);
    if (record.offset <= state.applied) {
        change.effective = false;
        return change;
    }
    std::visit(applier(state, change, parser), record.body);
    state.applied = record.offset;
    return change;
}

} // namespace currantspar::agreement
