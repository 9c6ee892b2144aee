#include "currantspar/io/http_client.hpp"

#include <array>
#include <atomic>
#include <functional>
#include <mutex>
#include <thread>
#include <unordered_map>

#include <curl/curl.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "currantspar/base/wire_text.hpp"
#include "currantspar/io/clock.hpp"
#include "currantspar/io/log.hpp"
#include "http_transfer.hpp"

namespace currantspar::io {

namespace {

constexpr int events_at_once = 256;
constexpr duration sweep_every = std::chrono::milliseconds(20);
constexpr duration longest_wait = std::chrono::seconds(1);

/// Sets libcurl up once for the process.
void initialise_curl()
{
    static const CURLcode once = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(once);
}

tl::unexpected<error> refuse(std::string_view part, std::string_view text)
{
    return fail(error_kind::invalid, std::string(part) + " can't be written: " + escaped_excerpt(text));
}

/// True for headers that tell where a body ends; the client writes them.
bool frames_body(const std::string& name)
{
    return strcasecmp(name.c_str(), "Content-Length") == 0 ||
           strcasecmp(name.c_str(), "Transfer-Encoding") == 0;
}

} // namespace

result<void> check_headers(const std::vector<http_header>& headers)
{
    for (const http_header& header : headers) {
        if (!is_http_token(header.name) || frames_body(header.name)) {
            return refuse("header name", header.name);
        }
        if (!is_field_value(header.value)) {
            // The value isn't quoted, because it may be a caller's secret.
            return fail(error_kind::invalid, "value of " + header.name + " can't be written");
        }
    }
    return {};
}

result<void> check_request(const http_request& request)
{
    if (!is_http_token(request.method)) {
        return refuse("method", request.method);
    }
    // What follows a '#' isn't sent.
    if (!is_request_target(request.url) || request.url.find('#') != std::string::npos) {
        // The URL isn't quoted, because its query may hold a caller's secret.
        return fail(error_kind::invalid, "URL can't be written");
    }
    return check_headers(request.headers);
}

/// The client's thread: one epoll set that libcurl's sockets and the wake-up descriptor are in.
class http_client::loop
{
public:
    explicit loop(http_client_options options);
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;
    ~loop();

    transfer_id start(http_request request, std::shared_ptr<http_handler> handler);
    void cancel(transfer_id id);
    void resume(transfer_id id);

private:
    using command = std::function<void()>;

    static int on_socket(CURL*, curl_socket_t socket, int what, void* self, void* known);
    static int on_timer(CURLM*, long milliseconds, void* self);

    void post(command action);
    void run();
    void run_commands();
    void wait();
    void act(curl_socket_t socket, int flags);
    void collect_ended();
    void sweep(instant now);
    void add(transfer_id id, http_request request, std::shared_ptr<http_handler> handler);
    std::unique_ptr<http_transfer> take(transfer_id id);
    [[nodiscard]] int wait_milliseconds(instant now) const;

    const http_client_options options_;
    CURLM* multi_;
    int epoll_;
    int wake_;
    std::atomic<transfer_id> last_id_{0};
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::vector<command> commands_;
    std::unordered_map<transfer_id, std::unique_ptr<http_transfer>> transfers_;
    std::optional<instant> timer_;
    instant swept_{};
    std::thread thread_;
};

http_client::loop::loop(http_client_options options)
    : options_(options), multi_((initialise_curl(), curl_multi_init())), epoll_(epoll_create1(EPOLL_CLOEXEC)),
      wake_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &loop::on_socket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &loop::on_timer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, static_cast<long>(options_.pooled_most));
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = wake_;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_, &event);
    thread_ = std::thread([this] { run(); });
}

http_client::loop::~loop()
{
    stopping_ = true;
    post([] {});
    thread_.join();
    for (auto& [id, transfer] : transfers_) {
        curl_multi_remove_handle(multi_, transfer->handle());
    }
    transfers_.clear();
    curl_multi_cleanup(multi_);
    close(wake_);
    close(epoll_);
}

int http_client::loop::on_socket(CURL*, curl_socket_t socket, int what, void* self, void* known)
{
    auto& owner = *static_cast<loop*>(self);
    if (what == CURL_POLL_REMOVE) {
        epoll_ctl(owner.epoll_, EPOLL_CTL_DEL, socket, nullptr);
        curl_multi_assign(owner.multi_, socket, nullptr);
        return 0;
    }
    epoll_event event{};
    event.events =
        ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) | ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
    event.data.fd = socket;
    epoll_ctl(owner.epoll_, known != nullptr ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket, &event);
    curl_multi_assign(owner.multi_, socket, self);
    return 0;
}

