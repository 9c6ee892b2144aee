#ifndef CURRANTSPAR_STANDIN_HTTP_SERVER_HPP
#define CURRANTSPAR_STANDIN_HTTP_SERVER_HPP

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

struct MHD_Connection;
struct MHD_Daemon;

namespace currantspar::standin {

/// A body that is written while it is sent. Thread safe.
class stream_body
{
public:
    stream_body() = default;
    stream_body(const stream_body&) = delete;
    stream_body& operator=(const stream_body&) = delete;

    void append(const std::string& text);
    /// Ends the body as a whole one.
    void finish();
    /// Ends the connection in the middle of the body.
    void abort();
    /// True once the other side has gone or the body has ended.
    [[nodiscard]] bool closed() const;

private:
    friend class http_server;
    friend struct stream_reader;

    void wake();

    mutable std::mutex mutex_;
    std::string waiting_;
    bool finished_ = false;
    bool aborted_ = false;
    bool closed_ = false;
    MHD_Connection* suspended_ = nullptr;
};

struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string tag; ///< of the header X-Test-Tag
    std::string body;
};

struct http_response
{
    enum class how
    {
        answer,
        stream, ///< `stream` goes on after the handler has returned
        close,  ///< the connection ends without an answer
        hold,   ///< the connection stays open without an answer until the server stops
    };

    how kind = how::answer;
    int status = 200;
    std::string content_type = "application/json";
    std::string body;
    std::shared_ptr<stream_body> stream;
};

/// A small HTTP server for the stand-ins, on a free port of the loopback interface. The handler is called on
/// the server's own thread, one request at a time.
class http_server
{
public:
    using handler = std::function<http_response(const http_request&)>;

    explicit http_server(handler answer);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// `127.0.0.1:port`. Thread safe.
    [[nodiscard]] const std::string& address() const { return address_; }
    /// Ends all connections and stops listening; called by the destructor too.
    void stop();

private:
    friend struct http_callbacks;

    handler answer_;
    std::string address_;
    MHD_Daemon* daemon_ = nullptr;
    std::mutex mutex_;
    std::map<MHD_Connection*, bool> held_;
    std::map<stream_body*, std::weak_ptr<stream_body>> streams_;
};

} // namespace currantspar::standin

#endif
