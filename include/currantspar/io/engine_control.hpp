#ifndef CURRANTSPAR_IO_ENGINE_CONTROL_HPP
#define CURRANTSPAR_IO_ENGINE_CONTROL_HPP

#include <memory>

#include "currantspar/core/effect.hpp"
#include "currantspar/io/event_sink.hpp"
#include "currantspar/io/http_client.hpp"

namespace currantspar::io {

/// Reports, state and orders of model engines. Answers come as events.
class engine_control
{
public:
    engine_control() = default;
    engine_control(const engine_control&) = delete;
    engine_control& operator=(const engine_control&) = delete;
    virtual ~engine_control() = default;

    /// Answered by report_received or report_failed. Thread safe.
    virtual void read(const core::read_report& request) = 0;
    /// Answered by cache_events_received, or by nothing. Thread safe.
    virtual void read(const core::read_cache_events& request) = 0;
    /// Answered by engine_state_read or engine_state_failed. Thread safe.
    virtual void read(const core::read_engine_state& request) = 0;
    /// Answered by order_answered. Nothing is written after the order's deadline. Thread safe.
    virtual void send(const core::send_order& request) = 0;
};

struct engine_control_options
{
    duration answer_limit = std::chrono::seconds(2);
};

/// Engine control over HTTP. Precondition: `client` outlives it.
[[nodiscard]] std::unique_ptr<engine_control>
make_http_engine_control(http_client& client, engine_control_options options, event_sink sink);

} // namespace currantspar::io

#endif
