#ifndef CURRANTSPAR_CONFIG_FLEET_READER_HPP
#define CURRANTSPAR_CONFIG_FLEET_READER_HPP

#include "currantspar/config/fleet.hpp"
#include "currantspar/config/object_reader.hpp"

namespace currantspar::config {

/// The operators' text with each value in range, before the checks that join values.
struct located_fleet
{
    fleet value;
    std::vector<std::string> delay_pointers; ///< one for each entry of `delays` as read
    std::vector<std::pair<data_centre_id, data_centre_id>> delay_pairs;
};

/// Reads the operators' text member by member. Thread safe.
[[nodiscard]] located_fleet read_fleet(const located_json& document, fault_list& faults);

} // namespace currantspar::config

#endif
