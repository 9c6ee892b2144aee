#ifndef CURRANTSPAR_IO_CALLER_FRONT_HPP
#define CURRANTSPAR_IO_CALLER_FRONT_HPP

#include <memory>
#include <string>

#include "currantspar/base/result.hpp"
#include "currantspar/core/effect.hpp"
#include "currantspar/io/answer_pipe.hpp"
#include "currantspar/io/engine_streams.hpp"
#include "currantspar/io/event_sink.hpp"
#include "currantspar/io/service_client.hpp"

namespace currantspar::io {

/// What callers connect to. A request comes out as one of generate_arrived, stream_resumed or call_arrived,
/// and caller_gone when its connection ended before its answer. Its body stays here until the request ends.
class caller_front
{
public:
    caller_front() = default;
    caller_front(const caller_front&) = delete;
    caller_front& operator=(const caller_front&) = delete;
    virtual ~caller_front() = default;

    /// Uses the services, organisations and API keys of this configuration from now on. Thread safe.
    virtual void set_fleet(config::fleet_ptr fleet) = 0;

    /// The prompt of an open request to a model service, or null. Thread safe.
    [[nodiscard]] virtual prompt_ptr prompt(const request_id& request) = 0;
    /// An open request to a plain service, or null. Thread safe.
    [[nodiscard]] virtual call_ptr call(const request_id& request) = 0;

    /// Requests that have ended are ignored by the three below. Thread safe.
    virtual void send(const core::reply_tokens& tokens) = 0;
    virtual void forward(const request_id& request, std::shared_ptr<answer_pipe> answer) = 0;
    virtual void end(const core::reply_end& reply) = 0;

    /// Looks for callers that have gone and for slow senders; to be called a few times a second. Thread safe.
    virtual void sweep(instant now) = 0;

    /// The port that callers connect to.
    [[nodiscard]] virtual std::uint16_t port() const = 0;
    /// Requests that haven't ended. Thread safe.
    [[nodiscard]] virtual std::size_t open_requests() = 0;
};

struct caller_front_options
{
    std::string address;                    ///< `IP:port`; port 0 takes a free one
    std::size_t max_body_bytes = 8U << 20U; ///< of one request
    std::size_t large_bodies = 6; ///< bodies of open requests may take as many times max_body_bytes together
    std::size_t max_unsent_bytes = 4U << 20U;         ///< of one streamed answer
    std::size_t connection_memory_bytes = 16U << 10U; ///< for a request's head, among others
    unsigned max_connections = 4096;
    unsigned threads = 1;
    duration head_limit = std::chrono::seconds(30); ///< to send a request's head, from opening or last answer
    duration body_limit = std::chrono::seconds(60); ///< to send a request's body
};

/// A front over HTTP in the OpenAI style; plain services under their own paths.
[[nodiscard]] result<std::unique_ptr<caller_front>> make_http_caller_front(caller_front_options options,
                                                                           event_sink sink);

} // namespace currantspar::io

#endif
