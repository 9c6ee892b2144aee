#include "currantspar/node/operations.hpp"

#include <array>
#include <charconv>

namespace currantspar::node {

namespace {

using io::admin_answer;
using io::admin_query;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_unavailable = 503;
constexpr std::string_view prometheus_type = "text/plain; version=0.0.4; charset=utf-8";

admin_answer problem(int status, const std::string& message)
{
    return {status, "application/json", nlohmann::json{{"error", {{"message", message}}}}.dump()};
}

std::string dump(const nlohmann::json& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<std::uint64_t> read_number(const std::string& key, const std::string& text)
{
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data(), end, value);
    if (fault != std::errc{} || stop != end || text.empty()) {
        return fail(error_kind::invalid, key + " is \"" + text + "\", expected a whole number");
    }
    return value;
}

} // namespace

operations::operations(operations_options options) : options_(options), timeline_(options.timeline_entries) {}

void operations::on_step(const core::node_state& state, const core::event& happened,
                         const core::effect_list& effects)
{
    const std::lock_guard lock(mutex_);
    node_ = state.options.self;
    process_ = state.options.process;
    ready_ = state.lifecycle.ready;
    for (const core::effect& done : effects) {
        if (const auto* alarm = std::get_if<core::set_alarm>(&done)) {
            if (alarm->raised) {
                alarms_[alarm->which] = alarm->detail;
            } else {
                alarms_.erase(alarm->which);
            }
        }
    }
    if (options_.observe) {
        timeline_.on_step(happened, effects, state.configuration.replica.state().applied);
        metrics_.on_step(happened, effects);
    }
    if (wanted_) {
        wanted_ = false;
        status_ = make_status(state, alarms_, happened.at);
        metrics_.on_status(status_, happened.at);
        ++refreshes_;
        refreshed_.notify_all();
    }
}

bool operations::wait_for_status(std::unique_lock<std::mutex>& lock)
{
    wanted_ = true;
    const std::uint64_t seen = refreshes_;
    return refreshed_.wait_for(lock, options_.status_wait, [&] { return refreshes_ != seen; });
}

std::map<std::string, io::admin_page> operations::pages()
{
    using page = admin_answer (operations::*)(const admin_query&);
    static constexpr std::array<std::pair<const char*, page>, 6> handlers{
        {{"/", &operations::status_page},
         {"/healthz", &operations::health_page},
         {"/readyz", &operations::ready_page},
         {"/status", &operations::status_json},
         {"/metrics", &operations::metrics_page},
         {"/timeline", &operations::timeline_page}}};
    std::map<std::string, io::admin_page> made;
    for (const auto& [path, handler] : handlers) {
        made.emplace(path,
                     [this, handler = handler](const admin_query& query) { return (this->*handler)(query); });
    }
    return made;
}

/// Healthy means that the node's loop turns.
admin_answer operations::health_page(const admin_query&)
{
    std::unique_lock lock(mutex_);
    if (!wait_for_status(lock)) {
        return problem(status_unavailable, "the node's loop doesn't answer");
    }
    return {status_ok, "text/plain", "ok\n"};
}

admin_answer operations::ready_page(const admin_query&)
{
    const std::lock_guard lock(mutex_);
    return ready_ ? admin_answer{status_ok, "text/plain", "ready\n"}
                  : admin_answer{status_unavailable, "text/plain", "not ready\n"};
}

admin_answer operations::status_json(const admin_query&)
{
    std::unique_lock lock(mutex_);
    if (!wait_for_status(lock)) {
        return problem(status_unavailable, "the node's loop doesn't answer");
    }
    return {status_ok, "application/json", dump(status_)};
}

admin_answer operations::status_page(const admin_query&)
{
    std::unique_lock lock(mutex_);
    if (!wait_for_status(lock)) {
        return problem(status_unavailable, "the node's loop doesn't answer");
    }
    return {status_ok, "text/html; charset=utf-8", render_page(status_)};
}

admin_answer operations::metrics_page(const admin_query&)
{
    std::unique_lock lock(mutex_);
    if (!wait_for_status(lock)) {
        return problem(status_unavailable, "the node's loop doesn't answer");
    }
    return {status_ok, std::string(prometheus_type), metrics_.text()};
}

admin_answer operations::timeline_page(const admin_query& query)
{
    const auto filter = read_filter(query.arguments);
    if (!filter) {
        return problem(status_bad_request, filter.error().message);
    }
    const std::lock_guard lock(mutex_);
    timeline_part part = timeline_.find(*filter);
    part.node = node_;
    part.process = process_;
    return {status_ok, "application/json", dump(part)};
}

result<timeline_filter> read_filter(const std::map<std::string, std::string>& query)
{
    timeline_filter filter;
    for (const auto& [key, value] : query) {
        if (key == "request") {
            filter.request = request_id(value);
        } else if (key == "engine") {
            filter.engine = engine_id(value);
        } else if (key == "service") {
            filter.service = service_id(value);
        } else if (key == "revision" || key == "after" || key == "most" || key == "since_ms") {
            const auto number = read_number(key, value);
            if (!number) {
                return tl::unexpected(number.error());
            }
            if (key == "revision") {
                filter.in_force = revision(*number);
            } else if (key == "after") {
                filter.after = *number;
            } else if (key == "most") {
                filter.most = *number;
            } else {
                filter.since = wall_time(std::chrono::milliseconds(*number));
            }
        } else {
            return fail(error_kind::invalid,
                        "unknown key \"" + key +
                            "\", expected one of after, engine, most, request, revision, "
                            "service, since_ms");
        }
    }
    return filter;
}

} // namespace currantspar::node
