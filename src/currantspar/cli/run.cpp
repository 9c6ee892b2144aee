#include "currantspar/cli/run.hpp"

#include <algorithm>
#include <array>
#include <iomanip>
#include <iostream>

#include "command.hpp"

namespace currantspar::cli {

namespace {

constexpr std::array<command, 10> commands{{
    {"serve", "run one node with its settings", run_serve},
    {"gateway", "run one node on the users' platform", run_gateway},
    {"check", "check an operators' text or a settings file", run_check},
    {"publish", "publish an operators' text", run_publish},
    {"show", "show the configuration in force and its history", run_show},
    {"status", "show the fleet at a glance", run_status},
    {"timeline", "show what happened, over all nodes, in causal order", run_timeline},
    {"replay", "run a recorded session again and compare its effects", run_replay},
    {"demo", "run three nodes with stand-ins in one process", run_demo},
    {"hash-key", "hash an API key for the operators' text", run_hash_key},
}};

void print_usage(std::ostream& out)
{
    constexpr int name_width = 10;
    out << "usage: currantspar COMMAND [ARGUMENTS]\n\n";
    for (const command& known : commands) {
        out << "  " << std::left << std::setw(name_width) << known.name << known.summary << '\n';
    }
    out << "\ncurrantspar COMMAND --help tells a command's arguments; currantspar --version the version.\n";
}

int run_command(const command& chosen, const arguments& given)
{
    try {
        return chosen.run(given);
    } catch (const TCLAP::ExitException& left) {
        return left.getExitStatus();
    } catch (const TCLAP::ArgException& wrong) {
        std::cerr << "currantspar " << chosen.name << ": " << wrong.argId() << ": " << wrong.error()
                  << "\nSee currantspar " << chosen.name << " --help.\n";
        return static_cast<int>(exit_code::usage);
    }
}

} // namespace

int run(int argc, char** argv)
{
    const arguments given(argv + 1, argv + std::max(argc, 1));
    if (given.empty()) {
        print_usage(std::cerr);
        return static_cast<int>(exit_code::usage);
    }
    if (given.front() == "--help" || given.front() == "-h" || given.front() == "help") {
        print_usage(std::cout);
        return static_cast<int>(exit_code::done);
    }
    if (given.front() == "--version") {
        std::cout << "currantspar " << program_version << '\n';
        return static_cast<int>(exit_code::done);
    }
    const auto* chosen = std::find_if(commands.begin(), commands.end(),
                                      [&](const command& known) { return known.name == given.front(); });
    if (chosen == commands.end()) {
        std::cerr << "currantspar: no command \"" << given.front() << "\"\n\n";
        print_usage(std::cerr);
        return static_cast<int>(exit_code::usage);
    }
    return run_command(*chosen, given);
}

} // namespace currantspar::cli
