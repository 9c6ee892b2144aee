#ifndef CURRANTSPAR_GATEWAY_UNARY_CALL_HPP
#define CURRANTSPAR_GATEWAY_UNARY_CALL_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "currantspar/gateway/server_connection.hpp"

namespace currantspar::gateway {

/// Calls of the node's own, whose whole answers go to functions. Not thread safe.
class unary_calls
{
public:
    /// Gets the answer, or null when none came in time.
    using response_handler = std::function<void(const http_response*)>;

    unary_calls();
    ~unary_calls();

    /// Sends a request. `pool` must outlive this object.
    void start(server_pool& pool, const std::string& address, const std::string& request, duration timeout,
               response_handler done, instant now);
    /// Gives up the calls that are overdue.
    void on_tick(instant now);

private:
    class call;

    std::vector<std::unique_ptr<call>> calls_;
};

} // namespace currantspar::gateway

#endif
