#ifndef CURRANTSPAR_IO_PEER_NETWORK_HPP
#define CURRANTSPAR_IO_PEER_NETWORK_HPP

#include <memory>
#include <string>

#include "currantspar/base/result.hpp"
#include "currantspar/core/effect.hpp"
#include "currantspar/io/event_sink.hpp"

namespace currantspar::io {

/// Messages between the nodes. What arrives comes as peer_received; a message that can't be delivered comes
/// back as peer_unreachable.
class peer_network
{
public:
    peer_network() = default;
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;
    virtual ~peer_network() = default;

    /// Sends a message, or drops it when the queue to that node is full. Thread safe.
    virtual void send(const core::send_peer& message) = 0;
};

struct peer_network_options
{
    node_id self; ///< `IP:port`, where this node listens
    incarnation process;
    std::size_t queued_most = 256; ///< messages that wait for one node
    std::size_t connections_most =
        1024; ///< that other nodes have opened; a further one ends the one least used
    std::size_t message_bytes_most = 16U << 20U; ///< larger ones end their connection
    std::size_t unfinished_bytes_most =
        32U << 20U; ///< announced by all unfinished messages above 64 KiB together
    duration answer_limit = std::chrono::seconds(2); ///< then the connection is dialled anew
    duration idle_most = std::chrono::seconds(30);   ///< an unused connection is closed
};

/// A peer network over Cap'n Proto RPC on a thread of its own.
[[nodiscard]] result<std::unique_ptr<peer_network>> make_capnp_peer_network(peer_network_options options,
                                                                            event_sink sink);

} // namespace currantspar::io

#endif
