#include "currantspar/config/fleet_reader.hpp"

#include <algorithm>

namespace currantspar::config {

namespace {

using namespace std::chrono_literals;

constexpr bounds<duration> delay_range{1us, 10s};
constexpr bounds<duration> target_range{1ms, 1h};
constexpr bounds<duration> deadline_range{1ms, 24h};
constexpr bounds<duration> role_change_range{0s, 1h};
constexpr bounds<duration> key_window_range{1min, 24h * 30};
constexpr bounds<double> weight_range{0, 1'000'000};
constexpr bounds<double> share_range{0.001, 1'000'000};
constexpr bounds<double> rate_range{0.001, 1'000'000};
constexpr bounds<std::uint64_t> priority_range{0, 9};
constexpr bounds<std::uint64_t> change_range{1, 1'000};
constexpr bounds<std::uint64_t> queue_range{0, 1'000'000};
constexpr bounds<std::uint64_t> concurrent_range{1, 1'000'000};
constexpr bounds<std::uint64_t> piece_range{16, 1'000'000};

const std::set<std::string> role_names{"mixed", "prefill", "decode"};
const std::set<std::string> method_names{"*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

/// Reads a list of names; `what` says what they name.
template <typename Name>
void read_names(object_reader& reader, std::string_view key, fault_list& faults, std::vector<Name>& out,
                presence need = presence::optional)
{
    reader.list(
        key,
        [&](const nlohmann::json& item, const std::string& pointer) {
            if (!item.is_string() || !is_name(item.get_ref<const std::string&>())) {
                faults.add_value(pointer, item, "a name of letters, digits, `.`, `_` and `-`, at most 64");
            }
            out.push_back(Name(item.is_string() ? item.get<std::string>() : std::string()));
        },
        need);
}

engine_load read_load(const nlohmann::json& value, const std::string& pointer, fault_list& faults)
{
    engine_load load;
    object_reader reader(faults, value, pointer);
    reader.text("model", load.model, presence::required);
    reader.text("adapter", load.adapter);
    reader.text("version", load.version);
    reader.finish();
    return load;
}

engine_spec read_engine(const nlohmann::json& value, const std::string& pointer, fault_list& faults)
{
    engine_spec engine;
    object_reader reader(faults, value, pointer);
    reader.name("name", engine.id);
    reader.address("address", engine.address, presence::required);
    reader.name("data_centre", engine.data_centre);
    reader.boolean("checks_fence", engine.checks_fence);
    reader.boolean("drained", engine.drained);
    if (reader.has("fixed_role")) {
        engine_role role = engine_role::mixed;
        reader.one_of("fixed_role", role, role_names);
        engine.fixed_role = role;
    }
    reader.finish();
    return engine;
}

backend_spec read_backend(const nlohmann::json& value, const std::string& pointer, fault_list& faults)
{
    backend_spec backend;
    object_reader reader(faults, value, pointer);
    reader.name("name", backend.id);
    reader.address("address", backend.address, presence::required);
    reader.name("data_centre", backend.data_centre);
    reader.boolean("drained", backend.drained);
    reader.finish();
    return backend;
}

call_rule read_call(const nlohmann::json& value, const std::string& pointer, fault_list& faults)
{
    call_rule rule;
    rule.method = "*";
    object_reader reader(faults, value, pointer);
    reader.one_of("method", rule.method, method_names);
    reader.text("path_prefix", rule.path_prefix);
    reader.boolean("may_repeat", rule.may_repeat);
    reader.boolean("require_key", rule.require_key);
    reader.finish();
    if (rule.may_repeat && rule.require_key) {
        faults.add(pointer_to(pointer, "require_key"), "true", "false, since the call may be repeated");
    }
    return rule;
}

service_targets read_targets(const nlohmann::json& value, const std::string& pointer, fault_list& faults)
{
    service_targets targets;
    object_reader reader(faults, value, pointer);
    reader.time("first_token", targets.first_token, target_range);
    reader.time("between_tokens", targets.between_tokens, target_range);
    reader.time("deadline", targets.deadline, deadline_range);
    reader.finish();
    return targets;
}

role_policy_options read_roles(const nlohmann::json& value, const std::string& pointer, fault_list& faults)
{
    role_policy_options roles;
    object_reader reader(faults, value, pointer);
    reader.number("change_cost_weight", roles.change_cost_weight, weight_range);
    reader.integer("max_simultaneous_changes", roles.max_simultaneous_changes, change_range);
    reader.time("role_change_time", roles.role_change_time, role_change_range);
    reader.boolean("adaptive", roles.adaptive);
    reader.finish();
    return roles;
}

void read_dependencies(const nlohmann::json& value, const std::string& pointer, fault_list& faults,
                       service_spec& service)
{
    object_reader reader(faults, value, pointer);
    read_names(reader, "services", faults, service.depends_on);
    reader.boolean("log", service.depends_on_log);
    reader.finish();
}

void read_model_service(object_reader& reader, fault_list& faults, service_spec& service)
{
    reader.member(
        "load",
        [&](const auto& value, const auto& pointer) { service.load = read_load(value, pointer, faults); },
        presence::required);
    reader.list(
        "engines",
        [&](const auto& value, const auto& pointer) {
            service.engines.push_back(read_engine(value, pointer, faults));
        },
        presence::required);
    reader.member("roles", [&](const auto& value, const auto& pointer) {
        service.roles = read_roles(value, pointer, faults);
    });
    reader.integer("piece_tokens", service.piece_tokens, piece_range);
}

void read_plain_service(object_reader& reader, fault_list& faults, service_spec& service)
{
    reader.text("path", service.path, presence::required);
    reader.list(
        "backends",
        [&](const auto& value, const auto& pointer) {
            service.backends.push_back(read_backend(value, pointer, faults));
        },
        presence::required);
    reader.list("calls", [&](const auto& value, const auto& pointer) {
        service.calls.push_back(read_call(value, pointer, faults));
    });
}

service_spec read_service(const nlohmann::json& value, const std::string& pointer, fault_list& faults)
{
    service_spec service;
    object_reader reader(faults, value, pointer);
    reader.name("name", service.id);
    reader.one_of("kind", service.kind, {"model", "plain"});
    reader.integer("priority", service.priority, priority_range);
    reader.integer("max_queued", service.max_queued, queue_range);
    reader.member("targets", [&](const auto& targets, const auto& at) {
        service.targets = read_targets(targets, at, faults);
    });
    reader.member("depends_on", [&](const auto& dependencies, const auto& at) {
        read_dependencies(dependencies, at, faults, service);
    });
    if (service.kind == service_kind::model) {
        read_model_service(reader, faults, service);
    } else {
        read_plain_service(reader, faults, service);
    }
    reader.finish();
    return service;
}

organisation_limits read_limits(const nlohmann::json& value, const std::string& pointer, fault_list& faults)
{
    organisation_limits limits;
    object_reader reader(faults, value, pointer);
    reader.number("requests_per_second", limits.requests_per_second, rate_range);
    reader.integer("concurrent_requests", limits.concurrent_requests, concurrent_range);
    reader.number("share", limits.share, share_range);
    reader.finish();
    return limits;
}

bool is_sha256(const nlohmann::json& value)
{
    constexpr std::size_t sha256_digits = 64;
    if (!value.is_string()) {
        return false;
    }
    const auto& text = value.get_ref<const std::string&>();
    return text.size() == sha256_digits && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

organisation_spec read_organisation(const nlohmann::json& value, const std::string& pointer,
                                    fault_list& faults)
{
    organisation_spec organisation;
    object_reader reader(faults, value, pointer);
    reader.name("name", organisation.id);
    reader.list(
        "key_hashes",
        [&](const nlohmann::json& hash, const std::string& at) {
            if (!is_sha256(hash)) {
                faults.add(at, "a value that isn't a hash",
                           "64 lower-case hexadecimal digits, see `currantspar hash-key`");
                return;
            }
            organisation.key_hashes.push_back(hash);
        },
        presence::required);
    reader.member("limits", [&](const auto& limits, const auto& at) {
        organisation.limits = read_limits(limits, at, faults);
    });
    read_names(reader, "services", faults, organisation.services);
    reader.finish();
    return organisation;
}

void read_delay(const nlohmann::json& value, const std::string& pointer, fault_list& faults,
                located_fleet& out)
{
    object_reader reader(faults, value, pointer);
    std::vector<data_centre_id> between;
    duration one_way = 1ms;
    read_names(reader, "between", faults, between, presence::required);
    reader.time("one_way", one_way, delay_range);
    reader.finish();
    if (between.size() != 2 || between[0] == between[1]) {
        faults.add(pointer_to(pointer, "between"), std::to_string(between.size()) + " names",
                   "two different data centres");
        return;
    }
    const auto pair = std::make_pair(std::min(between[0], between[1]), std::max(between[0], between[1]));
    out.value.delays.emplace(pair, one_way);
    out.delay_pairs.push_back(pair);
    out.delay_pointers.push_back(pointer);
}

} // namespace

located_fleet read_fleet(const located_json& document, fault_list& faults)
{
    located_fleet out;
    fleet& value = out.value;
    object_reader reader(faults, document.value, "");
    reader.name("name", value.name);
    reader.text("key_salt", value.key_salt);
    read_names(reader, "data_centres", faults, value.data_centres, presence::required);
    reader.list("delays", [&](const auto& delay, const auto& at) { read_delay(delay, at, faults, out); });
    reader.list(
        "services",
        [&](const auto& service, const auto& at) {
            value.services.push_back(read_service(service, at, faults));
        },
        presence::required);
    reader.list("organisations", [&](const auto& organisation, const auto& at) {
        value.organisations.push_back(read_organisation(organisation, at, faults));
    });
    reader.time("key_window", value.key_window, key_window_range);
    reader.finish();
    return out;
}

} // namespace currantspar::config
