#include "currantspar/relay/usage_duty.hpp"

#include <algorithm>
#include <numeric>
#include <string_view>
#include <variant>

#include <nlohmann/json.hpp>

namespace currantspar::relay {

namespace {

constexpr std::string_view key_prefix = "usage-";

std::string record_key(std::uint64_t slot)
{
    return std::string(key_prefix) + std::to_string(slot);
}

std::string encode_record(std::uint64_t window, const usage_ledger::counts& counts)
{
    nlohmann::json list = nlohmann::json::object();
    for (const auto& [organisation, requests] : counts) {
        list[organisation.str()] = requests;
    }
    return nlohmann::json{{"window", window}, {"counts", std::move(list)}}.dump();
}

std::optional<usage_report> decode_record(const std::string& value)
{
    const auto in = nlohmann::json::parse(value, nullptr, false);
    if (!in.is_object() || !in.contains("window") || !in["window"].is_number_unsigned() ||
        !in.contains("counts") || !in["counts"].is_object()) {
        return std::nullopt;
    }
    usage_report report;
    report.window = in["window"].get<std::uint64_t>();
    for (const auto& [organisation, requests] : in["counts"].items()) {
        if (!requests.is_number_unsigned()) {
            return std::nullopt;
        }
        report.counts.emplace(organisation_id(organisation), requests.get<std::uint64_t>());
    }
    return report;
}

std::string sum_text(const usage_ledger::counts& counts)
{
    return std::to_string(
        std::accumulate(counts.begin(), counts.end(), std::uint64_t{0},
                        [](std::uint64_t sum, const auto& entry) { return sum + entry.second; }));
}

log_decision describe(const char* event, std::uint64_t window, const usage_ledger::counts& counts)
{
    return {event,
            {},
            {{"window", std::to_string(window)},
             {"organisations", std::to_string(counts.size())},
             {"requests", sum_text(counts)}}};
}

} // namespace

usage_duty::usage_duty(usage_ledger& ledger, const wall_clock_estimate& clock, usage_duty_options options)
    : ledger_(ledger), clock_(clock), options_(options), backoff_(options.first_backoff)
{}

void usage_duty::set_organisations(bool exist, instant now)
{
    if (exist && !organisations_exist_ && clock_.known()) {
        organisations_exist_ = true;
        first_empty_window_ = clock_.window(now, options_.window) + 1;
    } else if (!exist) {
        organisations_exist_ = false;
    }
}

void usage_duty::on_era(instant now)
{
    // A holder records a window only `completion` after its end, so no window that ends after `now` by this
    // node's clock was recorded in an earlier era.
    if (const auto last = last_ended({}, now)) {
        era_window_ = std::max(era_window_, *last);
    }
    for (known_record& record : records_) {
        record.stored = false;
    }
}

void usage_duty::on_reported(std::uint64_t window, instant now)
{
    // A window that can't have ended yet is an error of the peer and would suppress all reports.
    if (clock_.known() && window <= clock_.window(now, options_.window)) {
        advance_reported(window);
    }
}

void usage_duty::advance_reported(std::uint64_t window)
{
    if (window > reported_) {
        reported_ = window;
        ledger_.on_reported(window);
    }
}

std::optional<std::uint64_t> usage_duty::last_ended(duration age, instant now) const
{
    if (!clock_.known()) {
        return std::nullopt;
    }
    const auto past = std::chrono::floor<std::chrono::milliseconds>(clock_.true_time(now) - age);
    const std::uint64_t current = window_at(past, options_.window);
    return current == 0 ? std::nullopt : std::optional(current - 1);
}

std::optional<std::uint64_t> usage_duty::oldest_unreported(std::uint64_t lowest, std::uint64_t last) const
{
    std::optional<std::uint64_t> oldest;
    const auto consider = [&](std::uint64_t window) {
        if (window >= lowest && window <= last && (!oldest || window < *oldest)) {
            oldest = window;
        }
    };
    for (const known_record& record : records_) {
        if (record.window > 0) {
            consider(record.window);
        }
    }
    if (collecting_) {
        consider(std::max(lowest, first_empty_window_));
        if (const auto counted = ledger_.first_window(lowest)) {
            consider(*counted);
        }
    }
    return oldest;
}

bool usage_duty::can_report(std::uint64_t window) const
{
    const known_record& known = slot(window);
    if (known.window == window) {
        return !known.conflicting;
    }
    return known.window < window && window > era_window_;
}

std::optional<std::uint64_t> usage_duty::due_window(instant now) const
{
    const auto last = last_ended(options_.completion, now);
    const auto too_late = last_ended(options_.deadline + options_.late, now);
    if (!organisations_exist_ || !last || !too_late) {
        return std::nullopt;
    }
    std::uint64_t lowest = std::max({reported_, dropped_, *too_late}) + 1;
    while (const auto window = oldest_unreported(lowest, *last)) {
        if (can_report(*window)) {
            return window;
        }
        lowest = *window + 1;
    }
    return std::nullopt;
}

bool usage_duty::pending(instant now) const
{
    return due_window(now).has_value();
}

bool usage_duty::remember(const duty_record& record)
{
    if (!record.key.starts_with(key_prefix)) {
        return false;
    }
    auto report = decode_record(record.value);
    if (!report || report->window == 0 || record.key != record_key(report->window % record_keys)) {
        return false;
    }
    known_record& known = slot(report->window);
    if (report->window > known.window) {
        known = {report->window, std::move(report->counts), true, false};
    } else if (report->window == known.window) {
        known.stored = true;
        known.conflicting = known.conflicting || known.counts != report->counts;
    }
    return true;
}

void usage_duty::on_records(const std::vector<duty_record>& records, instant)
{
    for (const duty_record& record : records) {
        remember(record);
    }
    records_read_ = true;
}

void usage_duty::drop(std::uint64_t first, std::uint64_t last, const char* reason)
{
    dropped_ = std::max(dropped_, last);
    missed_windows_ += last - first + 1;
    log_.push_back({"usage_missed",
                    {},
                    {{"first_window", std::to_string(first)},
                     {"last_window", std::to_string(last)},
                     {"reason", reason}}});
}

void usage_duty::drop_unreportable_windows(instant now)
{
    if (const auto too_late = last_ended(options_.deadline + options_.late, now)) {
        if (const auto first = oldest_unreported(std::max(reported_, dropped_) + 1, *too_late)) {
            drop(*first, *too_late, "late");
        }
    }
    if (const auto last = last_ended(options_.completion, now)) {
        for (auto window = oldest_unreported(std::max(reported_, dropped_) + 1, *last);
             window && !can_report(*window);
             window = oldest_unreported(std::max(reported_, dropped_) + 1, *last)) {
            drop(*window, *window, slot(*window).conflicting ? "conflicting records" : "record unknown");
        }
    }
}

std::optional<duty_step> usage_duty::next(instant now)
{
    if (!records_read_ || !organisations_exist_ || now < retry_at_) {
        return std::nullopt;
    }
    drop_unreportable_windows(now);
    const auto window = due_window(now);
    if (!window) {
        return std::nullopt;
    }
    const known_record& known = slot(*window);
    const bool recorded = known.window == *window;
    if (recorded && known.stored) {
        return duty_call(usage_report{*window, known.counts});
    }
    return duty_record{record_key(*window % record_keys),
                       encode_record(*window, recorded ? known.counts : ledger_.sums(*window))};
}

void usage_duty::on_recorded(const duty_record& record, instant)
{
    if (const auto report = decode_record(record.value); remember(record) && report) {
        log_.push_back(describe("usage_recorded", report->window, report->counts));
    }
}

void usage_duty::on_called(const duty_call& call, duty_outcome outcome, instant now)
{
    const auto* report = std::get_if<usage_report>(&call);
    if (report == nullptr) {
        return;
    }
    if (outcome == duty_outcome::accepted) {
        backoff_ = options_.first_backoff;
        retry_at_ = now;
        reported_windows_ += 1;
        log_.push_back(describe("usage_reported", report->window, report->counts));
        advance_reported(report->window);
        return;
    }
    retry_at_ = now + backoff_;
    backoff_ = std::min(2 * backoff_, options_.max_backoff);
}

void usage_duty::on_lost(instant now)
{
    records_read_ = false;
    retry_at_ = now;
    backoff_ = options_.first_backoff;
}

} // namespace currantspar::relay
