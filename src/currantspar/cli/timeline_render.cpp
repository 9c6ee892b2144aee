#include "timeline_render.hpp"

#include <array>
#include <cstdio>
#include <ctime>

namespace currantspar::cli {

namespace {

void add_field(std::string& out, const char* key, const std::string& value)
{
    if (!value.empty()) {
        out += (out.empty() ? "" : " ") + std::string(key) + "=" + value;
    }
}

void add_field(std::string& out, const char* key, std::uint64_t value)
{
    add_field(out, key, value == 0 ? std::string() : std::to_string(value));
}

} // namespace

std::string format_wall(wall_time time)
{
    constexpr std::int64_t milliseconds_per_second = 1000;
    const std::int64_t count = time.time_since_epoch().count();
    const std::time_t seconds = count / milliseconds_per_second;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S", &parts);
    std::array<char, 8> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%03d",
                  static_cast<int>(count % milliseconds_per_second));
    return std::string(text.data(), size) + fraction.data();
}

std::string entry_fields(const core::timeline_entry& entry)
{
    std::string out;
    add_field(out, "request", entry.request.str());
    add_field(out, "attempt", entry.attempt.value());
    add_field(out, "service", entry.service.str());
    add_field(out, "engine", entry.engine.str());
    add_field(out, "backend", entry.backend.str());
    add_field(out, "revision", entry.in_force.value());
    add_field(out, "offset", entry.offset.value());
    add_field(out, "peer", entry.peer.str());
    if (!entry.detail.empty()) {
        out += (out.empty() ? "" : " ") + entry.detail;
    }
    return out;
}

std::string render_text(const joined_timeline& timeline)
{
    constexpr std::size_t kind_width = 22;
    std::string out;
    for (const timeline_gap& gap : timeline.gaps) {
        out += "gap " + gap.node + ": " + gap.what + "\n";
    }
    for (const joined_entry& joined : timeline.entries) {
        std::string kind = joined.entry.kind;
        kind.resize(std::max(kind.size(), kind_width), ' ');
        out += std::string(joined.by_wall_clock ? "~ " : "  ") + format_wall(joined.entry.wall) + "  " +
               joined.node.str() + "  " + kind + " " + entry_fields(joined.entry) + "\n";
    }
    return out;
}

std::string render_json(const joined_timeline& timeline)
{
    const auto line = [](const nlohmann::json& value) {
        return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    };
    std::string out;
    for (const joined_entry& joined : timeline.entries) {
        nlohmann::json value = joined.entry;
        value["node"] = joined.node;
        value["by_wall_clock"] = joined.by_wall_clock;
        out += line(value);
    }
    for (const timeline_gap& gap : timeline.gaps) {
        out += line({{"gap", gap.what}, {"node", gap.node}});
    }
    return out;
}

} // namespace currantspar::cli
