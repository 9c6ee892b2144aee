#include "probe_server.hpp"

namespace currantspar::gateway {

probe_server::probe_server(ACE_Reactor& reactor, handler handler_function)
    : handler_(std::move(handler_function)), server_(reactor, *this)
{}

probe_server::~probe_server() = default;

void probe_server::request_arrived(caller_connection& from, http_request request)
{
    const http_response response = handler_(request);
    from.respond(response.status, response.fields, response.body, false);
}

} // namespace currantspar::gateway
