#include "capacity_control.hpp"

#include <algorithm>

#include <algorithm>

#include "currantspar/io/log.hpp"

namespace currantspar::gateway {

namespace {

constexpr duration update_period = std::chrono::milliseconds(250);
constexpr duration sample_period = std::chrono::milliseconds(50);
/// Weight of one sample in the mean of about a second.
constexpr double sample_weight = 0.05;
constexpr double ms_per_second = 1000;
/// The part of the time from sending a prompt until it is prefilled in which its engine works on it; the rest
/// is the way there and back and the end of the engine's current step.
constexpr double working_fraction = 0.7;

} // namespace

relay::scale_options capacity_control::duty_options()
{
    relay::scale_options options;
    // The demand is seen at the engines, where waiting counts as work: less headroom is needed above it.
    options.plan.target_utilisation = 0.85;
    return options;
}

std::vector<const relay::relayed_service*> capacity_control::services() const
{
    std::vector<const relay::relayed_service*> result;
    const auto& config = core_.routes().config();
    if (enabled_ && config) {
        for (const relay::relayed_service& service : config->services) {
            if (service.scaling) {
                result.push_back(&service);
            }
        }
    }
    return result;
}

std::map<service_id, double> capacity_control::own_demand(instant now) const
{
    std::map<service_id, double> demand_ms;
    for (const relay::relayed_service* service : services()) {
        demand_ms[service->id] = core_.demand().per_second(service->id, now);
    }
    return demand_ms;
}

void capacity_control::on_peer_demand(const std::string& sender,
                                      const std::map<service_id, double>& demand_ms, instant now,
                                      const data_centre_id& data_centre)
{
    if (enabled_ && !demand_ms.empty()) {
        demand_.on_report(sender, data_centre, demand_ms, now);
    }
}

relay::service_capacity capacity_control::view(const relay::relayed_service& service, instant now) const
{
    relay::service_capacity seen;
    seen.service = service.id;
    seen.scaling = *service.scaling;
    seen.demand = demand_.figures(service.id, relay::removal_hold(*service.scaling, {}), now);
    for (const auto& [data_centre, price] : service.scaling->prices) {
        seen.data_centres.insert(data_centre);
    }
    for (const auto& [id, entry] : core_.directory().entries()) {
        if (entry.service != service.id) {
            continue;
        }
        const relay::capacity_kind kind{entry.data_centre, entry.reclaimable};
        // A server that asked for a pause is there all the same, and is part of the number that is ordered.
        (entry.draining ? seen.draining : seen.open)[kind] += 1;
        if (service.scaling->prices.empty()) {
            seen.data_centres.insert(entry.data_centre);
        }
    }
    return seen;
}

void capacity_control::sample_engines(instant now)
{
    if (now < sample_due_) {
        return;
    }
    sample_due_ = now + sample_period;
    for (const relay::relayed_service* service : services()) {
        const auto& engines = core_.directory().open_servers(service->id);
        const auto prefilling = static_cast<double>(core_.engines().prefilling_engines(engines));
        const auto prefill_engines = std::count_if(engines.begin(), engines.end(), [](const auto& engine) {
            return engine.role == config::engine_role::prefill;
        });
        // Decode engines grow with the prefill engines: the role plan keeps their ratio.
        const double all_per_prefill =
            prefill_engines == 0 ? 1
                                 : static_cast<double>(engines.size()) / static_cast<double>(prefill_engines);
        double& mean = served_ms_.try_emplace(service->id, 0).first->second;
        mean += sample_weight * (prefilling * all_per_prefill * working_fraction * ms_per_second - mean);
    }
}

void capacity_control::on_tick(const std::vector<std::string>& recent_peers, instant now, instant duty_now)
{
    if (!enabled_) {
        return;
    }
    sample_engines(now);
    if (now < update_due_) {
        return;
    }
    update_due_ = now + update_period;
    if (auto own = own_demand(now); !own.empty()) {
        for (auto& [service, demand_ms] : own) {
            demand_ms += served_ms_[service];
        }
        demand_.on_report(node_, data_centre_, own, now);
    }
    demand_.on_tick(recent_peers.size() + 1, now);
    std::vector<relay::service_capacity> seen;
    for (const relay::relayed_service* service : services()) {
        seen.push_back(view(*service, now));
    }
    const bool is_first = std::all_of(recent_peers.begin(), recent_peers.end(),
                                      [&](const std::string& peer) { return node_ < peer; });
    duty_.update(seen, duty_now, is_first);
    for (const relay::log_decision& line : duty_.take_log()) {
        std::vector<io::log_field> fields;
        for (const auto& [key, value] : line.fields) {
            fields.push_back({key, value});
        }
        io::log_event(io::log_level::info, line.event, fields);
    }
}

} // namespace currantspar::gateway
