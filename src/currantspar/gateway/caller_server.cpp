#include "caller_server.hpp"

#include <algorithm>

#include "currantspar/io/clock.hpp"
#include "currantspar/io/log.hpp"

namespace currantspar::gateway {

namespace {

/// A connection that has waited for memory for so long is refused: a caller does better to try again
/// elsewhere.
constexpr duration max_wait = std::chrono::seconds(2);
/// Once the first has waited for so long, the newest goes first: in a lasting shortage each one would
/// otherwise be served only when its caller has nearly given up.
constexpr duration max_wait_in_order = std::chrono::milliseconds(500);

} // namespace

caller_server::caller_server(ACE_Reactor& reactor, caller_sink& sink, limits_source limits,
                             caller_server_options options)
    : reactor_(reactor), sink_(sink), limits_(std::move(limits)), options_(options),
      listener_(
          reactor, [this](ACE_SOCK_Stream& accepted) { accept(accepted); }, [this] { return make_room(); },
          options_.receive_buffer)
{}

caller_server::~caller_server() = default;

void caller_server::close()
{
    listener_.close();
    while (!connections_.empty()) {
        connections_.begin()->first->abort("the front closes");
    }
}

std::vector<caller_connection*> caller_server::connections() const
{
    std::vector<caller_connection*> open;
    for (const auto& [connection, owner] : connections_) {
        open.push_back(connection);
    }
    return open;
}

void caller_server::on_tick(instant now)
{
    closed_.clear();
    listener_.on_tick(now);
    // A connection that closes itself meanwhile is freed in the next tick.
    for (caller_connection* connection : connections()) {
        connection->on_tick(now);
    }
    nothing_stalled_ = false;
    if (options_.budget != nullptr) {
        serve_waiting(now);
    }
}

std::vector<caller_connection*> caller_server::waiting(instant now) const
{
    std::vector<caller_connection*> found;
    for (const auto& [connection, owner] : connections_) {
        if (connection->waits_since()) {
            found.push_back(connection);
        }
    }
    std::sort(found.begin(), found.end(), [](const auto* left, const auto* right) {
        return *left->waits_since() < *right->waits_since();
    });
    const bool is_lasting = !found.empty() && now - *found.front()->waits_since() > max_wait_in_order;
    if (is_lasting || options_.budget->small_exceeded()) {
        std::reverse(found.begin(), found.end());
    }
    return found;
}

void caller_server::serve_waiting(instant now)
{
    const std::vector<caller_connection*> in_order = waiting(now);
    if (in_order.empty()) {
        return;
    }
    while (options_.budget->small_exceeded() && close_stalled(now, stall_kind::any)) {
    }
    bool may_free = true;
    for (caller_connection* each : in_order) {
        if (each->waits_since() && now - *each->waits_since() > max_wait) {
            log_closed("memory", now);
            each->give_up_memory();
        }
        // One that was refused meanwhile, to free memory, doesn't wait any more.
        while (each->waits_since() && !each->stop_waiting(now)) {
            may_free = may_free && close_stalled(now, stall_kind::too_long);
            if (!may_free) {
                break;
            }
        }
    }
}

bool caller_server::close_stalled(instant now, stall_kind kind)
{
    caller_connection* worst = nullptr;
    double weight = -1;
    for (const auto& [connection, owner] : connections_) {
        const auto stall = connection->stall(now);
        const bool counts = stall && (kind == stall_kind::any || stall->too_long ||
                                      (kind == stall_kind::too_long_or_held_back && stall->held_back));
        if (counts && stall->weight() > weight) {
            worst = connection;
            weight = stall->weight();
        }
    }
    if (worst == nullptr) {
        return false;
    }
    log_closed("memory", now);
    worst->give_up_memory();
    return true;
}

void caller_server::memory_exceeded()
{
    if (nothing_stalled_ || std::exchange(freeing_, true)) {
        return;
    }
    const instant now = io::monotonic_now();
    while (options_.budget->exceeded() && !nothing_stalled_) {
        nothing_stalled_ = !close_stalled(now, stall_kind::any);
    }
    freeing_ = false;
}

bool caller_server::make_room()
{
    if (connections_.size() < options_.max_connections || !listener_.has_pending()) {
        return true;
    }
    const instant now = io::monotonic_now();
    caller_connection* oldest = nullptr;
    duration longest{};
    for (const auto& [connection, owner] : connections_) {
        const auto idle = connection->idle_time(now);
        if (idle && *idle >= options_.min_idle_time && *idle > longest) {
            oldest = connection;
            longest = *idle;
        }
    }
    if (oldest != nullptr) {
        log_closed("connections", now);
        oldest->abort("another connection needs its place");
        return true;
    }
    return close_stalled(now, stall_kind::too_long_or_held_back) &&
           connections_.size() < options_.max_connections;
}

void caller_server::log_closed(const char* reason, instant now)
{
    closed_for_resources_ += 1;
    if (const auto count = closed_lines_.on_event(now)) {
        io::log_event(io::log_level::warning, "caller_connection_closed",
                      {{"reason", reason},
                       {"count", std::to_string(*count)},
                       {"connections", std::to_string(connections_.size())}});
    }
}

void caller_server::accept(ACE_SOCK_Stream& accepted)
{
    caller_sink& self = *this;
    auto created =
        std::make_unique<caller_connection>(reactor_, self, limits_(), io::monotonic_now(), options_.budget);
    if (created->accept(accepted)) {
        caller_connection* key = created.get();
        connections_.emplace(key, std::move(created));
    }
}

void caller_server::request_arrived(caller_connection& from, http_request request)
{
    sink_.request_arrived(from, std::move(request));
}

void caller_server::request_malformed(int status)
{
    sink_.request_malformed(status);
}

void caller_server::connection_closed(caller_connection& closed)
{
    sink_.connection_closed(closed);
    const auto found = connections_.find(&closed);
    if (found != connections_.end()) {
        closed_.push_back(std::move(found->second));
        connections_.erase(found);
    }
}

} // namespace currantspar::gateway
