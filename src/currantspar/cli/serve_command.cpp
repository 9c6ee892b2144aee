#include <iostream>

#include "command.hpp"
#include "currantspar/config/parse.hpp"
#include "currantspar/node/runtime.hpp"

namespace currantspar::cli {

int run_serve(const arguments& given)
{
    argument_parser parser(given, "Runs one node until SIGTERM or SIGINT; a second signal ends it at once.");
    TCLAP::UnlabeledValueArg<std::string> file("SETTINGS", "the node's settings", true, "", "SETTINGS",
                                               parser.line());
    parser.parse();
    const auto text = read_file(file.getValue());
    if (!text) {
        return report(text.error());
    }
    const auto settings = config::parse_settings(*text);
    if (!settings) {
        for (const config::diagnostic& fault : settings.error()) {
            std::cerr << describe(fault, file.getValue()) << '\n';
        }
        return static_cast<int>(exit_code::failed);
    }
    return node::serve(*settings);
}

} // namespace currantspar::cli
