#include "currantspar/relay/speed_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace currantspar::relay {

void speed_estimate::on_prefill(const prefill_sample& sample)
{
    const double own_work = sample.nominal_ms - sample.nominal_queue_ms;
    const double measured_ms = to_seconds(sample.measured) * 1000.0;
    if (own_work <= 0 || measured_ms <= 0) {
        return;
    }
    const double count = std::min(samples_ + 1, options_.max_weight);
    mean_nominal_ms_ += (own_work - mean_nominal_ms_) / count;
    // Behind a long queue the duration tells more about the queue's estimate than about the engine.
    if (own_work < mean_nominal_ms_ * options_.min_size || sample.nominal_queue_ms > own_work) {
        return;
    }
    const double measured_log = std::log(sample.nominal_ms / measured_ms);
    if (samples_ < 1) {
        own_.log_factor = std::clamp(measured_log, -options_.max_log_factor, options_.max_log_factor);
    } else {
        const double change =
            std::clamp(measured_log - own_.log_factor, -options_.max_log_change, options_.max_log_change);
        const double side = change > 0 ? options_.faster_weight : 1 - options_.faster_weight;
        own_.log_factor = std::clamp(own_.log_factor + 2 * side * change / count, -options_.max_log_factor,
                                     options_.max_log_factor);
    }
    samples_ = count;
    own_.weight = std::max(0.0, samples_ - options_.ignored_samples);
    update_factor();
}

void speed_estimate::on_peer(const std::string& peer, const speed_report& report, instant now)
{
    if (!std::isfinite(report.log_factor) || !std::isfinite(report.weight) || report.weight <= 0) {
        return;
    }
    const speed_report bounded{
        std::clamp(report.log_factor, -options_.max_log_factor, options_.max_log_factor),
        std::min(report.weight, options_.max_weight)};
    peer_report& known = peers_[peer];
    peer_sum_.log_factor +=
        bounded.log_factor * bounded.weight - known.report.log_factor * known.report.weight;
    peer_sum_.weight += bounded.weight - known.report.weight;
    known = {bounded, now};
    update_factor();
}

void speed_estimate::on_tick(instant now)
{
    const auto removed = std::erase_if(peers_, [&](const auto& entry) {
        const bool old = now - entry.second.received > options_.peer_max_age;
        if (old) {
            const speed_report& report = entry.second.report;
            peer_sum_.log_factor -= report.log_factor * report.weight;
            peer_sum_.weight -= report.weight;
        }
        return old;
    });
    if (removed > 0) {
        update_factor();
    }
}

void speed_estimate::update_factor()
{
    const double measured = own_.weight + std::max(0.0, peer_sum_.weight);
    const double weight = std::max(measured, options_.prior_weight);
    factor_ = std::exp((own_.log_factor * own_.weight + peer_sum_.log_factor) / weight);
}

} // namespace currantspar::relay
