#ifndef CURRANTSPAR_STANDIN_SERVICE_MODEL_HPP
#define CURRANTSPAR_STANDIN_SERVICE_MODEL_HPP

#include <cstdint>
#include <map>
#include <string>

namespace currantspar::standin {

/// A plain service that books: it counts what it ran, so that a test can tell a lost call from a doubled one.
/// All backend servers of one service share a model. Not thread safe.
class service_model
{
public:
    /// Runs a call named `tag` (a test's own name for the caller's intent) and returns how often it has run
    /// now.
    std::uint64_t execute(const std::string& tag) { return ++executions_[tag]; }

    [[nodiscard]] std::uint64_t executions(const std::string& tag) const
    {
        const auto found = executions_.find(tag);
        return found == executions_.end() ? 0 : found->second;
    }
    [[nodiscard]] const std::map<std::string, std::uint64_t>& all() const { return executions_; }

private:
    std::map<std::string, std::uint64_t> executions_;
};

} // namespace currantspar::standin

#endif
