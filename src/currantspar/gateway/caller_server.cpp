#include "caller_server.hpp"

#include "currantspar/io/clock.hpp"

namespace currantspar::gateway {

caller_server::caller_server(ACE_Reactor& reactor, caller_sink& sink, limits_source limits)
    : reactor_(reactor), sink_(sink), limits_(std::move(limits)),
      listener_(reactor, [this](ACE_SOCK_Stream& accepted) { accept(accepted); })
{}

caller_server::~caller_server() = default;

void caller_server::close()
{
    listener_.close();
    while (!connections_.empty()) {
        connections_.begin()->first->abort("the front closes");
    }
}

std::vector<caller_connection*> caller_server::connections() const
{
    std::vector<caller_connection*> open;
    for (const auto& [connection, owner] : connections_) {
        open.push_back(connection);
    }
    return open;
}

void caller_server::on_tick(instant now)
{
    closed_.clear();
    // A connection that closes itself meanwhile is freed in the next tick.
    for (caller_connection* connection : connections()) {
        connection->on_tick(now);
    }
}

void caller_server::accept(ACE_SOCK_Stream& accepted)
{
    caller_sink& self = *this;
    auto created = std::make_unique<caller_connection>(reactor_, self, limits_(), io::monotonic_now());
    if (created->accept(accepted)) {
        caller_connection* key = created.get();
        connections_.emplace(key, std::move(created));
    }
}

void caller_server::request_arrived(caller_connection& from, http_request request)
{
    sink_.request_arrived(from, std::move(request));
}

void caller_server::request_malformed(int status)
{
    sink_.request_malformed(status);
}

void caller_server::connection_closed(caller_connection& closed)
{
    sink_.connection_closed(closed);
    const auto found = connections_.find(&closed);
    if (found != connections_.end()) {
        closed_.push_back(std::move(found->second));
        connections_.erase(found);
    }
}

} // namespace currantspar::gateway
