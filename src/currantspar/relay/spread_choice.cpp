#include "currantspar/relay/spread_choice.hpp"

#include <algorithm>

namespace currantspar::relay {

namespace {

/// Returns the level to which `work` raises the lowest costs. Precondition: `costs` isn't empty.
double filled_level(std::vector<double> costs, double work)
{
    std::sort(costs.begin(), costs.end());
    double sum = 0;
    double level = costs.front();
    for (std::size_t count = 1; count <= costs.size(); ++count) {
        sum += costs[count - 1];
        level = (sum + work) / static_cast<double>(count);
        if (count == costs.size() || level <= costs[count]) {
            break;
        }
    }
    return level;
}

} // namespace

spread_choice choose_spread(const std::vector<double>& costs, double unseen, random_generator& random)
{
    const auto lowest = std::min_element(costs.begin(), costs.end());
    const auto lowest_index = static_cast<std::size_t>(lowest - costs.begin());
    if (unseen <= 0) {
        return {lowest_index, 0};
    }
    const double level = filled_level(costs, unseen);
    double left = random.unit() * unseen;
    for (std::size_t index = 0; index < costs.size(); ++index) {
        const double share = std::max(0.0, level - costs[index]);
        if (left < share) {
            return {index, share};
        }
        left -= share;
    }
    return {lowest_index, level - *lowest};
}

} // namespace currantspar::relay
