#ifndef CURRANTSPAR_GATEWAY_COLLECTORS_HPP
#define CURRANTSPAR_GATEWAY_COLLECTORS_HPP

#include <string>
#include <vector>

namespace currantspar::gateway {

/// Returns the nodes to which all others report usage and demand: the two with the lowest addresses, so that
/// nodes that hear each other agree without messages, and the loss of one loses nothing. Thread safe.
[[nodiscard]] std::vector<std::string> collectors(const std::string& self,
                                                  const std::vector<std::string>& recent_peers);

} // namespace currantspar::gateway

#endif
