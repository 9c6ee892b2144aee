#include "currantspar/standin/log_model.hpp"

#include <algorithm>

namespace currantspar::standin {

log_model::log_model(log_model_options options) : options_(options), tokens_(options.appends_per_second) {}

append_result log_model::append(const std::vector<std::string>& records, instant now)
{
    if (outage_) {
        return {log_answer::no_answer, {}};
    }
    expire(now);
    tokens_ = std::min(options_.appends_per_second,
                       tokens_ + to_seconds(now - refilled_) * options_.appends_per_second);
    refilled_ = now;
    const bool too_large = std::any_of(records.begin(), records.end(), [&](const std::string& bytes) {
        return bytes.size() > options_.record_limit;
    });
    if (too_large || tokens_ < 1) {
        return {log_answer::refused, {}};
    }
    tokens_ -= 1;
    appends_ += 1;
    const log_offset first = head_;
    for (const std::string& bytes : records) {
        entries_.push_back({head_, now, bytes});
        bytes_ += bytes.size();
        head_ = head_.next();
    }
    if (answers_to_lose_ > 0) {
        answers_to_lose_ -= 1;
        return {log_answer::no_answer, {}};
    }
    return {log_answer::ok, first};
}

read_result log_model::read(log_offset from, std::size_t most, instant now)
{
    if (outage_) {
        return {log_answer::no_answer, {}, {}, {}};
    }
    expire(now);
    read_result answer;
    answer.head = head_;
    answer.first_retained = entries_.empty() ? head_ : entries_.front().offset;
    if (entries_.empty() || from >= head_) {
        return answer;
    }
    const std::uint64_t skipped =
        std::max(from, answer.first_retained).value() - answer.first_retained.value();
    auto entry = entries_.begin() + static_cast<std::ptrdiff_t>(skipped);
    for (; entry != entries_.end() && answer.entries.size() < most; ++entry) {
        answer.entries.push_back(*entry);
    }
    return answer;
}

void log_model::expire(instant now)
{
    while (!entries_.empty() && now - entries_.front().appended > options_.retention) {
        entries_.pop_front();
    }
}

} // namespace currantspar::standin
