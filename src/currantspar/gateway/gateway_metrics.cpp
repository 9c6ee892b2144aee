#include "gateway_metrics.hpp"

#include <cmath>

#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace currantspar::gateway {

namespace {

const prometheus::Histogram::BucketBoundaries delay_seconds = {0.001, 0.005, 0.025, 0.1, 0.25, 1, 4};
const prometheus::Histogram::BucketBoundaries latency_seconds = {0.01, 0.025, 0.05, 0.1, 0.15, 0.3,
                                                                 0.5,  0.6,   1,    2,   4,    6};

} // namespace

struct gateway_metrics::families
{
    prometheus::Registry registry;
    prometheus::Family<prometheus::Histogram>& latency = prometheus::BuildHistogram()
                                                             .Name("gateway_request_seconds")
                                                             .Help("From a request's arrival to its end")
                                                             .Register(registry);
    prometheus::Family<prometheus::Histogram>& first_event =
        prometheus::BuildHistogram()
            .Name("gateway_first_event_seconds")
            .Help("From a request's arrival to its first event")
            .Register(registry);
    prometheus::Family<prometheus::Histogram>& prediction =
        prometheus::BuildHistogram()
            .Name("gateway_first_event_error_seconds")
            .Help("Difference of the measured and the predicted time to the first event")
            .Register(registry);
    prometheus::Family<prometheus::Histogram>& tick_delay =
        prometheus::BuildHistogram()
            .Name("gateway_tick_delay_seconds")
            .Help("How much later than scheduled the node's periodic work began")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& requests =
        prometheus::BuildGauge()
            .Name("gateway_requests")
            .Help("Requests since the start by service and outcome, and those in flight")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& refusals =
        prometheus::BuildGauge()
            .Name("gateway_refusals")
            .Help("Requests refused before they were sent, since the start, by service and reason")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& engine_speed =
        prometheus::BuildGauge()
            .Name("gateway_engine_speed")
            .Help("Measured speed of a service's engines relative to the nominal cost model")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& capacity =
        prometheus::BuildGauge()
            .Name("gateway_capacity")
            .Help("Wanted and present servers by service, data centre and kind, at a collector of demand")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& state = prometheus::BuildGauge()
                                                       .Name("gateway_state")
                                                       .Help("Figures of the node, by name")
                                                       .Register(registry);
    prometheus::Histogram& ended = latency.Add({}, latency_seconds);
    prometheus::Histogram& first = first_event.Add({}, latency_seconds);
    prometheus::Histogram& error = prediction.Add({}, latency_seconds);
    prometheus::Histogram& delayed = tick_delay.Add({}, delay_seconds);
};

gateway_metrics::gateway_metrics() : families_(std::make_unique<families>()) {}

gateway_metrics::~gateway_metrics() = default;

void gateway_metrics::on_ended(duration after)
{
    families_->ended.Observe(to_seconds(after));
}

void gateway_metrics::on_first_event(duration measured, duration predicted)
{
    families_->first.Observe(to_seconds(measured));
    families_->error.Observe(std::abs(to_seconds(measured - predicted)));
}

void gateway_metrics::on_tick_delay(duration delay)
{
    families_->delayed.Observe(to_seconds(delay));
}

std::string gateway_metrics::text(const relay::relay_core& core, const gateway_counts& counts,
                                  const std::vector<relay::capacity_figure>& capacity)
{
    for (const relay::capacity_figure& figure : capacity) {
        const auto set_servers = [&](const char* which, unsigned servers) {
            families_->capacity
                .Add({{"service", figure.service.str()},
                      {"data_centre", figure.kind.data_centre.str()},
                      {"kind", figure.kind.reclaimable ? "reclaimable" : "regular"},
                      {"servers", which}})
                .Set(servers);
        };
        set_servers("wanted", figure.wanted);
        set_servers("present", figure.present);
    }
    for (const auto& [key, count] : core.refusals()) {
        families_->refusals.Add({{"service", key.first.str()}, {"reason", key.second}})
            .Set(static_cast<double>(count));
    }
    for (const auto& [service, factor] : core.engines().speed_factors()) {
        families_->engine_speed.Add({{"service", service.str()}}).Set(factor);
    }
    for (const auto& [service, account] : core.accounts()) {
        const auto set = [&, name = service.str()](const char* outcome, std::uint64_t value) {
            families_->requests.Add({{"service", name}, {"outcome", outcome}})
                .Set(static_cast<double>(value));
        };
        set("accepted", account.accepted);
        set("answered", account.answered);
        set("not_run", account.not_run);
        set("unknown", account.unknown);
        set("caller_gone", account.caller_gone);
        set("in_flight", account.in_flight);
    }
    const auto set = [&](const char* name, double value) {
        families_->state.Add({{"name", name}}).Set(value);
    };
    set("server_connects", static_cast<double>(counts.server_connects));
    set("caller_connections", static_cast<double>(counts.caller_connections));
    set("live_nodes", static_cast<double>(counts.live_nodes));
    set("configuration_version", static_cast<double>(counts.configuration));
    set("known_servers", static_cast<double>(core.directory().size()));
    set("quarantined_segments", static_cast<double>(core.quarantine().size()));
    set("limited_servers", static_cast<double>(core.limits().size()));
    set("buffered_response_bytes", static_cast<double>(counts.buffered_bytes));
    set("charged_bytes", static_cast<double>(counts.charged_bytes));
    set("connections_closed_for_resources", static_cast<double>(counts.connections_closed_for_resources));
    set("requests_refused_for_memory", static_cast<double>(counts.requests_refused_for_memory));
    set("dropped_log_lines", static_cast<double>(counts.dropped_log_lines));
    set("ready", counts.ready ? 1 : 0);
    set("usage_windows_reported", static_cast<double>(counts.usage_windows_reported));
    set("usage_windows_missed", static_cast<double>(counts.usage_windows_missed));
    return prometheus::TextSerializer().Serialize(families_->registry.Collect());
}

} // namespace currantspar::gateway
