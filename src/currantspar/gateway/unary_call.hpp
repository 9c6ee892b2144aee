#ifndef CURRANTSPAR_GATEWAY_UNARY_CALL_HPP
#define CURRANTSPAR_GATEWAY_UNARY_CALL_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "currantspar/gateway/server_connection.hpp"

namespace currantspar::gateway {

/// HTTP calls that the node itself makes; each buffered response goes to a function. Not thread safe.
class unary_calls
{
public:
    /// Receives the response, or null when the call failed or timed out.
    using response_handler = std::function<void(const http_response*)>;

    unary_calls();
    ~unary_calls();

    /// Sends a request; one that couldn't be serialized fails in the next tick. `pool` must outlive this
    /// object.
    void start(server_pool& pool, const std::string& address, result<std::string> request, duration timeout,
               response_handler done, instant now);
    /// Cancels calls that have timed out.
    void on_tick(instant now);

private:
    class call;

    std::vector<std::unique_ptr<call>> calls_;
};

} // namespace currantspar::gateway

#endif
