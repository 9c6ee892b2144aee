#ifndef CURRANTSPAR_GATEWAY_CALLER_SERVER_HPP
#define CURRANTSPAR_GATEWAY_CALLER_SERVER_HPP

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "currantspar/gateway/caller_connection.hpp"
#include "currantspar/io/log_limiter.hpp"
#include "listener.hpp"

namespace currantspar::gateway {

struct caller_server_options
{
    std::size_t max_connections = std::numeric_limits<std::size_t>::max();
    /// An idle connection may be replaced by a new one after this long, when there are as many as allowed.
    duration min_idle_time = std::chrono::milliseconds(250);
    std::size_t receive_buffer = 0;  ///< bytes that the kernel may hold unread for each; 0: its default
    memory_budget* budget = nullptr; ///< of the process; optional, must outlive the server
};

/// Accepts callers' connections at one address and owns them. A closed connection stays valid until the next
/// tick. Not thread safe.
class caller_server : private caller_sink
{
public:
    using limits_source = std::function<reader_limits()>;

    /// `sink` must outlive this object. `limits` is called for each new connection.
    caller_server(
        ACE_Reactor& reactor, caller_sink& sink, limits_source limits = [] { return reader_limits{}; },
        caller_server_options options = {});
    ~caller_server() override;

    /// Starts listening at `IP:port`.
    [[nodiscard]] result<void> open(const std::string& address) { return listener_.open(address); }
    /// Stops listening and closes all connections; the sink is notified of each.
    void close();
    /// All open connections.
    [[nodiscard]] std::vector<caller_connection*> connections() const;
    [[nodiscard]] std::size_t size() const { return connections_.size(); }
    /// Frees closed connections, lets the others go on with pipelined requests, and shares out the memory.
    void on_tick(instant now);
    /// Connections closed because the memory or the connections were used up.
    [[nodiscard]] std::uint64_t closed_for_resources() const { return closed_for_resources_; }

private:
    void accept(ACE_SOCK_Stream& accepted);
    /// Makes room for a new connection, by closing the one that is idle longest if need be; false when all
    /// are in use.
    bool make_room();
    /// Lets connections that wait for memory go on as far as there is some, and refuses those that have
    /// waited too long.
    void serve_waiting(instant now);
    /// The connections that wait for memory, in the order in which they get it.
    [[nodiscard]] std::vector<caller_connection*> waiting(instant now) const;
    /// Which connections may lose their memory.
    enum class stall_kind
    {
        too_long,              ///< those that make too little progress by themselves
        too_long_or_held_back, ///< also those that wait for memory
        any,
    };
    /// Frees the memory of the connection that has stalled longest with the most bytes; false when there is
    /// none of the kind.
    bool close_stalled(instant now, stall_kind kind);
    void log_closed(const char* reason, instant now);
    void request_arrived(caller_connection& from, http_request request) override;
    void request_malformed(int status) override;
    void connection_closed(caller_connection& closed) override;
    void memory_exceeded() override;

    ACE_Reactor& reactor_;
    caller_sink& sink_;
    limits_source limits_;
    caller_server_options options_;
    listener listener_;
    std::map<caller_connection*, std::unique_ptr<caller_connection>> connections_;
    std::vector<std::unique_ptr<caller_connection>> closed_;
    std::uint64_t closed_for_resources_ = 0;
    io::log_limiter closed_lines_;
    bool nothing_stalled_ = false; ///< since the last tick: no connection is left whose memory could be freed
    bool freeing_ = false;
};

} // namespace currantspar::gateway

#endif
