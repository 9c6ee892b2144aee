#include "exchange.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstring>
#include <utility>

#include <poll.h>

#include "currantspar/base/wire_text.hpp"
#include "currantspar/io/log.hpp"

namespace currantspar::io {

namespace {

constexpr std::size_t stream_block_bytes = 2048;
constexpr std::size_t forward_block_bytes = 16384;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
constexpr const char* outcome_header = "Currantspar-Outcome";
constexpr const char* request_header = "Currantspar-Request";

openai::api_error to_error(const core::reply_end& reply)
{
    openai::api_error error;
    error.status = reply.status;
    error.code = reply.code;
    error.message = reply.message;
    error.outcome = reply.outcome;
    error.retry_after = reply.retry_after;
    return error;
}

std::vector<http_header> error_headers(const openai::api_error& error)
{
    std::vector<http_header> headers = {{"Content-Type", "application/json"},
                                        {outcome_header, std::string(openai::outcome_name(error.outcome))}};
    if (error.retry_after > duration(0)) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(error.retry_after);
        headers.push_back({"Retry-After", std::to_string(seconds.count())});
    }
    return headers;
}

/// Adds headers; an error of kind `invalid` names the one that the library refuses. It takes neither empty
/// values nor tabs, which mean the same as spaces.
result<void> add_headers(MHD_Response* response, const std::vector<http_header>& headers)
{
    for (const http_header& header : headers) {
        std::string value = header.value;
        std::replace(value.begin(), value.end(), '\t', ' ');
        const bool sound = is_http_token(header.name) && is_field_value(value);
        const bool added = value.empty() || (sound && MHD_add_response_header(response, header.name.c_str(),
                                                                              value.c_str()) == MHD_YES);
        if (!added) {
            return fail(error_kind::invalid, "header can't be written: " + escaped_excerpt(header.name));
        }
    }
    return {};
}

/// Headers of a backend server's answer that the server sets itself or that belong to one connection only.
bool passes_back(const std::string& name)
{
    static constexpr std::array<const char*, 9> held = {
        "connection", "keep-alive", "transfer-encoding",  "upgrade", "content-length",
        "date",       "trailer",    "proxy-authenticate", "te"};
    return std::none_of(held.begin(), held.end(),
                        [&](const char* other) { return strcasecmp(name.c_str(), other) == 0; });
}

} // namespace

exchange::exchange(MHD_Connection* connection, std::string uri_as_received)
    : uri(std::move(uri_as_received)), connection_(connection)
{}

void exchange::resume_locked()
{
    if (suspended_) {
        suspended_ = false;
        MHD_resume_connection(connection_);
    }
}

void exchange::send(const core::reply_tokens& tokens, std::size_t unsent_most)
{
    std::string event = stream ? openai::token_event(context, tokens) : std::string();
    const std::lock_guard lock(mutex_);
    if (ended_) {
        return;
    }
    if (!stream) {
        for (const std::string& token : tokens.tokens) {
            text_ += token;
        }
        return;
    }
    form_ = form::streamed;
    unsent_.erase(0, std::exchange(taken_, 0));
    unsent_ += event;
    broken_ = broken_ || unsent_.size() > unsent_most;
    resume_locked();
}

void exchange::forward(std::shared_ptr<answer_pipe> answer)
{
    if (answer) {
        answer->set_on_data([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                const std::lock_guard lock(self->mutex_);
                self->resume_locked();
            }
        });
    }
    const std::lock_guard lock(mutex_);
    if (ended_ || form_ != form::none) {
        return;
    }
    form_ = form::forwarded;
    broken_ = broken_ || !answer;
    pipe_ = std::move(answer);
    resume_locked();
}

void exchange::end(const core::reply_end& reply)
{
    const std::lock_guard lock(mutex_);
    if (ended_) {
        return;
    }
    ended_ = true;
    const bool whole = reply.outcome == core::request_outcome::answered;
    if (form_ == form::forwarded) {
        broken_ = broken_ || !whole;
    } else if (!whole) {
        end_failed(reply);
    } else if (reply.status != 0) {
        form_ = form::whole;
        status_ = reply.status;
        headers_ = {{"Content-Type", reply.content_type}, {outcome_header, "answered"}};
        unsent_ = reply.body;
    } else if (stream) {
        form_ = form::streamed;
        unsent_ += openai::end_events(context, reply);
    } else {
        form_ = form::whole;
        headers_ = {{"Content-Type", "application/json"}, {outcome_header, "answered"}};
        unsent_ = openai::whole_body(context, text_, reply);
    }
    resume_locked();
}

void exchange::end_failed(const core::reply_end& reply)
{
    const openai::api_error error = to_error(reply);
    if (form_ == form::streamed) {
        unsent_ += openai::error_event(error);
        return;
    }
    form_ = form::whole;
    status_ = reply.status;
    headers_ = error_headers(error);
    unsent_ = openai::error_body(error);
}

void exchange::abandon()
{
    const std::lock_guard lock(mutex_);
    broken_ = true;
    resume_locked();
}

void exchange::detach()
{
    const std::lock_guard lock(mutex_);
    detached_ = true;
    suspended_ = false;
    broken_ = true;
}

bool exchange::ended()
{
    const std::lock_guard lock(mutex_);
    return ended_;
}

