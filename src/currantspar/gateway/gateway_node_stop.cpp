#include <algorithm>
#include <utility>

#include "currantspar/io/clock.hpp"
#include "currantspar/io/log.hpp"
#include "gateway_node.hpp"

// The part of gateway_node that stops it without losing requests.

namespace currantspar::gateway {

namespace {

constexpr int status_unavailable = 503;
/// From the stop signal until idle connections are closed; the load balancer has drained the node by then.
constexpr duration balancer_drain_time = std::chrono::milliseconds(2600);
/// From the stop signal until new requests are refused: the load balancer sends none by then, and what comes
/// over a kept connection might not end before the process does.
constexpr duration accept_while_stopping = std::chrono::milliseconds(3000);
/// The fraction of the grace after which new requests are refused, where the grace is short.
constexpr int accepting_divisor = 2;
/// Open requests are ended this long before the process would be killed.
constexpr duration ending_margin = std::chrono::milliseconds(500);
/// The process exits this long before it would be killed, also when a caller hasn't read its response.
constexpr duration exit_margin = std::chrono::milliseconds(250);

} // namespace

void gateway_node::stop(instant requested)
{
    if (!std::exchange(stopping_, true)) {
        stop_began_ = requested;
        io::log_event(io::log_level::info, "stopping",
                      {{"open_requests", std::to_string(core_.open_requests())}});
        usage_.stop(io::suspend_aware_now());
    }
}

bool gateway_node::accepts_requests(instant now) const
{
    const duration accepting = std::min(accept_while_stopping, settings_.grace / accepting_divisor);
    return !stopping_ || now - stop_began_ <= accepting;
}

void gateway_node::refuse_while_stopping(caller_connection& from, const std::string& request_id)
{
    io::log_event(io::log_level::info, "request_rejected",
                  {{"request", request_id}, {"reason", relay::stopping_reason}});
    const relay::reply refusal{{}, status_unavailable, relay::stopping_retry, relay::stopping_reason};
    from.respond(refusal.status, wire_.encode_reply(refusal), "", true);
}

void gateway_node::close_idle(instant now)
{
    const relay::caller_limits allowed = limits();
    for (caller_connection* connection : caller_server_.connections()) {
        connection->check_time(allowed, now);
        if (stopping_ && now - stop_began_ > balancer_drain_time && connection->is_open()) {
            connection->close_if_idle();
        }
    }
}

void gateway_node::end_open_requests(instant now)
{
    const bool is_due = stopping_ && now - stop_began_ > settings_.grace - ending_margin;
    if (is_due && core_.open_requests() > 0) {
        io::log_event(io::log_level::warning, "grace_over",
                      {{"open_requests", std::to_string(core_.open_requests())}});
        run(core_.end_all(now), now);
    }
}

bool gateway_node::done(instant now) const
{
    if (!stopping_) {
        return false;
    }
    const bool idle = core_.open_requests() == 0 && caller_server_.size() == 0;
    return (idle && now - stop_began_ > balancer_drain_time) ||
           now - stop_began_ > settings_.grace - exit_margin;
}

} // namespace currantspar::gateway
