#include "currantspar/core/session.hpp"

#include <algorithm>

#include "currantspar/core/reducer.hpp"

namespace currantspar::core {

namespace {

using nlohmann::json;

/// Parses one line of a session file and adds it to `target`; throws nlohmann::json::exception on malformed
/// input.
void parse_line(session& target, const std::string& line, bool first)
{
    const json object = json::parse(line);
    if (first) {
        object.at("options").get_to(target.options);
    } else if (object.contains("effect")) {
        if (target.steps.empty()) {
            throw json::other_error::create(501, "an effect before the first event", &object);
        }
        target.steps.back().effects.push_back(line);
    } else {
        target.steps.push_back({object.get<event>(), {}});
    }
}

std::string line_at(const std::vector<std::string>& lines, std::size_t index)
{
    return index < lines.size() ? lines[index] : std::string();
}

} // namespace

std::string options_line(const core_options& options)
{
    const json defaults = core_options{};
    json changed = options;
    for (const auto& [name, value] : defaults.items()) {
        if (changed.at(name) == value) {
            changed.erase(name);
        }
    }
    return json{{"options", std::move(changed)}}.dump();
}

std::string event_line(const event& incoming)
{
    return json(incoming).dump();
}

std::string effect_line(const effect& caused)
{
    return effect_to_json(caused).dump();
}

std::string write_session(const session& recorded)
{
    std::string text = options_line(recorded.options) + "\n";
    for (const session_step& step : recorded.steps) {
        text += event_line(step.incoming) + "\n";
        for (const std::string& line : step.effects) {
            text += line + "\n";
        }
    }
    return text;
}

result<session> read_session(std::istream& in)
{
    session read;
    std::string line;
    std::size_t number = 0;
    while (std::getline(in, line)) {
        number += 1;
        try {
            parse_line(read, line, number == 1);
        } catch (const json::exception& fault) {
            return fail(error_kind::invalid, "line " + std::to_string(number) + ": " + fault.what());
        }
    }
    if (number == 0) {
        return fail(error_kind::invalid, "the session is empty");
    }
    return read;
}

session replay_session(const session& recorded)
{
    session replayed;
    replayed.options = recorded.options;
    node_state state(recorded.options);
    for (const session_step& step : recorded.steps) {
        session_step again{step.incoming, {}};
        for (const effect& caused : reduce(state, step.incoming)) {
            again.effects.push_back(effect_line(caused));
        }
        replayed.steps.push_back(std::move(again));
    }
    return replayed;
}

std::vector<session_difference> compare_sessions(const session& recorded, const session& replayed)
{
    std::vector<session_difference> differences;
    const std::size_t steps = std::min(recorded.steps.size(), replayed.steps.size());
    for (std::size_t index = 0; index < steps; ++index) {
        const session_step& before = recorded.steps[index];
        const session_step& after = replayed.steps[index];
        const std::size_t lines = std::max(before.effects.size(), after.effects.size());
        for (std::size_t line = 0; line < lines; ++line) {
            const std::string was = line_at(before.effects, line);
            const std::string is = line_at(after.effects, line);
            if (was != is) {
                differences.push_back({index, before.incoming.at, was, is});
            }
        }
    }
    return differences;
}

} // namespace currantspar::core
