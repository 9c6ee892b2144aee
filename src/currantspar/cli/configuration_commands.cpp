#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <set>
#include <thread>

#include "command.hpp"
#include "currantspar/config/parse.hpp"
#include "currantspar/config/units.hpp"
#include "fetch.hpp"
#include "log_session.hpp"
#include "publisher.hpp"

namespace currantspar::cli {

namespace {

constexpr duration ask_every = std::chrono::milliseconds(250);
constexpr const char* log_help = "the platform's log service, IP:port";
constexpr const char* settings_help = "a node's settings file, for the log's address";
constexpr const char* node_help = "a node's admin address, IP:port; may be given several times";

/// The arguments that name the platform's log.
class log_arguments
{
public:
    explicit log_arguments(TCLAP::CmdLine& line)
        : log_("l", "log", log_help, false, "", "ADDR", line),
          settings_("s", "settings", settings_help, false, "", "FILE", line)
    {}

    [[nodiscard]] result<std::string> address() const
    {
        if (log_.isSet()) {
            return config::is_address(log_.getValue())
                       ? result<std::string>(log_.getValue())
                       : fail(error_kind::invalid, "--log " + log_.getValue() + ": expected IP:port");
        }
        if (!settings_.isSet()) {
            throw TCLAP::CmdLineParseException("give --log ADDR or --settings FILE", "log");
        }
        const auto text = read_file(settings_.getValue());
        if (!text) {
            return tl::unexpected(text.error());
        }
        const auto settings = config::parse_settings(*text);
        if (!settings) {
            return fail(error_kind::invalid, describe(settings.error().front(), settings_.getValue()));
        }
        return settings->log_address;
    }

private:
    TCLAP::ValueArg<std::string> log_;
    TCLAP::ValueArg<std::string> settings_;
};

std::string default_author()
{
    const char* const user = std::getenv("USER");
    return user == nullptr ? "unknown" : user;
}

std::string_view verdict_text(agreement::publish_verdict verdict)
{
    switch (verdict) {
    case agreement::publish_verdict::accepted:
        return "accepted";
    case agreement::publish_verdict::conflict:
        return "conflict";
    case agreement::publish_verdict::invalid:
        break;
    }
    return "invalid";
}

int print_verdict(const agreement::publish_result& result)
{
    switch (result.verdict) {
    case agreement::publish_verdict::accepted:
        std::cout << "revision " << result.current.value() << " is accepted, publish id " << result.id.str()
                  << '\n';
        return static_cast<int>(exit_code::done);
    case agreement::publish_verdict::conflict:
        std::cout
            << "conflict: revision " << result.current.value()
            << " came first; read it with `currantspar show --text`, join the edits and publish again\n";
        return static_cast<int>(exit_code::conflict);
    case agreement::publish_verdict::invalid:
        break;
    }
    std::cout << "invalid: " << result.detail << '\n';
    return static_cast<int>(exit_code::failed);
}

/// What keeps a node from having the revision; empty when it has it.
std::string missing_at(const node_answer& answer, revision wanted)
{
    if (!answer.status) {
        return answer.status.error().message;
    }
    if (answer.status->current < wanted) {
        return answer.address + ": has revision " + std::to_string(answer.status->current.value());
    }
    return {};
}

/// Nodes that weren't asked and that others see alive with an older revision.
void add_members_behind(const node_answer& answer, revision wanted, const std::set<node_id>& asked,
                        std::vector<std::string>& missing)
{
    if (!answer.status) {
        return;
    }
    for (const node::member_status& member : answer.status->members) {
        if (member.health != "gone" && member.current < wanted && !asked.contains(member.node)) {
            missing.push_back("node " + member.node.str() + ": has revision " +
                              std::to_string(member.current.value()) + ", as " + answer.address + " heard");
        }
    }
}

std::vector<std::string> find_missing(io::http_client& http, const std::vector<std::string>& nodes,
                                      revision wanted)
{
    const std::vector<node_answer> answers = fetch_statuses(http, nodes);
    std::set<node_id> asked;
    for (const node_answer& answer : answers) {
        if (answer.status) {
            asked.insert(answer.status->node);
        }
    }
    std::vector<std::string> missing;
    for (const node_answer& answer : answers) {
        if (std::string line = missing_at(answer, wanted); !line.empty()) {
            missing.push_back(std::move(line));
        }
        add_members_behind(answer, wanted, asked, missing);
    }
    return missing;
}

int wait_everywhere(const std::vector<std::string>& nodes, revision wanted, duration limit)
{
    io::http_client http;
    const auto began = std::chrono::steady_clock::now();
    const auto end = began + limit;
    std::vector<std::string> missing = find_missing(http, nodes, wanted);
    while (!missing.empty() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(ask_every);
        missing = find_missing(http, nodes, wanted);
    }
    if (missing.empty()) {
        const auto took = std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - began);
        std::cout << "in force at every node, after " << std::fixed << std::setprecision(1)
                  << to_seconds(took) << " s\n";
        return static_cast<int>(exit_code::done);
    }
    std::cout << "not in force everywhere after " << config::format_duration(limit) << ":\n";
    for (const std::string& line : missing) {
        std::cout << "  " << line << '\n';
    }
    return static_cast<int>(exit_code::failed);
}

void print_history(const agreement::agreed_state& state)
{
    for (const agreement::publish_result& result : state.history) {
        std::cout << "offset " << std::setw(8) << result.offset.value() << "  " << std::left << std::setw(9)
                  << verdict_text(result.verdict) << std::right << "in force " << std::setw(8)
                  << result.current.value() << "  by " << result.author << "  id " << result.id.str() << '\n';
    }
}

void print_in_force(const agreement::agreed_state& state)
{
    if (state.current.value() == 0) {
        std::cout << "no configuration is in force\n";
        return;
    }
    std::cout << "revision " << state.current.value() << " of \"" << (state.fleet ? state.fleet->name : "")
              << '"';
    for (const agreement::publish_result& result : state.history) {
        if (result.offset.value() == state.current.value()) {
            std::cout << ", published by " << result.author << ", id " << result.id.str();
        }
    }
    std::cout << '\n';
}

void print_nodes(const std::vector<std::string>& nodes)
{
    io::http_client http;
    for (const node_answer& answer : fetch_statuses(http, nodes)) {
        if (answer.status) {
            std::cout << "  " << answer.address << ": revision " << answer.status->current.value()
                      << (answer.status->verified ? "" : ", unverified") << '\n';
        } else {
            std::cout << "  " << answer.status.error().message << '\n';
        }
    }
}

} // namespace

