#include "unary_call.hpp"

#include <utility>

namespace currantspar::gateway {

class unary_calls::call : public exchange_sink
{
public:
    call(server_pool& pool, instant give_up_at, response_handler done)
        : pool_(pool), give_up_at_(give_up_at), done_(std::move(done))
    {}
    ~call() override { pool_.cancel(exchange_); }

    void start(const std::string& address, const std::string& request, instant now)
    {
        exchange_ = pool_.start(address, request, *this, now);
    }
    bool response_head(int status, const http_fields& fields) override
    {
        answer_.status = status;
        answer_.fields = fields;
        return true;
    }
    void response_body(std::string_view bytes) override { answer_.body.append(bytes); }
    void response_complete() override { settle(&answer_); }
    void request_failed(bool, const std::string&) override { settle(nullptr); }
    void give_up()
    {
        pool_.cancel(exchange_);
        settle(nullptr);
    }

    [[nodiscard]] bool settled() const { return settled_; }
    [[nodiscard]] bool overdue(instant now) const { return !settled_ && now >= give_up_at_; }

private:
    void settle(const http_response* answer)
    {
        if (!std::exchange(settled_, true)) {
            done_(answer);
        }
    }

    server_pool& pool_;
    instant give_up_at_;
    response_handler done_;
    http_response answer_;
    exchange_id exchange_ = 0;
    bool settled_ = false;
};

unary_calls::unary_calls() = default;

unary_calls::~unary_calls() = default;

void unary_calls::start(server_pool& pool, const std::string& address, const std::string& request,
                        duration timeout, response_handler done, instant now)
{
    calls_.push_back(std::make_unique<call>(pool, now + timeout, std::move(done)));
    calls_.back()->start(address, request, now);
}

void unary_calls::on_tick(instant now)
{
    // A handler may start further calls, so the list is walked by index.
    for (std::size_t index = 0; index < calls_.size(); ++index) {
        if (calls_[index]->overdue(now)) {
            calls_[index]->give_up();
        }
    }
    std::erase_if(calls_, [](const auto& each) { return each->settled(); });
}

} // namespace currantspar::gateway
