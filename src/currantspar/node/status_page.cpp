#include <array>
#include <cstdio>

#include "currantspar/base/markup.hpp"
#include "currantspar/node/operations.hpp"

namespace currantspar::node {

namespace {

constexpr std::string_view page_head = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta http-equiv="refresh" content="5">
<title>currantspar</title>
<style>
body { font: 14px/1.4 system-ui, sans-serif; margin: 1.5rem; color: #1b1f24; }
h1 { font-size: 1.2rem; } h2 { font-size: 1rem; margin: 1.2rem 0 .3rem; }
table { border-collapse: collapse; }
th, td { text-align: left; padding: .2rem .8rem .2rem 0; border-bottom: 1px solid #d8dee4; }
td.n, th.n { text-align: right; font-variant-numeric: tabular-nums; }
.bad { color: #b00020; font-weight: 600; } .ok { color: #1a7f37; }
</style></head><body>
)";

std::string seconds(duration value)
{
    std::array<char, 32> text{};
    const int size = std::snprintf(text.data(), text.size(), "%.1f s", to_seconds(value));
    return {text.data(), static_cast<std::size_t>(size)};
}

/// Builds one HTML table.
class table
{
public:
    table(const std::string& title, const std::vector<std::string>& columns)
    {
        html_ = "<h2>" + escape_markup(title) + "</h2>\n<table><tr>";
        for (const std::string& column : columns) {
            html_ += "<th>" + escape_markup(column) + "</th>";
        }
        html_ += "</tr>\n";
    }

    table& row()
    {
        html_ += open_ ? "</tr>\n<tr>" : "<tr>";
        open_ = true;
        return *this;
    }

    table& text(std::string_view value, std::string_view style = "")
    {
        html_ += style.empty() ? "<td>" : "<td class=\"" + std::string(style) + "\">";
        html_ += escape_markup(value) + "</td>";
        return *this;
    }

    template <typename Number>
    table& number(Number value)
    {
        return text(std::to_string(value), "n");
    }

    [[nodiscard]] std::string html() const { return html_ + (open_ ? "</tr>" : "") + "</table>\n"; }

private:
    std::string html_;
    bool open_ = false;
};

std::string alarms(const node_status& status)
{
    if (status.alarms.empty()) {
        return "<p class=\"ok\">No alarms.</p>\n";
    }
    table rows("Alarms", {"alarm", "detail"});
    for (const alarm_status& alarm : status.alarms) {
        rows.row().text(alarm.alarm, "bad").text(alarm.detail);
    }
    return rows.html();
}

std::string services(const node_status& status)
{
    table rows("Services, requests at this node", {"service", "state", "accepted", "answered", "not run",
                                                   "unknown", "caller gone", "in flight", "difference"});
    for (const service_status& service : status.services) {
        rows.row()
            .text(service.service.str())
            .text(service.degraded ? "degraded" : "ok", service.degraded ? "bad" : "ok")
            .number(service.accepted)
            .number(service.answered)
            .number(service.not_run)
            .number(service.unknown)
            .number(service.caller_gone)
            .number(service.in_flight)
            .text(std::to_string(service.difference), service.difference == 0 ? "n" : "n bad");
    }
    return rows.html();
}

std::string engines(const node_status& status)
{
    table rows("Engines", {"engine", "service", "data centre", "role", "state", "running", "queued",
                           "prefill left", "pieces", "report age", "change"});
    for (const engine_status& engine : status.engines) {
        rows.row().text(engine.engine.str()).text(engine.service.str()).text(engine.data_centre.str());
        if (engine.reported) {
            rows.text(nlohmann::json(engine.role).get<std::string>())
                .text(nlohmann::json(engine.condition).get<std::string>())
                .number(engine.running)
                .number(engine.queued)
                .number(engine.prefill_tokens_left)
                .text(std::to_string(engine.pieces_used) + " / " + std::to_string(engine.pieces_total), "n")
                .text(seconds(engine.report_age), "n");
        } else {
            rows.text("").text("no report", "bad").text("").text("").text("").text("").text("");
        }
        rows.text(engine.drained ? "drained" : engine.change);
    }
    return rows.html();
}

std::string backends(const node_status& status)
{
    table rows("Backend servers", {"backend server", "service", "data centre", "calls open", "state"});
    for (const backend_status& backend : status.backends) {
        rows.row()
            .text(backend.backend.str())
            .text(backend.service.str())
            .text(backend.data_centre.str())
            .number(backend.calls_open)
            .text(backend.drained ? "drained" : "");
    }
    return rows.html();
}

std::string pools(const node_status& status)
{
    table rows("Authority", {"service", "data centre", "holder", "fence", "this node acts"});
    for (const pool_status& pool : status.pools) {
        rows.row()
            .text(pool.pool.service.str())
            .text(pool.pool.data_centre.str())
            .text(pool.released ? "released" : pool.holder.str())
            .number(pool.held.value())
            .text(pool.acting ? "yes" : "");
    }
    return rows.html();
}

std::string members(const node_status& status)
{
    table rows("Other nodes", {"node", "data centre", "health", "revision", "version", "heard"});
    for (const member_status& member : status.members) {
        rows.row()
            .text(member.node.str())
            .text(member.data_centre.str())
            .text(member.leaving ? "leaving" : member.health, member.health == "alive" ? "ok" : "bad")
            .text(std::to_string(member.current.value()), member.current == status.current ? "n" : "n bad")
            .text(member.version)
            .text(seconds(member.heard_age), "n");
    }
    return rows.html();
}

} // namespace

std::string render_page(const node_status& status)
{
    std::string html(page_head);
    html += "<h1>" + escape_markup(status.fleet.empty() ? "no configuration yet" : status.fleet) + ", node " +
            escape_markup(status.node.str()) + " in " + escape_markup(status.data_centre.str()) + "</h1>\n";
    html += "<p>" + escape_markup(status.phase) + (status.ready ? ", ready" : ", not ready") + "; revision " +
            std::to_string(status.current.value()) + (status.verified ? "" : " (unverified)") +
            "; log read up to " + std::to_string(status.applied.value()) + ", " + seconds(status.log_age) +
            " ago; version " + escape_markup(status.version) + "</p>\n";
    html += alarms(status) + services(status) + engines(status) + backends(status) + pools(status) +
            members(status);
    return html + "</body></html>\n";
}

} // namespace currantspar::node
