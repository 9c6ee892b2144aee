#ifndef CURRANTSPAR_STANDIN_VM_LIST_MODEL_HPP
#define CURRANTSPAR_STANDIN_VM_LIST_MODEL_HPP

#include <deque>
#include <optional>
#include <vector>

#include "currantspar/core/platform_events.hpp"

namespace currantspar::standin {

/// The platform's list of VMs: what it shows is `lag` old. Not thread safe.
class vm_list_model
{
public:
    explicit vm_list_model(duration lag = std::chrono::seconds(1)) : lag_(lag) {}

    /// Changes the true list.
    void set(std::vector<core::vm_entry> vms, instant now);
    /// What the list shows, or nothing during an outage.
    [[nodiscard]] std::optional<std::vector<core::vm_entry>> read(instant now) const;
    /// The true list.
    [[nodiscard]] const std::vector<core::vm_entry>& current() const;

    // Faults.
    void set_outage(bool out) { outage_ = out; }

private:
    struct version
    {
        instant since{};
        std::vector<core::vm_entry> vms;
    };
    duration lag_;
    std::deque<version> versions_;
    bool outage_ = false;
};

} // namespace currantspar::standin

#endif
