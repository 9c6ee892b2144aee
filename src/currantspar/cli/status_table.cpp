#include "status_table.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace currantspar::cli {

namespace {

std::string seconds(duration value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1fs", to_seconds(value));
    return text.data();
}

std::string yes(bool value)
{
    return value ? "yes" : "";
}

std::string render_nodes(const std::vector<node_answer>& answers)
{
    text_table table(
        {"NODE", "DATA CENTRE", "PHASE", "READY", "REVISION", "LOG READ", "APPENDS", "ALARMS", "VERSION"});
    for (const node_answer& answer : answers) {
        if (!answer.status) {
            table.add({answer.address, "", "no answer: " + answer.status.error().message});
            continue;
        }
        const node::node_status& status = *answer.status;
        std::string alarms;
        for (const node::alarm_status& alarm : status.alarms) {
            alarms += (alarms.empty() ? "" : ",") + alarm.alarm;
        }
        const std::string in_force = std::to_string(status.current.value()) + (status.verified ? "" : "?");
        table.add({status.node.str(), status.data_centre.str(), status.phase, yes(status.ready), in_force,
                   seconds(status.log_age) + " ago", std::to_string(status.appends),
                   alarms.empty() ? "none" : alarms, status.version});
    }
    return table.text();
}

/// Adds up the ledgers of one service over nodes.
void add_account(node::service_status& sum, const node::service_status& part)
{
    sum.accepted += part.accepted;
    sum.answered += part.answered;
    sum.not_run += part.not_run;
    sum.unknown += part.unknown;
    sum.caller_gone += part.caller_gone;
    sum.in_flight += part.in_flight;
    sum.difference += part.difference;
    sum.degraded = sum.degraded || part.degraded;
}

std::string render_services(const std::vector<node_answer>& answers)
{
    std::vector<node::service_status> sums;
    for (const node_answer& answer : answers) {
        if (!answer.status) {
            continue;
        }
        for (const node::service_status& part : answer.status->services) {
            const auto known = std::find_if(sums.begin(), sums.end(),
                                            [&](const auto& sum) { return sum.service == part.service; });
            if (known == sums.end()) {
                sums.push_back(part);
            } else {
                add_account(*known, part);
            }
        }
    }
    text_table table({"SERVICE", "KIND", "STATE", "ACCEPTED", "ANSWERED", "NOT RUN", "UNKNOWN", "CALLER GONE",
                      "IN FLIGHT", "DIFFERENCE"});
    for (const node::service_status& sum : sums) {
        table.add({sum.service.str(), sum.kind == config::service_kind::model ? "model" : "plain",
                   sum.degraded ? "degraded" : "ok", std::to_string(sum.accepted),
                   std::to_string(sum.answered), std::to_string(sum.not_run), std::to_string(sum.unknown),
                   std::to_string(sum.caller_gone), std::to_string(sum.in_flight),
                   std::to_string(sum.difference)});
    }
    return table.text();
}

std::string render_pools(const node::node_status& status)
{
    text_table table({"POOL", "DATA CENTRE", "AUTHORITY", "FENCE"});
    for (const node::pool_status& pool : status.pools) {
        table.add({pool.pool.service.str(), pool.pool.data_centre.str(),
                   pool.released ? "released" : pool.holder.str(), std::to_string(pool.held.value())});
    }
    return table.text();
}

std::string engine_state(const node::engine_status& engine)
{
    if (!engine.reported) {
        return "no report";
    }
    std::string state = nlohmann::json(engine.condition).get<std::string>();
    if (engine.drained) {
        state += ", drained";
    }
    if (!engine.change.empty()) {
        state += ", change: " + engine.change;
    } else if (engine.closed) {
        state += ", closed";
    }
    return state;
}

std::string render_engines(const node::node_status& status)
{
    text_table table({"ENGINE", "SERVICE", "DATA CENTRE", "ROLE", "STATE", "RUNNING", "QUEUED",
                      "PREFILL LEFT", "PIECES", "REPORT AGE"});
    for (const node::engine_status& engine : status.engines) {
        const std::string role = engine.reported ? nlohmann::json(engine.role).get<std::string>() : "";
        table.add({engine.engine.str(), engine.service.str(), engine.data_centre.str(), role,
                   engine_state(engine), std::to_string(engine.running), std::to_string(engine.queued),
                   std::to_string(engine.prefill_tokens_left),
                   std::to_string(engine.pieces_used) + "/" + std::to_string(engine.pieces_total),
                   engine.report_age > duration::zero() ? seconds(engine.report_age) : ""});
    }
    return table.text();
}

std::string render_backends(const node::node_status& status)
{
    text_table table({"BACKEND SERVER", "SERVICE", "DATA CENTRE", "CALLS OPEN", "STATE"});
    for (const node::backend_status& backend : status.backends) {
        table.add({backend.backend.str(), backend.service.str(), backend.data_centre.str(),
                   std::to_string(backend.calls_open), backend.drained ? "drained" : ""});
    }
    return table.text();
}

std::string render_alarms(const std::vector<node_answer>& answers)
{
    std::string out;
    for (const node_answer& answer : answers) {
        if (!answer.status) {
            continue;
        }
        for (const node::alarm_status& alarm : answer.status->alarms) {
            out += "ALARM at " + answer.status->node.str() + ": " + alarm.alarm +
                   (alarm.detail.empty() ? "" : ", " + alarm.detail) + "\n";
        }
    }
    return out;
}

} // namespace

std::string text_table::text() const
{
    constexpr std::size_t gap = 2;
    std::vector<std::size_t> widths;
    for (const auto& row : rows_) {
        widths.resize(std::max(widths.size(), row.size()), 0);
        for (std::size_t i = 0; i + 1 < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string out;
    for (const auto& row : rows_) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            out += row[i];
            if (i + 1 < row.size()) {
                out += std::string(widths[i] + gap - row[i].size(), ' ');
            }
        }
        out += "\n";
    }
    return out;
}

std::string render_status(const std::vector<node_answer>& answers)
{
    std::string out = render_alarms(answers) + render_nodes(answers);
    const auto seen = std::find_if(answers.begin(), answers.end(),
                                   [](const auto& answer) { return answer.status.has_value(); });
    if (seen == answers.end()) {
        return out;
    }
    const node::node_status& status = *seen->status;
    return out + "\n" + render_services(answers) + "\n" + render_pools(status) + "\n" +
           render_engines(status) + "\n" + render_backends(status);
}

} // namespace currantspar::cli
