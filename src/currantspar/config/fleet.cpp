#include "currantspar/config/fleet.hpp"

#include <algorithm>

namespace currantspar::config {

const service_spec* fleet::find_service(const service_id& id) const
{
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&](const service_spec& service) { return service.id == id; });
    return found == services.end() ? nullptr : &*found;
}

const organisation_spec* fleet::find_organisation(const std::string& key_hash) const
{
    for (const organisation_spec& organisation : organisations) {
        const auto& hashes = organisation.key_hashes;
        if (std::find(hashes.begin(), hashes.end(), key_hash) != hashes.end()) {
            return &organisation;
        }
    }
    return nullptr;
}

duration fleet::delay(const data_centre_id& from, const data_centre_id& to) const
{
    if (from == to) {
        return duration::zero();
    }
    const auto found = delays.find(std::minmax(from, to));
    return found == delays.end() ? std::chrono::milliseconds(1) : found->second;
}

} // namespace currantspar::config
