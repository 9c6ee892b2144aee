#include <algorithm>

#include "currantspar/agreement/agreed_state.hpp"
#include "currantspar/agreement/entry_hash.hpp"

namespace currantspar::agreement {

namespace {

using nlohmann::json;

template <typename Map>
std::uint64_t map_hash(section part, const Map& map)
{
    std::uint64_t sum = 0;
    for (const auto& [key, value] : map) {
        sum += entry_hash(part, key, value);
    }
    return sum;
}

json state_json(const agreed_state& state)
{
    return {{"applied", state.applied},
            {"current", state.current},
            {"text", state.text},
            {"text_schema", state.text_schema},
            {"history", state.history},
            {"authority", state.authority},
            {"orders", state.orders},
            {"engine_goals", state.engine_goals},
            {"intent_marks", state.intent_marks},
            {"keys", state.keys},
            {"stamps", state.stamps},
            {"newest_stamp", state.newest_stamp}};
}

void read_members(const json& in, agreed_state& state)
{
    in.at("applied").get_to(state.applied);
    in.at("current").get_to(state.current);
    in.at("text").get_to(state.text);
    in.at("text_schema").get_to(state.text_schema);
    in.at("history").get_to(state.history);
    in.at("authority").get_to(state.authority);
    in.at("orders").get_to(state.orders);
    in.at("engine_goals").get_to(state.engine_goals);
    in.at("intent_marks").get_to(state.intent_marks);
    in.at("keys").get_to(state.keys);
    in.at("stamps").get_to(state.stamps);
    in.at("newest_stamp").get_to(state.newest_stamp);
}

void derive(agreed_state& state)
{
    for (const auto& [key, recorded] : state.keys) {
        state.key_ages.emplace_back(recorded.written_at, key);
    }
    std::sort(state.key_ages.begin(), state.key_ages.end());
    state.entries_hash = hash_entries(state);
}

/// Joins the bodies of the parts in order; nothing if a part is missing or belongs to another checkpoint.
std::optional<std::string> join(const std::vector<checkpoint_record>& parts)
{
    if (parts.empty() || parts.front().parts == 0) {
        return std::nullopt;
    }
    const checkpoint_record& first = parts.front();
    std::vector<const checkpoint_record*> ordered(first.parts, nullptr);
    for (const checkpoint_record& part : parts) {
        const bool same = part.covers == first.covers && part.state_hash == first.state_hash &&
                          part.parts == first.parts && part.part < first.parts;
        if (!same) {
            return std::nullopt;
        }
        ordered[part.part] = &part;
    }
    std::string whole;
    for (const checkpoint_record* part : ordered) {
        if (part == nullptr) {
            return std::nullopt;
        }
        whole += part->body;
    }
    return whole;
}

result<agreed_state> parse_state(const std::string& body)
{
    agreed_state state;
    try {
        read_members(json::parse(body), state);
    } catch (const json::exception& fault) {
        return fail(error_kind::invalid, fault.what());
    }
    derive(state);
    return state;
}

} // namespace

std::uint64_t hash_entries(const agreed_state& state)
{
    std::uint64_t sum = map_hash(section::authority, state.authority);
    for (const publish_result& verdict : state.history) {
        sum += entry_hash(section::history, verdict.offset, verdict);
    }
    sum += map_hash(section::orders, state.orders);
    sum += map_hash(section::goals, state.engine_goals);
    sum += map_hash(section::intents, state.intent_marks);
    sum += map_hash(section::keys, state.keys);
    sum += map_hash(section::stamps, state.stamps);
    return sum;
}

std::uint64_t state_hash(const agreed_state& state)
{
    const json rest = {state.applied,      state.current,      state.text_schema,
                       state.newest_stamp, state.entries_hash, fast_hash(state.text)};
    return fast_hash(rest.dump());
}

std::vector<checkpoint_record> make_checkpoint(const agreed_state& state, std::size_t body_limit)
{
    const std::string body = stable_text(state_json(state));
    const std::size_t count = (body.size() + body_limit - 1) / body_limit;
    std::vector<checkpoint_record> parts;
    for (std::size_t index = 0; index < count; ++index) {
        checkpoint_record part;
        part.covers = state.applied;
        part.state_hash = state_hash(state);
        part.part = static_cast<std::uint32_t>(index);
        part.parts = static_cast<std::uint32_t>(count);
        part.body = body.substr(index * body_limit, body_limit);
        parts.push_back(std::move(part));
    }
    return parts;
}

result<agreed_state> read_checkpoint(const std::vector<checkpoint_record>& parts, const fleet_parser& parser)
{
    const std::optional<std::string> body = join(parts);
    if (!body) {
        return fail(error_kind::invalid, "the checkpoint is incomplete");
    }
    result<agreed_state> state = parse_state(*body);
    if (!state) {
        return state;
    }
    if (state->applied != parts.front().covers || state_hash(*state) != parts.front().state_hash) {
        return fail(error_kind::invalid, "the checkpoint's hash doesn't match its content");
    }
    if (state->current.value() != 0) {
        auto fleet = parser(state->text, state->text_schema);
        if (!fleet) {
            return fail(error_kind::invalid, "the checkpoint's configuration document is invalid");
        }
        state->fleet = std::move(*fleet);
    }
    return state;
}

} // namespace currantspar::agreement
