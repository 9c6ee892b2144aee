#include "connection_watch.hpp"

#include <algorithm>
#include <memory>
#include <string_view>
#include <vector>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "currantspar/io/clock.hpp"

namespace currantspar::io {

namespace {

constexpr int keepalive_idle_seconds = 5;
constexpr int keepalive_interval_seconds = 2;
/// A large body of which less than a unit arrives in this time counts as stalled.
constexpr duration max_stall = std::chrono::seconds(1);
constexpr std::size_t progress_unit = 65536;
constexpr std::string_view request_timeout_answer =
    "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n"
    "Currantspar-Outcome: not_run\r\n\r\n";

void set_keepalive(int socket)
{
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &keepalive_idle_seconds, sizeof keepalive_idle_seconds);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &keepalive_interval_seconds,
               sizeof keepalive_interval_seconds);
}

} // namespace

connection_watch::connection_watch(duration head_limit, duration body_limit)
    : head_limit_(head_limit), body_limit_(body_limit)
{}

void connection_watch::opened(MHD_Connection* connection, void** context)
{
    auto fresh = std::make_unique<connection_state>();
    fresh->socket = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    fresh->since = monotonic_now();
    set_keepalive(fresh->socket);
    *context = fresh.get();
    const std::lock_guard lock(mutex_);
    connections_.insert(fresh.release());
}

void connection_watch::closed(void** context)
{
    const std::unique_ptr<connection_state> gone(static_cast<connection_state*>(*context));
    const std::lock_guard lock(mutex_);
    connections_.erase(gone.get());
}

void connection_watch::set_phase(MHD_Connection* connection, connection_phase phase)
{
    connection_state* const state = find(connection);
    if (state == nullptr) {
        return;
    }
    const std::lock_guard lock(mutex_);
    state->phase = phase;
    state->since = monotonic_now();
    state->progress_at.reset();
}

connection_watch::connection_state* connection_watch::find(MHD_Connection* connection)
{
    const MHD_ConnectionInfo* const info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info == nullptr ? nullptr : static_cast<connection_state*>(info->socket_context);
}

void connection_watch::on_large_body(MHD_Connection* connection, std::size_t bytes)
{
    connection_state* const state = find(connection);
    if (state == nullptr) {
        return;
    }
    const std::lock_guard lock(mutex_);
    state->progress_bytes += bytes;
    if (!state->progress_at || state->progress_bytes >= progress_unit) {
        state->progress_at = monotonic_now();
        state->progress_bytes = 0;
    }
}

void connection_watch::answer_and_cut(MHD_Connection* connection, std::string_view answer)
{
    if (connection_state* const state = find(connection); state != nullptr) {
        const std::lock_guard lock(mutex_);
        cut_with(*state, answer);
    }
}

void connection_watch::cut_with(connection_state& connection, std::string_view answer)
{
    if (connection.cut) {
        return;
    }
    connection.cut = true;
    ::send(connection.socket, answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    ::shutdown(connection.socket, SHUT_RDWR);
}

void connection_watch::cut_idle(instant now, std::size_t most)
{
    const std::lock_guard lock(mutex_);
    if (connections_.size() <= most) {
        return;
    }
    std::vector<connection_state*> idle;
    for (connection_state* const connection : connections_) {
        const bool is_idle =
            connection->phase == connection_phase::head && now - connection->since > max_stall;
        if (is_idle && !connection->cut) {
            idle.push_back(connection);
        }
    }
    const std::size_t count = std::min(idle.size(), connections_.size() - most);
    std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(count), idle.end(),
                      [](const auto* left, const auto* right) { return left->since < right->since; });
    for (std::size_t index = 0; index < count; ++index) {
        cut_with(*idle[index], {});
    }
}

void connection_watch::cut_stalled_bodies(instant now)
{
    const std::lock_guard lock(mutex_);
    for (connection_state* const connection : connections_) {
        const bool is_stalled = connection->progress_at && now - *connection->progress_at > max_stall;
        if (connection->phase == connection_phase::body && is_stalled) {
            cut_with(*connection, request_timeout_answer);
        }
    }
}

void connection_watch::cut_slow_senders(instant now)
{
    const std::lock_guard lock(mutex_);
    for (connection_state* const connection : connections_) {
        cut_if_slow(*connection, now);
    }
}

void connection_watch::cut_if_slow(connection_state& connection, instant now) const
{
    const bool in_body = connection.phase == connection_phase::body;
    const duration limit = in_body ? body_limit_ : head_limit_;
    if (connection.phase == connection_phase::answer || connection.cut || now - connection.since <= limit) {
        return;
    }
    connection.cut = true;
    if (in_body) {
        // No answer has begun on this connection, so that these bytes can't land inside another one.
        ::send(connection.socket, request_timeout_answer.data(), request_timeout_answer.size(),
               MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    ::shutdown(connection.socket, SHUT_RDWR);
}

} // namespace currantspar::io