int http_client::loop::on_timer(CURLM*, long milliseconds, void* self)
{
    auto& owner = *static_cast<loop*>(self);
    if (milliseconds < 0) {
        owner.timer_.reset();
    } else {
        owner.timer_ = monotonic_now() + std::chrono::milliseconds(milliseconds);
    }
    return 0;
}

void http_client::loop::post(command action)
{
    {
        const std::lock_guard lock(mutex_);
        commands_.push_back(std::move(action));
    }
    eventfd_write(wake_, 1);
}

transfer_id http_client::loop::start(http_request request, std::shared_ptr<http_handler> handler)
{
    const transfer_id id = ++last_id_;
    auto shared = std::make_shared<http_request>(std::move(request));
    post([this, id, shared, handler = std::move(handler)] { add(id, std::move(*shared), handler); });
    return id;
}

void http_client::loop::cancel(transfer_id id)
{
    post([this, id] { take(id); });
}

void http_client::loop::resume(transfer_id id)
{
    post([this, id] {
        const auto found = transfers_.find(id);
        if (found != transfers_.end()) {
            found->second->unpause();
        }
    });
}

void http_client::loop::run()
{
    while (!stopping_) {
        run_commands();
        wait();
        collect_ended();
        sweep(monotonic_now());
    }
}

void http_client::loop::run_commands()
{
    std::vector<command> taken;
    {
        const std::lock_guard lock(mutex_);
        taken.swap(commands_);
    }
    for (const command& action : taken) {
        action();
    }
}

int http_client::loop::wait_milliseconds(instant now) const
{
    duration wait = transfers_.empty() ? longest_wait : sweep_every;
    if (timer_) {
        wait = std::min(wait, std::max(duration(0), *timer_ - now));
    }
    return static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(wait).count());
}

void http_client::loop::wait()
{
    std::array<epoll_event, events_at_once> events;
    const int count = epoll_wait(epoll_, events.data(), events_at_once, wait_milliseconds(monotonic_now()));
    for (int index = 0; index < count; ++index) {
        const epoll_event& event = events[static_cast<std::size_t>(index)];
        if (event.data.fd == wake_) {
            eventfd_t value = 0;
            eventfd_read(wake_, &value);
            continue;
        }
        const int readable = (event.events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
        const int writable = (event.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
        const int failed = (event.events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0;
        act(event.data.fd, readable | writable | failed);
    }
    if (timer_ && *timer_ <= monotonic_now()) {
        timer_.reset();
        act(CURL_SOCKET_TIMEOUT, 0);
    }
}

void http_client::loop::act(curl_socket_t socket, int flags)
{
    int running = 0;
    curl_multi_socket_action(multi_, socket, flags, &running);
}

void http_client::loop::collect_ended()
{
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        const CURLcode code = message->data.result;
        void* found = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &found);
        const auto ended = take(static_cast<http_transfer*>(found)->id());
        ended->finish(code);
    }
}

void http_client::loop::sweep(instant now)
{
    if (now - swept_ < sweep_every) {
        return;
    }
    swept_ = now;
    std::vector<transfer_id> silent;
    for (const auto& [id, transfer] : transfers_) {
        if (transfer->silent(now)) {
            silent.push_back(id);
        }
    }
    for (const transfer_id id : silent) {
        take(id)->finish_silent();
    }
}

void http_client::loop::add(transfer_id id, http_request request, std::shared_ptr<http_handler> handler)
{
    if (const auto checked = check_request(request); !checked) {
        log_event(log_level::error, "request_not_encoded", {{"reason", checked.error().message}});
        handler->on_end({transfer_result::not_written, 0, false, checked.error().message});
        return;
    }
    auto transfer = std::make_unique<http_transfer>(id, std::move(request), std::move(handler), options_);
    CURL* handle = transfer->handle();
    transfers_.emplace(id, std::move(transfer));
    curl_multi_add_handle(multi_, handle);
}

std::unique_ptr<http_transfer> http_client::loop::take(transfer_id id)
{
    const auto found = transfers_.find(id);
    if (found == transfers_.end()) {
        return nullptr;
    }
    std::unique_ptr<http_transfer> taken = std::move(found->second);
    transfers_.erase(found);
    // Removing a transfer in its middle closes its connection.
    curl_multi_remove_handle(multi_, taken->handle());
    return taken;
}

http_client::http_client(http_client_options options) : loop_(std::make_unique<loop>(options)) {}

http_client::~http_client() = default;

transfer_id http_client::start(http_request request, std::shared_ptr<http_handler> handler)
{
    return loop_->start(std::move(request), std::move(handler));
}

void http_client::cancel(transfer_id id)
{
    loop_->cancel(id);
}

void http_client::resume(transfer_id id)
{
    loop_->resume(id);
}

} // namespace currantspar::io
