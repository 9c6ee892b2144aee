#include "whole_answer.hpp"

namespace currantspar::io {

namespace {

constexpr int status_ok = 200;

class collector : public http_handler
{
public:
    collector(std::size_t most, std::function<void(const whole_answer&)> done)
        : most_(most), done_(std::move(done))
    {}

    bool on_data(std::string_view bytes) override
    {
        too_large_ = too_large_ || answer_.body.size() + bytes.size() > most_;
        if (!too_large_) {
            answer_.body.append(bytes);
        }
        return true;
    }

    void on_end(const transfer_end& end) override
    {
        answer_.end = end;
        if (too_large_) {
            answer_.end.how = transfer_result::broken;
            answer_.end.reason = "the answer is too large";
        }
        done_(answer_);
    }

private:
    const std::size_t most_;
    std::function<void(const whole_answer&)> done_;
    whole_answer answer_;
    bool too_large_ = false;
};

} // namespace

bool whole_answer::ok() const
{
    return end.how == transfer_result::complete && end.status == status_ok;
}

std::shared_ptr<http_handler> collect_answer(std::size_t most, std::function<void(const whole_answer&)> done)
{
    return std::make_shared<collector>(most, std::move(done));
}

} // namespace currantspar::io
