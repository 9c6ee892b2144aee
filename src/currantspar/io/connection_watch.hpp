#ifndef CURRANTSPAR_IO_CONNECTION_WATCH_HPP
#define CURRANTSPAR_IO_CONNECTION_WATCH_HPP

#include <mutex>
#include <unordered_set>

#include <microhttpd.h>

#include "currantspar/base/time.hpp"

namespace currantspar::io {

/// What a caller's connection is waiting for.
enum class connection_phase
{
    head,
    body,
    answer,
};

/// The open connections of the callers' front, to cut those that send too slowly. Thread safe.
class connection_watch
{
public:
    connection_watch(duration head_limit, duration body_limit);
    connection_watch(const connection_watch&) = delete;
    connection_watch& operator=(const connection_watch&) = delete;

    /// Called for each connection with the context that libmicrohttpd keeps for it.
    void opened(MHD_Connection* connection, void** context);
    void closed(void** context);
    /// Precondition: called from a callback of this connection.
    void set_phase(MHD_Connection* connection, connection_phase phase);
    /// Cuts connections whose head or body has taken longer than its limit.
    void cut_slow_senders(instant now);

private:
    struct connection_state
    {
        int socket = -1;
        instant since{}; ///< of its phase
        connection_phase phase = connection_phase::head;
        bool cut = false;
    };

    void cut_if_slow(connection_state& connection, instant now) const;

    const duration head_limit_;
    const duration body_limit_;
    std::mutex mutex_;
    std::unordered_set<connection_state*> connections_;
};

} // namespace currantspar::io

#endif
