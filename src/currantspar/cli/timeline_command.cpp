#include <iostream>
#include <thread>

#include "command.hpp"
#include "currantspar/config/units.hpp"
#include "currantspar/io/clock.hpp"
#include "currantspar/io/whole_answer.hpp"
#include "fetch.hpp"
#include "timeline_render.hpp"

namespace currantspar::cli {

namespace {

constexpr duration follow_every = std::chrono::milliseconds(500);

struct format_entry
{
    std::string_view name;
    std::string (*render)(const joined_timeline&);
};

constexpr std::array<format_entry, 3> formats{
    {{"text", render_text}, {"json", render_json}, {"svg", render_svg}}};

/// What a time line query asks for, without the position in each node's entries.
struct timeline_query
{
    std::vector<std::string> nodes;
    std::string parameters; ///< `&key=value` each
};

void add_parameter(timeline_query& query, const std::string& key, const std::string& value)
{
    if (!value.empty()) {
        query.parameters += "&" + key + "=" + url_encoded(value);
    }
}

/// Collects the parts of all nodes; goes on where the last call ended.
class collector
{
public:
    explicit collector(timeline_query query) : query_(std::move(query)), after_(query_.nodes.size(), 0) {}

    joined_timeline collect()
    {
        std::vector<node::timeline_part> parts;
        std::vector<std::uint64_t> after;
        std::vector<timeline_gap> gaps;
        for (std::size_t i = 0; i < query_.nodes.size(); ++i) {
            auto part = fetch(i);
            if (!part) {
                gaps.push_back({query_.nodes[i], part.error().message});
                continue;
            }
            after.push_back(after_[i]);
            after_[i] = std::max(after_[i], part->last);
            parts.push_back(std::move(*part));
        }
        joined_timeline joined = join(parts, after);
        joined.gaps.insert(joined.gaps.end(), gaps.begin(), gaps.end());
        return joined;
    }

private:
    result<node::timeline_part> fetch(std::size_t index)
    {
        const std::string path = "/timeline?after=" + std::to_string(after_[index]) + query_.parameters;
        const auto body = fetch_json(http_, query_.nodes[index], path);
        if (!body) {
            return tl::unexpected(body.error());
        }
        auto part = io::read_json<node::timeline_part>(*body);
        if (!part) {
            return fail(error_kind::unavailable, query_.nodes[index] + ": the time line can't be read");
        }
        return std::move(*part);
    }

    timeline_query query_;
    std::vector<std::uint64_t> after_;
    io::http_client http_;
};

std::string since_parameter(const std::string& text)
{
    const auto back = config::parse_duration(text);
    if (!back) {
        throw TCLAP::CmdLineParseException("expected a duration such as 10m, found " + text, "since");
    }
    const wall_time since = io::wall_now() - std::chrono::duration_cast<std::chrono::milliseconds>(*back);
    return std::to_string(since.time_since_epoch().count());
}

[[noreturn]] void follow(collector& source, const format_entry& format)
{
    while (true) {
        std::this_thread::sleep_for(follow_every);
        std::cout << format.render(source.collect()) << std::flush;
    }
}

} // namespace

int run_timeline(const arguments& given)
{
    argument_parser parser(given, "Collects the time lines of nodes and joins them in causal order.");
    TCLAP::CmdLine& line = parser.line();
    TCLAP::MultiArg<std::string> nodes(
        "n", "node", "a node's admin address, IP:port; may be given several times", true, "ADDR", line);
    TCLAP::ValueArg<std::string> since("", "since", "only what happened since then, such as 10m", false, "",
                                       "DURATION", line);
    TCLAP::ValueArg<std::string> request("r", "request", "only this request", false, "", "ID", line);
    TCLAP::ValueArg<std::string> engine("e", "engine", "only this engine", false, "", "NAME", line);
    TCLAP::ValueArg<std::string> service("s", "service", "only this service", false, "", "NAME", line);
    TCLAP::ValueArg<std::string> in_force("", "revision", "only this revision", false, "", "NUMBER", line);
    TCLAP::SwitchArg following("f", "follow", "go on until stopped", line);
    std::vector<std::string> names{"text", "json", "svg"};
    TCLAP::ValuesConstraint<std::string> allowed(names);
    TCLAP::ValueArg<std::string> format("", "format", "text, json or svg", false, "text", &allowed, line);
    parser.parse();

    timeline_query query{nodes.getValue(), {}};
    add_parameter(query, "request", request.getValue());
    add_parameter(query, "engine", engine.getValue());
    add_parameter(query, "service", service.getValue());
    add_parameter(query, "revision", in_force.getValue());
    if (since.isSet()) {
        add_parameter(query, "since_ms", since_parameter(since.getValue()));
    }
    const auto* chosen = std::find_if(formats.begin(), formats.end(), [&](const format_entry& known) {
        return known.name == format.getValue();
    });
    if (following.getValue() && chosen->name == "svg") {
        throw TCLAP::CmdLineParseException("can't go with --format svg", "follow");
    }
    collector source(std::move(query));
    const joined_timeline joined = source.collect();
    std::cout << chosen->render(joined) << std::flush;
    if (following.getValue()) {
        follow(source, *chosen);
    }
    const bool complete = joined.gaps.size() < nodes.getValue().size() || !joined.entries.empty();
    return static_cast<int>(complete ? exit_code::done : exit_code::unavailable);
}

} // namespace currantspar::cli
