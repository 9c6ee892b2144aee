#ifndef CURRANTSPAR_GATEWAY_PROBE_SERVER_HPP
#define CURRANTSPAR_GATEWAY_PROBE_SERVER_HPP

#include <functional>
#include <string>

#include "caller_server.hpp"

namespace currantspar::gateway {

/// Serves requests that a function can respond to at once: readiness probes and metrics scrapes. A new
/// connection always gets in: it replaces the one that is idle longest when there are too many. Not thread
/// safe.
class probe_server : private caller_sink
{
public:
    using handler = std::function<http_response(const http_request&)>;

    /// `budget` must outlive this object.
    probe_server(ACE_Reactor& reactor, handler handler_function, memory_budget& budget);
    ~probe_server() override;

    /// Starts listening at `IP:port`.
    [[nodiscard]] result<void> open(const std::string& address) { return server_.open(address); }
    /// Closes connections that are idle or send too slowly, and frees closed ones.
    void on_tick(instant now);

private:
    void request_arrived(caller_connection& from, http_request request) override;
    void request_malformed(int) override {}
    void connection_closed(caller_connection&) override {}

    handler handler_;
    caller_server server_;
};

} // namespace currantspar::gateway

#endif
