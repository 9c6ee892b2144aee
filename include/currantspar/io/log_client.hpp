#ifndef CURRANTSPAR_IO_LOG_CLIENT_HPP
#define CURRANTSPAR_IO_LOG_CLIENT_HPP

#include <memory>
#include <vector>

#include "currantspar/core/effect.hpp"
#include "currantspar/io/event_sink.hpp"
#include "currantspar/io/http_client.hpp"

namespace currantspar::io {

/// The platform's append-only log. Answers come as events.
class log_client
{
public:
    log_client() = default;
    log_client(const log_client&) = delete;
    log_client& operator=(const log_client&) = delete;
    virtual ~log_client() = default;

    /// Answered by log_read or log_read_failed. Thread safe.
    virtual void read(const core::read_log& request) = 0;
    /// Answered by append_finished. Thread safe.
    virtual void append(const core::append_records& request) = 0;
};

struct log_client_options
{
    std::string address;         ///< `IP:port`
    std::size_t read_most = 512; ///< records in one read
    duration answer_limit = std::chrono::seconds(3);
};

/// A log client over HTTP. Precondition: `client` outlives it.
[[nodiscard]] std::unique_ptr<log_client> make_http_log_client(http_client& client,
                                                               log_client_options options, event_sink sink);

} // namespace currantspar::io

#endif
