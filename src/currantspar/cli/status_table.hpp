#ifndef CURRANTSPAR_CLI_STATUS_TABLE_HPP
#define CURRANTSPAR_CLI_STATUS_TABLE_HPP

#include <string>
#include <vector>

#include "fetch.hpp"

namespace currantspar::cli {

/// Rows of text in columns as wide as their widest cell.
class text_table
{
public:
    explicit text_table(std::vector<std::string> header) : rows_{std::move(header)} {}

    void add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
    [[nodiscard]] std::string text() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

/// The fleet at a glance: a line for each node asked; services with the ledger summed over these nodes; pools
/// and engines as the first node that answered sees them. Thread safe.
[[nodiscard]] std::string render_status(const std::vector<node_answer>& answers);

} // namespace currantspar::cli

#endif
