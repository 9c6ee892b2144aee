#include "currantspar/gateway/gateway.hpp"

#include <atomic>
#include <csignal>
#include <iostream>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Reactor.h>
#include <ace/Time_Value.h>

#include "currantspar/gateway/memory_plan.hpp"
#include "currantspar/io/clock.hpp"
#include "currantspar/io/log.hpp"
#include "gateway_node.hpp"

namespace currantspar::gateway {

namespace {

constexpr duration tick_period = std::chrono::milliseconds(25);
constexpr int exit_unavailable = 4;
constexpr int exit_usage = 2;

/// Microseconds of the monotonic clock; 0: no stop was requested.
std::atomic<std::int64_t> stop_requested_us = 0; // NOLINT: written by signal handlers
static_assert(std::atomic<std::int64_t>::is_always_lock_free);
volatile std::sig_atomic_t reload_signals = 0; // NOLINT: written by signal handlers

void note_stop(int)
{
    // The grace runs from the first signal, also when the node is busy and notices it later.
    std::int64_t none = 0;
    stop_requested_us.compare_exchange_strong(none, io::monotonic_now().time_since_epoch().count());
}

void note_reload(int)
{
    reload_signals = 1;
}

void install_signal_handlers()
{
    struct sigaction action = {};
    action.sa_handler = note_stop;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    action.sa_handler = note_reload;
    sigaction(SIGHUP, &action, nullptr);
    action.sa_handler = SIG_IGN;
    sigaction(SIGPIPE, &action, nullptr);
}

ACE_Time_Value to_ace(duration value)
{
    return ACE_Time_Value(0, static_cast<suseconds_t>(std::max<std::int64_t>(value.count(), 0)));
}

void reload(gateway_node& node, const wire_protocol& wire)
{
    const auto new_settings = wire.read_settings();
    if (!new_settings) {
        io::log_event(io::log_level::error, "settings_rejected", {{"reason", new_settings.error().message}});
        return;
    }
    node.reload(*new_settings);
}

} // namespace

int run_gateway(const wire_protocol& wire)
{
    configure_allocator();
    install_signal_handlers();
    const auto settings = wire.read_settings();
    if (!settings) {
        std::cerr << "currantspar gateway: " << settings.error().message << '\n';
        return exit_usage;
    }
    ACE_Reactor reactor(new ACE_Dev_Poll_Reactor, true);
    gateway_node node(reactor, wire, *settings);
    if (const auto started = node.start(); !started) {
        std::cerr << "currantspar gateway: " << started.error().message << '\n';
        return exit_unavailable;
    }
    instant next_tick = io::monotonic_now();
    for (instant now = next_tick; !node.done(now); now = io::monotonic_now()) {
        if (const std::int64_t requested = stop_requested_us; requested != 0) {
            node.stop(instant(duration(requested)));
        }
        if (reload_signals != 0) {
            reload_signals = 0;
            reload(node, wire);
        }
        if (now >= next_tick) {
            node.on_tick_delay(now - next_tick);
            node.on_tick(now);
            next_tick = now + tick_period;
        }
        ACE_Time_Value wait = to_ace(std::chrono::duration_cast<duration>(next_tick - now));
        reactor.handle_events(wait);
    }
    io::log_event(io::log_level::info, "stopped", {});
    return 0;
}

} // namespace currantspar::gateway
