#ifndef CURRANTSPAR_IO_ENGINE_STREAMS_HPP
#define CURRANTSPAR_IO_ENGINE_STREAMS_HPP

#include <memory>
#include <string>

#include "currantspar/core/effect.hpp"
#include "currantspar/io/event_sink.hpp"
#include "currantspar/io/http_client.hpp"

namespace currantspar::io {

/// What a caller asked a model service for.
struct prompt_body
{
    std::string prompt;
    std::uint32_t max_tokens = 0; ///< of the whole answer
};

using prompt_ptr = std::shared_ptr<const prompt_body>;

/// Requests that run at model engines. What comes of an attempt comes as events; the last is attempt_ended
/// (or kv_moved for a prefill), and none follows a cancel but those already on their way.
class engine_streams
{
public:
    engine_streams() = default;
    engine_streams(const engine_streams&) = delete;
    engine_streams& operator=(const engine_streams&) = delete;
    virtual ~engine_streams() = default;

    /// Runs a request; a null prompt ends the attempt as not written. Thread safe.
    virtual void start(const core::start_generation& request, const prompt_ptr& prompt) = 0;
    /// Computes a prompt and keeps its cache. Thread safe.
    virtual void start(const core::start_prefill& request, const prompt_ptr& prompt) = 0;
    /// Closes an attempt's connection; unknown attempts are ignored. Thread safe.
    virtual void cancel(const core::cancel_attempt& request) = 0;
};

/// Engine streams over HTTP with server-sent events. Precondition: `client` outlives it.
[[nodiscard]] std::unique_ptr<engine_streams> make_http_engine_streams(http_client& client, event_sink sink);

} // namespace currantspar::io

#endif
