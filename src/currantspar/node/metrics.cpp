#include "currantspar/node/metrics.hpp"

#include <algorithm>
#include <unordered_map>

#include <prometheus/text_serializer.h>

#include "metric_families.hpp"

namespace currantspar::node {

namespace {

const prometheus::Histogram::BucketBoundaries first_token_buckets{0.02, 0.05, 0.1, 0.2,  0.315, 0.63,
                                                                  1,    2,    5,   10.0, 30.0};
const prometheus::Histogram::BucketBoundaries between_tokens_buckets{0.005, 0.01, 0.02, 0.03, 0.045,
                                                                     0.06,  0.1,  0.25, 1,    5.0};
/// Weight of a new gap between tokens in an engine's pace.
constexpr double pace_weight = 0.02;
/// Per-engine series are left out when a node sees more engines than this.
constexpr std::size_t engine_labels_most = 512;
/// The longest time between two statuses that counts as time lost to a change.
constexpr duration change_gap_most = std::chrono::seconds(60);

} // namespace

class metrics::recorder
{
public:
    void on_event(const core::event& happened)
    {
        if (const auto* arrived = std::get_if<core::generate_arrived>(&happened.body)) {
            requests_[arrived->request] = {arrived->service, happened.at, {}};
        } else if (const auto* resumed = std::get_if<core::stream_resumed>(&happened.body)) {
            requests_[resumed->request] = {resumed->service, happened.at, happened.at};
        } else if (const auto* gone = std::get_if<core::caller_gone>(&happened.body)) {
            requests_.erase(gone->request);
        } else if (const auto* tokens = std::get_if<core::attempt_tokens>(&happened.body)) {
            on_engine_tokens(*tokens, happened.at);
        } else if (const auto* ended = std::get_if<core::attempt_ended>(&happened.body)) {
            attempt_ends_.at(nlohmann::json(ended->how).get<std::string>()).Increment();
            attempts_.erase(ended->attempt);
        } else if (const auto* answered = std::get_if<core::order_answered>(&happened.body)) {
            orders_answered_.at(nlohmann::json(answered->answer).get<std::string>()).Increment();
            if (answered->late) {
                orders_late_.at("").Increment();
            }
        }
    }

    void on_effect(const core::effect& done, instant at)
    {
        if (const auto* tokens = std::get_if<core::reply_tokens>(&done)) {
            on_reply(*tokens, at);
        } else if (const auto* end = std::get_if<core::reply_end>(&done)) {
            requests_.erase(end->request);
        } else if (const auto* started = std::get_if<core::start_generation>(&done)) {
            attempts_[started->attempt] = {started->engine, {}};
        } else if (const auto* cancelled = std::get_if<core::cancel_attempt>(&done)) {
            attempts_.erase(cancelled->attempt);
        } else if (std::holds_alternative<core::send_order>(done)) {
            orders_sent_.at("").Increment();
        } else if (const auto* append = std::get_if<core::append_records>(&done)) {
            for (const agreement::record_body& record : append->records) {
                records_.at(std::string(agreement::record_kind(record))).Increment();
            }
        }
    }

    void on_status(const node_status& status, instant now)
    {
        on_services(status);
        on_node(status);
        on_engines(status, now);
        on_members(status);
        alarms_.clear();
        for (const alarm_status& alarm : status.alarms) {
            alarms_.at(alarm.alarm).Set(1);
        }
    }

    [[nodiscard]] std::string text() const
    {
        return prometheus::TextSerializer().Serialize(registry_.Collect());
    }

private:
    struct open_request
    {
        service_id service;
        instant arrived{};
        instant last_token{}; ///< the default: none came
    };
    struct open_attempt
    {
        engine_id engine;
        instant last_token{};
    };

    void on_reply(const core::reply_tokens& tokens, instant at)
    {
        const auto found = requests_.find(tokens.request);
        if (found == requests_.end() || tokens.tokens.empty()) {
            return;
        }
        open_request& request = found->second;
        const std::string& service = request.service.str();
        if (request.last_token == instant{}) {
            first_token_.at(service).Observe(to_seconds(at - request.arrived));
        } else {
            const double gap =
                to_seconds(at - request.last_token) / static_cast<double>(tokens.tokens.size());
            between_tokens_.at(service).Observe(gap);
        }
        request.last_token = at;
        tokens_.at(service).Increment(static_cast<double>(tokens.tokens.size()));
    }

