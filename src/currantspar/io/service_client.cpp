#include "currantspar/io/service_client.hpp"

#include <mutex>
#include <unordered_map>
#include <utility>

namespace currantspar::io {

namespace {

struct open_call
{
    transfer_id transfer = 0;
    std::shared_ptr<answer_pipe> answer;
};

/// The calls that are open, by attempt.
class open_calls
{
public:
    void add(attempt_id attempt)
    {
        const std::lock_guard lock(mutex_);
        calls_[attempt] = {};
    }

    void set_transfer(attempt_id attempt, transfer_id transfer)
    {
        const std::lock_guard lock(mutex_);
        const auto found = calls_.find(attempt);
        if (found != calls_.end()) {
            found->second.transfer = transfer;
        }
    }

    void set_answer(attempt_id attempt, std::shared_ptr<answer_pipe> answer)
    {
        const std::lock_guard lock(mutex_);
        const auto found = calls_.find(attempt);
        if (found != calls_.end()) {
            found->second.answer = std::move(answer);
        }
    }

    open_call find(attempt_id attempt)
    {
        const std::lock_guard lock(mutex_);
        const auto found = calls_.find(attempt);
        return found == calls_.end() ? open_call() : found->second;
    }

    open_call remove(attempt_id attempt)
    {
        const std::lock_guard lock(mutex_);
        auto node = calls_.extract(attempt);
        return node ? std::move(node.mapped()) : open_call();
    }

private:
    std::mutex mutex_;
    std::unordered_map<attempt_id, open_call> calls_;
};

/// Carries one call's answer into a pipe.
class call_handler : public http_handler
{
public:
    call_handler(http_client& client, const core::start_call& request, std::size_t kept_most, event_sink sink,
                 std::shared_ptr<open_calls> open)
        : client_(client), attempt_(request.attempt), keep_(request.keep_body), kept_most_(kept_most),
          sink_(std::move(sink)), open_(std::move(open))
    {}

    void on_written() override { sink_(core::attempt_written{attempt_}); }

    void on_head(const http_head& head) override
    {
        status_ = head.status;
        content_type_ = head.header("content-type");
        pipe_ = std::make_shared<answer_pipe>(head);
        pipe_->set_on_space([this_client = &client_, open = open_, attempt = attempt_] {
            if (const transfer_id transfer = open->find(attempt).transfer; transfer != 0) {
                this_client->resume(transfer);
            }
        });
        open_->set_answer(attempt_, pipe_);
        sink_(core::answer_head{attempt_, status_});
    }

    bool on_data(std::string_view bytes) override
    {
        if (!pipe_->write(bytes)) {
            return false;
        }
        keep(bytes);
        return true;
    }

    void on_end(const transfer_end& transfer) override
    {
        const bool whole = transfer.how == transfer_result::complete;
        if (pipe_) {
            pipe_->close(whole ? answer_pipe::progress::complete : answer_pipe::progress::broken);
        }
        core::attempt_ended ended;
        ended.attempt = attempt_;
        ended.how = judge(transfer.how);
        ended.status = status_;
        ended.content_type = content_type_;
        ended.body = std::move(kept_);
        ended.body_kept = kept_whole_;
        sink_(std::move(ended));
    }

private:
    void keep(std::string_view bytes)
    {
        if (!keep_ || !kept_whole_) {
            return;
        }
        kept_whole_ = kept_.size() + bytes.size() <= kept_most_;
        if (kept_whole_) {
            kept_.append(bytes);
        } else {
            kept_.clear();
        }
    }

    static core::attempt_result judge(transfer_result how)
    {
        switch (how) {
        case transfer_result::complete:
            return core::attempt_result::complete;
        case transfer_result::not_written:
            return core::attempt_result::not_written;
        case transfer_result::silent:
            return core::attempt_result::silent;
        case transfer_result::broken:
            break;
        }
        return core::attempt_result::broken;
    }

    http_client& client_;
    const attempt_id attempt_;
    const bool keep_;
    const std::size_t kept_most_;
    const event_sink sink_;
    const std::shared_ptr<open_calls> open_;
    std::shared_ptr<answer_pipe> pipe_;
    std::string content_type_;
    std::string kept_;
    bool kept_whole_ = true;
    int status_ = 0;
};

class http_service_client : public service_client
{
public:
    http_service_client(http_client& client, service_client_options options, event_sink sink)
        : client_(client), options_(options), sink_(std::move(sink))
    {}

    void start(const core::start_call& request, const call_ptr& call) override
    {
        if (!call) {
            core::attempt_ended ended;
            ended.attempt = request.attempt;
            ended.how = core::attempt_result::not_written;
            sink_(std::move(ended));
            return;
        }
        http_request http;
        http.method = call->method;
        http.url = "http://" + request.address + call->path;
        http.headers = call->headers;
        http.body = call->body;
        http.idle_limit = request.idle_limit;
        const bool safe = call->method == "GET" || call->method == "HEAD";
        http.new_connection = request.new_connection || !safe;
        open_->add(request.attempt);
        auto handler =
            std::make_shared<call_handler>(client_, request, options_.kept_body_most, sink_, open_);
        open_->set_transfer(request.attempt, client_.start(std::move(http), std::move(handler)));
    }

    std::shared_ptr<answer_pipe> answer(attempt_id attempt) override { return open_->find(attempt).answer; }

    void cancel(const core::cancel_attempt& request) override
    {
        const open_call open = open_->remove(request.attempt);
        if (open.transfer != 0) {
            client_.cancel(open.transfer);
        }
    }

    void forget(attempt_id attempt) override { open_->remove(attempt); }

private:
    http_client& client_;
    const service_client_options options_;
    const event_sink sink_;
    const std::shared_ptr<open_calls> open_ = std::make_shared<open_calls>();
};

} // namespace

std::unique_ptr<service_client> make_http_service_client(http_client& client, service_client_options options,
                                                         event_sink sink)
{
    return std::make_unique<http_service_client>(client, options, std::move(sink));
}

} // namespace currantspar::io
