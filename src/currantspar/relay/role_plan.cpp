#include "currantspar/relay/role_plan.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace currantspar::relay {

namespace {

/// Takes the next engine to change: from the data centre that has most of its kind left.
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
    std::map<data_centre_id, std::vector<const server_entry*>> readers;
    std::map<data_centre_id, std::vector<const server_entry*>> decoders;
    unsigned reader_count = 0;
    for (const server_entry& engine : engines) {
        const bool reads = engine.role == config::engine_role::prefill;
        const bool changes = changing.contains(engine.id);
        reader_count += reads != changes ? 1 : 0;
        if (!changes) {
            (reads ? readers : decoders)[engine.data_centre].push_back(&engine);
        }
    }
    const unsigned min_decode_engines = std::min(options.min_decode_engines, total - 1);
    const auto share = static_cast<unsigned>(std::lround(total * options.prefill_fraction));
    const unsigned wanted = std::min(share, total - min_decode_engines);
    const double most_share =
        serving ? options.max_change_fraction_serving : options.max_change_fraction_idle;
    const unsigned most = std::max(serving ? options.max_changes_serving : options.max_changes_idle,
                                   static_cast<unsigned>(total * most_share));
    std::vector<role_change> changes;
    const unsigned missing = serving ? options.missing_tolerance_serving : options.missing_tolerance;
    const bool too_few = reader_count + missing < wanted;
    const bool too_many = reader_count > wanted + options.excess_tolerance;
    while (changing.size() + changes.size() < most) {
        const bool add = too_few && reader_count < wanted;
        const bool remove = too_many && reader_count > wanted;
        if (!add && !remove) {
            break;
        }
        const server_entry* engine = take_from_fullest(add ? decoders : readers);
        if (engine == nullptr) {
            break;
        }
        changes.push_back({engine->id, add ? config::engine_role::prefill : config::engine_role::decode});
        reader_count += add ? 1 : 0;
        reader_count -= remove ? 1 : 0;
    }
    return changes;
}

} // namespace currantspar::relay
