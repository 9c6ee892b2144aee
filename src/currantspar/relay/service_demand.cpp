#include "currantspar/relay/service_demand.hpp"

#include <algorithm>

namespace currantspar::relay {

namespace {

constexpr double tokens_per_thousand = 1000.0;
/// A node has few requests a second; over a shorter time its rate says little, and demand may double in 3 s.
constexpr duration node_window = std::chrono::seconds(2);
constexpr duration node_interval = std::chrono::milliseconds(250);
constexpr duration mean_window = std::chrono::seconds(10);

} // namespace

double request_work_ms(const engine_speed& speed, const engine_traits& traits, const request_info& request,
                       const placement* chosen)
{
    const double prefill = chosen != nullptr ? chosen->prefill_ms : prefill_ms(speed, request, 0, false);
    const double output = output_tokens(request);
    const double tokens = std::max(1.0, request.prompt_tokens + output);
    const double slots = std::max<std::uint32_t>(1, traits.slots);
    const double in_memory =
        traits.memory_tokens > 0 ? std::max(1.0, static_cast<double>(traits.memory_tokens) / tokens) : slots;
    const double context_ms = tokens / tokens_per_thousand * speed.context_ms_per_thousand;
    return prefill + output * (speed.step_ms / std::min(slots, in_memory) + context_ms);
}

void amount_history::add(double amount, instant now)
{
    const std::int64_t number = number_at(now);
    if (amounts_.empty() || amounts_.back().number != number) {
        amounts_.push_back({number, 0});
    }
    amounts_.back().amount += amount;
    while (amounts_.front().number < number - kept_ / interval_ - 1) {
        amounts_.pop_front();
    }
}

double amount_history::sum(duration window, instant now) const
{
    const std::int64_t current = number_at(now);
    const std::int64_t first = current - window / interval_;
    double total = 0;
    for (const interval_amount& each : amounts_) {
        total += each.number >= first && each.number < current ? each.amount : 0;
    }
    return total;
}

void service_demand::on_request(const service_id& service, double work_ms, instant now)
{
    services_.try_emplace(service, node_interval, node_window).first->second.add(work_ms, now);
}

double service_demand::per_second(const service_id& service, instant now) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.sum(node_window, now) / to_seconds(node_window);
}

void fleet_demand::on_report(const std::string& node, const data_centre_id& data_centre,
                             const std::map<service_id, double>& demand_ms, instant now)
{
    report& known = reports_[node];
    known.data_centre = data_centre;
    known.received = now;
    for (const auto& [service, each_ms] : demand_ms) {
        known.demand_ms[service] = each_ms;
    }
}

void fleet_demand::on_tick(std::size_t nodes, instant now)
{
    if (now < sample_due_) {
        return;
    }
    sample_due_ = now + options_.sample_period;
    std::erase_if(reports_,
                  [&](const auto& each) { return now - each.second.received > options_.report_max_age; });
    nodes_.push_back({now, nodes});
    while (now - nodes_.front().at > options_.kept) {
        nodes_.pop_front();
    }
    std::size_t most_nodes = 1;
    for (const node_count& each : nodes_) {
        most_nodes = std::max(most_nodes, each.nodes);
    }
    heard_fraction_ = static_cast<double>(reports_.size()) / static_cast<double>(most_nodes);
    const bool was_known = std::exchange(known_, heard_fraction_ >= options_.known_fraction);
    if (known_ && !was_known) {
        known_since_ = now;
    }
    std::map<service_id, double> sums;
    for (const auto& [service, samples] : samples_) {
        sums[service] = 0;
    }
    for (const auto& [node, each] : reports_) {
        for (const auto& [service, demand_ms] : each.demand_ms) {
            if (demand_ms > 0) {
                sums[service] += demand_ms;
            }
        }
    }
    for (const auto& [service, sum] : sums) {
        std::deque<sample>& samples = samples_[service];
        samples.push_back({now, sum, 0});
        highest_ms_[service] = std::max(highest_ms_[service], sum);
        while (now - samples.front().at > options_.kept) {
            samples.pop_front();
        }
        double total = 0;
        std::size_t count = 0;
        for (auto it = samples.rbegin(); it != samples.rend() && now - it->at <= mean_window; ++it) {
            total += it->demand_ms;
            count += 1;
        }
        samples.back().mean_ms = total / static_cast<double>(count);
    }
}

fleet_demand_figures fleet_demand::figures(const service_id& service, duration hold, instant now) const
{
    fleet_demand_figures result;
    const auto found = samples_.find(service);
    if (found == samples_.end()) {
        return result;
    }
    for (const sample& each : found->second) {
        if (now - each.at <= mean_window) {
            result.peak_ms = std::max(result.peak_ms, each.demand_ms);
        }
        if (now - each.at <= std::max(hold, mean_window)) {
            result.held_peak_ms = std::max(result.held_peak_ms, each.demand_ms);
            result.held_mean_ms = std::max(result.held_mean_ms, each.mean_ms);
        }
    }
    const auto hold_begin = std::find_if(found->second.begin(), found->second.end(), [&](const sample& each) {
        return now - each.at <= std::max(hold, mean_window);
    });
    const bool covered = now - hold_begin->at + 2 * options_.sample_period >= std::max(hold, mean_window);
    result.oldest_held_ms = covered ? hold_begin->demand_ms : 0;
    result.highest_ms = highest_ms_.at(service);
    result.mean_ms = found->second.back().mean_ms;
    result.usable = heard_fraction_ >= options_.partly_known_fraction;
    result.known_for = known_ ? std::chrono::duration_cast<duration>(now - known_since_) : duration{};
    for (const auto& [node, each] : reports_) {
        const auto demand = each.demand_ms.find(service);
        if (demand != each.demand_ms.end() && !each.data_centre.empty()) {
            result.callers.insert(each.data_centre);
        }
    }
    return result;
}

} // namespace currantspar::relay
