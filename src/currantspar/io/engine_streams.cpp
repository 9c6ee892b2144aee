#include "currantspar/io/engine_streams.hpp"

#include <mutex>
#include <unordered_map>
#include <utility>

#include "currantspar/base/wire_text.hpp"
#include "currantspar/io/log.hpp"
#include "sse_parser.hpp"
#include "whole_answer.hpp"

namespace currantspar::io {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

/// The attempts that are open, for cancelling them.
class open_attempts
{
public:
    struct entry
    {
        transfer_id transfer = 0;
        std::string address;
        engine_request_id engine_request;
    };

    void add(attempt_id attempt, entry open)
    {
        const std::lock_guard lock(mutex_);
        entries_[attempt] = std::move(open);
    }

    void set_transfer(attempt_id attempt, transfer_id transfer)
    {
        const std::lock_guard lock(mutex_);
        const auto found = entries_.find(attempt);
        if (found != entries_.end()) {
            found->second.transfer = transfer;
        }
    }

    std::optional<entry> remove(attempt_id attempt)
    {
        const std::lock_guard lock(mutex_);
        auto node = entries_.extract(attempt);
        return node ? std::optional<entry>(std::move(node.mapped())) : std::nullopt;
    }

private:
    std::mutex mutex_;
    std::unordered_map<attempt_id, entry> entries_;
};

/// What an event of an engine's stream says; members that it lacks keep their defaults.
struct stream_message
{
    engine_request_id request;
    engine_time at{};
    std::uint32_t position = 0;
    std::vector<std::string> tokens;
    std::uint32_t total = 0;
    std::string finish_reason;
    std::string handle;
};
CURRANTSPAR_JSON(stream_message, request, at, position, tokens, total, finish_reason, handle)

/// Turns one engine's stream into events.
class stream_handler : public http_handler
{
public:
    stream_handler(attempt_id attempt, bool prefill, event_sink sink, std::shared_ptr<open_attempts> open)
        : attempt_(attempt), prefill_(prefill), sink_(std::move(sink)), open_(std::move(open))
    {}

    void on_written() override { sink_(core::attempt_written{attempt_}); }

    void on_head(const http_head& head) override { status_ = head.status; }

    bool on_data(std::string_view bytes) override
    {
        if (status_ != status_ok || ended_) {
            return true;
        }
        for (const sse_event& event : parser_.feed(bytes)) {
            take(event);
        }
        if (parser_.overflowed()) {
            end(core::attempt_result::wrong);
        }
        return true;
    }

    void on_end(const transfer_end& transfer) override
    {
        open_->remove(attempt_);
        if (!ended_) {
            end(judge(transfer));
        }
    }

private:
    void take(const sse_event& event)
    {
        if (ended_) {
            return;
        }
        const auto message = read_json<stream_message>(nlohmann::json::parse(event.data, nullptr, false));
        if (!message) {
            end(core::attempt_result::wrong);
            return;
        }
        engine_request_ = message->request;
        if (event.name == "accepted") {
            sink_(core::attempt_accepted{attempt_, message->at});
        } else if (event.name == "exported") {
            take_handle(message->handle);
        } else if (event.name == "end") {
            total_ = message->total;
            finish_reason_ = message->finish_reason;
            end(core::attempt_result::complete);
        } else {
            sink_(core::attempt_tokens{attempt_, message->request, message->position, message->tokens});
        }
    }

    /// A handle that other engines can't be sent fails the prefill, so that another engine does it.
    void take_handle(const std::string& text)
    {
        const auto handle = kv_handle::parse(text);
        if (!handle) {
            log_event(log_level::warning, "prefill_refused",
                      {{"request", engine_request_.str()}, {"reason", handle.error().message}});
            end(core::attempt_result::wrong);
            return;
        }
        ended_ = true;
        sink_(core::kv_moved{attempt_, core::kv_step::exported, *handle});
    }

    [[nodiscard]] core::attempt_result judge(const transfer_end& transfer) const
    {
        if (transfer.how == transfer_result::not_written) {
            return core::attempt_result::not_written;
        }
        if (transfer.status == status_unavailable || transfer.status == status_not_found) {
            return core::attempt_result::refused;
        }
        if (transfer.how == transfer_result::silent) {
            return core::attempt_result::silent;
        }
        const bool unexpected = transfer.status != 0 && transfer.status != status_ok;
        return unexpected ? core::attempt_result::wrong : core::attempt_result::broken;
    }

    void end(core::attempt_result how)
    {
        ended_ = true;
        if (prefill_) {
            sink_(core::kv_moved{attempt_, core::kv_step::failed, {}});
            return;
        }
        core::attempt_ended ended;
        ended.attempt = attempt_;
        ended.engine_request = engine_request_;
        ended.how = how;
        ended.total_tokens = total_;
        ended.finish_reason = finish_reason_;
        ended.status = status_;
        sink_(std::move(ended));
    }

