#ifndef CURRANTSPAR_IO_HTTP_TRANSFER_HPP
#define CURRANTSPAR_IO_HTTP_TRANSFER_HPP

#include <memory>

#include <curl/curl.h>

#include "currantspar/io/http_client.hpp"

namespace currantspar::io {

/// One request on its way. It lives on the client's thread.
class http_transfer
{
public:
    http_transfer(transfer_id id, http_request request, std::shared_ptr<http_handler> handler,
                  const http_client_options& options);
    http_transfer(const http_transfer&) = delete;
    http_transfer& operator=(const http_transfer&) = delete;
    ~http_transfer();

    [[nodiscard]] transfer_id id() const { return id_; }
    [[nodiscard]] CURL* handle() const { return handle_; }
    /// True when neither side has sent a byte for the idle limit. A transfer that its own reader holds up
    /// isn't silent.
    [[nodiscard]] bool silent(instant now);
    void unpause();
    /// Tells the handler how the transfer ended.
    void finish(CURLcode code);
    void finish_silent();

private:
    static std::size_t on_header(char* bytes, std::size_t size, std::size_t count, void* self);
    static std::size_t on_body(char* bytes, std::size_t size, std::size_t count, void* self);
    static int on_connected(void* self, char*, char*, int, int);
    static int on_debug(CURL*, curl_infotype kind, char*, std::size_t, void* self);

    void set_options(const http_client_options& options);
    void set_method();
    std::size_t take_header(std::string_view line);
    /// False when the line holds no valid status.
    [[nodiscard]] bool begin_head(std::string_view line);
    void end_head();
    /// False when the header can't be passed on to a caller.
    [[nodiscard]] bool add_header(std::string_view line);
    [[nodiscard]] bool may_resend() const { return request_.method == "GET" || request_.method == "HEAD"; }
    [[nodiscard]] transfer_result judge(CURLcode code) const;

    const transfer_id id_;
    http_request request_;
    std::shared_ptr<http_handler> handler_;
    CURL* handle_;
    curl_slist* headers_ = nullptr;
    http_head head_;
    std::size_t head_bytes_ = 0;
    bool head_done_ = false;
    bool written_ = false;
    bool paused_ = false;
    bool late_ = false;
    std::string refusal_; ///< why the answer isn't read on
    instant active_{};
    curl_off_t uploaded_ = 0;
};

} // namespace currantspar::io

#endif
