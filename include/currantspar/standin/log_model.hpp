#ifndef CURRANTSPAR_STANDIN_LOG_MODEL_HPP
#define CURRANTSPAR_STANDIN_LOG_MODEL_HPP

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "currantspar/base/ids.hpp"
#include "currantspar/base/time.hpp"

namespace currantspar::standin {

struct log_model_options
{
    duration retention = std::chrono::hours(24);
    double appends_per_second = 300;      ///< batches; more are refused
    std::size_t record_limit = 1U << 20U; ///< bytes
};

/// A stored record.
struct log_entry
{
    log_offset offset;
    instant appended{};
    std::string bytes;
};

enum class log_answer
{
    ok,
    refused,   ///< rate limit or record too large; nothing was appended
    no_answer, ///< outage, or the answer was lost after the append took effect
};

struct append_result
{
    log_answer answer = log_answer::ok;
    log_offset first;
};

struct read_result
{
    log_answer answer = log_answer::ok;
    log_offset first_retained;
    log_offset head; ///< the next append's offset
    std::vector<log_entry> entries;
};

/// The platform's append-only log in memory. Offsets start at 1. It has no clock and no threads: time comes
/// with each call and never goes back. Not thread safe.
class log_model
{
public:
    explicit log_model(log_model_options options = {});

    append_result append(const std::vector<std::string>& records, instant now);
    [[nodiscard]] read_result read(log_offset from, std::size_t most, instant now);

    // Faults.
    void set_outage(bool out) { outage_ = out; }
    /// The next appends take effect but their answers are lost.
    void lose_answers(unsigned count) { answers_to_lose_ = count; }

    /// What the log holds now, for the checks.
    [[nodiscard]] const std::deque<log_entry>& retained() const { return entries_; }
    [[nodiscard]] std::uint64_t appends() const { return appends_; }
    [[nodiscard]] std::uint64_t bytes() const { return bytes_; }

private:
    void expire(instant now);

    log_model_options options_;
    std::deque<log_entry> entries_;
    log_offset head_{1};
    bool outage_ = false;
    unsigned answers_to_lose_ = 0;
    std::uint64_t appends_ = 0;
    std::uint64_t bytes_ = 0;
    double tokens_ = 0; ///< of the rate limit
    instant refilled_{};
};

} // namespace currantspar::standin

#endif
