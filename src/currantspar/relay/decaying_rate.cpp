#include "currantspar/relay/decaying_rate.hpp"

#include <cmath>

namespace currantspar::relay {

void decaying_rate::add(double amount, instant now)
{
    sum_ = remaining(now) + amount;
    updated_ = now;
}

double decaying_rate::per_second(instant now) const
{
    return remaining(now) / to_seconds(time_constant_);
}

double decaying_rate::remaining(instant now) const
{
    const auto age = std::chrono::duration_cast<duration>(now - updated_);
    return sum_ * std::exp(-to_seconds(age) / to_seconds(time_constant_));
}

} // namespace currantspar::relay
