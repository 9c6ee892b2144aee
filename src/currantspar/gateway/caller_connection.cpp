#include "currantspar/gateway/caller_connection.hpp"

#include "currantspar/io/clock.hpp"

namespace currantspar::gateway {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_request_timeout = 408;
constexpr int status_body_too_large = 413;
constexpr int status_head_too_large = 431;
/// Bytes of pipelined requests that are buffered while one request is open.
constexpr std::size_t max_pipelined_bytes = 1048576;
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

} // namespace

caller_connection::caller_connection(ACE_Reactor& reactor, caller_sink& sink, reader_limits limits,
                                     instant now)
    : tcp_connection(reactor), sink_(sink), limits_(limits), since_(now)
{}

void caller_connection::on_bytes(std::string_view bytes)
{
    if (closing_) {
        return;
    }
    if (in_.empty() && !request_open_ && !reader_) {
        since_ = io::monotonic_now();
    }
    in_.append(bytes);
    if (in_.size() > max_pipelined_bytes + limits_.body_bytes) {
        abort("too many pipelined bytes");
        return;
    }
    read_request();
}

bool caller_connection::has_unread_request() const
{
    return is_open() && !closing_ && !request_open_ && !in_.empty();
}

void caller_connection::on_tick(instant now)
{
    check_window(now);
    if (closing_ && unsent() == 0 && unacknowledged() == 0) {
        close_and_notify();
    } else if (requests_left_) {
        read_request();
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
            if (reader_->expects_continue() && !continue_sent_) {
                continue_sent_ = true;
                write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            break;
        }
        if (progress != read_progress::complete) {
            refuse(to_status(progress));
            break;
        }
        keep_alive_ = reader_->keep_alive();
        http_request request = reader_->take();
        reader_.reset();
        request_open_ = true;
        response_begun_ = false;
        sink_.request_arrived(*this, std::move(request));
    }
    parsing_ = false;
    requests_left_ = count == max_requests_at_once;
}

void caller_connection::refuse(int status)
{
    sink_.request_malformed(status);
    write(write_response_head(status, {{"Content-Length", "0"}, {"Connection", "close"}}));
    closing_ = true;
    on_sent();
}

void caller_connection::respond(int status, const http_fields& fields, std::string_view body,
                                bool close_after)
{
    close_after_ = close_after || !keep_alive_;
    http_fields all = fields;
    all.push_back({"Content-Length", std::to_string(body.size())});
    if (close_after_) {
        all.push_back({"Connection", "close"});
    }
    std::string out = write_response_head(status, all);
    out.append(body);
    response_begun_ = true;
    write(out);
    on_response_finished();
}

void caller_connection::begin_response(int status, const http_fields& fields, bool close_after)
{
    close_after_ = close_after || !keep_alive_;
    http_fields all = fields;
    all.push_back({"Transfer-Encoding", "chunked"});
    if (close_after_) {
        all.push_back({"Connection", "close"});
    }
    response_begun_ = true;
    write(write_response_head(status, all));
}

void caller_connection::continue_response(std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    write(write_chunk(bytes));
    if (unsent() > max_unsent_bytes) {
        abort("too much unread output");
    }
}

void caller_connection::end_response()
{
    write(last_chunk);
    on_response_finished();
}

void caller_connection::on_response_finished()
{
    request_open_ = false;
    since_ = io::monotonic_now();
    if (close_after_) {
        closing_ = true;
        on_sent();
        return;
    }
    read_request();
}

void caller_connection::on_sent()
{
    if (!closing_) {
        return;
    }
    since_ = io::monotonic_now();
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
