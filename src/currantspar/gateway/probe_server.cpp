#include "probe_server.hpp"

namespace currantspar::gateway {

probe_server::probe_server(ACE_Reactor& reactor, handler answer)
    : answer_(std::move(answer)), server_(reactor, *this)
{}

probe_server::~probe_server() = default;

void probe_server::request_arrived(caller_connection& from, http_request request)
{
    const http_response answer = answer_(request);
    from.respond(answer.status, answer.fields, answer.body, false);
}

} // namespace currantspar::gateway
