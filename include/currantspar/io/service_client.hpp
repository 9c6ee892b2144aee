#ifndef CURRANTSPAR_IO_SERVICE_CLIENT_HPP
#define CURRANTSPAR_IO_SERVICE_CLIENT_HPP

#include <memory>
#include <string>

#include "currantspar/core/effect.hpp"
#include "currantspar/io/answer_pipe.hpp"
#include "currantspar/io/event_sink.hpp"
#include "currantspar/io/http_client.hpp"

namespace currantspar::io {

/// A caller's request to a plain service, as it is passed on.
struct call_body
{
    std::string method;
    std::string path; ///< with the query, as the backend server sees it
    std::vector<http_header> headers;
    std::shared_ptr<const std::string> body;
};

using call_ptr = std::shared_ptr<const call_body>;

/// Calls that run at backend servers. What comes of an attempt comes as events; the last is attempt_ended.
class service_client
{
public:
    service_client() = default;
    service_client(const service_client&) = delete;
    service_client& operator=(const service_client&) = delete;
    virtual ~service_client() = default;

    /// Passes a call on; a null call ends the attempt as not written. Anything but GET and HEAD goes over a
    /// connection of its own, so that it is never sent twice. Thread safe.
    virtual void start(const core::start_call& request, const call_ptr& call) = 0;
    /// The answer of an attempt whose head has come, or null. Thread safe.
    [[nodiscard]] virtual std::shared_ptr<answer_pipe> answer(attempt_id attempt) = 0;
    /// Drops an attempt that ended, with its answer if nobody took it. Thread safe.
    virtual void forget(attempt_id attempt) = 0;
    /// Closes an attempt's connection; unknown attempts are ignored. Thread safe.
    virtual void cancel(const core::cancel_attempt& request) = 0;
};

struct service_client_options
{
    std::size_t kept_body_most = 64U << 10U; ///< bytes of an answer that is kept for its key
};

/// A service client over HTTP. Precondition: `client` outlives it.
[[nodiscard]] std::unique_ptr<service_client>
make_http_service_client(http_client& client, service_client_options options, event_sink sink);

} // namespace currantspar::io

#endif
