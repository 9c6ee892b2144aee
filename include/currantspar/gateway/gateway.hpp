#ifndef CURRANTSPAR_GATEWAY_GATEWAY_HPP
#define CURRANTSPAR_GATEWAY_GATEWAY_HPP

#include "currantspar/gateway/wire_protocol.hpp"

namespace currantspar::gateway {

/// Runs one node between callers and backend servers in the calling thread until SIGTERM or SIGINT, and
/// returns the exit code of the process. SIGHUP reloads the settings. Precondition: no other gateway runs in
/// this process.
[[nodiscard]] int run_gateway(const wire_protocol& wire);

} // namespace currantspar::gateway

#endif
