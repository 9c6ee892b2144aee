#include <algorithm>
#include <map>

#include "currantspar/base/markup.hpp"
#include "timeline_render.hpp"

namespace currantspar::cli {

namespace {

// Sizes in pixels.
constexpr int left_margin = 190;
constexpr int top_margin = 150;
constexpr int lane_height = 34;
constexpr int step_width = 30;
constexpr int right_margin = 130;
constexpr int dot_radius = 5;
constexpr int text_drop = 4;

/// The lanes from top to bottom: nodes, then engines.
class lanes
{
public:
    explicit lanes(const joined_timeline& timeline)
    {
        for (const joined_entry& joined : timeline.entries) {
            nodes_.emplace(joined.node.str(), 0);
            if (!joined.entry.engine.empty()) {
                engines_.emplace(joined.entry.engine.str(), 0);
            }
        }
        int next = 0;
        for (auto& [name, lane] : nodes_) {
            lane = next++;
        }
        for (auto& [name, lane] : engines_) {
            lane = next++;
        }
    }

    [[nodiscard]] int node_y(const std::string& name) const { return y(nodes_.at(name)); }
    [[nodiscard]] int engine_y(const std::string& name) const { return y(engines_.at(name)); }
    [[nodiscard]] int height() const { return y(static_cast<int>(nodes_.size() + engines_.size())); }

    [[nodiscard]] std::string draw(int width) const
    {
        std::string out;
        for (const auto& [name, lane] : nodes_) {
            out += draw_lane("node " + name, y(lane), width);
        }
        for (const auto& [name, lane] : engines_) {
            out += draw_lane("engine " + name, y(lane), width);
        }
        return out;
    }

private:
    [[nodiscard]] static int y(int lane) { return top_margin + lane * lane_height; }

    [[nodiscard]] static std::string draw_lane(const std::string& name, int at, int width)
    {
        const std::string y_text = std::to_string(at);
        return "<text x=\"8\" y=\"" + std::to_string(at + text_drop) + "\">" + escape_markup(name) +
               "</text>\n" + "<line class=\"lane\" x1=\"" + std::to_string(left_margin) + "\" y1=\"" +
               y_text + "\" x2=\"" + std::to_string(width - right_margin) + "\" y2=\"" + y_text + "\"/>\n";
    }

    std::map<std::string, int> nodes_;
    std::map<std::string, int> engines_;
};

std::string dot(int x, int y, const std::string& style, const std::string& title)
{
    return "<circle class=\"" + style + "\" cx=\"" + std::to_string(x) + "\" cy=\"" + std::to_string(y) +
           "\" r=\"" + std::to_string(dot_radius) + "\"><title>" + escape_markup(title) +
           "</title></circle>\n";
}

std::string draw_entry(const joined_entry& joined, const lanes& rows, int x)
{
    const int node_y = rows.node_y(joined.node.str());
    const std::string x_text = std::to_string(x);
    const std::string title =
        format_wall(joined.entry.wall) + " " + joined.entry.kind + " " + entry_fields(joined.entry);
    std::string out = "<text class=\"kind\" transform=\"translate(" + x_text + "," +
                      std::to_string(top_margin - lane_height / 2) + ") rotate(-45)\">" +
                      escape_markup(joined.entry.kind) + "</text>\n";
    if (!joined.entry.engine.empty()) {
        const int engine_y = rows.engine_y(joined.entry.engine.str());
        out += "<line class=\"link\" x1=\"" + x_text + "\" y1=\"" + std::to_string(node_y) + "\" x2=\"" +
               x_text + "\" y2=\"" + std::to_string(engine_y) + "\"/>\n" + dot(x, engine_y, "engine", title);
    }
    return out + dot(x, node_y, joined.by_wall_clock ? "wall" : "node", title);
}

/// The time of day below the lanes, for every few entries.
std::string draw_times(const joined_timeline& timeline, int y)
{
    constexpr std::size_t every = 5;
    constexpr std::size_t day_part = 11; // characters of the date and a space
    std::string out;
    for (std::size_t i = 0; i < timeline.entries.size(); i += every) {
        const int x = left_margin + static_cast<int>(i) * step_width;
        out += "<text class=\"time\" x=\"" + std::to_string(x) + "\" y=\"" + std::to_string(y) + "\">" +
               format_wall(timeline.entries[i].entry.wall).substr(day_part) + "</text>\n";
    }
    return out;
}

std::string draw_gaps(const joined_timeline& timeline, int y)
{
    constexpr int line_height = 16;
    std::string out;
    for (const timeline_gap& gap : timeline.gaps) {
        out += "<text class=\"gap\" x=\"8\" y=\"" + std::to_string(y) + "\">gap " + escape_markup(gap.node) +
               ": " + escape_markup(gap.what) + "</text>\n";
        y += line_height;
    }
    return out;
}

constexpr const char* style = R"(<style>
text { font: 12px sans-serif; fill: #1b1f24; } .kind { font-size: 11px; } .time { font-size: 10px; fill: #57606a; }
.lane { stroke: #d0d7de; } .link { stroke: #8c959f; stroke-dasharray: 2 3; }
.node { fill: #0969da; } .engine { fill: #1a7f37; } .wall { fill: #fff; stroke: #0969da; stroke-width: 2; }
.gap { fill: #b00020; }
</style>
)";

} // namespace

std::string render_svg(const joined_timeline& timeline)
{
    constexpr int footer_line = 16;
    const lanes rows(timeline);
    const int width = left_margin + static_cast<int>(timeline.entries.size()) * step_width + right_margin;
    const int gaps_y = rows.height() + 2 * footer_line;
    const int height = gaps_y + static_cast<int>(timeline.gaps.size() + 2) * footer_line;
    std::string out = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + std::to_string(width) +
                      "\" height=\"" + std::to_string(height) + "\">\n" + style +
                      "<rect width=\"100%\" height=\"100%\" fill=\"#fff\"/>\n" + rows.draw(width);
    int x = left_margin;
    for (const joined_entry& joined : timeline.entries) {
        out += draw_entry(joined, rows, x);
        x += step_width;
    }
    out += draw_times(timeline, rows.height()) + draw_gaps(timeline, gaps_y);
    out += "<text class=\"time\" x=\"8\" y=\"" + std::to_string(height - footer_line / 2) +
           "\">In causal order from left to right; a hollow dot rests on wall clocks.</text>\n";
    return out + "</svg>\n";
}

} // namespace currantspar::cli
