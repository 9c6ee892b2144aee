#ifndef CURRANTSPAR_POLICY_ENGINE_TIMING_HPP
#define CURRANTSPAR_POLICY_ENGINE_TIMING_HPP

#include <cmath>
#include <cstdint>

#include "currantspar/base/time.hpp"

namespace currantspar::policy {

/// Assumed speed of an engine. The dispatcher scales it by the measured prediction errors.
struct engine_timing
{
    double prefill_tokens_per_second = 16000;
    double mixed_prefill_fraction = 0.8; ///< of that rate; a mixed engine computes smaller chunks
    duration decode_step = std::chrono::milliseconds(9);
    duration decode_step_per_sequence = std::chrono::microseconds(120);
    std::uint32_t prefill_chunk = 512; ///< prefill tokens computed along with one decode step
    std::uint32_t max_batch = 64;
};

/// An exponentially decaying rate. Not thread safe.
class rate_meter
{
public:
    explicit rate_meter(duration memory = std::chrono::seconds(8)) : memory_(memory) {}

    void add(double amount, instant now)
    {
        sum_ = decayed_sum(now) + amount;
        at_ = std::max(at_, now);
    }
    /// The current rate per second.
    [[nodiscard]] double rate(instant now) const { return decayed_sum(now) / to_seconds(memory_); }

private:
    [[nodiscard]] double decayed_sum(instant now) const
    {
        return now <= at_ ? sum_ : sum_ * std::exp(-to_seconds(now - at_) / to_seconds(memory_));
    }

    duration memory_;
    double sum_ = 0;
    instant at_{};
};

} // namespace currantspar::policy

#endif
