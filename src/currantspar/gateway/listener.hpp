#ifndef CURRANTSPAR_GATEWAY_LISTENER_HPP
#define CURRANTSPAR_GATEWAY_LISTENER_HPP

#include <functional>
#include <optional>

#include <ace/Event_Handler.h>
#include <ace/SOCK_Acceptor.h>

#include "currantspar/base/result.hpp"
#include "currantspar/base/time.hpp"
#include "currantspar/io/log_limiter.hpp"

namespace currantspar::gateway {

/// Connections that wait in the kernel to be accepted, at most.
inline constexpr std::size_t listen_backlog = 256;

/// Accepts connections at one address. Not thread safe.
class listener : public ACE_Event_Handler
{
public:
    using accept_handler = std::function<void(ACE_SOCK_Stream&)>;
    using room_check = std::function<bool()>;

    /// `has_room` is asked before each accept; while it says no, connections wait in the kernel.
    /// `receive_buffer`: bytes that the kernel may hold unread for each connection, from before it is
    /// accepted; 0: the kernel's default.
    listener(
        ACE_Reactor& reactor, accept_handler accepted, room_check has_room = [] { return true; },
        std::size_t receive_buffer = 0);
    ~listener() override;

    /// Starts accepting at `IP:port`.
    [[nodiscard]] result<void> open(const std::string& address);
    void close();
    /// Accepts again after a pause.
    void on_tick(instant now);
    /// True when a connection waits to be accepted.
    [[nodiscard]] bool has_pending() const;
    [[nodiscard]] bool is_paused() const { return paused_until_.has_value(); }

    ACE_HANDLE get_handle() const override { return acceptor_.get_handle(); }
    int handle_input(ACE_HANDLE) override;
    int handle_close(ACE_HANDLE, ACE_Reactor_Mask) override { return 0; }

protected:
    /// Accepts one connection; false, with errno set, when there is none or it can't be accepted.
    virtual bool accept_next(ACE_SOCK_Stream& accepted);

private:
    void pause(instant until);

    ACE_Reactor& reactor_;
    ACE_SOCK_Acceptor acceptor_;
    accept_handler accepted_;
    room_check has_room_;
    std::size_t receive_buffer_;
    std::optional<instant> paused_until_;
    io::log_limiter failure_lines_;
};

} // namespace currantspar::gateway

#endif
