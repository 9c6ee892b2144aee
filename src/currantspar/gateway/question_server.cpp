#include "question_server.hpp"

namespace currantspar::gateway {

question_server::question_server(ACE_Reactor& reactor, handler answer)
    : answer_(std::move(answer)), server_(reactor, *this)
{}

question_server::~question_server() = default;

void question_server::request_arrived(caller_connection& from, http_request request)
{
    const http_response answer = answer_(request);
    from.respond(answer.status, answer.fields, answer.body, false);
}

} // namespace currantspar::gateway
