#include "currantspar/io/caller_front.hpp"

#include <atomic>
#include <charconv>
#include <mutex>
#include <unordered_map>
#include <utility>

#include <netinet/in.h>

#include "body_budget.hpp"
#include "connection_watch.hpp"
#include "currantspar/base/hash.hpp"
#include "currantspar/io/address.hpp"
#include "currantspar/io/clock.hpp"
#include "currantspar/policy/prompt.hpp"
#include "exchange.hpp"
#include "front_routes.hpp"

namespace currantspar::io {

namespace {

constexpr unsigned idle_seconds = 30; ///< a connection without activity is closed after this long
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_too_large = 413;
constexpr int status_unavailable = 503;
/// A body up to this size takes no share of the memory for bodies.
constexpr std::size_t small_body_bytes = 16384;
/// What is read of a body that is too large, so that its caller can read the response, before the connection
/// ends.
constexpr std::size_t max_dropped_bytes = 1048576;
/// The fraction of the connections that is kept free of idle ones, because none is accepted beyond the limit.
constexpr unsigned free_connections_divisor = 8;
/// A string that grows takes up to twice its size.
constexpr std::size_t growth_factor = 2;
constexpr std::string_view too_large_answer =
    "HTTP/1.1 413 Content Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view busy_answer =
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: 1\r\n"
    "Currantspar-Outcome: not_run\r\n\r\n";

using exchange_ptr = std::shared_ptr<exchange>;

class http_caller_front : public caller_front
{
public:
    http_caller_front(caller_front_options options, event_sink sink)
        : options_(std::move(options)), sink_(std::move(sink)),
          connections_(options_.head_limit, options_.body_limit),
          bodies_(options_.max_body_bytes * options_.large_bodies)
    {}
    ~http_caller_front() override;

    result<void> open();

    void set_fleet(config::fleet_ptr fleet) override;
    prompt_ptr prompt(const request_id& request) override;
    call_ptr call(const request_id& request) override;
    void send(const core::reply_tokens& tokens) override;
    void forward(const request_id& request, std::shared_ptr<answer_pipe> answer) override;
    void end(const core::reply_end& reply) override;
    void sweep(instant now) override;
    std::uint16_t port() const override;
    std::size_t open_requests() override;

private:
    static void* on_uri(void* self, const char* uri, MHD_Connection* connection);
    static MHD_Result on_access(void* self, MHD_Connection* connection, const char* url, const char* method,
                                const char* version, const char* data, std::size_t* size, void** state);
    static void on_completed(void* self, MHD_Connection* connection, void** state,
                             MHD_RequestTerminationCode how);
    static void on_connection(void* self, MHD_Connection* connection, void** context,
                              MHD_ConnectionNotificationCode what);

    MHD_Result begin(const exchange_ptr& request, MHD_Connection* connection, std::string_view method,
                     std::string_view path);
    /// Takes the memory for a declared body and allocates it; false when there is none left.
    bool admit_declared_body(exchange& request, MHD_Connection* connection);
    MHD_Result take_body(const exchange_ptr& request, MHD_Connection* connection, const char* data,
                         std::size_t* size);
    MHD_Result dispatch(const exchange_ptr& request, MHD_Connection* connection, const std::string& method,
                        const std::string& path);
    MHD_Result dispatch_model(const exchange_ptr& request, MHD_Connection* connection,
                              const front_route& route, const config::fleet& fleet);
    MHD_Result dispatch_plain(const exchange_ptr& request, MHD_Connection* connection,
                              const front_route& route, const std::string& method, const std::string& path);
    MHD_Result publish(const exchange_ptr& request, core::event_body event);
    void completed(const exchange_ptr& request);

    config::fleet_ptr fleet();
    exchange_ptr find(const request_id& request);