    void on_engine_tokens(const core::attempt_tokens& tokens, instant at)
    {
        const auto found = attempts_.find(tokens.attempt);
        if (found == attempts_.end() || tokens.tokens.empty()) {
            return;
        }
        open_attempt& attempt = found->second;
        if (attempt.last_token != instant{}) {
            const double gap =
                to_seconds(at - attempt.last_token) / static_cast<double>(tokens.tokens.size());
            double& pace = paces_.try_emplace(attempt.engine, gap).first->second;
            pace += pace_weight * (gap - pace);
        }
        attempt.last_token = at;
    }

    void on_services(const node_status& status)
    {
        for (const service_status& service : status.services) {
            const std::string& name = service.service.str();
            raise_to(accepted_.at(name), static_cast<double>(service.accepted));
            raise_to(outcomes_.at(name, "answered"), static_cast<double>(service.answered));
            raise_to(outcomes_.at(name, "not_run"), static_cast<double>(service.not_run));
            raise_to(outcomes_.at(name, "unknown"), static_cast<double>(service.unknown));
            raise_to(outcomes_.at(name, "caller_gone"), static_cast<double>(service.caller_gone));
            in_flight_.at(name).Set(static_cast<double>(service.in_flight));
            difference_.at(name).Set(static_cast<double>(service.difference));
            degraded_.at(name).Set(service.degraded ? 1 : 0);
        }
    }

    void on_node(const node_status& status)
    {
        ready_.at("").Set(status.ready ? 1 : 0);
        revision_.at("").Set(static_cast<double>(status.current.value()));
        log_read_age_.at("").Set(to_seconds(status.log_age));
        log_applied_.at("").Set(static_cast<double>(status.applied.value()));
        log_uncovered_.at("").Set(static_cast<double>(status.applied.value()) -
                                  static_cast<double>(status.checkpointed.value()));
        keys_.at("").Set(static_cast<double>(status.keys));
        verified_.at("").Set(status.verified ? 1 : 0);
        raise_to(appends_.at(""), static_cast<double>(status.appends));
        raise_to(dropped_answers_.at(""), static_cast<double>(status.dropped_answers));
        std::size_t acting = 0;
        for (const pool_status& pool : status.pools) {
            acting += pool.acting ? 1 : 0;
        }
        pools_held_.at("").Set(static_cast<double>(acting));
    }

    void on_members(const node_status& status)
    {
        std::map<std::string, unsigned> healths{{"alive", 0}, {"suspect", 0}, {"gone", 0}};
        unsigned behind = 0;
        for (const member_status& member : status.members) {
            ++healths[member.health];
            behind += member.health == "alive" && member.current < status.current ? 1 : 0;
        }
        for (const auto& [health, count] : healths) {
            members_.at(health).Set(count);
        }
        members_behind_.at("").Set(behind);
    }

    void on_engines(const node_status& status, instant now)
    {
        const duration passed = std::min(now - last_status_, change_gap_most);
        const bool timed = last_status_ != instant{};
        last_status_ = now;
        report_age_.clear();
        relative_pace_.clear();
        const auto medians = median_paces(status);
        for (const engine_status& engine : status.engines) {
            const std::string& service = engine.service.str();
            const bool away = engine.reported && engine.condition == policy::engine_condition::changing;
            if (away && timed) {
                change_seconds_.at(service).Increment(to_seconds(passed));
            }
            if (status.engines.size() <= engine_labels_most) {
                add_engine_series(engine, medians);
            }
        }
    }

    void add_engine_series(const engine_status& engine, const std::map<service_id, double>& medians)
    {
        if (engine.report_age > duration::zero()) {
            report_age_.at(engine.engine.str()).Set(to_seconds(engine.report_age));
        }
        const auto pace = paces_.find(engine.engine);
        const auto median = medians.find(engine.service);
        if (pace != paces_.end() && median != medians.end() && median->second > 0) {
            relative_pace_.at(engine.engine.str()).Set(pace->second / median->second);
        }
    }

    [[nodiscard]] std::map<service_id, double> median_paces(const node_status& status) const
    {
        std::map<service_id, std::vector<double>> by_service;
        for (const engine_status& engine : status.engines) {
            const auto pace = paces_.find(engine.engine);
            if (pace != paces_.end()) {
                by_service[engine.service].push_back(pace->second);
            }
        }
        std::map<service_id, double> medians;
        for (auto& [service, paces] : by_service) {
            const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
            std::nth_element(paces.begin(), middle, paces.end());
            medians[service] = *middle;
        }
        return medians;
    }

