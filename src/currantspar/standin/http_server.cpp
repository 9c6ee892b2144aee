#include "currantspar/standin/http_server.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <stdexcept>
#include <utility>
#include <vector>

#include <microhttpd.h>

namespace currantspar::standin {

namespace {

constexpr unsigned connection_limit = 4096;
constexpr std::size_t stream_block_bytes = 16384;

/// A request while its body arrives.
struct pending_request
{
    http_request request;
    bool held = false;
};

} // namespace

/// Hands a stream_body's bytes to libmicrohttpd.
struct stream_reader
{
    std::shared_ptr<stream_body> body;
    MHD_Connection* connection = nullptr;

    static ssize_t read(void* self, std::uint64_t, char* out, std::size_t most)
    {
        auto* reader = static_cast<stream_reader*>(self);
        stream_body& body = *reader->body;
        const std::lock_guard lock(body.mutex_);
        if (!body.waiting_.empty()) {
            const std::size_t count = std::min(most, body.waiting_.size());
            body.waiting_.copy(out, count);
            body.waiting_.erase(0, count);
            return static_cast<ssize_t>(count);
        }
        if (body.aborted_) {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        if (body.finished_) {
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        body.suspended_ = reader->connection;
        MHD_suspend_connection(reader->connection);
        return 0;
    }

    static void release(void* self)
    {
        const std::unique_ptr<stream_reader> reader(static_cast<stream_reader*>(self));
        const std::lock_guard lock(reader->body->mutex_);
        reader->body->closed_ = true;
        reader->body->suspended_ = nullptr;
    }
};

void stream_body::append(const std::string& text)
{
    const std::lock_guard lock(mutex_);
    if (!closed_) {
        waiting_ += text;
        wake();
    }
}

void stream_body::finish()
{
    const std::lock_guard lock(mutex_);
    finished_ = true;
    wake();
}

void stream_body::abort()
{
    const std::lock_guard lock(mutex_);
    aborted_ = true;
    wake();
}

bool stream_body::closed() const
{
    const std::lock_guard lock(mutex_);
    return closed_ || finished_ || aborted_;
}

void stream_body::wake()
{
    if (suspended_ != nullptr) {
        MHD_resume_connection(std::exchange(suspended_, nullptr));
    }
}

/// The functions that libmicrohttpd calls.
struct http_callbacks
{
    static MHD_Result on_query(void* out, MHD_ValueKind, const char* key, const char* value)
    {
        (*static_cast<std::map<std::string, std::string>*>(out))[key] = value == nullptr ? "" : value;
        return MHD_YES;
    }

    static MHD_Result on_request(void* self, MHD_Connection* connection, const char* url, const char* method,
                                 const char*, const char* data, std::size_t* size, void** context)
    {
        auto* server = static_cast<http_server*>(self);
        auto* pending = static_cast<pending_request*>(*context);
        if (pending == nullptr) {
            *context = begin(connection, url, method);
            return MHD_YES;
        }
        if (*size > 0) {
            pending->request.body.append(data, *size);
            *size = 0;
            return MHD_YES;
        }
        if (pending->held) {
            return MHD_NO;
        }
        return respond(*server, connection, *pending);
    }

    static pending_request* begin(MHD_Connection* connection, const char* url, const char* method)
    {
        auto* pending = new pending_request;
        pending->request.method = method;
        pending->request.path = url;
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &on_query, &pending->request.query);
        const char* tag = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "X-Test-Tag");
        pending->request.tag = tag == nullptr ? "" : tag;
        return pending;
    }

    static MHD_Result respond(http_server& server, MHD_Connection* connection, pending_request& pending)
    {
        const http_response answer = server.answer_(pending.request);
        if (answer.kind == http_response::how::close) {
            return MHD_NO;
        }
        if (answer.kind == http_response::how::hold) {
            pending.held = true;
            const std::lock_guard lock(server.mutex_);
            server.held_[connection] = true;
            MHD_suspend_connection(connection);
            return MHD_YES;
        }
        MHD_Response* response = nullptr;
        if (answer.kind == http_response::how::stream) {
            const std::lock_guard lock(server.mutex_);
            std::erase_if(server.streams_, [](const auto& entry) { return entry.second.expired(); });
            server.streams_[answer.stream.get()] = answer.stream;
            auto* reader = new stream_reader{answer.stream, connection};
            response = MHD_create_response_from_callback(
                MHD_SIZE_UNKNOWN, stream_block_bytes, &stream_reader::read, reader, &stream_reader::release);
        } else {
            response = MHD_create_response_from_buffer(
                answer.body.size(), const_cast<char*>(answer.body.data()), MHD_RESPMEM_MUST_COPY);
        }
        MHD_add_response_header(response, "Content-Type", answer.content_type.c_str());
        const MHD_Result queued =
            MHD_queue_response(connection, static_cast<unsigned>(answer.status), response);
        MHD_destroy_response(response);
        return queued;
    }

    static void on_completed(void*, MHD_Connection*, void** context, MHD_RequestTerminationCode)
    {
        delete static_cast<pending_request*>(*context);
        *context = nullptr;
    }
};

http_server::http_server(handler answer) : answer_(std::move(answer))
{
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    daemon_ = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr,
                               &http_callbacks::on_request, this, MHD_OPTION_SOCK_ADDR, &where,
                               MHD_OPTION_CONNECTION_LIMIT, connection_limit, MHD_OPTION_NOTIFY_COMPLETED,
                               &http_callbacks::on_completed, nullptr, MHD_OPTION_END);
    if (daemon_ == nullptr) {
        throw std::runtime_error("the stand-in's HTTP server can't listen");
    }
    const MHD_DaemonInfo* bound = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
    address_ = "127.0.0.1:" + std::to_string(bound->port);
}

http_server::~http_server()
{
    stop();
}

void http_server::stop()
{
    if (daemon_ == nullptr) {
        return;
    }
    std::vector<std::shared_ptr<stream_body>> open;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [connection, held] : held_) {
            MHD_resume_connection(connection);
        }
        held_.clear();
        for (const auto& [key, body] : streams_) {
            if (auto still = body.lock()) {
                open.push_back(std::move(still));
            }
        }
    }
    for (const auto& body : open) {
        body->abort();
    }
    MHD_stop_daemon(std::exchange(daemon_, nullptr));
}

} // namespace currantspar::standin
