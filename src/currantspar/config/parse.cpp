#include "currantspar/config/parse.hpp"

#include "currantspar/config/fleet_check.hpp"
#include "currantspar/config/fleet_reader.hpp"
#include "currantspar/config/object_reader.hpp"

namespace currantspar::config {

namespace {

using namespace std::chrono_literals;

constexpr bounds<std::uint64_t> body_bytes{1U << 10U, 1U << 30U};
constexpr bounds<std::uint64_t> connections{16, 1'000'000};
constexpr bounds<std::uint64_t> timeline_range{16, 10'000'000};
constexpr bounds<duration> drain_range{0s, 10min};

node_settings read_settings(const located_json& document, fault_list& faults)
{
    node_settings settings;
    object_reader reader(faults, document.value, "");
    reader.name("data_centre", settings.data_centre);
    reader.address("caller_address", settings.caller_address);
    reader.address("admin_address", settings.admin_address);
    reader.address("peer_address", settings.peer_address);
    reader.address("log_address", settings.log_address, presence::required);
    reader.address("vm_list_address", settings.vm_list_address, presence::required);
    reader.one_of("log_level", settings.log_level, {"debug", "info", "warning", "error"});
    reader.one_of("log_lines", settings.log_lines, {"key_value", "json"});
    reader.integer("max_body_bytes", settings.max_body_bytes, body_bytes);
    reader.integer("max_connections", settings.max_connections, connections);
    reader.integer("max_peer_connections", settings.max_peer_connections, connections);
    reader.integer("timeline_entries", settings.timeline_entries, timeline_range);
    reader.time("balancer_drain", settings.balancer_drain, drain_range);
    reader.text("record_path", settings.record_path);
    reader.finish();
    return settings;
}

void check_own_addresses(const node_settings& settings, fault_list& faults)
{
    if (settings.admin_address == settings.caller_address) {
        faults.add("/admin_address", settings.admin_address,
                   "an address of its own, not that of caller_address");
    }
    if (settings.peer_address == settings.caller_address || settings.peer_address == settings.admin_address) {
        faults.add("/peer_address", settings.peer_address, "an address of its own");
    }
}

} // namespace

checked<fleet> parse_fleet(std::string_view text, unsigned schema_version)
{
    const located_json document = read_located(text);
    if (!document.complete) {
        return tl::unexpected<diagnostics>(document.faults);
    }
    fault_list faults(document);
    if (schema_version == 0 || schema_version > current_schema_version) {
        faults.add("", "schema version " + std::to_string(schema_version),
                   "a version from 1 to " + std::to_string(current_schema_version));
    }
    located_fleet located = read_fleet(document, faults);
    check_fleet(located, faults);
    if (diagnostics found = faults.sorted(); !found.empty()) {
        return tl::unexpected<diagnostics>(std::move(found));
    }
    return std::move(located.value);
}

checked<node_settings> parse_settings(std::string_view text)
{
    const located_json document = read_located(text);
    if (!document.complete) {
        return tl::unexpected<diagnostics>(document.faults);
    }
    fault_list faults(document);
    node_settings settings = read_settings(document, faults);
    check_own_addresses(settings, faults);
    if (diagnostics found = faults.sorted(); !found.empty()) {
        return tl::unexpected<diagnostics>(std::move(found));
    }
    return settings;
}

} // namespace currantspar::config
