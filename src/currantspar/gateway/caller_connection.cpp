#include "currantspar/gateway/caller_connection.hpp"

#include <chrono>

#include "currantspar/io/clock.hpp"
#include "currantspar/io/log.hpp"

namespace currantspar::gateway {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_request_timeout = 408;
constexpr int status_body_too_large = 413;
constexpr int status_head_too_large = 431;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
/// Reading pauses while as many bytes of further requests wait for the end of the open one.
constexpr std::size_t max_ahead_bytes = 65536;
/// The next request isn't read while more output than this is unsent.
constexpr std::size_t max_unsent_before_next = 65536;
/// For callers that are refused because they waited for memory.
constexpr std::chrono::seconds refusal_retry(1);
/// A body of which less than this arrives for a while counts as stalled.
constexpr std::size_t progress_unit = 65536;
/// Input of a closing connection that is read and dropped, so that the peer can read the response.
constexpr std::size_t max_discarded_bytes = 262144;
/// The connection is closed when its caller leaves more output than this unread.
constexpr std::size_t max_unsent_bytes = 8388608;
/// A caller that reads nothing of its last response for so long loses the rest.
constexpr duration max_unread_time = std::chrono::seconds(30);
/// Pipelined requests that one event answers, when each is answered at once; the rest follows in the next
/// ticks.
constexpr int max_requests_at_once = 16;

int to_status(read_progress problem)
{
    switch (problem) {
    case read_progress::head_too_large:
        return status_head_too_large;
    case read_progress::body_too_large:
        return status_body_too_large;
    default:
        return status_bad_request;
    }
}

/// The node refuses responses with such heads before they get here, so this tells of a defect.
void log_not_encoded(const error& problem)
{
    io::log_event(io::log_level::error, "response_not_encoded", {{"reason", problem.message}});
}

} // namespace

caller_connection::caller_connection(ACE_Reactor& reactor, caller_sink& sink, reader_limits limits,
                                     instant now, memory_budget* budget)
    : tcp_connection(reactor), sink_(sink), limits_(limits), budget_(budget), account_(budget), since_(now)
{
    account_.set_allocated(connection_bytes);
}

void caller_connection::on_bytes(std::string_view bytes)
{
    if (closing_) {
        discarded_bytes_ += bytes.size();
        if (discarded_bytes_ > max_discarded_bytes) {
            pause_reading();
        }
        return;
    }
    if (in_.empty() && !request_open_ && !reader_) {
        since_ = io::monotonic_now();
        progress_at_ = since_;
        progress_bytes_ = 0;
    }
    note_progress(bytes.size());
    in_.append(bytes);
    read_request();
    update_memory();
    update_reading();
}

void caller_connection::note_progress(std::size_t bytes)
{
    progress_bytes_ += bytes;
    received_at_ = io::monotonic_now();
    if (progress_bytes_ >= progress_unit) {
        progress_bytes_ = 0;
        progress_at_ = received_at_;
    }
}

void caller_connection::update_reading()
{
    if (closing_ || waits_since_) {
        return;
    }
    if (in_.size() >= max_ahead_bytes && (request_open_ || unsent() > max_unsent_before_next)) {
        pause_reading();
    } else {
        resume_reading();
    }
}

std::optional<duration> caller_connection::idle_time(instant now) const
{
    if (request_open_ || !is_open() || closing_ || reader_ || !in_.empty() || unsent() > 0) {
        return std::nullopt;
    }
    return now - since_;
}

bool caller_connection::has_unread_request() const
{
    return is_open() && !closing_ && !request_open_ && !in_.empty() && unsent() <= max_unsent_before_next;
}

void caller_connection::on_tick(instant now)
{
    check_window(now);
    if (closing_ && unsent() == 0 && unacknowledged() == 0) {
        close_and_notify();
    } else if (is_reading_paused() && !closing_ && peer_has_left()) {
        // Nothing is read from it that would tell.
        abort("closed by the caller");
    } else if (requests_left_) {
        read_request();
        update_memory();
        update_reading();
    }
}

void caller_connection::read_request()
{
    if (parsing_) {
        return;
    }
    parsing_ = true;
    int count = 0;
    for (; count < max_requests_at_once && has_unread_request(); ++count) {
        if (!reader_) {
            reader_.emplace(limits_);
            continue_sent_ = false;
        }
        const read_progress progress = reader_->read(in_);
        if (progress == read_progress::incomplete) {
            admit_body();
            break;
        }
        if (progress != read_progress::complete) {
            refuse(to_status(progress));
            break;
        }
        keep_alive_ = reader_->keep_alive();
        http_request request = reader_->take();
        request_bytes_ = reader_->allocated_bytes() + body_copies * request.body.capacity();
        reader_.reset();
        answers_head_ = request.method == "HEAD";
        request_open_ = true;
        response_begun_ = false;
        sink_.request_arrived(*this, std::move(request));
    }
    parsing_ = false;
    requests_left_ = count == max_requests_at_once;
}

