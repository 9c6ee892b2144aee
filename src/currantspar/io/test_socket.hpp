#ifndef CURRANTSPAR_IO_TEST_SOCKET_HPP
#define CURRANTSPAR_IO_TEST_SOCKET_HPP

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "currantspar/io/reserved_port.hpp"

namespace currantspar::io {

/// A free port of the loopback interface. It stays reserved, so that no connection and no listener of another
/// test gets it before the listener it is meant for, which must allow the reuse of its address. The oldest
/// reservations are given up. Thread safe.
[[nodiscard]] inline std::uint16_t free_port()
{
    static constexpr std::size_t held_most = 128;
    static std::mutex mutex;
    static std::deque<reserved_port> held;
    const std::lock_guard lock(mutex);
    if (held.size() >= held_most) {
        held.pop_front();
    }
    return held.emplace_back().port();
}

/// A caller that writes exactly the bytes it is told to, on a loopback connection.
class raw_caller
{
public:
    explicit raw_caller(std::uint16_t port) : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        const int on = 1;
        ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        connected_ = ::connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    }
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;
    ~raw_caller() { close(); }

    [[nodiscard]] bool connected() const { return connected_; }

    bool write(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads until the text holds `mark`, the other side closes, or nothing comes for `limit`.
    std::string read_until(const std::string& mark,
                           std::chrono::milliseconds limit = std::chrono::seconds(10))
    {
        std::array<char, 16384> buffer;
        while (mark.empty() || text_.find(mark) == std::string::npos) {
            pollfd look{socket_, POLLIN, 0};
            if (::poll(&look, 1, static_cast<int>(limit.count())) <= 0) {
                break;
            }
            const ssize_t count = ::recv(socket_, buffer.data(), buffer.size(), 0);
            if (count <= 0) {
                closed_ = true;
                break;
            }
            text_.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return text_;
    }
    std::string read_all(std::chrono::milliseconds limit = std::chrono::seconds(10))
    {
        return read_until({}, limit);
    }

    void half_close() { ::shutdown(socket_, SHUT_WR); }
    void close()
    {
        if (socket_ >= 0) {
            ::close(socket_);
            socket_ = -1;
        }
    }
    /// True once the other side has closed.
    [[nodiscard]] bool closed() const { return closed_; }

private:
    int socket_;
    bool connected_ = false;
    bool closed_ = false;
    std::string text_;
};

/// A server that gives each connection, in turn, to a script of its own.
class scripted_server
{
public:
    using script = std::function<void(int socket)>;

    /// Closes a connection when its script ends; further connections are accepted and left alone.
    explicit scripted_server(std::vector<script> scripts)
        : scripts_(std::move(scripts)), listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        static_cast<void>(::bind(listener_, reinterpret_cast<sockaddr*>(&address), size));
        ::listen(listener_, 16);
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this] { run(); });
    }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    ~scripted_server()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    [[nodiscard]] unsigned connections() const { return connections_; }

    /// Reads up to the end of a request's head; empty when the connection closed.
    static std::string read_head(int socket)
    {
        std::string text;
        char letter = 0;
        while (!text.ends_with("\r\n\r\n") && ::recv(socket, &letter, 1, 0) == 1) {
            text += letter;
        }
        return text;
    }
    static void write(int socket, const std::string& text)
    {
        ::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
    }

private:
    void run()
    {
        std::vector<int> left_alone;
        while (true) {
            const int socket = ::accept(listener_, nullptr, nullptr);
            if (socket < 0) {
                break;
            }
            const unsigned index = connections_++;
            if (index < scripts_.size()) {
                scripts_[index](socket);
                ::close(socket);
            } else {
                left_alone.push_back(socket);
            }
        }
        for (const int socket : left_alone) {
            ::close(socket);
        }
    }

    const std::vector<script> scripts_;
    int listener_;
    std::uint16_t port_ = 0;
    std::atomic<unsigned> connections_{0};
    std::thread thread_;
};

/// The status of an answer's first line; 0 when there is none.
[[nodiscard]] inline int status_of(const std::string& answer)
{
    const bool fits = answer.starts_with("HTTP/1.1 ") && answer.size() > 12;
    return fits ? std::stoi(answer.substr(9, 3)) : 0;
}

} // namespace currantspar::io

#endif
