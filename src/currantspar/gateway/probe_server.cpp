#include "probe_server.hpp"

namespace currantspar::gateway {

namespace {

constexpr std::size_t max_connections = 64;
/// A probe's request follows its connection at once.
constexpr duration min_idle_time = std::chrono::milliseconds(50);
/// A probe's request fits into one segment.
constexpr std::size_t receive_buffer = 8192;
constexpr reader_limits request_limits{16384, 16384};

} // namespace

probe_server::probe_server(ACE_Reactor& reactor, handler handler_function, memory_budget& budget)
    : handler_(std::move(handler_function)),
      server_(reactor, *this, [] { return request_limits; },
              {max_connections, min_idle_time, receive_buffer, &budget})
{}

void probe_server::on_tick(instant now)
{
    for (caller_connection* connection : server_.connections()) {
        connection->check_time({}, now);
    }
    server_.on_tick(now);
}

probe_server::~probe_server() = default;

void probe_server::request_arrived(caller_connection& from, http_request request)
{
    const http_response response = handler_(request);
    from.respond(response.status, response.fields, response.body, false);
}

} // namespace currantspar::gateway