void caller_connection::refuse(int status)
{
    reader_.reset();
    free_memory(in_);
    waits_since_.reset();
    account_.release_reservation();
    answers_head_ = false;
    sink_.request_malformed(status);
    http_fields fields;
    if (status == status_unavailable) {
        fields.push_back({"Retry-After", std::to_string(refusal_retry.count())});
    }
    write(*write_response_head({status, std::move(fields), 0, true}));
    closing_ = true;
    on_sent();
    update_memory();
}

void caller_connection::respond(int status, const http_fields& fields, std::string_view body,
                                bool close_after)
{
    close_after_ = close_after || !keep_alive_;
    auto out = write_response_head({status, fields, body.size(), close_after_, answers_head_});
    if (!out) {
        log_not_encoded(out.error());
        close_after_ = true;
        out = write_response_head({status_bad_gateway, {}, 0, true, answers_head_});
        body = {};
    }
    if (answers_head_) {
        body = {};
    }
    out->reserve(out->size() + body.size());
    out->append(body);
    response_begun_ = true;
    write_owned(std::move(*out));
    on_response_finished();
}

void caller_connection::begin_response(int status, const http_fields& fields, bool close_after)
{
    close_after_ = close_after || !keep_alive_;
    response_begun_ = true;
    const auto head = write_response_head({status, fields, std::nullopt, close_after_, answers_head_});
    if (!head) {
        log_not_encoded(head.error());
        abort("its response can't be written");
        return;
    }
    write(*head);
}

void caller_connection::continue_response(std::string_view bytes)
{
    if (bytes.empty() || answers_head_) {
        return;
    }
    write(write_chunk(bytes));
    if (unsent() > max_unsent_bytes) {
        abort("too much unread output");
        return;
    }
    update_memory();
}

void caller_connection::end_response()
{
    if (!answers_head_) {
        write(last_chunk);
    }
    on_response_finished();
}

void caller_connection::on_response_finished()
{
    request_open_ = false;
    request_bytes_ = 0;
    account_.release_reservation();
    since_ = io::monotonic_now();
    if (close_after_) {
        closing_ = true;
        on_sent();
        update_memory();
        return;
    }
    read_request();
    update_memory();
    update_reading();
}

void caller_connection::on_sent()
{
    if (!closing_) {
        progress_at_ = io::monotonic_now();
        // What waits behind unread output is parsed in the next tick.
        requests_left_ = requests_left_ || !in_.empty();
        return;
    }
    since_ = io::monotonic_now();
    progress_at_ = since_;
    if (unsent() == 0) {
        // on_tick() closes once the caller has it all: a close with unread input would destroy it on its way.
        shut_down_sending();
    }
}

void caller_connection::close_and_notify()
{
    if (is_open()) {
        close();
        sink_.connection_closed(*this);
    }
}

void caller_connection::abort(std::string_view reason)
{
    close_reason_ = reason;
    close_and_notify();
}

void caller_connection::on_closed(std::error_code problem)
{
    close_reason_ = problem ? problem.message() : "closed by the caller";
    sink_.connection_closed(*this);
}

void caller_connection::check_time(const relay::caller_limits& limits, instant now)
{
    if (request_open_ || !is_open()) {
        return;
    }
    if (closing_) {
        if (now - since_ > max_unread_time) {
            close_and_notify();
        }
        return;
    }
    if (!reader_ && in_.empty()) {
        if (now - since_ > limits.idle_timeout) {
            close_if_idle();
        }
        return;
    }
    const bool head_late = reader_ && !reader_->head_done() && now - since_ > limits.header_timeout;
    const bool body_late = now - since_ > limits.header_timeout + limits.idle_timeout;
    if (head_late || body_late) {
        refuse(status_request_timeout);
    }
}

void caller_connection::close_if_idle()
{
    const bool is_idle = !closing_ && !request_open_ && !reader_ && in_.empty();
    // What waits in the kernel, a request or the rest of a response, is lost when the connection closes.
    if (is_idle && unsent() == 0 && unacknowledged() == 0 && !has_unread_input()) {
        close_and_notify();
    }
}

} // namespace currantspar::gateway
