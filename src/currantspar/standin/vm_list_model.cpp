#include "currantspar/standin/vm_list_model.hpp"

#include <utility>

namespace currantspar::standin {

void vm_list_model::set(std::vector<core::vm_entry> vms, instant now)
{
    versions_.push_back({now, std::move(vms)});
    while (versions_.size() > 1 && now - versions_[1].since > lag_) {
        versions_.pop_front();
    }
}

std::optional<std::vector<core::vm_entry>> vm_list_model::read(instant now) const
{
    if (outage_) {
        return std::nullopt;
    }
    std::vector<core::vm_entry> shown;
    for (const version& candidate : versions_) {
        if (now - candidate.since >= lag_) {
            shown = candidate.vms;
        }
    }
    return shown;
}

const std::vector<core::vm_entry>& vm_list_model::current() const
{
    static const std::vector<core::vm_entry> none;
    return versions_.empty() ? none : versions_.back().vms;
}

} // namespace currantspar::standin
