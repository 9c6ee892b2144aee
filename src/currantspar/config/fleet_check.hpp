#ifndef CURRANTSPAR_CONFIG_FLEET_CHECK_HPP
#define CURRANTSPAR_CONFIG_FLEET_CHECK_HPP

#include "currantspar/config/fleet_reader.hpp"

namespace currantspar::config {

/// Checks what joins values of the operators' text: names that must exist, names and addresses that must
/// differ, and dependencies without cycles. Thread safe.
void check_fleet(const located_fleet& located, fault_list& faults);

} // namespace currantspar::config

#endif