    const attempt_id attempt_;
    const bool prefill_;
    const event_sink sink_;
    const std::shared_ptr<open_attempts> open_;
    sse_parser parser_;
    engine_request_id engine_request_;
    std::uint32_t total_ = 0;
    std::string finish_reason_;
    int status_ = 0;
    bool ended_ = false;
};

/// The body of `POST /v1/completions` at an engine.
struct completion_request
{
    engine_request_id request;
    std::string prompt;
    std::uint32_t max_tokens = 0;
    unsigned priority = 1;
    std::uint32_t from_position = 0;
    std::vector<std::string> prefix;
    bool prefill_only = false;
    currantspar::kv_handle kv_handle;
    std::string kv_address;
};
CURRANTSPAR_JSON(completion_request, request, prompt, max_tokens, priority, from_position, prefix,
                 prefill_only, kv_handle, kv_address)

/// On a new connection: refusals and prefill responses name no request, so on a kept one a copy of an earlier
/// response could be taken for this one.
http_request post_completion(const std::string& address, const completion_request& body)
{
    http_request http;
    http.new_connection = true;
    http.method = "POST";
    http.url = "http://" + address + "/v1/completions";
    http.headers = {{"Content-Type", "application/json"}, {"Accept", "text/event-stream"}};
    // A prompt that isn't UTF-8 was refused at the front; replacing is the second line of defence.
    http.body = std::make_shared<const std::string>(
        nlohmann::json(body).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    return http;
}

http_request resume_stream(const core::start_generation& request)
{
    http_request http;
    http.url = "http://" + request.address + "/v1/requests/" + to_path_segment(request.engine_request.str()) +
               "/stream?from=" + std::to_string(request.from_position);
    http.new_connection = request.new_connection;
    return http;
}

class http_engine_streams : public engine_streams
{
public:
    http_engine_streams(http_client& client, event_sink sink) : client_(client), sink_(std::move(sink)) {}

    void start(const core::start_generation& request, const prompt_ptr& prompt) override
    {
        if (!prompt) {
            core::attempt_ended ended;
            ended.attempt = request.attempt;
            ended.how = core::attempt_result::not_written;
            sink_(std::move(ended));
            return;
        }
        http_request http;
        if (request.resume) {
            http = resume_stream(request);
        } else {
            completion_request body;
            body.request = request.engine_request;
            body.prompt = prompt->prompt;
            body.max_tokens = prompt->max_tokens;
            body.priority = request.priority;
            body.from_position = request.from_position;
            body.prefix = request.prefix;
            body.kv_handle = request.kv_handle;
            body.kv_address = request.kv_address;
            http = post_completion(request.address, body);
        }
        http.idle_limit = request.idle_limit;
        run(std::move(http), request.attempt, request.address, request.engine_request, false);
    }

    void start(const core::start_prefill& request, const prompt_ptr& prompt) override
    {
        if (!prompt) {
            sink_(core::kv_moved{request.attempt, core::kv_step::failed, {}});
            return;
        }
        completion_request body;
        body.request = request.engine_request;
        body.prompt = prompt->prompt;
        body.max_tokens = prompt->max_tokens;
        body.priority = request.priority;
        body.from_position = request.from_position;
        body.prefix = request.prefix;
        body.prefill_only = true;
        http_request http = post_completion(request.address, body);
        http.idle_limit = request.idle_limit;
        run(std::move(http), request.attempt, request.address, request.engine_request, true);
    }

    void cancel(const core::cancel_attempt& request) override
    {
        const auto open = open_->remove(request.attempt);
        if (!open) {
            return;
        }
        client_.cancel(open->transfer);
        if (request.cancel_at_engine) {
            http_request http;
            http.method = "DELETE";
            http.url = "http://" + open->address + "/v1/requests/" + open->engine_request.str();
            client_.start(std::move(http), collect_answer(0, [](const whole_answer&) {}));
        }
    }

private:
    void run(http_request http, attempt_id attempt, const std::string& address,
             const engine_request_id& engine_request, bool prefill)
    {
        // The entry must stand before the handler can remove it.
        auto handler = std::make_shared<stream_handler>(attempt, prefill, sink_, open_);
        open_->add(attempt, {0, address, engine_request});
        const transfer_id transfer = client_.start(std::move(http), std::move(handler));
        open_->set_transfer(attempt, transfer);
    }

    http_client& client_;
    const event_sink sink_;
    const std::shared_ptr<open_attempts> open_ = std::make_shared<open_attempts>();
};

} // namespace

std::unique_ptr<engine_streams> make_http_engine_streams(http_client& client, event_sink sink)
{
    return std::make_unique<http_engine_streams>(client, std::move(sink));
}

} // namespace currantspar::io