int run_publish(const arguments& given)
{
    argument_parser parser(given, "Publishes an operators' text and reads the verdict back from the log.");
    TCLAP::CmdLine& line = parser.line();
    TCLAP::UnlabeledValueArg<std::string> file("FILE", "the operators' text", true, "", "FILE", line);
    const log_arguments log(line);
    TCLAP::ValueArg<std::uint64_t> base("b", "base", "the revision that the text was edited from", false, 0,
                                        "REVISION", line);
    TCLAP::ValueArg<std::string> author("a", "author", "who publishes", false, default_author(), "NAME",
                                        line);
    TCLAP::ValueArg<std::string> id("i", "id", "finish an earlier publish of unknown outcome", false, "",
                                    "ID", line);
    TCLAP::MultiArg<std::string> nodes("n", "node", node_help, false, "ADDR", line);
    TCLAP::SwitchArg wait("w", "wait", "wait until every node asked has the revision", line);
    TCLAP::ValueArg<unsigned> limit("t", "timeout", "seconds to wait for the verdict, and for the nodes",
                                    false, 30, "SECONDS", line);
    parser.parse();
    if (wait.getValue() && nodes.getValue().empty()) {
        throw TCLAP::CmdLineParseException("needs --node ADDR", "wait");
    }
    const auto text = read_file(file.getValue());
    if (!text) {
        return report(text.error());
    }
    if (const auto checked = config::parse_fleet(*text); !checked) {
        for (const config::diagnostic& fault : checked.error()) {
            std::cout << describe(fault, file.getValue()) << '\n';
        }
        return report({error_kind::invalid, file.getValue() + " has faults; nothing was published"});
    }
    const auto address = log.address();
    if (!address) {
        return report(address.error());
    }
    log_session session(*address);
    publish_options options;
    options.id = publish_id(id.getValue());
    options.author = author.getValue();
    options.limit = std::chrono::seconds(limit.getValue());
    if (base.isSet()) {
        options.base = revision(base.getValue());
    }
    const auto verdict = publish(access_to(session), *text, options);
    if (!verdict) {
        return report(verdict.error());
    }
    const int code = print_verdict(*verdict);
    const bool accepted = verdict->verdict == agreement::publish_verdict::accepted;
    return wait.getValue() && accepted ? wait_everywhere(nodes.getValue(), verdict->current, options.limit)
                                       : code;
}

int run_show(const arguments& given)
{
    argument_parser parser(given, "Shows the configuration in force, as the log has it.");
    TCLAP::CmdLine& line = parser.line();
    const log_arguments log(line);
    TCLAP::MultiArg<std::string> nodes("n", "node", node_help, false, "ADDR", line);
    TCLAP::SwitchArg history("y", "history", "list the last publishes and their verdicts", line);
    TCLAP::SwitchArg text("t", "text", "print the text only, ready to edit and publish", line);
    parser.parse();
    const auto address = log.address();
    if (!address) {
        return report(address.error());
    }
    log_session session(*address);
    if (const auto read = session.read_to_head(); !read) {
        return report(read.error());
    }
    const agreement::agreed_state& state = session.state();
    if (text.getValue()) {
        std::cout << with_base_line(state.text, state.current);
        return static_cast<int>(exit_code::done);
    }
    print_in_force(state);
    print_nodes(nodes.getValue());
    if (history.getValue()) {
        print_history(state);
    }
    return static_cast<int>(exit_code::done);
}

} // namespace currantspar::cli
