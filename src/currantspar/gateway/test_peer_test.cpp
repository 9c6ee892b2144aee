#include "test_peer.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <optional>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "currantspar/io/address.hpp"
#include "currantspar/io/clock.hpp"
#include "currantspar/io/test_socket.hpp"

// The scripted servers and callers of the gateway's tests; linked into the test program only.
namespace currantspar::gateway::test {

namespace {

constexpr int receive_timeout_s = 5;

int open_listener(sockaddr_in& local)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int reuse = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    local = {};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    static_cast<void>(::bind(listener, reinterpret_cast<sockaddr*>(&local), sizeof local));
    socklen_t size = sizeof local;
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&local), &size);
    return listener;
}

std::string to_text(const sockaddr_in& local)
{
    return "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
}

void send_all(int connection, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t part = ::send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (part <= 0) {
            return;
        }
        sent += static_cast<std::size_t>(part);
    }
}

void limit_window(int socket)
{
    const int small = 32768;
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
}

/// Sends the bytes over a new connection, waits, and reads until there is enough.
std::string exchange_over(int connection, const std::string& address, const std::string& bytes,
                          duration pause, const std::function<bool(const std::string&)>& enough)
{
    const timeval receive_timeout{receive_timeout_s, 0};
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
    const sockaddr_in remote = io::to_sockaddr(*io::parse_address(address));
    std::string received;
    if (::connect(connection, reinterpret_cast<const sockaddr*>(&remote), sizeof remote) == 0) {
        send_all(connection, bytes);
        std::this_thread::sleep_for(pause);
        std::array<char, 65536> buffer{};
        while (!enough(received)) {
            const ssize_t got = ::recv(connection, buffer.data(), buffer.size(), 0);
            if (got <= 0) {
                break;
            }
            received.append(buffer.data(), static_cast<std::size_t>(got));
        }
    }
    ::close(connection);
    return received;
}

} // namespace

scripted_server::scripted_server(handler handler_function) : handler_(std::move(handler_function))
{
    sockaddr_in local{};
    listener_ = open_listener(local);
    ::listen(listener_, 64);
    address_ = to_text(local);
    acceptor_ = std::thread([this] { accept_all(); });
}

scripted_server::~scripted_server()
{
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    ::close(listener_);
    acceptor_.join();
    for (std::thread& each : threads_) {
        each.join();
    }
}

void scripted_server::accept_all()
{
    while (!stopping_) {
        const int connection = ::accept(listener_, nullptr, nullptr);
        if (connection < 0) {
            return;
        }
        const timeval receive_timeout{0, 50000};
        setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
        threads_.emplace_back([this, connection] { serve(connection); });
    }
}

void scripted_server::serve(int connection)
{
    std::array<char, 65536> buffer{};
    std::string in;
    std::string before_next;
    std::optional<request_reader> reader(reader_limits{});
    bool holding = false;
    while (!stopping_) {
        const ssize_t got = ::recv(connection, buffer.data(), buffer.size(), 0);
        if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            continue;
        }
        if (got <= 0) {
            closed_while_held_ += holding ? 1 : 0;
            break;
        }
        in.append(buffer.data(), static_cast<std::size_t>(got));
        if (reader->read(in) != read_progress::complete) {
            continue;
        }
        requests_ += 1;
        send_all(connection, std::exchange(before_next, {}));
        const scripted_response next = handler_(reader->take());
        reader.emplace(reader_limits{});
        send_all(connection, next.bytes);
        before_next = next.before_next;
        holding = next.hold;
        const instant endless_until = io::monotonic_now() + next.endless_for;
        while (!stopping_ && !next.endless.empty() && io::monotonic_now() < endless_until) {
            const ssize_t sent = ::send(connection, next.endless.data(), next.endless.size(), MSG_NOSIGNAL);
            if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
                break;
            }
            endless_bytes_sent_ += static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
        }
        if (next.reset) {
            const linger at_once{1, 0};
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        }
        if (next.crash) {
            crashed_ = true;
            ::shutdown(listener_, SHUT_RDWR);
        }
        if (next.close || next.reset || next.crash) {
            break;
        }
    }
    ::close(connection);
}

