#include "currantspar/relay/role_plan.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace currantspar::relay {

namespace {

/// Removes and returns the next engine to change, from the data centre with the most engines left in the map.
const server_entry*
take_from_fullest(std::map<data_centre_id, std::vector<const server_entry*>>& by_data_centre)
{
    const auto fullest = std::max_element(
        by_data_centre.begin(), by_data_centre.end(),
        [](const auto& left, const auto& right) { return left.second.size() < right.second.size(); });
    if (fullest == by_data_centre.end() || fullest->second.empty()) {
        return nullptr;
    }
    const server_entry* engine = fullest->second.back();
    fullest->second.pop_back();
    return engine;
}

} // namespace

std::vector<role_change> plan_roles(const std::vector<server_entry>& engines,
                                    const std::set<backend_id>& changing, bool serving,
                                    const role_plan_options& options)
{
    const auto total = static_cast<unsigned>(engines.size());
    if (total < 2) {
        return {};
    }
    std::map<data_centre_id, std::vector<const server_entry*>> prefill_engines;
    std::map<data_centre_id, std::vector<const server_entry*>> decode_engines;
    unsigned prefill_count = 0;
    for (const server_entry& engine : engines) {
        const bool is_prefill = engine.role == config::engine_role::prefill;
        const bool changes = changing.contains(engine.id);
        prefill_count += is_prefill != changes ? 1 : 0;
        if (!changes) {
            (is_prefill ? prefill_engines : decode_engines)[engine.data_centre].push_back(&engine);
        }
    }
    const unsigned min_decode_engines = std::min(options.min_decode_engines, total - 1);
    const auto rounded_target = static_cast<unsigned>(std::lround(total * options.prefill_fraction));
    const unsigned target = std::min(rounded_target, total - min_decode_engines);
    const double max_fraction =
        serving ? options.max_change_fraction_serving : options.max_change_fraction_idle;
    const unsigned max_changes = std::max(serving ? options.max_changes_serving : options.max_changes_idle,
                                          static_cast<unsigned>(total * max_fraction));
    std::vector<role_change> changes;
    const unsigned tolerance = serving ? options.missing_tolerance_serving : options.missing_tolerance;
    const bool too_few = prefill_count + tolerance < target;
    const bool too_many = prefill_count > target + options.excess_tolerance;
    while (changing.size() + changes.size() < max_changes) {
        const bool add = too_few && prefill_count < target;
        const bool remove = too_many && prefill_count > target;
        if (!add && !remove) {
            break;
        }
        const server_entry* engine = take_from_fullest(add ? decode_engines : prefill_engines);
        if (engine == nullptr) {
            break;
        }
        changes.push_back({engine->id, add ? config::engine_role::prefill : config::engine_role::decode});
        prefill_count += add ? 1 : 0;
        prefill_count -= remove ? 1 : 0;
    }
    return changes;
}

} // namespace currantspar::relay
