#ifndef CURRANTSPAR_IO_INBOUND_PEERS_HPP
#define CURRANTSPAR_IO_INBOUND_PEERS_HPP

#include <cstddef>
#include <set>

#include <kj/async-io.h>

#include "currantspar/base/time.hpp"
#include "log_limiter.hpp"

namespace currantspar::io {

/// What the connections that other nodes have opened may take.
struct inbound_limits
{
    std::size_t connections;      ///< a further one ends the one least used
    std::size_t message_bytes;    ///< a larger message ends its connection
    std::size_t unfinished_bytes; ///< announced by all unfinished messages above 64 KiB together
    duration transfer_time;       ///< of a message above 64 KiB, and of a response that isn't read
};

/// Bounds the connections that other nodes have opened and what their messages hold before they are complete.
/// Not thread safe.
class inbound_peers
{
public:
    /// `timer` must outlive this object, and this object the connections.
    inbound_peers(const inbound_limits& limits, kj::Timer& timer);
    inbound_peers(const inbound_peers&) = delete;
    inbound_peers& operator=(const inbound_peers&) = delete;

    /// Returns the accepted connection with its bounds. It reads nothing while a response waits to be
    /// written. When there are too many, one that never said anything is ended, else the one idle longest.
    [[nodiscard]] kj::Own<kj::AsyncIoStream> admit(kj::Own<kj::AsyncIoStream> accepted);

private:
    class stream;

    void end_least_used();

    const inbound_limits limits_;
    kj::Timer& timer_;
    std::set<stream*> streams_; ///< that aren't being ended
    std::size_t unfinished_bytes_ = 0;
    log_limiter ended_lines_;
};

} // namespace currantspar::io

#endif
