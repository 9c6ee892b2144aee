#ifndef CURRANTSPAR_GATEWAY_TCP_CONNECTION_HPP
#define CURRANTSPAR_GATEWAY_TCP_CONNECTION_HPP

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include <ace/Event_Handler.h>
#include <ace/SOCK_Stream.h>

#include "currantspar/base/time.hpp"
#include "currantspar/io/address.hpp"

namespace currantspar::gateway {

/// The most that one event reads from a connection, so that a fast peer holds up no other.
inline constexpr std::size_t max_read_bytes = 65536;

/// A non-blocking TCP connection driven by one reactor. Not thread safe.
class tcp_connection : public ACE_Event_Handler
{
public:
    tcp_connection(const tcp_connection&) = delete;
    tcp_connection& operator=(const tcp_connection&) = delete;
    ~tcp_connection() override;

    [[nodiscard]] bool is_open() const { return stream_.get_handle() != ACE_INVALID_HANDLE; }
    /// True when bytes of the peer wait in the kernel to be read.
    [[nodiscard]] bool has_unread_input() const;
    /// Lets a peer live that acknowledges but reads nothing for a while, and sends output while reading is
    /// paused. Call it in each tick.
    void check_window(instant now);
    /// The number of bytes passed to write() that the kernel hasn't accepted yet.
    [[nodiscard]] std::size_t unsent() const { return out_.size() - out_sent_; }
    /// The memory that output takes.
    [[nodiscard]] std::size_t output_capacity() const { return out_.capacity(); }

    ACE_HANDLE get_handle() const override { return stream_.get_handle(); }
    int handle_input(ACE_HANDLE) override;
    int handle_output(ACE_HANDLE) override;
    int handle_close(ACE_HANDLE, ACE_Reactor_Mask) override { return 0; }

protected:
    explicit tcp_connection(ACE_Reactor& reactor);

    /// Takes ownership of an accepted connection; false when it couldn't be registered with the reactor.
    bool adopt(ACE_SOCK_Stream& accepted);
    /// Starts connecting; on_connected or on_closed follows. False when connecting failed at once.
    /// `receive_buffer`: bytes that the kernel may hold unread; 0: its default.
    bool connect(const io::socket_address& address, std::size_t receive_buffer = 0);
    /// Sends or queues bytes. Nothing is sent before the connection is established.
    void write(std::string_view bytes);
    /// The same without a copy when nothing is queued.
    void write_owned(std::string bytes);
    /// Leaves further input to the kernel, which then holds up the peer. Until resume_reading(), output is
    /// sent in each check_window(), and only peer_has_left() tells of a closed connection.
    void pause_reading();
    void resume_reading();
    [[nodiscard]] bool is_reading_paused() const { return reading_paused_; }
    /// True when the peer has closed its side or the connection has failed; unread input may be left.
    [[nodiscard]] bool peer_has_left() const;
    /// The most that the next event reads, at most max_read_bytes.
    [[nodiscard]] virtual std::size_t read_limit() const { return max_read_bytes; }
    /// Tells the peer that nothing follows what was written. Precondition: unsent() is 0.
    void shut_down_sending();
    /// The number of bytes that the kernel has accepted and the peer hasn't acknowledged.
    [[nodiscard]] std::size_t unacknowledged() const;
    /// True when the peer ended the connection before it had received all output. For on_closed().
    [[nodiscard]] bool ended_before_output() const { return ended_before_output_; }
    /// Closes without calling on_closed. `reset` sends a TCP reset to the peer.
    void close(bool reset = false);

    virtual void on_connected() {}
    /// The kernel accepted bytes of this connection.
    virtual void on_sent() {}
    virtual void on_bytes(std::string_view bytes) = 0;
    /// The peer closed the connection in order (`problem` empty) or it failed. The socket is closed already.
    virtual void on_closed(std::error_code problem) = 0;

private:
    void set_options();
    void set_user_timeout(std::chrono::milliseconds timeout);
    [[nodiscard]] std::size_t queued_bytes(unsigned long which) const;
    bool flush();
    void set_write_interest(bool enabled);
    /// Frees output that was sent.
    void discard_sent();
    void handle_disconnect(std::error_code problem);

    ACE_Reactor& reactor_;
    ACE_SOCK_Stream stream_;
    std::string out_;
    std::size_t out_sent_ = 0;
    std::error_code send_problem_;             ///< that ended the connection, found by a send
    std::optional<instant> unconfirmed_since_; ///< a write that may not be acknowledged yet
    std::chrono::milliseconds user_timeout_{};
    bool written_ = false; ///< since the last check_window()
    bool connecting_ = false;
    bool write_interest_ = false;
    bool reading_paused_ = false;
    bool output_lost_ = false; ///< a send failed
    bool ended_before_output_ = false;
};

} // namespace currantspar::gateway

#endif
