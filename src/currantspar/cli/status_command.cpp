#include <algorithm>
#include <iostream>
#include <thread>

#include "command.hpp"
#include "status_table.hpp"

namespace currantspar::cli {

namespace {

constexpr duration watch_every = std::chrono::seconds(2);
constexpr std::string_view clear_screen = "\033[H\033[2J";

std::string render_json(const std::vector<node_answer>& answers)
{
    nlohmann::json out = nlohmann::json::array();
    for (const node_answer& answer : answers) {
        nlohmann::json entry{{"admin_address", answer.address}};
        if (answer.status) {
            entry["status"] = *answer.status;
        } else {
            entry["error"] = answer.status.error().message;
        }
        out.push_back(std::move(entry));
    }
    return out.dump(2) + "\n";
}

} // namespace

int run_status(const arguments& given)
{
    argument_parser parser(given, "Shows nodes, services, authority and engines at a glance.");
    TCLAP::CmdLine& line = parser.line();
    TCLAP::MultiArg<std::string> nodes(
        "n", "node", "a node's admin address, IP:port; may be given several times", true, "ADDR", line);
    TCLAP::SwitchArg json("j", "json", "print the nodes' whole answers as JSON", line);
    TCLAP::SwitchArg watch("w", "watch", "show it again every two seconds until stopped", line);
    parser.parse();
    io::http_client http;
    while (true) {
        const auto answers = fetch_statuses(http, nodes.getValue());
        const std::string text = json.getValue() ? render_json(answers) : render_status(answers);
        std::cout << (watch.getValue() ? clear_screen : "") << text << std::flush;
        if (!watch.getValue()) {
            const bool any = std::any_of(answers.begin(), answers.end(),
                                         [](const node_answer& answer) { return answer.status.has_value(); });
            return static_cast<int>(any ? exit_code::done : exit_code::unavailable);
        }
        std::this_thread::sleep_for(watch_every);
    }
}

} // namespace currantspar::cli