raw_caller::raw_caller(const std::string& address, const std::string& bytes)
    : connection_(::socket(AF_INET, SOCK_STREAM, 0))
{
    const sockaddr_in remote = io::to_sockaddr(*io::parse_address(address));
    if (::connect(connection_, reinterpret_cast<const sockaddr*>(&remote), sizeof remote) == 0) {
        send_all(connection_, bytes);
    }
}

raw_caller::~raw_caller()
{
    disconnect();
}

void raw_caller::disconnect()
{
    if (connection_ >= 0) {
        ::close(std::exchange(connection_, -1));
    }
}

discarding_caller::discarding_caller(const std::string& address, const std::string& bytes)
    : caller_(address, bytes), thread_([this] {
          std::array<char, 65536> buffer{};
          while (!stopping_) {
              const ssize_t got = ::recv(caller_.handle(), buffer.data(), buffer.size(), 0);
              if (got <= 0) {
                  return;
              }
              received_ += static_cast<std::size_t>(got);
          }
      })
{}

void discarding_caller::send(const std::string& bytes)
{
    send_all(caller_.handle(), bytes);
}

discarding_caller::~discarding_caller()
{
    stopping_ = true;
    ::shutdown(caller_.handle(), SHUT_RDWR);
    thread_.join();
}

raw_peer::raw_peer()
{
    sockaddr_in local{};
    listener_ = open_listener(local);
    ::listen(listener_, 1);
    address_ = to_text(local);
}

raw_peer::~raw_peer()
{
    close();
    ::close(listener_);
}

void raw_peer::accept()
{
    connection_ = ::accept(listener_, nullptr, nullptr);
}

void raw_peer::send(const std::string& bytes)
{
    send_all(connection_, bytes);
}

std::size_t raw_peer::send_until_blocked()
{
    // Bytes that are under way make room again, so one refusal isn't the end.
    constexpr int max_refusals = 20;
    const std::string bytes(65536, 'x');
    std::size_t total = 0;
    for (int refusals = 0; refusals < max_refusals;) {
        const ssize_t sent = ::send(connection_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) {
            total += static_cast<std::size_t>(sent);
        } else {
            refusals += 1;
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }
    return total;
}

void raw_peer::shut_down_sending()
{
    ::shutdown(connection_, SHUT_WR);
}

void raw_peer::close()
{
    if (connection_ >= 0) {
        ::close(std::exchange(connection_, -1));
    }
}

void raw_peer::reset()
{
    const linger at_once{1, 0};
    setsockopt(connection_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close();
}

std::string exchange(const std::string& address, const std::string& bytes,
                     const std::function<bool(const std::string&)>& enough)
{
    const int connection = ::socket(AF_INET, SOCK_STREAM, 0);
    return exchange_over(connection, address, bytes, {}, enough);
}

std::string exchange_after_pause(const std::string& address, const std::string& bytes, duration pause,
                                 const std::function<bool(const std::string&)>& enough)
{
    const int connection = ::socket(AF_INET, SOCK_STREAM, 0);
    limit_window(connection);
    return exchange_over(connection, address, bytes, pause, enough);
}

pausing_server::pausing_server(duration pause, handler handler_function)
{
    sockaddr_in local{};
    listener_ = open_listener(local);
    limit_window(listener_);
    ::listen(listener_, 1);
    address_ = to_text(local);
    thread_ = std::thread([this, pause, respond = std::move(handler_function)] {
        const int connection = ::accept(listener_, nullptr, nullptr);
        std::this_thread::sleep_for(pause);
        std::array<char, 65536> buffer{};
        std::string in;
        request_reader reader({});
        for (;;) {
            const ssize_t got = ::recv(connection, buffer.data(), buffer.size(), 0);
            if (got <= 0) {
                break;
            }
            in.append(buffer.data(), static_cast<std::size_t>(got));
            if (reader.read(in) == read_progress::complete) {
                send_all(connection, respond(reader.take()));
                break;
            }
        }
        ::close(connection);
    });
}

pausing_server::~pausing_server()
{
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    ::close(listener_);
}

void send_datagram(const std::string& address, const std::string& bytes)
{
    const int sender = ::socket(AF_INET, SOCK_DGRAM, 0);
    const sockaddr_in remote = io::to_sockaddr(*io::parse_address(address));
    ::sendto(sender, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&remote),
             sizeof remote);
    ::close(sender);
}

std::string free_address()
{
    return "127.0.0.1:" + std::to_string(io::free_port());
}

} // namespace currantspar::gateway::test
