#include <fstream>
#include <iostream>

#include "command.hpp"
#include "configuration_check.hpp"
#include "currantspar/base/hash.hpp"
#include "currantspar/config/parse.hpp"
#include "currantspar/core/session.hpp"

namespace currantspar::cli {

namespace {

constexpr std::size_t differences_shown = 20;

int print_faults(const config::diagnostics& faults, const std::string& path)
{
    for (const config::diagnostic& fault : faults) {
        std::cout << describe(fault, path) << '\n';
    }
    std::cout << path << ": " << faults.size() << (faults.size() == 1 ? " fault\n" : " faults\n");
    return static_cast<int>(exit_code::failed);
}

int check_settings(const std::string& path, const std::string& text)
{
    const auto settings = config::parse_settings(text);
    if (!settings) {
        return print_faults(settings.error(), path);
    }
    std::cout << path << ": good settings for node " << settings->peer_address << " in "
              << settings->data_centre.str() << '\n';
    return static_cast<int>(exit_code::done);
}

int check_fleet(const std::string& path, const std::string& text)
{
    const auto fleet = config::parse_fleet(text);
    if (!fleet) {
        return print_faults(fleet.error(), path);
    }
    std::size_t engines = 0;
    std::size_t backends = 0;
    for (const config::service_spec& service : fleet->services) {
        engines += service.engines.size();
        backends += service.backends.size();
    }
    std::cout << path << ": good text \"" << fleet->name << "\": " << fleet->services.size() << " services, "
              << engines << " engines, " << backends << " backend servers, " << fleet->organisations.size()
              << " organisations\n";
    return static_cast<int>(exit_code::done);
}

/// A settings file names the platform's log; an operators' text never does.
bool looks_like_settings(const std::string& text)
{
    const auto value = nlohmann::json::parse(text, nullptr, false, true);
    return value.is_object() && !value.contains("services") &&
           (value.contains("log_address") || value.contains("vm_list_address") ||
            value.contains("data_centre"));
}

int check_platform_configuration(const std::string& path, const std::string& text)
{
    if (const config::diagnostics faults = adapter::check_configuration(text); !faults.empty()) {
        return print_faults(faults, path);
    }
    std::cout << path << ": good configuration of the users' platform\n";
    return static_cast<int>(exit_code::done);
}

void print_difference(const core::session_difference& difference)
{
    std::cout << "step " << difference.step << " at " << to_seconds(difference.at.time_since_epoch())
              << " s\n"
              << "  recorded: " << (difference.recorded.empty() ? "nothing" : difference.recorded) << '\n'
              << "  replayed: " << (difference.replayed.empty() ? "nothing" : difference.replayed) << '\n';
}

} // namespace

int run_check(const arguments& given)
{
    argument_parser parser(
        given, "Checks an operators' text, a settings file or the platform's configuration document "
               "and lists every fault.");
    TCLAP::UnlabeledValueArg<std::string> file("FILE", "the file to check", true, "", "FILE", parser.line());
    TCLAP::SwitchArg settings("s", "settings", "check it as a node's settings; else the keys decide",
                              parser.line());
    parser.parse();
    const auto text = read_file(file.getValue());
    if (!text) {
        return report(text.error());
    }
    if (!settings.getValue() && adapter::looks_like_configuration(*text)) {
        return check_platform_configuration(file.getValue(), *text);
    }
    const bool as_settings = settings.getValue() || looks_like_settings(*text);
    return as_settings ? check_settings(file.getValue(), *text) : check_fleet(file.getValue(), *text);
}

int run_replay(const arguments& given)
{
    argument_parser parser(given, "Runs a recorded session again and compares its effects byte for byte.");
    TCLAP::UnlabeledValueArg<std::string> file("FILE", "a file that record_path named", true, "", "FILE",
                                               parser.line());
    parser.parse();
    std::ifstream in(file.getValue());
    if (!in) {
        return report({error_kind::invalid, file.getValue() + ": can't be read"});
    }
    const auto recorded = core::read_session(in);
    if (!recorded) {
        return report({recorded.error().kind, file.getValue() + ": " + recorded.error().message});
    }
    const auto differences = core::compare_sessions(*recorded, core::replay_session(*recorded));
    for (std::size_t i = 0; i < std::min(differences.size(), differences_shown); ++i) {
        print_difference(differences[i]);
    }
    std::cout << file.getValue() << ": " << recorded->steps.size() << " events of node "
              << recorded->options.self.str() << ", " << differences.size() << " differences\n";
    return static_cast<int>(differences.empty() ? exit_code::done : exit_code::failed);
}

int run_hash_key(const arguments& given)
{
    argument_parser parser(given, "Reads an API key from standard input and prints its hash for key_hashes.");
    TCLAP::UnlabeledValueArg<std::string> salt("SALT", "key_salt of the operators' text", true, "", "SALT",
                                               parser.line());
    parser.parse();
    std::string key;
    if (!std::getline(std::cin, key) || key.empty()) {
        return report({error_kind::invalid, "no key on standard input"});
    }
    std::cout << sha256_hex(salt.getValue() + key) << '\n';
    return static_cast<int>(exit_code::done);
}

} // namespace currantspar::cli
