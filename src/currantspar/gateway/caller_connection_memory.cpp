#include <algorithm>
#include <chrono>

#include "currantspar/gateway/caller_connection.hpp"
#include "currantspar/io/clock.hpp"

// The part of caller_connection that keeps its memory within the budget.

namespace currantspar::gateway {

namespace {

constexpr int status_request_timeout = 408;
constexpr int status_unavailable = 503;
/// A body up to this size needs no reservation.
constexpr std::size_t small_body_bytes = 16384;
/// Memory for a body of unknown length is reserved in steps, each so many times the one before.
constexpr std::size_t first_body_step = 65536;
constexpr std::size_t body_step_factor = 4;
/// While others wait for memory, a body that has some may pause for so long: a lost segment is sent again
/// after 200 ms.
constexpr duration max_body_pause = std::chrono::milliseconds(250);
/// While others wait for memory, a body takes at most this time, more for each of its bytes.
constexpr duration base_body_time = std::chrono::milliseconds(500);
constexpr double min_body_bytes_per_second = 1048576;
/// While others wait for memory, other requests and output may make no progress for so long.
constexpr duration max_stall = std::chrono::seconds(1);
/// The most that one event reads while the memory is nearly used up.
constexpr std::size_t small_read_bytes = 8192;
/// Input buffers beyond this are freed when they are empty.
constexpr std::size_t max_kept_input = 16384;

} // namespace

std::size_t caller_connection::read_limit() const
{
    const bool is_scarce = budget_ != nullptr && budget_->under_pressure() && !account_.has_reservation();
    return is_scarce ? small_read_bytes : max_read_bytes;
}

void caller_connection::update_memory()
{
    if (in_.empty() && in_.capacity() > max_kept_input) {
        free_memory(in_);
    }
    const std::size_t before = account_.charged();
    account_.set_allocated(connection_bytes + in_.capacity() + output_capacity() + request_bytes_ +
                           (reader_ ? reader_->allocated_bytes() : 0));
    if (budget_ == nullptr || !budget_->exceeded() || account_.charged() <= before) {
        return;
    }
    sink_.memory_exceeded();
    const bool holds_back = is_open() && !closing_ && !request_open_ && !account_.has_reservation();
    if (holds_back && budget_->exceeded()) {
        wait_for_memory();
    }
}

void caller_connection::wait_for_memory()
{
    if (!waits_since_) {
        waits_since_ = io::monotonic_now();
    }
    pause_reading();
}

std::optional<instant> caller_connection::waits_since() const
{
    return is_open() ? waits_since_ : std::nullopt;
}

bool caller_connection::stop_waiting(instant now)
{
    if (budget_->exceeded()) {
        return false;
    }
    const instant waited_since = *std::exchange(waits_since_, std::nullopt);
    progress_at_ = now;
    received_at_ = now;
    if (reader_ && !admit_body()) {
        waits_since_ = waited_since;
        return false;
    }
    // The caller couldn't send meanwhile.
    reserved_at_ += now - waited_since;
    resume_reading();
    read_request();
    update_memory();
    update_reading();
    return !waits_since_;
}

std::optional<connection_stall> caller_connection::stall(instant now) const
{
    const bool is_receiving = !request_open_ && !closing_ && (reader_ || !in_.empty());
    if (!is_open() || (!is_receiving && unsent() == 0)) {
        return std::nullopt;
    }
    if (waits_since_ && unsent() == 0) {
        // One that waits for more memory than it has doesn't keep it from the others for long.
        const duration waited = now - *waits_since_;
        const bool keeps_memory = account_.has_reservation();
        return connection_stall{account_.charged(), waited, !keeps_memory,
                                keeps_memory && waited >= max_body_pause};
    }
    if (is_receiving && account_.has_reservation()) {
        return connection_stall{account_.charged(), now - received_at_, false, wastes_reservation(now)};
    }
    const duration stalled = now - progress_at_;
    return connection_stall{account_.charged(), stalled, false, stalled >= max_stall};
}

bool caller_connection::wastes_reservation(instant now) const
{
    const double seconds = static_cast<double>(expected_body_bytes()) / min_body_bytes_per_second;
    const duration allowed = base_body_time + from_seconds(seconds);
    return now - received_at_ >= max_body_pause || now - reserved_at_ >= allowed;
}

void caller_connection::give_up_memory()
{
    if (unsent() > 0 || closing_ || request_open_) {
        abort("its memory is needed");
        return;
    }
    refuse(waits_since_ ? status_unavailable : status_request_timeout);
}

std::size_t caller_connection::expected_body_bytes() const
{
    if (!reader_ || !reader_->head_done()) {
        return 0;
    }
    if (const auto declared = reader_->content_length()) {
        return *declared > small_body_bytes ? static_cast<std::size_t>(*declared) : 0;
    }
    const std::size_t received = reader_->body_bytes();
    if (received <= small_body_bytes) {
        return 0;
    }
    std::size_t step = first_body_step;
    while (step < received) {
        step *= body_step_factor;
    }
    return std::min(step, limits_.body_bytes);
}

bool caller_connection::admit_body()
{
    if (!reader_->head_done()) {
        return true;
    }
    if (const std::size_t expected = expected_body_bytes(); expected > 0) {
        if (!account_.has_reservation()) {
            reserved_at_ = io::monotonic_now();
        }
        if (!account_.reserve(body_copies * expected + max_read_bytes)) {
            wait_for_memory();
            return false;
        }
        reader_->allocate_body(expected);
    }
    if (reader_->expects_continue() && !continue_sent_) {
        continue_sent_ = true;
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return true;
}

} // namespace currantspar::gateway