    prometheus::Registry registry_;
    labelled_counter accepted_ = counters(registry_, "currantspar_requests_accepted_total",
                                          "Requests accepted, by service", "service");
    labelled_counter outcomes_ = counters(registry_, "currantspar_requests_finished_total",
                                          "Requests finished, by service and outcome", "service", "outcome");
    labelled_gauge in_flight_ =
        gauges(registry_, "currantspar_requests_in_flight", "Requests accepted and not finished", "service");
    labelled_gauge difference_ =
        gauges(registry_, "currantspar_ledger_difference",
               "Accepted requests that are in no account; anything but 0 is a fault", "service");
    labelled_gauge degraded_ =
        gauges(registry_, "currantspar_service_degraded",
               "1 while something that the service depends on isn't available", "service");
    labelled_histogram first_token_ =
        histograms(registry_, "currantspar_first_token_seconds", "Time from arrival to the first token",
                   "service", first_token_buckets);
    labelled_histogram between_tokens_ =
        histograms(registry_, "currantspar_between_tokens_seconds", "Time between tokens sent to callers",
                   "service", between_tokens_buckets);
    labelled_counter tokens_ =
        counters(registry_, "currantspar_answer_tokens_total", "Tokens sent to callers", "service");
    labelled_counter attempt_ends_ =
        counters(registry_, "currantspar_attempts_ended_total",
                 "Attempts at engines and backend servers, by how they ended", "result");
    labelled_counter dropped_answers_ =
        counters(registry_, "currantspar_answers_dropped_total",
                 "Late, crossed, repeated or wrong answers that were dropped");
    labelled_counter orders_sent_ =
        counters(registry_, "currantspar_orders_sent_total", "Orders sent to engines");
    labelled_counter orders_answered_ =
        counters(registry_, "currantspar_orders_answered_total", "Orders by the engine's answer", "answer");
    labelled_counter orders_late_ = counters(registry_, "currantspar_orders_late_total",
                                             "Orders whose write ended after the deadline of the authority");
    labelled_counter change_seconds_ =
        counters(registry_, "currantspar_role_change_seconds_total",
                 "Engine time lost to role changes, estimated from one scrape to the next", "service");
    labelled_counter appends_ =
        counters(registry_, "currantspar_log_appends_total", "Batches appended to the log");
    labelled_counter records_ =
        counters(registry_, "currantspar_log_records_total", "Records handed to the log, by kind", "kind");
    labelled_gauge ready_ = gauges(registry_, "currantspar_ready", "1 while the node is ready");
    labelled_gauge revision_ =
        gauges(registry_, "currantspar_configuration_revision", "Revision of the configuration in force");
    labelled_gauge log_read_age_ =
        gauges(registry_, "currantspar_log_read_age_seconds", "Time since the log answered a read");
    labelled_gauge log_applied_ =
        gauges(registry_, "currantspar_log_applied_offset", "Last log record applied");
    labelled_gauge log_uncovered_ = gauges(registry_, "currantspar_log_uncovered_records",
                                           "Records after the last one that a checkpoint covers");
    labelled_gauge verified_ = gauges(registry_, "currantspar_state_verified",
                                      "1 while the agreed state was read from the log itself");
    labelled_gauge keys_ = gauges(registry_, "currantspar_idempotency_keys", "Idempotency keys remembered");
    labelled_gauge pools_held_ =
        gauges(registry_, "currantspar_pools_controlled", "Pools that this node may act for");
    labelled_gauge members_ = gauges(registry_, "currantspar_members", "Other nodes, by health", "health");
    labelled_gauge members_behind_ = gauges(registry_, "currantspar_members_behind",
                                            "Other live nodes with an older revision than this one");
    labelled_gauge alarms_ = gauges(registry_, "currantspar_alarm", "1 while the alarm is raised", "alarm");
    labelled_gauge report_age_ = gauges(registry_, "currantspar_engine_report_age_seconds",
                                        "Time since this node read a report from the engine", "engine");
    labelled_gauge relative_pace_ =
        gauges(registry_, "currantspar_engine_relative_pace",
               "Time between tokens of the engine, divided by the median of the service's engines", "engine");

    std::unordered_map<request_id, open_request> requests_;
    std::unordered_map<attempt_id, open_attempt> attempts_;
    std::unordered_map<engine_id, double> paces_; ///< seconds between tokens
    instant last_status_{};
};

metrics::metrics() : recorder_(std::make_unique<recorder>()) {}
metrics::~metrics() = default;

void metrics::on_step(const core::event& happened, const core::effect_list& effects)
{
    recorder_->on_event(happened);
    for (const core::effect& done : effects) {
        recorder_->on_effect(done, happened.at);
    }
}

void metrics::on_status(const node_status& status, instant now)
{
    recorder_->on_status(status, now);
}

std::string metrics::text() const
{
    return recorder_->text();
}

} // namespace currantspar::node
