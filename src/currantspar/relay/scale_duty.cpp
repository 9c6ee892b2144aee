#include "currantspar/relay/scale_duty.hpp"

#include <algorithm>
#include <cmath>

namespace currantspar::relay {

namespace {

unsigned count_of(const capacity_counts& counts, const capacity_kind& kind)
{
    const auto found = counts.find(kind);
    return found == counts.end() ? 0 : found->second;
}

std::string rounded_text(double value)
{
    return std::to_string(std::lround(value));
}

const char* kind_text(bool reclaimable)
{
    return reclaimable ? "reclaimable" : "regular";
}

std::string counts_text(const capacity_counts& counts)
{
    std::string text;
    for (const auto& [kind, servers] : counts) {
        text.append(text.empty() ? "" : ",").append(kind.data_centre.str());
        text.append(kind.reclaimable ? "/reclaimable:" : ":").append(std::to_string(servers));
    }
    return text;
}

} // namespace

duration scale_duty::effect_time(const service_state& service) const
{
    return service.seen.scaling.boot_time + options_.boot_tolerance;
}

unsigned scale_duty::expected(const service_state& service, const capacity_kind& kind, instant now) const
{
    const auto found = service.kinds.find(kind);
    if (found != service.kinds.end()) {
        const kind_state& state = found->second;
        if (state.accepted && !state.over && now < state.accepted->at + effect_time(service)) {
            return state.accepted->servers;
        }
    }
    return count_of(service.seen.open, kind);
}

void scale_duty::observe(service_state& service, const service_capacity& seen, instant now)
{
    const capacity_counts before = std::exchange(service.seen, seen).open;
    for (const auto& [kind, servers] : seen.draining) {
        service.kinds.try_emplace(kind);
    }
    for (auto& [kind, state] : service.kinds) {
        const unsigned open = count_of(seen.open, kind);
        const bool recent = state.accepted && now < state.accepted->at + options_.drain_time;
        const bool removed_by_order = recent && state.accepted->servers <= open;
        // A reclaim takes all of them; single servers also drain for other reasons.
        const unsigned draining = count_of(seen.draining, kind);
        const bool drains = draining > 0 && draining >= open && !removed_by_order;
        const bool vanished =
            count_of(before, kind) > 0 && open == 0 && !(recent && state.accepted->servers == 0);
        if (kind.reclaimable && (drains || vanished)) {
            // The servers that still boot there leave as well.
            state.over = true;
            state.unavailable_until = now + options_.unavailable_time;
        }
        if (state.accepted && open == state.accepted->servers) {
            state.over = true;
        }
    }
}

void scale_duty::make_plan(service_state& service, instant now)
{
    capacity_input input;
    input.scaling = service.seen.scaling;
    input.running = service.seen.open;
    input.data_centres = service.seen.data_centres;
    input.demand = service.seen.demand;
    input.may_remove = now >= service.change_due;
    for (const auto& [kind, servers] : service.seen.open) {
        input.expected[kind] = expected(service, kind, now);
    }
    for (const auto& [kind, state] : service.kinds) {
        input.expected[kind] = expected(service, kind, now);
        // Servers are gone that the order had brought, and the same order may not be sent again yet.
        const bool lost = state.accepted && state.over && now < state.accepted->at + effect_time(service) &&
                          count_of(service.seen.open, kind) < state.accepted->servers;
        if (now < state.unavailable_until || lost) {
            input.unavailable.insert(kind);
        }
    }
    capacity_plan plan = plan_capacity(input, options_.plan);
    if (!plan.missing && now < service.change_due) {
        return;
    }
    const bool changes = plan.wanted != input.expected;
    if (changes) {
        service.change_due = now + options_.change_period;
    }
    if (changes && plan.wanted != service.plan.wanted) {
        const fleet_demand_figures& demand = service.seen.demand;
        log_.push_back(log_decision{"capacity_plan",
                                    "",
                                    {{"service", service.seen.service.str()},
                                     {"expected", counts_text(input.expected)},
                                     {"wanted", counts_text(plan.wanted)},
                                     {"needed", std::to_string(plan.needed)},
                                     {"mean_ms", rounded_text(demand.mean_ms)},
                                     {"peak_ms", rounded_text(demand.peak_ms)},
                                     {"reason", plan.reason}}});
    }
    service.plan = std::move(plan);
}

void scale_duty::update(const std::vector<service_capacity>& services, instant now, bool is_first)
{
    is_first_ = is_first;
    std::set<service_id> known;
    for (const service_capacity& seen : services) {
        known.insert(seen.service);
        service_state& service = services_[seen.service];
        observe(service, seen, now);
        make_plan(service, now);
    }
    std::erase_if(services_, [&](const auto& each) { return !known.contains(each.first); });
    if (!find_order(now)) {
        differs_since_.reset();
    } else if (!differs_since_) {
        differs_since_ = now;
    }
}

bool scale_duty::may_order(const service_state& service, const capacity_kind& kind, unsigned wanted,
                           unsigned expected_servers, instant now) const
{
    const auto found = service.kinds.find(kind);
    if (found == service.kinds.end()) {
        return true;
    }
    const kind_state& state = found->second;
    const bool is_repeated = state.accepted && state.accepted->servers == wanted &&
                             now < state.accepted->at + effect_time(service);
    const bool is_unavailable = wanted > expected_servers && now < state.unavailable_until;
    return !is_repeated && !is_unavailable && now >= state.retry_at;
}

std::optional<capacity_order> scale_duty::find_order(instant now) const
{
    for (const bool upwards : {true, false}) {
        for (const auto& [id, service] : services_) {
            for (const auto& [kind, wanted] : service.plan.wanted) {
                const unsigned now_expected = expected(service, kind, now);
                const bool differs = upwards ? wanted > now_expected : wanted < now_expected;
                if (differs && may_order(service, kind, wanted, now_expected, now)) {
                    return capacity_order{id, kind.data_centre, kind.reclaimable, wanted};
                }
            }
        }
    }
    return std::nullopt;
}

bool scale_duty::pending(instant now) const
{
    const auto order = find_order(now);
    if (in_flight_ || !order || is_first_ || is_holder_) {
        return in_flight_ || order;
    }
    return differs_since_ && now - *differs_since_ >= effect_time(services_.at(order->service));
}

std::optional<duty_step> scale_duty::next(instant now)
{
    is_holder_ = true;
    const auto order = find_order(now);
    if (!order) {
        return std::nullopt;
    }
    in_flight_ = order;
    const service_state& service = services_.at(order->service);
    const capacity_kind kind{order->data_centre, order->reclaimable};
    const fleet_demand_figures& demand = service.seen.demand;
    log_.push_back(log_decision{"capacity_ordered",
                                "",
                                {{"service", order->service.str()},
                                 {"data_centre", order->data_centre.str()},
                                 {"kind", kind_text(order->reclaimable)},
                                 {"from", std::to_string(expected(service, kind, now))},
                                 {"to", std::to_string(order->servers)},
                                 {"mean_ms", rounded_text(demand.mean_ms)},
                                 {"peak_ms", rounded_text(demand.peak_ms)},
                                 {"reason", service.plan.reason}}});
    return duty_step(duty_call(*order));
}

void scale_duty::on_called(const duty_call& call, duty_outcome outcome, instant now)
{
    in_flight_.reset();
    const auto* order = std::get_if<capacity_order>(&call);
    const auto found = order == nullptr ? services_.end() : services_.find(order->service);
    if (found == services_.end()) {
        return;
    }
    kind_state& state = found->second.kinds[{order->data_centre, order->reclaimable}];
    switch (outcome) {
    case duty_outcome::accepted:
        state.accepted = sent_order{order->servers, now};
        state.over = false;
        state.backoff = {};
        return;
    case duty_outcome::conflict:
        state.unavailable_until = now + options_.unavailable_time;
        state.retry_at = state.unavailable_until;
        return;
    case duty_outcome::unavailable:
    case duty_outcome::unanswered:
        state.backoff = std::clamp(state.backoff * 2, options_.min_backoff, options_.max_backoff);
        state.retry_at = now + state.backoff;
        return;
    }
}

void scale_duty::on_lost(instant)
{
    in_flight_.reset();
    is_holder_ = false;
    for (auto& [id, service] : services_) {
        // The next holder may order other numbers, so the own orders say nothing any more.
        for (auto& [kind, state] : service.kinds) {
            state.accepted.reset();
        }
    }
}

std::vector<capacity_figure> scale_duty::figures() const
{
    std::vector<capacity_figure> result;
    for (const auto& [id, service] : services_) {
        capacity_counts kinds = service.seen.open;
        kinds.insert(service.plan.wanted.begin(), service.plan.wanted.end());
        for (const auto& [kind, servers] : kinds) {
            const auto wanted = service.plan.wanted.find(kind);
            const unsigned present = count_of(service.seen.open, kind);
            result.push_back(
                {id, kind, wanted == service.plan.wanted.end() ? present : wanted->second, present});
        }
    }
    return result;
}

} // namespace currantspar::relay
