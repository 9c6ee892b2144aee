#ifndef CURRANTSPAR_CLI_COMMAND_HPP
#define CURRANTSPAR_CLI_COMMAND_HPP

#include <string>
#include <string_view>
#include <vector>

#include <tclap/CmdLine.h>

#include "currantspar/base/result.hpp"

namespace currantspar::cli {

inline constexpr std::string_view program_version = "0.1.0";

/// What the process tells its caller; docs/CLI.md explains each.
enum class exit_code : int
{
    done = 0,
    failed = 1,      ///< the command ran and its answer is no
    usage = 2,       ///< the command line is wrong
    conflict = 3,    ///< somebody else's change came first
    unavailable = 4, ///< something needed can't be reached
    unknown = 5,     ///< no answer came in time; the action may have taken effect
    internal = 70,   ///< a defect of the program
};

/// The code for an error of that kind. Thread safe.
[[nodiscard]] int to_exit_code(error_kind kind);

/// Prints an error on standard error and returns its exit code.
int report(const error& problem);

/// The arguments after `currantspar`; the first is the subcommand's name.
using arguments = std::vector<std::string>;

/// One subcommand. `run` may throw TCLAP's exceptions for wrong arguments and for --help.
struct command
{
    std::string_view name;
    std::string_view summary;
    int (*run)(const arguments& given);
};

int run_serve(const arguments& given);
int run_gateway(const arguments& given);
int run_check(const arguments& given);
int run_publish(const arguments& given);
int run_show(const arguments& given);
int run_status(const arguments& given);
int run_timeline(const arguments& given);
int run_replay(const arguments& given);
int run_demo(const arguments& given);
int run_hash_key(const arguments& given);

/// A parser for one subcommand's arguments. Add TCLAP arguments to `line()`, then call parse.
class argument_parser
{
public:
    argument_parser(const arguments& given, const std::string& description);

    [[nodiscard]] TCLAP::CmdLine& line() { return line_; }
    void parse();

private:
    arguments given_;
    TCLAP::CmdLine line_;
};

/// Reads a whole file; an error of kind `invalid` when it can't be read. Thread safe.
[[nodiscard]] result<std::string> read_file(const std::string& path);

} // namespace currantspar::cli

#endif