bool exchange::wait_for_head()
{
    const std::lock_guard lock(mutex_);
    if (form_ != form::none || broken_) {
        return false;
    }
    suspended_ = true;
    MHD_suspend_connection(connection_);
    return true;
}

ssize_t exchange::on_read(void* self, std::uint64_t, char* to, std::size_t most)
{
    return (*static_cast<std::shared_ptr<exchange>*>(self))->read(to, most);
}

void exchange::on_free(void* self)
{
    delete static_cast<std::shared_ptr<exchange>*>(self);
}

ssize_t exchange::read(char* to, std::size_t most)
{
    if (pipe_) {
        return read_forwarded(to, most);
    }
    const std::lock_guard lock(mutex_);
    if (broken_) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    const std::size_t count = std::min(most, unsent_.size() - taken_);
    if (count > 0) {
        std::memcpy(to, unsent_.data() + taken_, count);
        taken_ += count;
        return static_cast<ssize_t>(count);
    }
    if (ended_) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    suspended_ = true;
    MHD_suspend_connection(connection_);
    return 0;
}

ssize_t exchange::read_forwarded(char* to, std::size_t most)
{
    // The lock keeps the pipe from telling of data between the look and the suspension.
    const std::lock_guard lock(mutex_);
    answer_pipe::progress state = answer_pipe::progress::open;
    const std::size_t count = pipe_->read(to, most, state);
    if (count > 0) {
        return static_cast<ssize_t>(count);
    }
    if (broken_ || state == answer_pipe::progress::broken) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    // The answer counts as whole only once the core has said so.
    if (state == answer_pipe::progress::complete && ended_) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    suspended_ = true;
    MHD_suspend_connection(connection_);
    return 0;
}

MHD_Response* exchange::make_forwarded()
{
    const http_head& head = pipe_->head();
    status_ = head.status;
    headers_.clear();
    for (const http_header& header : head.headers) {
        if (passes_back(header.name)) {
            headers_.push_back(header);
        }
    }
    headers_.push_back({outcome_header, "answered"});
    if (head.status == status_no_content || head.status == status_not_modified) {
        return MHD_create_response_from_buffer(0, nullptr, MHD_RESPMEM_PERSISTENT);
    }
    const std::uint64_t size = head.content_length.value_or(MHD_SIZE_UNKNOWN);
    return MHD_create_response_from_callback(size, forward_block_bytes, &exchange::on_read,
                                             new std::shared_ptr<exchange>(shared_from_this()),
                                             &exchange::on_free);
}

MHD_Response* exchange::make_response()
{
    if (form_ == form::forwarded) {
        return make_forwarded();
    }
    if (form_ == form::whole) {
        return MHD_create_response_from_buffer(unsent_.size(), unsent_.data(), MHD_RESPMEM_MUST_COPY);
    }
    headers_ = {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}};
    return MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, stream_block_bytes, &exchange::on_read,
                                             new std::shared_ptr<exchange>(shared_from_this()),
                                             &exchange::on_free);
}

MHD_Result exchange::queue_answer()
{
    const std::lock_guard lock(mutex_);
    if (broken_) {
        return MHD_NO;
    }
    MHD_Response* const response = make_response();
    headers_.push_back({request_header, id.str()});
    if (const auto added = add_headers(response, headers_); !added) {
        log_event(log_level::error, "response_not_encoded",
                  {{"request", id.str()}, {"reason", added.error().message}});
        MHD_destroy_response(response);
        return MHD_NO;
    }
    const MHD_Result queued = MHD_queue_response(connection_, static_cast<unsigned>(status_), response);
    MHD_destroy_response(response);
    return queued;
}

MHD_Result exchange::queue_error(const openai::api_error& error)
{
    const std::lock_guard lock(mutex_);
    form_ = form::whole;
    ended_ = true;
    status_ = error.status;
    const std::string text = openai::error_body(error);
    MHD_Response* const response =
        MHD_create_response_from_buffer(text.size(), const_cast<char*>(text.data()), MHD_RESPMEM_MUST_COPY);
    for (const http_header& header : error_headers(error)) {
        MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
    }
    const MHD_Result queued = MHD_queue_response(connection_, static_cast<unsigned>(status_), response);
    MHD_destroy_response(response);
    return queued;
}

MHD_Result exchange::queue_body(int status, const std::string& content_type, const std::string& answer)
{
    const std::lock_guard lock(mutex_);
    ended_ = true;
    MHD_Response* const response = MHD_create_response_from_buffer(
        answer.size(), const_cast<char*>(answer.data()), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", content_type.c_str());
    const MHD_Result queued = MHD_queue_response(connection_, static_cast<unsigned>(status), response);
    MHD_destroy_response(response);
    return queued;
}

bool exchange::caller_has_gone()
{
    const std::lock_guard lock(mutex_);
    if (detached_) {
        return false;
    }
    const MHD_ConnectionInfo* const info =
        MHD_get_connection_info(connection_, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info == nullptr) {
        return false;
    }
    pollfd look{info->connect_fd, POLLRDHUP, 0};
    if (poll(&look, 1, 0) <= 0) {
        return false;
    }
    if ((look.revents & (POLLHUP | POLLERR)) != 0) {
        return true;
    }
    const bool idle_stream = form_ == form::streamed && suspended_;
    if ((look.revents & POLLRDHUP) != 0 && idle_stream) {
        unsent_ += ": still here\n\n";
        resume_locked();
    }
    return false;
}

} // namespace currantspar::io
