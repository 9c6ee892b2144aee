#ifndef CURRANTSPAR_REVIEW_HTTP_HPP
#define CURRANTSPAR_REVIEW_HTTP_HPP

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

/// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review.
namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char each) { return std::tolower(each); });
    return text;
}

/// Header fields in order of arrival; names are compared without case.
using fields = std::vector<std::pair<std::string, std::string>>;

inline std::string field(const fields& of, const std::string& name)
{
    for (const auto& [key, value] : of) {
        if (lower(key) == lower(name)) {
            return value;
        }
    }
    return {};
}

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Listens at a free loopback port, which `port` receives. `window` bounds the bytes that an accepted
/// connection holds unread; 0: as the kernel likes. Returns -1 on failure.
inline int listen_on_loopback(std::uint16_t& port, int window = 0)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (window > 0) {
        ::setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    }
    sockaddr_in address = loopback(port);
    socklen_t size = sizeof address;
    if (::bind(handle, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(handle, 512) != 0) {
        ::close(handle);
        return -1;
    }
    ::getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return handle;
}

/// Returns a loopback port that is free for TCP and UDP at the moment.
inline std::uint16_t free_port()
{
    for (;;) {
        std::uint16_t port = 0;
        const int tcp = listen_on_loopback(port);
        const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        const bool is_free = ::bind(udp, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(tcp);
        ::close(udp);
        if (is_free) {
            return port;
        }
    }
}

enum class read_end
{
    complete,
    closed,    ///< the peer closed the connection before the message was complete
    reset,     ///< the peer reset the connection
    timed_out, ///< the deadline passed
};

/// A request or a response. `start` is its first line.
struct message
{
    std::string start;
    fields head;
    std::string body;

    [[nodiscard]] std::string method() const { return start.substr(0, start.find(' ')); }
    [[nodiscard]] std::string target() const
    {
        const std::size_t begin = start.find(' ') + 1;
        return start.substr(begin, start.find(' ', begin) - begin);
    }
    [[nodiscard]] int status() const { return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9); }
};

/// One connection. Owned by one thread; closed at the end of its life.
class connection
{
public:
    explicit connection(int handle) : handle_(handle)
    {
        const int on = 1;
        ::setsockopt(handle_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { close(); }

    [[nodiscard]] bool is_open() const { return handle_ >= 0; }

    void close()
    {
        if (handle_ >= 0) {
            ::close(std::exchange(handle_, -1));
        }
    }

    void reset()
    {
        const linger hard{1, 0};
        ::setsockopt(handle_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close();
    }

    /// Sends all bytes; false when the peer is gone.
    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(handle_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /// Receives more bytes into the buffer until `deadline`.
    read_end receive(steady::time_point deadline)
    {
        const auto left = std::chrono::ceil<milliseconds>(deadline - steady::now()).count();
        pollfd ready{handle_, POLLIN, 0};
        if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left)) <= 0) {
            return read_end::timed_out;
        }
        const std::size_t before = in_.size();
        in_.resize(before + receive_bytes);
        const ssize_t got = ::recv(handle_, in_.data() + before, receive_bytes, 0);
        in_.resize(before + static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
        return got > 0 ? read_end::complete : got == 0 ? read_end::closed : read_end::reset;
    }

    /// Reads the first line and the header fields.
    read_end read_head(message& into, steady::time_point deadline)
    {
        std::size_t end = 0;
        while ((end = in_.find("\r\n\r\n")) == std::string::npos) {
            if (const read_end got = receive(deadline); got != read_end::complete) {
                return got;
            }
        }
        std::string_view rest = std::string_view(in_).substr(0, end + 2);
        into = {};
        while (!rest.empty()) {
            const std::string line(rest.substr(0, rest.find("\r\n")));
            rest.remove_prefix(line.size() + 2);
            const std::size_t colon = line.find(": ");
            if (into.start.empty()) {
                into.start = line;
            } else if (colon != std::string::npos) {
                into.head.emplace_back(line.substr(0, colon), line.substr(colon + 2));
            }
        }
        in_.erase(0, end + 4);
        return read_end::complete;
    }

    /// Reads a whole message with a length or in chunks; neither means that there is no body.
    read_end read(message& into, steady::time_point deadline)
    {
        if (const read_end got = read_head(into, deadline); got != read_end::complete) {
            return got;
        }
        if (lower(field(into.head, "Transfer-Encoding")) == "chunked") {
            for (;;) {
                std::string chunk;
                const read_end got = read_chunk(chunk, deadline);
                if (got != read_end::complete || chunk.empty()) {
                    return got;
                }
                into.body += chunk;
            }
        }
        const std::string length = field(into.head, "Content-Length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (in_.size() < size) {
            if (const read_end got = receive(deadline); got != read_end::complete) {
                into.body = in_;
                return got;
            }
        }
        into.body = in_.substr(0, size);
        in_.erase(0, size);
        return read_end::complete;
    }

    /// Reads one chunk; an empty one is the last.
    read_end read_chunk(std::string& into, steady::time_point deadline)
    {
        std::size_t end = 0;
        while ((end = in_.find("\r\n")) == std::string::npos) {
            if (const read_end got = receive(deadline); got != read_end::complete) {
                return got;
            }
        }
        const std::size_t size = std::strtoul(in_.c_str(), nullptr, 16);
        while (in_.size() < end + 2 + size + 2) {
            if (const read_end got = receive(deadline); got != read_end::complete) {
                return got;
            }
        }
        into = in_.substr(end + 2, size);
        in_.erase(0, end + 2 + size + 2);
        return read_end::complete;
    }

    /// Reads and drops `size` bytes of a body, as far as they arrive before `deadline`.
    void skip(std::size_t size, steady::time_point deadline)
    {
        for (;;) {
            const std::size_t used = std::min(size, in_.size());
            in_.erase(0, used);
            size -= used;
            if (size == 0 || receive(deadline) != read_end::complete) {
                return;
            }
        }
    }

    [[nodiscard]] std::size_t buffered() const { return in_.size(); }
    [[nodiscard]] int handle() const { return handle_; }

private:
    static constexpr std::size_t receive_bytes = 262144;

    int handle_;
    std::string in_;
};

/// Connects to a loopback port; -1 on failure.
inline int connect_to(std::uint16_t port)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(handle, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(handle);
        return -1;
    }
    return handle;
}

inline std::string write_head(const std::string& start, const fields& head)
{
    std::string out = start + "\r\n";
    for (const auto& [name, value] : head) {
        out += name + ": " + value + "\r\n";
    }
    return out + "\r\n";
}

inline std::string write_message(const std::string& start, fields head, const std::string& body)
{
    head.emplace_back("Content-Length", std::to_string(body.size()));
    return write_head(start, head) + body;
}

inline std::string write_chunk(const std::string& bytes)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

} // namespace review

#endif
