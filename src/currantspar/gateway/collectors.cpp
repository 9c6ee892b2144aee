#include "collectors.hpp"

#include <algorithm>

namespace currantspar::gateway {

std::vector<std::string> collectors(const std::string& self, const std::vector<std::string>& recent_peers)
{
    constexpr std::size_t max_collectors = 2;
    std::vector<std::string> lowest{self};
    for (const std::string& peer : recent_peers) {
        if (lowest.size() < max_collectors || peer < lowest.back()) {
            lowest.insert(std::lower_bound(lowest.begin(), lowest.end(), peer), peer);
            lowest.resize(std::min(lowest.size(), max_collectors));
        }
    }
    return lowest;
}

} // namespace currantspar::gateway
