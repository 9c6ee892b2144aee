#include "command.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

namespace currantspar::cli {

int to_exit_code(error_kind kind)
{
    switch (kind) {
    case error_kind::invalid:
        return static_cast<int>(exit_code::failed);
    case error_kind::unavailable:
        return static_cast<int>(exit_code::unavailable);
    case error_kind::timeout:
        return static_cast<int>(exit_code::unknown);
    case error_kind::conflict:
        return static_cast<int>(exit_code::conflict);
    case error_kind::internal:
        break;
    }
    return static_cast<int>(exit_code::internal);
}

int report(const error& problem)
{
    std::cerr << "currantspar: " << problem.message << '\n';
    return to_exit_code(problem.kind);
}

argument_parser::argument_parser(const arguments& given, const std::string& description)
    : given_(given), line_(description, ' ', std::string(program_version))
{
    given_.front() = "currantspar " + given_.front();
    line_.setExceptionHandling(false);
}

void argument_parser::parse()
{
    line_.parse(given_);
}

result<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        return fail(error_kind::invalid, path + ": can't be read, or is empty");
    }
    return text.str();
}

} // namespace currantspar::cli
