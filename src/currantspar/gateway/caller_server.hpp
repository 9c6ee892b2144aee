#ifndef CURRANTSPAR_GATEWAY_CALLER_SERVER_HPP
#define CURRANTSPAR_GATEWAY_CALLER_SERVER_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "currantspar/gateway/caller_connection.hpp"
#include "listener.hpp"

namespace currantspar::gateway {

/// Accepts callers' connections at one address and owns them. A closed connection stays valid until the next
/// tick. Not thread safe.
class caller_server : private caller_sink
{
public:
    using limits_source = std::function<reader_limits()>;

    /// `sink` must outlive this object. `limits` is called for each new connection.
    caller_server(
        ACE_Reactor& reactor, caller_sink& sink, limits_source limits = [] { return reader_limits{}; });
    ~caller_server() override;

    /// Starts listening at `IP:port`.
    [[nodiscard]] result<void> open(const std::string& address) { return listener_.open(address); }
    /// Stops listening and closes all connections; the sink is notified of each.
    void close();
    /// All open connections.
    [[nodiscard]] std::vector<caller_connection*> connections() const;
    [[nodiscard]] std::size_t size() const { return connections_.size(); }
    /// Frees closed connections, and lets the others go on with pipelined requests.
    void on_tick(instant now);

private:
    void accept(ACE_SOCK_Stream& accepted);
    void request_arrived(caller_connection& from, http_request request) override;
    void request_malformed(int status) override;
    void connection_closed(caller_connection& closed) override;

    ACE_Reactor& reactor_;
    caller_sink& sink_;
    limits_source limits_;
    listener listener_;
    std::map<caller_connection*, std::unique_ptr<caller_connection>> connections_;
    std::vector<std::unique_ptr<caller_connection>> closed_;
};

} // namespace currantspar::gateway

#endif
