#include "currantspar/gateway/tcp_connection.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Connector.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>

#include "currantspar/gateway/memory_budget.hpp"
#include "socket_options.hpp"

namespace currantspar::gateway {

namespace {

/// The kernel closes a connection whose peer doesn't acknowledge sent data for about this long.
constexpr std::chrono::milliseconds user_timeout(2500);
/// The same for a peer that acknowledges all that it has room for, but reads nothing: the kernel doesn't tell
/// it from a dead one.
constexpr std::chrono::milliseconds closed_window_timeout(30000);
/// From a write until its acknowledgement is checked; well before the kernel's timeout.
constexpr duration window_check_delay = std::chrono::seconds(1);
/// Output buffers beyond this are freed once they are sent, and what was sent is removed from their front.
constexpr std::size_t max_kept_output = 65536;
/// Output that the kernel takes beyond what the peer has room for. The rest stays in the process, where it is
/// charged to the memory's budget.
constexpr int max_unsent_in_kernel = 16384;
constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 2;

std::error_code to_error(int problem)
{
    return {problem, std::generic_category()};
}

} // namespace

tcp_connection::tcp_connection(ACE_Reactor& reactor) : reactor_(reactor) {}

tcp_connection::~tcp_connection()
{
    close();
}

void tcp_connection::set_options()
{
    set_option(stream_, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(stream_, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(stream_, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_option(stream_, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(stream_, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set_option(stream_, IPPROTO_TCP, TCP_NOTSENT_LOWAT, max_unsent_in_kernel);
    set_user_timeout(user_timeout);
}

void tcp_connection::set_user_timeout(std::chrono::milliseconds timeout)
{
    if (timeout != user_timeout_) {
        user_timeout_ = timeout;
        set_option(stream_, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timeout.count()));
    }
}

std::size_t tcp_connection::queued_bytes(unsigned long which) const
{
    int bytes = 0;
    return is_open() && ::ioctl(stream_.get_handle(), which, &bytes) == 0 && bytes > 0
               ? static_cast<std::size_t>(bytes)
               : 0;
}

std::size_t tcp_connection::unacknowledged() const
{
    return queued_bytes(SIOCOUTQ);
}

void tcp_connection::check_window(instant now)
{
    if (reading_paused_ && unsent() > 0) {
        flush();
    }
    if (std::exchange(written_, false) && !unconfirmed_since_) {
        unconfirmed_since_ = now;
    }
    if (!is_open() || !unconfirmed_since_ || now - *unconfirmed_since_ < window_check_delay) {
        return;
    }
    const std::size_t queued = unacknowledged();
    if (queued == 0) {
        unconfirmed_since_.reset();
    }
    const bool window_closed = queued > 0 && queued == queued_bytes(SIOCOUTQNSD);
    set_user_timeout(window_closed ? closed_window_timeout : user_timeout);
}

void tcp_connection::shut_down_sending()
{
    if (is_open()) {
        ::shutdown(stream_.get_handle(), SHUT_WR);
        written_ = true;
    }
}

bool tcp_connection::adopt(ACE_SOCK_Stream& accepted)
{
    stream_.set_handle(accepted.get_handle());
    accepted.set_handle(ACE_INVALID_HANDLE);
    stream_.enable(ACE_NONBLOCK);
    set_options();
    return reactor_.register_handler(this, ACE_Event_Handler::READ_MASK) == 0;
}

bool tcp_connection::connect(const io::socket_address& address, std::size_t receive_buffer)
{
    ACE_SOCK_Connector connector;
    const ACE_INET_Addr remote(address.port, address.host.c_str());
    ACE_Time_Value at_once = ACE_Time_Value::zero;
    const int done = connector.connect(stream_, remote, &at_once);
    if (done != 0 && errno != EWOULDBLOCK && errno != EINPROGRESS && errno != ETIME) {
        stream_.close();
        return false;
    }
    stream_.enable(ACE_NONBLOCK);
    set_options();
    limit_receive_buffer(stream_, receive_buffer);
    connecting_ = true;
    write_interest_ = true;
    return reactor_.register_handler(this, ACE_Event_Handler::READ_MASK | ACE_Event_Handler::WRITE_MASK) == 0;
}

void tcp_connection::write(std::string_view bytes)
{
    discard_sent();
    out_.append(bytes);
    if (!connecting_ && is_open()) {
        flush();
    }
}

void tcp_connection::write_owned(std::string bytes)
{
    if (!out_.empty()) {
        write(bytes);
        return;
    }
    out_ = std::move(bytes);
    if (!connecting_ && is_open()) {
        flush();
    }
}

void tcp_connection::discard_sent()
{
    if (out_sent_ == out_.size()) {
        if (out_.capacity() > max_kept_output) {
            free_memory(out_);
        }
        out_.clear();
        out_sent_ = 0;
    } else if (out_sent_ > max_kept_output && out_sent_ > unsent()) {
        out_.erase(0, out_sent_);
        out_sent_ = 0;
    }
}

void tcp_connection::pause_reading()
{
    // The reactor doesn't survive a connection that fails while it is registered for no event.
    if (is_open() && !std::exchange(reading_paused_, true)) {
        reactor_.remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    }
}

void tcp_connection::resume_reading()
{
    if (is_open() && std::exchange(reading_paused_, false)) {
        const ACE_Reactor_Mask write_mask = write_interest_ ? ACE_Event_Handler::WRITE_MASK : 0;
        reactor_.register_handler(this, ACE_Event_Handler::READ_MASK | write_mask);
    }
}

bool tcp_connection::peer_has_left() const
{
    pollfd look{stream_.get_handle(), POLLRDHUP, 0};
    return is_open() && ::poll(&look, 1, 0) > 0;
}

bool tcp_connection::has_unread_input() const
{
    char next = 0;
    return is_open() && ::recv(stream_.get_handle(), &next, sizeof next, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool tcp_connection::flush()
{
    bool sent_any = false;
    while (out_sent_ < out_.size()) {
        const ssize_t sent =
            ::send(stream_.get_handle(), out_.data() + out_sent_, out_.size() - out_sent_, MSG_NOSIGNAL);
        if (sent < 0) {
            if (errno == EINTR) {
                continue;
            }
            if (errno != EAGAIN && errno != EWOULDBLOCK) {
                // handle_input() reports it, after the bytes that the peer sent before. EPIPE follows an
                // orderly end.
                output_lost_ = true;
                send_problem_ = errno == EPIPE ? send_problem_ : to_error(errno);
                out_.clear();
                out_sent_ = 0;
                break;
            }
            break;
        }
        sent_any = true;
        written_ = true;
        out_sent_ += static_cast<std::size_t>(sent);
    }
    discard_sent();
    set_write_interest(!out_.empty());
    if (sent_any) {
        on_sent();
    }
    return is_open();
}

void tcp_connection::set_write_interest(bool enabled)
{
    if (enabled == write_interest_ || !is_open()) {
        return;
    }
    write_interest_ = enabled;
    if (reading_paused_) {
        return;
    }
    if (enabled) {
        reactor_.schedule_wakeup(this, ACE_Event_Handler::WRITE_MASK);
    } else {
        reactor_.cancel_wakeup(this, ACE_Event_Handler::WRITE_MASK);
    }
}

void tcp_connection::close(bool reset)
{
    if (!is_open()) {
        return;
    }
    if (!reading_paused_) {
        reactor_.remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    }
    if (reset) {
        set_option(stream_, SOL_SOCKET, SO_LINGER, linger{1, 0});
    }
    stream_.close();
    free_memory(out_);
    out_sent_ = 0;
}

void tcp_connection::handle_disconnect(std::error_code problem)
{
    ended_before_output_ = output_lost_ || unsent() > 0 || unacknowledged() > 0;
    close();
    on_closed(problem);
}

int tcp_connection::handle_input(ACE_HANDLE)
{
    // One read: the reactor calls again for what is left, after it has served the other connections.
    static std::array<char, max_read_bytes> buffer;
    const ssize_t got = ::recv(stream_.get_handle(), buffer.data(), std::min(buffer.size(), read_limit()), 0);
    if (got > 0) {
        on_bytes(std::string_view(buffer.data(), static_cast<std::size_t>(got)));
    } else if (got == 0 || (errno != EINTR && errno != EAGAIN && errno != EWOULDBLOCK)) {
        // A failed send() has taken the error from the socket, and recv() then finds an orderly end.
        handle_disconnect(got < 0 ? to_error(errno) : send_problem_);
    }
    return 0;
}

int tcp_connection::handle_output(ACE_HANDLE)
{
    if (connecting_) {
        int problem = 0;
        int size = sizeof problem;
        if (stream_.get_option(SOL_SOCKET, SO_ERROR, &problem, &size) != 0) {
            problem = errno;
        }
        if (problem != 0) {
            handle_disconnect(to_error(problem));
            return 0;
        }
        connecting_ = false;
        on_connected();
        if (!is_open()) {
            return 0;
        }
    }
    flush();
    return 0;
}

} // namespace currantspar::gateway
