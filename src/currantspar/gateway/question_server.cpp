#include "question_server.hpp"

#include "currantspar/io/clock.hpp"

namespace currantspar::gateway {

question_server::question_server(ACE_Reactor& reactor, handler answer)
    : reactor_(reactor), answer_(std::move(answer)),
      listener_(reactor, [this](ACE_SOCK_Stream& accepted) { accept(accepted); })
{}

question_server::~question_server() = default;

void question_server::accept(ACE_SOCK_Stream& accepted)
{
    auto fresh = std::make_unique<caller_connection>(reactor_, *this, reader_limits{}, io::monotonic_now());
    if (fresh->accept(accepted)) {
        caller_connection* key = fresh.get();
        connections_.emplace(key, std::move(fresh));
    }
}

void question_server::request_arrived(caller_connection& from, http_request request)
{
    const http_answer answer = answer_(request);
    from.answer(answer.status, answer.fields, answer.body, false);
}

void question_server::connection_closed(caller_connection& closed)
{
    const auto found = connections_.find(&closed);
    if (found != connections_.end()) {
        closed_.push_back(std::move(found->second));
        connections_.erase(found);
    }
}

} // namespace currantspar::gateway
