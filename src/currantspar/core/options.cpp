#include "currantspar/core/options.hpp"

#include <algorithm>
#include <array>

namespace currantspar::core {

namespace {

constexpr std::array<std::string_view, injected_fault_count + 1> fault_names = {"none",
                                                                                "no_takeover_wait",
                                                                                "lease_from_read_back",
                                                                                "fence_not_compared",
                                                                                "former_holder_ignored",
                                                                                "checkpoint_by_position",
                                                                                "no_read_back",
                                                                                "view_ack_skipped",
                                                                                "report_by_receipt",
                                                                                "open_order_ignored",
                                                                                "stale_view_accepted",
                                                                                "leaving_ignored",
                                                                                "drain_skipped",
                                                                                "crossed_accepted",
                                                                                "positions_ignored",
                                                                                "truncated_accepted",
                                                                                "booking_repeated",
                                                                                "key_not_recorded",
                                                                                "given_up_dispatched",
                                                                                "not_run_guessed",
                                                                                "silence_ignored",
                                                                                "stop_cuts"};

} // namespace

std::string_view fault_name(injected_fault fault)
{
    return fault_names[static_cast<std::size_t>(fault)];
}

injected_fault fault_of(std::string_view name)
{
    const auto found = std::find(fault_names.begin(), fault_names.end(), name);
    return found == fault_names.end() ? injected_fault::none
                                      : static_cast<injected_fault>(found - fault_names.begin());
}

} // namespace currantspar::core
