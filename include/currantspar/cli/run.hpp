#ifndef CURRANTSPAR_CLI_RUN_HPP
#define CURRANTSPAR_CLI_RUN_HPP

namespace currantspar::cli {

/// Runs the command line and returns the process's exit code.
int run(int argc, char** argv);

} // namespace currantspar::cli

#endif
