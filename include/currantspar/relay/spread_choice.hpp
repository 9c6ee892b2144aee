#ifndef CURRANTSPAR_RELAY_SPREAD_CHOICE_HPP
#define CURRANTSPAR_RELAY_SPREAD_CHOICE_HPP

#include <cstddef>
#include <vector>

#include "currantspar/base/random.hpp"

namespace currantspar::relay {

/// A choice among costs, and the work that others are expected to add to the same one at the same time.
struct spread_choice
{
    std::size_t index = 0;
    double expected_extra = 0; ///< in the unit of the costs
};

/// Chooses among `costs` when others choose at the same moment with the same information and together add
/// `unseen` work. If all chose the lowest cost, it would be overloaded. The unseen work is distributed so
/// that it raises the lowest costs to one level, and each is chosen with a probability in proportion to its
/// share. Without unseen work the lowest cost is chosen. Precondition: `costs` isn't empty. Thread safe.
[[nodiscard]] spread_choice choose_spread(const std::vector<double>& costs, double unseen,
                                          random_generator& random);

} // namespace currantspar::relay

#endif
