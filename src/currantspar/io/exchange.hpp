#ifndef CURRANTSPAR_IO_EXCHANGE_HPP
#define CURRANTSPAR_IO_EXCHANGE_HPP

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <microhttpd.h>

#include "body_budget.hpp"
#include "currantspar/io/answer_pipe.hpp"
#include "currantspar/io/engine_streams.hpp"
#include "currantspar/io/service_client.hpp"
#include "openai.hpp"

namespace currantspar::io {

/// One request of a caller and its answer. The server's thread takes the answer out, any other thread puts it
/// in; the connection is suspended while there is nothing to take. Thread safe but for the members that are
/// marked.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    exchange(MHD_Connection* connection, std::string uri);
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    ~exchange() = default;

    // Only the server's thread uses these, and other threads only after `publish`.
    const std::string uri; ///< as received, with the query
    bool begun = false;
    bool dispatched = false;
    bool body_too_large = false;
    std::size_t dropped_bytes = 0; ///< of a body that is too large
    std::string body;
    body_share body_memory; ///< until the request ends; none for a small body
    request_id id;
    bool stream = false;
    openai::answer_context context;
    prompt_ptr prompt; ///< model services
    call_ptr call;     ///< plain services

    // Putting the answer in.
    void send(const core::reply_tokens& tokens, std::size_t unsent_most);
    void forward(std::shared_ptr<answer_pipe> answer);
    void end(const core::reply_end& reply);
    /// Ends the exchange without a whole answer: the connection will be closed.
    void abandon();
    /// The connection is gone: nothing may touch it any more.
    void detach();

    // Taking the answer out, on the server's thread.
    /// Suspends the connection until the head of the answer is known; false when it is known already.
    bool wait_for_head();
    /// Queues the answer's head. Precondition: wait_for_head() returned false.
    MHD_Result queue_answer();
    /// Queues an error at once.
    MHD_Result queue_error(const openai::api_error& error);
    MHD_Result queue_body(int status, const std::string& content_type, const std::string& answer);

    /// True once the core has ended the request.
    [[nodiscard]] bool ended();
    /// Looks whether the caller's side of the connection is gone; sends a comment down a stream whose caller
    /// has closed its sending side, which shows whether it still listens. Precondition: the connection is
    /// open.
    [[nodiscard]] bool caller_has_gone();

private:
    enum class form
    {
        none,
        streamed,
        whole,
        forwarded,
    };

    static ssize_t on_read(void* self, std::uint64_t position, char* to, std::size_t most);
    static void on_free(void* self);

    void resume_locked();
    ssize_t read(char* to, std::size_t most);
    ssize_t read_forwarded(char* to, std::size_t most);
    void end_failed(const core::reply_end& reply);
    MHD_Response* make_response();
    MHD_Response* make_forwarded();

    MHD_Connection* const connection_;
    std::mutex mutex_;
    bool suspended_ = false;
    bool detached_ = false;
    bool ended_ = false;
    bool broken_ = false;
    form form_ = form::none;
    int status_ = 200;
    std::vector<http_header> headers_;
    std::string text_;   ///< tokens of a whole answer so far
    std::string unsent_; ///< bytes of the answer, from taken_ on
    std::size_t taken_ = 0;
    std::shared_ptr<answer_pipe> pipe_;
};

} // namespace currantspar::io

#endif
