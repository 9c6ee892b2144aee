#ifndef CURRANTSPAR_RELAY_DECAYING_RATE_HPP
#define CURRANTSPAR_RELAY_DECAYING_RATE_HPP

#include "currantspar/base/time.hpp"

namespace currantspar::relay {

/// Average rate of an amount over the recent past, with exponentially decreasing weights. Not thread safe.
class decaying_rate
{
public:
    /// Precondition: time_constant > 0.
    explicit decaying_rate(duration time_constant = std::chrono::seconds(2)) : time_constant_(time_constant)
    {}

    /// Adds an amount. Precondition: `now` isn't before that of an earlier call.
    void add(double amount, instant now);
    /// Returns the amount per second.
    [[nodiscard]] double per_second(instant now) const;

private:
    [[nodiscard]] double remaining(instant now) const;

    duration time_constant_;
    double sum_ = 0; ///< decayed to updated_
    instant updated_{};
};

} // namespace currantspar::relay

#endif
