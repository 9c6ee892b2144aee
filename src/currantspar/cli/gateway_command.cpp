#include "adapter.hpp"
#include "command.hpp"
#include "currantspar/gateway/gateway.hpp"
#include "currantspar/io/log.hpp"

namespace currantspar::cli {

int run_gateway(const arguments& given)
{
    argument_parser parser(
        given, "Runs one node on the users' platform until SIGTERM; SIGHUP reads the settings again.");
    TCLAP::ValueArg<std::string> settings("", "settings", "the settings that the platform writes", false,
                                          adapter::default_settings_path(), "FILE", parser.line());
    parser.parse();
    io::configure_log("info", config::log_format::json, io::log_target::standard_output);
    const auto wire = adapter::make_wire_protocol(settings.getValue());
    return gateway::run_gateway(*wire);
}

} // namespace currantspar::cli
