#ifndef CURRANTSPAR_CORE_ENGINE_EVENTS_HPP
#define CURRANTSPAR_CORE_ENGINE_EVENTS_HPP

#include <string>

#include "currantspar/agreement/record.hpp"
#include "currantspar/policy/views.hpp"

namespace currantspar::core {

/// An engine's report was received.
struct report_received
{
    policy::engine_report report;
};

struct report_failed
{
    engine_id engine;
    std::string reason;
};

struct cache_events_received
{
    policy::cache_event_batch batch;
};

/// State of an engine, read from the engine on demand and not taken from a report.
struct engine_state
{
    engine_id engine;
    engine_time now{}; ///< the engine's clock at the time of the response
    policy::engine_condition condition = policy::engine_condition::serving;
    agreement::engine_goal goal; ///< current role and load, or those it is changing to
    order_id last_order;         ///< last order accepted
    fence highest_fence;         ///< 0 from engines that don't check fences
    std::uint64_t boot = 0;      ///< changes with each start of the engine
    std::uint32_t in_flight = 0; ///< running and queued requests
};

struct engine_state_read
{
    engine_state state;
};

struct engine_state_failed
{
    engine_id engine;
    std::string reason;
};

enum class order_answer
{
    accepted,
    refused_fence, ///< the engine has seen a greater fence
    refused_busy,  ///< the engine is executing another order or has work in flight
    unknown,       ///< the response was lost; the order may have taken effect
    not_sent,      ///< provably no byte was written
};

/// Result of sending an order. `late` is set when the write ended after the order's deadline.
struct order_answered
{
    engine_id engine;
    order_id order;
    order_answer answer = order_answer::accepted;
    bool late = false;
};

NLOHMANN_JSON_SERIALIZE_ENUM(order_answer, {{order_answer::accepted, "accepted"},
                                            {order_answer::refused_fence, "refused_fence"},
                                            {order_answer::refused_busy, "refused_busy"},
                                            {order_answer::unknown, "unknown"},
                                            {order_answer::not_sent, "not_sent"}})
CURRANTSPAR_JSON(report_received, report)
CURRANTSPAR_JSON(report_failed, engine, reason)
CURRANTSPAR_JSON(cache_events_received, batch)
CURRANTSPAR_JSON(engine_state, engine, now, condition, goal, last_order, highest_fence, boot, in_flight)
CURRANTSPAR_JSON(engine_state_read, state)
CURRANTSPAR_JSON(engine_state_failed, engine, reason)
CURRANTSPAR_JSON(order_answered, engine, order, answer, late)

} // namespace currantspar::core

#endif
