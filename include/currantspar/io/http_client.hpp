#ifndef CURRANTSPAR_IO_HTTP_CLIENT_HPP
#define CURRANTSPAR_IO_HTTP_CLIENT_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "currantspar/base/result.hpp"
#include "currantspar/base/time.hpp"

namespace currantspar::io {

struct http_header
{
    std::string name;
    std::string value;
};

/// A request to send. Only GET and HEAD may be sent a second time over another connection when a pooled one
/// turns out to be dead.
struct http_request
{
    std::string method = "GET";
    std::string url;
    std::vector<http_header> headers;
    std::shared_ptr<const std::string> body; ///< null: none
    duration connect_limit = std::chrono::seconds(2);
    duration idle_limit = std::chrono::seconds(10); ///< without a byte in either direction
    bool new_connection = false;                    ///< neither takes a pooled connection nor leaves one
    std::optional<instant> write_deadline;          ///< nothing is written after this
};

/// Returns an error of kind `invalid` when a header could end its line, add another one or contradict the
/// framing of the body, which the client writes. Thread safe.
[[nodiscard]] result<void> check_headers(const std::vector<http_header>& headers);
/// The same for a whole request: its method, URL and headers. Thread safe.
[[nodiscard]] result<void> check_request(const http_request& request);

/// The head of an answer.
struct http_head
{
    int status = 0;
    std::vector<http_header> headers;
    std::optional<std::uint64_t> content_length;
    bool delimited = false; ///< the end can be told from a lost connection

    /// The value of the header of that lower-case name, or nothing. Thread safe.
    [[nodiscard]] std::string header(std::string_view name) const;
};

enum class transfer_result
{
    complete,
    not_written, ///< no byte of the request was written
    broken,
    silent, ///< nothing came within the idle limit
};

/// How a transfer ended.
struct transfer_end
{
    transfer_result how = transfer_result::complete;
    int status = 0;    ///< 0: no head came
    bool late = false; ///< the write ended after its deadline
    std::string reason;
};

/// Takes what comes of one request. All calls come from the client's thread, in order, the last is on_end;
/// none comes after the transfer was cancelled on that thread.
class http_handler
{
public:
    http_handler() = default;
    http_handler(const http_handler&) = delete;
    http_handler& operator=(const http_handler&) = delete;
    virtual ~http_handler() = default;

    /// The connection stands and the request is about to be written: from here on it may have run.
    virtual void on_written() {}
    virtual void on_head(const http_head&) {}
    /// Takes body bytes. False leaves them with the client until the transfer is resumed.
    virtual bool on_data(std::string_view bytes) = 0;
    virtual void on_end(const transfer_end& end) = 0;
};

using transfer_id = std::uint64_t;

struct http_client_options
{
    std::chrono::seconds pooled_idle_most{10}; ///< an idle connection that is older isn't used again
    unsigned pooled_most = 256;                ///< idle connections
};

/// Runs any number of HTTP/1.1 requests on one thread of its own.
class http_client
{
public:
    explicit http_client(http_client_options options = {});
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    /// Ends the thread; transfers that are open end without a call to their handlers.
    ~http_client();

    /// Starts a request. One that check_request() refuses ends as not written. Thread safe.
    transfer_id start(http_request request, std::shared_ptr<http_handler> handler);
    /// Ends a transfer without on_end and closes its connection. Calls that are being made finish. Thread
    /// safe.
    void cancel(transfer_id id);
    /// Offers the bytes that on_data left again. Thread safe.
    void resume(transfer_id id);

private:
    class loop;
    std::unique_ptr<loop> loop_;
};

} // namespace currantspar::io

#endif
