#include <algorithm>

#include "currantspar/io/clock.hpp"
#include "currantspar/io/log.hpp"
#include "gateway_attempt.hpp"

// The part of gateway_node that judges the responses of servers.

namespace currantspar::gateway {

namespace {

constexpr int status_ok = 200;
constexpr int first_non_success_status = 300;
constexpr int status_misdirected = 421;
/// A larger event of a stream is taken for one that never ends.
constexpr std::size_t max_event_bytes = 1048576;
/// The fraction of the process's memory that responses and events may take until they are complete.
constexpr std::size_t buffer_divisor = 4;

/// The limit of bodies that no caller gets.
constexpr std::size_t max_small_body_bytes = 65536;

http_fields forwarded_fields(const http_fields& fields)
{
    http_fields out;
    std::copy_if(fields.begin(), fields.end(), std::back_inserter(out),
                 [](const http_field& field) { return !is_connection_field(field.name); });
    return out;
}

} // namespace

bool gateway_node::attempt::response_head(int status, const http_fields& head)
{
    decoded = node_.wire_.decode_response(status, head);
    if (!decoded.request_id.empty() && decoded.request_id != request_id) {
        io::log_event(io::log_level::warning, "foreign_answer_skipped",
                      {{"request", request_id}, {"belongs_to", decoded.request_id}});
        return false;
    }
    fields = forwarded_fields(head);
    if (!is_ambiguous()) {
        const instant now = io::monotonic_now();
        node_.run(node_.core_.on_response_head(number, decoded, now), now);
    }
    if (const std::string reason = rejection(); !reason.empty()) {
        node_.on_failed(*this, true, reason);
        return true;
    }
    node_.on_head(*this);
    return true;
}

std::string gateway_node::attempt::describe_response() const
{
    return "status " + std::to_string(decoded.status) + " to request " +
           std::to_string(earlier_requests_ + 1) + " of its connection";
}

std::string gateway_node::attempt::rejection() const
{
    if (is_ambiguous()) {
        return "response without an id on a kept connection";
    }
    if (const auto checked = check_fields(fields); !checked) {
        return checked.error().message;
    }
    const bool is_success = decoded.status < first_non_success_status;
    if (expects_stream && is_success && is_bodiless(decoded.status)) {
        return "stream without a body";
    }
    if (stage != relay::attempt_stage::prefill_only && is_success && !decoded.not_run &&
        !is_verified_success()) {
        return "unverified success response";
    }
    return {};
}

bool gateway_node::attempt::drops_body() const
{
    return decoded.not_run || promises_not_run(decoded.status);
}

std::size_t gateway_node::attempt::max_body_bytes() const
{
    if (streaming) {
        return unlimited_body_bytes;
    }
    const bool is_small = drops_body() || stage == relay::attempt_stage::prefill_only;
    return is_small ? max_small_body_bytes : default_body_bytes;
}

bool gateway_node::attempt::is_verified_success() const
{
    return decoded.status >= status_ok && decoded.status < first_non_success_status && decoded.has_proof &&
           !decoded.encoded && decoded.request_id == request_id;
}

void gateway_node::on_head(attempt& from)
{
    if (from.expects_stream && from.is_verified_success()) {
        const instant now = io::monotonic_now();
        run(core_.on_stream_head(from.number, now), now);
    }
    const bool is_unary = !from.expects_stream && from.stage != relay::attempt_stage::prefill_only;
    if (is_unary && !from.drops_body() && from.decoded.status != status_misdirected) {
        count_usage(from);
    }
}

void gateway_node::count_usage(attempt& from)
{
    if (!usage_.enabled() || std::exchange(from.usage_counted, true)) {
        return;
    }
    if (const organisation_id organisation = core_.organisation(from.number); !organisation.empty()) {
        usage_.on_begun(organisation, io::suspend_aware_now());
    }
}

void gateway_node::on_body(attempt& from, std::string_view bytes)
{
    if (!from.streaming) {
        if (!from.drops_body()) {
            from.body.append(bytes);
            count_buffered(from, from.buffered_bytes());
            enforce_buffer_limit();
        }
        return;
    }
    const std::string complete_events = from.events.push(bytes);
    count_buffered(from, from.buffered_bytes());
    if (from.events.buffered_bytes() > max_event_bytes) {
        on_failed(from, true, "event without end");
        return;
    }
    if (complete_events.empty()) {
        enforce_buffer_limit();
        return;
    }
    const result<event_id>& last_event = from.events.last_id();
    if (from.resumable && !last_event) {
        on_failed(from, true, last_event.error().message);
        return;
    }
    if (const caller* to = find_caller(from.request); to != nullptr) {
        to->connection->continue_response(complete_events);
    }
    count_usage(from);
    const instant now = io::monotonic_now();
    if (const auto first = core_.first_event(from.number, now)) {
        metrics_.on_first_event(first->measured, first->predicted);
    }
    run(core_.on_events(from.number, last_event.value_or(event_id()), now), now);
}

void gateway_node::count_buffered(attempt& from, std::size_t bytes)
{
    buffered_bytes_ += bytes;
    buffered_bytes_ -= std::exchange(from.counted_bytes, bytes);
    responses_.set_allocated(buffered_bytes_);
}

void gateway_node::enforce_buffer_limit()
{
    const std::size_t most = settings_.memory_bytes / buffer_divisor;
    // What the tables take is taken from the responses too; one alone may be larger than what is left.
    const std::size_t most_together = std::min(most, budget_.limit() - budget_.limit() / buffer_divisor);
    while (buffered_bytes_ > most_together) {
        const auto largest =
            std::max_element(attempts_.begin(), attempts_.end(), [](const auto& left, const auto& right) {
                return left.second->buffered_bytes() < right.second->buffered_bytes();
            });
        const bool is_alone = largest->second->buffered_bytes() == buffered_bytes_;
        if (is_alone && buffered_bytes_ <= most) {
            return;
        }
        on_failed(*largest->second, true, "response is too large for the memory left");
    }
}

void gateway_node::on_complete(attempt& from)
{
    const instant now = io::monotonic_now();
    const attempt_id number = from.number;
    const relay::response_info& decoded = from.decoded;
    relay::relay_effects effects;
    if (from.streaming) {
        const bool has_events = !core_.first_event(number, now);
        if (!from.events.at_event_end() || !has_events) {
            effects = core_.on_failure(
                number, relay::attempt_failure::lost,
                has_events ? "stream truncated within an event" : "stream ended without an event", now);
        } else {
            effects = core_.on_stream_end(number, now);
        }
    } else if (decoded.not_run || decoded.status == status_misdirected) {
        effects = core_.on_failure(number, relay::attempt_failure::not_run, from.describe_response(), now);
    } else if (from.stage == relay::attempt_stage::prefill_only) {
        const auto handle = wire_.decode_kv_handle(from.body);
        effects = decoded.status == status_ok && handle
                      ? core_.on_prompt_prefilled(number, *handle, now)
                      : core_.on_failure(number, relay::attempt_failure::lost,
                                         "prefill failed: " + from.describe_response() +
                                             (handle ? "" : ", " + handle.error().message),
                                         now);
    } else if (promises_not_run(decoded.status)) {
        effects = core_.on_failure(number, relay::attempt_failure::lost,
                                   "unverified " + from.describe_response(), now);
    } else {
        effects = core_.on_response(number, decoded, now);
    }
    run(effects, now);
    retire(number);
}

void gateway_node::on_failed(attempt& from, bool written, const std::string& detail)
{
    const instant now = io::monotonic_now();
    const attempt_id number = from.number;
    const auto how = written ? relay::attempt_failure::lost : relay::attempt_failure::not_written;
    run(core_.on_failure(number, how, detail, now), now);
    retire(number);
}

void gateway_node::retire(attempt_id number)
{
    const auto found = attempts_.find(number);
    if (found != attempts_.end()) {
        servers_.cancel(found->second->exchange);
        count_buffered(*found->second, 0);
        free_memory(found->second->body);
        retired_.push_back(std::move(found->second));
        attempts_.erase(found);
    }
}

} // namespace currantspar::gateway
