#ifndef CURRANTSPAR_IO_CONNECTION_WATCH_HPP
#define CURRANTSPAR_IO_CONNECTION_WATCH_HPP

#include <cstddef>
#include <mutex>
#include <optional>
#include <string_view>
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
    /// Notes that bytes of a large body have arrived. Precondition: called from a callback of this
    /// connection.
    void on_large_body(MHD_Connection* connection, std::size_t bytes);
    /// Writes a response past libmicrohttpd and ends the connection. Precondition: called from a callback of
    /// this connection, on which no response to the request has begun.
    void answer_and_cut(MHD_Connection* connection, std::string_view answer);
    /// Cuts connections that have waited longest for a request, until no more than `most` are open.
    void cut_idle(instant now, std::size_t most);
    /// Cuts connections with a large body of which too little has arrived in the last second.
    void cut_stalled_bodies(instant now);
    /// Cuts connections whose head or body has taken longer than its limit.
    void cut_slow_senders(instant now);

private:
    struct connection_state
    {
        int socket = -1;
        instant since{}; ///< of its phase
        connection_phase phase = connection_phase::head;
        bool cut = false;
        std::optional<instant> progress_at; ///< of a large body
        std::size_t progress_bytes = 0;     ///< received since then
    };

    static connection_state* find(MHD_Connection* connection);
    static void cut_with(connection_state& connection, std::string_view answer);

    void cut_if_slow(connection_state& connection, instant now) const;

    const duration head_limit_;
    const duration body_limit_;
    std::mutex mutex_;
    std::unordered_set<connection_state*> connections_;
};

} // namespace currantspar::io

#endif
