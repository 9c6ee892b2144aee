#ifndef CURRANTSPAR_CLI_FETCH_HPP
#define CURRANTSPAR_CLI_FETCH_HPP

#include <string>
#include <vector>

#include "currantspar/base/json.hpp"
#include "currantspar/base/result.hpp"
#include "currantspar/io/http_client.hpp"
#include "currantspar/node/status.hpp"

namespace currantspar::cli {

/// How long a node's admin port may take to answer.
inline constexpr duration admin_limit = std::chrono::seconds(3);

/// GETs a JSON page and waits for it. An error of kind `unavailable` names the address. Thread safe.
[[nodiscard]] result<nlohmann::json> fetch_json(io::http_client& client, const std::string& address,
                                                const std::string& path, duration limit = admin_limit);

/// One node's answer to a question about its status.
struct node_answer
{
    std::string address; ///< of the admin port
    result<node::node_status> status;
};

/// Asks all nodes at the same time. Thread safe.
[[nodiscard]] std::vector<node_answer> fetch_statuses(io::http_client& client,
                                                      const std::vector<std::string>& addresses);

/// Encodes a text for use in a URL's query. Thread safe.
[[nodiscard]] std::string url_encoded(const std::string& text);

} // namespace currantspar::cli

#endif
