#ifndef CURRANTSPAR_CLI_LOG_SESSION_HPP
#define CURRANTSPAR_CLI_LOG_SESSION_HPP

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>

#include "currantspar/agreement/replica.hpp"
#include "currantspar/base/result.hpp"
#include "currantspar/io/log_client.hpp"
#include "publisher.hpp"

namespace currantspar::cli {

/// An operator's connection to the platform's log: reads it to its head and appends to it, one call at a
/// time. Not thread safe.
class log_session
{
public:
    explicit log_session(const std::string& address);
    ~log_session();
    log_session(const log_session&) = delete;
    log_session& operator=(const log_session&) = delete;

    /// Reads everything that is new; an error of kind `unavailable` when the log doesn't answer.
    result<void> read_to_head();
    /// Appends one record; the answer may be lost.
    core::append_outcome append(agreement::record_body record);

    [[nodiscard]] const agreement::agreed_state& state() const { return replica_.state(); }

private:
    core::event_body wait();

    std::mutex mutex_;
    std::condition_variable arrived_;
    std::deque<core::event_body> events_;
    std::uint64_t last_append_ = 0;
    agreement::replica replica_;
    io::http_client http_;
    std::unique_ptr<io::log_client> client_;
};

/// What publish needs of the log, through that session, which has to outlive it.
[[nodiscard]] log_access access_to(log_session& session);

} // namespace currantspar::cli

#endif
