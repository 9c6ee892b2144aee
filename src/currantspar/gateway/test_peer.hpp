#ifndef CURRANTSPAR_GATEWAY_TEST_PEER_HPP
#define CURRANTSPAR_GATEWAY_TEST_PEER_HPP

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "currantspar/base/time.hpp"
#include "currantspar/gateway/message_reader.hpp"

namespace currantspar::gateway::test {

/// How a scripted server responds to a request.
struct scripted_response
{
    std::string bytes;
    bool close = false; ///< after the bytes; with `reset`, by a TCP reset
    bool reset = false;
    bool hold = false;     ///< keep the connection open until the client closes it
    bool crash = false;    ///< close the connection and accept no further ones
    std::string endless{}; ///< sent after `bytes`, again and again, until the client closes the connection
    duration endless_for = std::chrono::hours(1); ///< for so long at most
    std::string
        before_next{}; ///< sent when the next request on the connection has arrived, before its response
};

/// A server on a free loopback port whose responses a test scripts byte for byte.
class scripted_server
{
public:
    using handler = std::function<scripted_response(const http_request&)>;

    explicit scripted_server(handler handler_function);
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    /// `127.0.0.1:port`.
    [[nodiscard]] const std::string& address() const { return address_; }
    /// True once a response made it stop accepting connections.
    [[nodiscard]] bool crashed() const { return crashed_; }
    /// The number of requests received.
    [[nodiscard]] unsigned requests() const { return requests_; }
    /// The bytes of endless responses that were sent.
    [[nodiscard]] std::size_t endless_bytes_sent() const { return endless_bytes_sent_; }
    /// The number of held connections that the client has closed.
    [[nodiscard]] unsigned closed_while_held() const { return closed_while_held_; }

private:
    void accept_all();
    void serve(int connection);

    handler handler_;
    std::string address_;
    int listener_ = -1;
    std::atomic<bool> stopping_ = false;
    std::atomic<bool> crashed_ = false;
    std::atomic<unsigned> requests_ = 0;
    std::atomic<std::size_t> endless_bytes_sent_ = 0;
    std::atomic<unsigned> closed_while_held_ = 0;
    std::mutex mutex_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// A caller that sends bytes and never reads the response.
class raw_caller
{
public:
    raw_caller(const std::string& address, const std::string& bytes);
    ~raw_caller();
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    void disconnect();
    [[nodiscard]] int handle() const { return connection_; }

private:
    int connection_;
};

/// A caller that sends bytes and drops what it receives, on a thread of its own.
class discarding_caller
{
public:
    discarding_caller(const std::string& address, const std::string& bytes);
    /// Closes the connection.
    ~discarding_caller();
    discarding_caller(const discarding_caller&) = delete;
    discarding_caller& operator=(const discarding_caller&) = delete;

    void send(const std::string& bytes);
    /// The number of bytes received.
    [[nodiscard]] std::size_t received() const { return received_; }

private:
    raw_caller caller_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::size_t> received_ = 0;
    std::thread thread_;
};

/// The other end of one connection, without a thread: each call acts at once.
class raw_peer
{
public:
    raw_peer();
    ~raw_peer();
    raw_peer(const raw_peer&) = delete;
    raw_peer& operator=(const raw_peer&) = delete;

    /// `127.0.0.1:port`, at which it listens.
    [[nodiscard]] const std::string& address() const { return address_; }
    /// Waits for the connection.
    void accept();
    void send(const std::string& bytes);
    /// Sends until the kernel takes no more; returns the number of bytes.
    std::size_t send_until_blocked();
    /// Ends its side of the connection in order, and can still receive.
    void shut_down_sending();
    void close();
    /// Resets the connection.
    void reset();

private:
    std::string address_;
    int listener_ = -1;
    int connection_ = -1;
};

/// Sends bytes to `IP:port` and returns all bytes received until the connection ends or `enough` returns
/// true.
std::string exchange(const std::string& address, const std::string& bytes,
                     const std::function<bool(const std::string&)>& enough);

/// The same with a small receive window: reads nothing for `pause` after the bytes are sent.
std::string exchange_after_pause(const std::string& address, const std::string& bytes, duration pause,
                                 const std::function<bool(const std::string&)>& enough);

/// A server with a small receive window that accepts one connection, reads nothing for a while, and then
/// answers one request.
class pausing_server
{
public:
    using handler = std::function<std::string(const http_request&)>;

    pausing_server(duration pause, handler handler_function);
    ~pausing_server();
    pausing_server(const pausing_server&) = delete;
    pausing_server& operator=(const pausing_server&) = delete;

    [[nodiscard]] const std::string& address() const { return address_; }

private:
    std::string address_;
    int listener_ = -1;
    std::thread thread_;
};

/// Sends one datagram to `IP:port`.
void send_datagram(const std::string& address, const std::string& bytes);

/// `127.0.0.1:port` with a port that stays reserved for the test's own listener.
std::string free_address();

} // namespace currantspar::gateway::test

#endif