    const caller_front_options options_;
    const event_sink sink_;
    connection_watch connections_;
    body_budget bodies_;
    MHD_Daemon* daemon_ = nullptr;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_; ///< guards what follows
    config::fleet_ptr fleet_;
    std::unordered_map<request_id, exchange_ptr> open_;
};

openai::api_error make_error(int status, std::string code, std::string message)
{
    openai::api_error error;
    error.status = status;
    error.code = std::move(code);
    error.message = std::move(message);
    return error;
}

result<void> http_caller_front::open()
{
    const auto address = parse_address(options_.address);
    if (!address) {
        return tl::unexpected<error>(address.error());
    }
    const sockaddr_in native = to_sockaddr(*address);
    const unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
    // One thread means none in a pool.
    const unsigned pool = options_.threads > 1 ? options_.threads : 0;
    daemon_ = MHD_start_daemon(
        flags, 0, nullptr, nullptr, &http_caller_front::on_access, this, MHD_OPTION_SOCK_ADDR, &native,
        MHD_OPTION_CONNECTION_LIMIT, options_.max_connections, MHD_OPTION_CONNECTION_TIMEOUT, idle_seconds,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, options_.connection_memory_bytes, MHD_OPTION_THREAD_POOL_SIZE,
        pool, MHD_OPTION_URI_LOG_CALLBACK, &http_caller_front::on_uri, this, MHD_OPTION_NOTIFY_COMPLETED,
        &http_caller_front::on_completed, this, MHD_OPTION_NOTIFY_CONNECTION,
        &http_caller_front::on_connection, this, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    if (daemon_ == nullptr) {
        return fail(error_kind::unavailable, "can't listen for callers on " + options_.address);
    }
    return {};
}

http_caller_front::~http_caller_front()
{
    stopping_ = true;
    if (daemon_ == nullptr) {
        return;
    }
    MHD_quiesce_daemon(daemon_);
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [id, request] : open_) {
            request->abandon();
        }
    }
    MHD_stop_daemon(daemon_);
}

void http_caller_front::set_fleet(config::fleet_ptr fleet)
{
    const std::lock_guard lock(mutex_);
    fleet_ = std::move(fleet);
}

config::fleet_ptr http_caller_front::fleet()
{
    const std::lock_guard lock(mutex_);
    return fleet_;
}

exchange_ptr http_caller_front::find(const request_id& request)
{
    const std::lock_guard lock(mutex_);
    const auto found = open_.find(request);
    return found == open_.end() ? nullptr : found->second;
}

prompt_ptr http_caller_front::prompt(const request_id& request)
{
    const exchange_ptr found = find(request);
    return found ? found->prompt : nullptr;
}

call_ptr http_caller_front::call(const request_id& request)
{
    const exchange_ptr found = find(request);
    return found ? found->call : nullptr;
}

void http_caller_front::send(const core::reply_tokens& tokens)
{
    if (const exchange_ptr found = find(tokens.request)) {
        found->send(tokens, options_.max_unsent_bytes);
    }
}

void http_caller_front::forward(const request_id& request, std::shared_ptr<answer_pipe> answer)
{
    if (const exchange_ptr found = find(request)) {
        found->forward(std::move(answer));
    }
}

void http_caller_front::end(const core::reply_end& reply)
{
    if (const exchange_ptr found = find(reply.request)) {
        found->end(reply);
    }
}

std::uint16_t http_caller_front::port() const
{
    const MHD_DaemonInfo* const info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
    return info == nullptr ? 0 : info->port;
}

std::size_t http_caller_front::open_requests()
{
    const std::lock_guard lock(mutex_);
    return open_.size();
}

void* http_caller_front::on_uri(void*, const char* uri, MHD_Connection* connection)
{
    return new exchange_ptr(std::make_shared<exchange>(connection, uri == nullptr ? "" : uri));
}

MHD_Result http_caller_front::on_access(void* self, MHD_Connection* connection, const char* url,
                                        const char* method, const char*, const char* data, std::size_t* size,
                                        void** state)
{
    auto& front = *static_cast<http_caller_front*>(self);
    const exchange_ptr request = *static_cast<exchange_ptr*>(*state);
    if (front.stopping_) {
        return MHD_NO;
    }
    if (!request->begun) {
        request->begun = true;
        return front.begin(request, connection, method, url);
    }
    if (*size != 0) {
        return front.take_body(request, connection, data, size);
    }
    if (!request->dispatched) {
        request->dispatched = true;
        front.connections_.set_phase(connection, connection_phase::answer);
        return front.dispatch(request, connection, method, url);
    }
    return request->wait_for_head() ? MHD_YES : request->queue_answer();
}

MHD_Result http_caller_front::begin(const exchange_ptr& request, MHD_Connection* connection,
                                    std::string_view method, std::string_view path)
{
    connections_.set_phase(connection, connection_phase::body);
    const config::fleet_ptr current = fleet();
    if (!current) {
        openai::api_error error =
            make_error(status_unavailable, "starting", "no configuration is in force here yet");
        error.retry_after = std::chrono::seconds(1);
        return request->queue_error(error);
    }
    const auto route = find_route(*current, connection, method, path, options_.max_body_bytes);
    if (!route) {
        return request->queue_error(route.error());
    }
    if (!admit_declared_body(*request, connection)) {
        openai::api_error error =
            make_error(status_unavailable, "busy", "the memory for request bodies is used up");
        error.retry_after = std::chrono::seconds(1);
        return request->queue_error(error);
    }
    return MHD_YES;
}

bool http_caller_front::admit_declared_body(exchange& request, MHD_Connection* connection)
{
    const std::string declared = request_header(connection, "Content-Length");
    std::size_t bytes = 0;
    std::from_chars(declared.data(), declared.data() + declared.size(), bytes);
    if (bytes <= small_body_bytes) {
        return true;
    }
    // find_route() has refused more than max_body_bytes.
    if (!request.body_memory.take(bodies_, bytes)) {
        return false;
    }
    request.body.reserve(bytes);
    connections_.on_large_body(connection, 0);
    return true;
}

MHD_Result http_caller_front::take_body(const exchange_ptr& request, MHD_Connection* connection,
                                        const char* data, std::size_t* size)
{
    const std::size_t received = *size;
    *size = 0;
    request->body_too_large =
        request->body_too_large || request->body.size() + received > options_.max_body_bytes;
    if (request->body_too_large) {
        std::string().swap(request->body); // an assignment would keep the memory
        request->dropped_bytes += received;
        if (request->dropped_bytes > max_dropped_bytes) {
            connections_.answer_and_cut(connection, too_large_answer);
        }
        return MHD_YES;
    }
    const bool is_large = request->body.size() + received > small_body_bytes;
    if (is_large && !request->body_memory.taken() &&
        !request->body_memory.take(bodies_, growth_factor * options_.max_body_bytes)) {
        connections_.answer_and_cut(connection, busy_answer);
        return MHD_YES;
    }
    if (is_large) {
        connections_.on_large_body(connection, received);
    }
    request->body.append(data, received);
    return MHD_YES;
}

MHD_Result http_caller_front::dispatch(const exchange_ptr& request, MHD_Connection* connection,
                                       const std::string& method, const std::string& path)
{
    if (request->body_too_large) {
        return request->queue_error(
            make_error(status_too_large, "body_too_large",
                       "the body has more than " + std::to_string(options_.max_body_bytes) + " bytes"));
    }
    const config::fleet_ptr current = fleet();
    const auto route = find_route(*current, connection, method, path, options_.max_body_bytes);
    if (!route) {
        return request->queue_error(route.error());
    }
    request->id = request_id(random_hex());
    switch (route->kind) {
    case route_kind::models:
        return request->queue_body(MHD_HTTP_OK, "application/json",
                                   openai::models_body(*current, *route->caller));
    case route_kind::plain:
        return dispatch_plain(request, connection, *route, method, path);
    case route_kind::completions:
    case route_kind::chat_completions:
        break;
    }
    return dispatch_model(request, connection, *route, *current);
}

MHD_Result http_caller_front::dispatch_model(const exchange_ptr& request, MHD_Connection* connection,
                                             const front_route& route, const config::fleet& fleet)
{
    const auto style = route.kind == route_kind::chat_completions ? openai::answer_style::chat
                                                                  : openai::answer_style::completion;
    auto parsed = openai::parse_request(style, request->body);
    std::string().swap(request->body);
    if (!parsed) {
        return request->queue_error(parsed.error());
    }
    const config::service_spec* const service = find_model_service(fleet, *route.caller, parsed->model);
    if (service == nullptr) {
        return request->queue_error(
            make_error(status_not_found, "model_not_found", "there is no such model for this API key"));
    }
    core::generate_arrived arrived;
    arrived.request = request->id;
    arrived.organisation = route.caller->id;
    arrived.service = service->id;
    arrived.prompt_tokens = policy::count_tokens(parsed->prompt);
    arrived.max_output = parsed->max_tokens;
    arrived.prefix_pieces = policy::prefix_pieces(parsed->prompt, service->piece_tokens);
    arrived.stream = parsed->stream;
    arrived.engine_request = engine_request_id(random_hex());

    const auto now = std::chrono::duration_cast<std::chrono::seconds>(wall_now().time_since_epoch());
    request->stream = parsed->stream;
    request->context = {style, request->id.str(), parsed->model, now.count(), arrived.prompt_tokens};
    request->prompt =
        std::make_shared<const prompt_body>(prompt_body{std::move(parsed->prompt), parsed->max_tokens});

    const std::string token = request_header(connection, "Last-Event-ID");
    if (token.empty()) {
        return publish(request, std::move(arrived));
    }
    if (!request->stream) {
        return request->queue_error(
            make_error(status_bad_request, "invalid_value", "Last-Event-ID is for streamed answers only"));
    }
    return publish(request,
                   core::stream_resumed{arrived.request, arrived.organisation, arrived.service, token,
                                        arrived.prompt_tokens, arrived.max_output, arrived.prefix_pieces});
}

MHD_Result http_caller_front::dispatch_plain(const exchange_ptr& request, MHD_Connection* connection,
                                             const front_route& route, const std::string& method,
                                             const std::string& path)
{
    request->call = make_call(connection, method, request->uri, std::move(request->body), route, request->id);
    std::string().swap(request->body);
    if (const auto checked = check_call(*request->call); !checked) {
        return request->queue_error(
            make_error(status_bad_request, "invalid_request", checked.error().message));
    }
    return publish(request, make_call_arrived(connection, path, *request->call, route, request->id));
}

MHD_Result http_caller_front::publish(const exchange_ptr& request, core::event_body event)
{
    {
        const std::lock_guard lock(mutex_);
        open_.emplace(request->id, request);
    }
    sink_(std::move(event));
    // libmicrohttpd calls on_access again at once, and that call waits for the answer. A connection suspended
    // by this call would count as one to read from when it is resumed, and a caller that has shut down its
    // sending side would be closed without an answer.
    return MHD_YES;
}

void http_caller_front::on_completed(void* self, MHD_Connection* connection, void** state,
                                     MHD_RequestTerminationCode)
{
    auto& front = *static_cast<http_caller_front*>(self);
    if (*state == nullptr) {
        return;
    }
    const std::unique_ptr<exchange_ptr> request(static_cast<exchange_ptr*>(*state));
    *state = nullptr;
    front.completed(*request);
    front.connections_.set_phase(connection, connection_phase::head);
}

void http_caller_front::completed(const exchange_ptr& request)
{
    if (request->id.empty()) {
        return;
    }
    const bool was_open = [&] {
        const std::lock_guard lock(mutex_);
        return open_.erase(request->id) > 0;
    }();
    if (was_open && !request->ended()) {
        sink_(core::caller_gone{request->id});
    }
    request->detach();
}

void http_caller_front::on_connection(void* self, MHD_Connection* connection, void** context,
                                      MHD_ConnectionNotificationCode what)
{
    auto& front = *static_cast<http_caller_front*>(self);
    if (what == MHD_CONNECTION_NOTIFY_CLOSED) {
        front.connections_.closed(context);
    } else {
        front.connections_.opened(connection, context);
    }
}

void http_caller_front::sweep(instant now)
{
    connections_.cut_slow_senders(now);
    connections_.cut_idle(now,
                          options_.max_connections - options_.max_connections / free_connections_divisor);
    if (bodies_.was_short()) {
        connections_.cut_stalled_bodies(now);
    }
    std::vector<request_id> gone;
    {
        // Requests leave the table before their connection is closed, so that those in it have an open one.
        const std::lock_guard lock(mutex_);
        for (const auto& [id, request] : open_) {
            if (request->caller_has_gone()) {
                gone.push_back(id);
            }
        }
        for (const request_id& id : gone) {
            open_.at(id)->abandon();
        }
    }
}

} // namespace

result<std::unique_ptr<caller_front>> make_http_caller_front(caller_front_options options, event_sink sink)
{
    auto front = std::make_unique<http_caller_front>(std::move(options), std::move(sink));
    if (auto opened = front->open(); !opened) {
        return tl::unexpected<error>(opened.error());
    }
    return front;
}

} // namespace currantspar::io
