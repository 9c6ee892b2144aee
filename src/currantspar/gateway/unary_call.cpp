#include "unary_call.hpp"

#include <utility>

#include "currantspar/io/log.hpp"

namespace currantspar::gateway {

namespace {

/// The node's own calls have small responses.
constexpr std::size_t max_call_body_bytes = 1048576;

} // namespace

class unary_calls::call : public exchange_sink
{
public:
    call(server_pool& pool, instant deadline, response_handler done)
        : pool_(pool), deadline_(deadline), done_(std::move(done))
    {}
    ~call() override { pool_.cancel(exchange_); }

    void start(const std::string& address, std::string request, instant now)
    {
        exchange_ = pool_.start(address, {std::move(request), {}}, *this, now);
    }
    bool response_head(int status, const http_fields& fields) override
    {
        response_.status = status;
        response_.fields = fields;
        return true;
    }
    [[nodiscard]] std::size_t max_body_bytes() const override { return max_call_body_bytes; }
    void response_body(std::string_view bytes) override { response_.body.append(bytes); }
    void response_complete() override { finish(&response_); }
    void request_failed(bool, const std::string&) override { finish(nullptr); }
    void time_out()
    {
        pool_.cancel(exchange_);
        finish(nullptr);
    }

    [[nodiscard]] bool finished() const { return finished_; }
    [[nodiscard]] bool overdue(instant now) const { return !finished_ && now >= deadline_; }

private:
    void finish(const http_response* response)
    {
        if (!std::exchange(finished_, true)) {
            done_(response);
        }
    }

    server_pool& pool_;
    instant deadline_;
    response_handler done_;
    http_response response_;
    exchange_id exchange_ = 0;
    bool finished_ = false;
};

unary_calls::unary_calls() = default;

unary_calls::~unary_calls() = default;

void unary_calls::start(server_pool& pool, const std::string& address, result<std::string> request,
                        duration timeout, response_handler done, instant now)
{
    if (!request) {
        io::log_event(io::log_level::error, "call_not_encoded",
                      {{"address", address}, {"reason", request.error().message}});
        calls_.push_back(std::make_unique<call>(pool, now, std::move(done)));
        return;
    }
    calls_.push_back(std::make_unique<call>(pool, now + timeout, std::move(done)));
    calls_.back()->start(address, std::move(*request), now);
}

void unary_calls::on_tick(instant now)
{
    // A handler may start further calls, which invalidates iterators, so the loop uses an index.
    for (std::size_t index = 0; index < calls_.size(); ++index) {
        if (calls_[index]->overdue(now)) {
            calls_[index]->time_out();
        }
    }
    std::erase_if(calls_, [](const auto& each) { return each->finished(); });
}

} // namespace currantspar::gateway
