#include "currantspar/config/diagnostic.hpp"

namespace currantspar::config {

std::string describe(const diagnostic& fault, const std::string& file)
{
    std::string line = file;
    if (fault.line != 0) {
        line += ":" + std::to_string(fault.line);
    }
    if (!fault.pointer.empty()) {
        line += ": " + fault.pointer;
    }
    return line + ": found " + fault.found + ", expected " + fault.expected;
}

} // namespace currantspar::config
