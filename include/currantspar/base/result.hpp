#ifndef CURRANTSPAR_BASE_RESULT_HPP
#define CURRANTSPAR_BASE_RESULT_HPP

#include <string>
#include <utility>

#include <tl/expected.hpp>

namespace currantspar {

/// What kind of failure an error is; the command line maps it to an exit code.
enum class error_kind
{
    invalid,     ///< the input is wrong; trying again won't help
    unavailable, ///< something needed can't be reached now
    timeout,     ///< no answer came in time; the action may have taken effect
    conflict,    ///< somebody else's change came first
    internal,    ///< a defect of the program
};

/// A failure as a value.
struct error
{
    error_kind kind = error_kind::internal;
    std::string message;
};

template <typename T>
using result = tl::expected<T, error>;

/// Makes the failing side of a result.
[[nodiscard]] inline tl::unexpected<error> fail(error_kind kind, std::string message)
{
    return tl::unexpected<error>(error{kind, std::move(message)});
}

} // namespace currantspar

#endif
