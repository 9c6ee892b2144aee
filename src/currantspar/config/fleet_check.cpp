#include "currantspar/config/fleet_check.hpp"

#include <algorithm>

#include "currantspar/base/wire_text.hpp"

namespace currantspar::config {

namespace {

constexpr std::string_view reserved_path = "/v1";

/// Reports values that stand twice where each must differ.
class distinct_values
{
public:
    distinct_values(fault_list& faults, std::string what) : faults_(faults), what_(std::move(what)) {}

    void add(const std::string& value, const std::string& pointer)
    {
        if (value.empty()) {
            return; // reported when it was read
        }
        const auto [first, added] = seen_.emplace(value, pointer);
        if (!added) {
            faults_.add(pointer, "\"" + value + "\"",
                        what_ + " not used before; it stands at " + first->second);
        }
    }

    [[nodiscard]] bool contains(const std::string& value) const { return seen_.contains(value); }

private:
    fault_list& faults_;
    std::string what_;
    std::map<std::string, std::string> seen_;
};

class fleet_checker
{
public:
    fleet_checker(const located_fleet& located, fault_list& faults)
        : located_(located), fleet_(located.value), faults_(faults)
    {}

    void run()
    {
        check_data_centres();
        check_delays();
        check_services();
        check_dependencies();
        check_organisations();
    }

private:
    void check_data_centres()
    {
        for (std::size_t i = 0; i < fleet_.data_centres.size(); ++i) {
            data_centres_.add(fleet_.data_centres[i].str(), pointer_to("/data_centres", i));
        }
        if (fleet_.data_centres.empty()) {
            faults_.add("/data_centres", "none", "at least one data centre");
        }
    }

    void check_delays()
    {
        distinct_values pairs(faults_, "a pair of data centres");
        for (std::size_t i = 0; i < located_.delay_pairs.size(); ++i) {
            const auto& [one, other] = located_.delay_pairs[i];
            const std::string at = pointer_to(located_.delay_pointers[i], "between");
            check_data_centre(one, at);
            check_data_centre(other, at);
            pairs.add(one.str() + " and " + other.str(), at);
        }
    }

    void check_data_centre(const data_centre_id& id, const std::string& pointer)
    {
        if (!id.empty() && !data_centres_.contains(id.str())) {
            faults_.add(pointer, "\"" + id.str() + "\"", "one of data_centres");
        }
    }

    void check_services()
    {
        distinct_values names(faults_, "a service name");
        distinct_values paths(faults_, "a path");
        for (std::size_t i = 0; i < fleet_.services.size(); ++i) {
            const service_spec& service = fleet_.services[i];
            const std::string at = pointer_to("/services", i);
            names.add(service.id.str(), pointer_to(at, "name"));
            if (service.kind == service_kind::model) {
                check_engines(service, pointer_to(at, "engines"));
            } else {
                paths.add(service.path, pointer_to(at, "path"));
                check_path(service.path, pointer_to(at, "path"));
                check_backends(service, pointer_to(at, "backends"));
                check_calls(service, at);
            }
        }
        if (fleet_.services.empty()) {
            faults_.add("/services", "none", "at least one service");
        }
    }

    void check_engines(const service_spec& service, const std::string& at)
    {
        for (std::size_t i = 0; i < service.engines.size(); ++i) {
            const engine_spec& engine = service.engines[i];
            check_server(engine.id.str(), engine.address, engine.data_centre, pointer_to(at, i));
        }
        if (service.engines.empty()) {
            faults_.add(at, "none", "at least one engine");
        }
    }

    void check_backends(const service_spec& service, const std::string& at)
    {
        for (std::size_t i = 0; i < service.backends.size(); ++i) {
            const backend_spec& backend = service.backends[i];
            check_server(backend.id.str(), backend.address, backend.data_centre, pointer_to(at, i));
        }
        if (service.backends.empty()) {
            faults_.add(at, "none", "at least one backend server");
        }
    }

    void check_server(const std::string& name, const std::string& address, const data_centre_id& data_centre,
                      const std::string& at)
    {
        servers_.add(name, pointer_to(at, "name"));
        addresses_.add(address, pointer_to(at, "address"));
        check_data_centre(data_centre, pointer_to(at, "data_centre"));
    }

    void check_path(const std::string& path, const std::string& pointer)
    {
        const bool reserved = path == reserved_path || path.starts_with(std::string(reserved_path) + "/");
        if (path.size() < 2 || path.front() != '/' || path.back() == '/' || reserved) {
            faults_.add(pointer, "\"" + path + "\"",
                        "a path such as \"/orders\": begins with `/`, doesn't end with it, isn't below /v1");
        }
    }

    void check_calls(const service_spec& service, const std::string& at)
    {
        for (std::size_t i = 0; i < service.calls.size(); ++i) {
            const call_rule& rule = service.calls[i];
            const std::string call_at = pointer_to(pointer_to(at, "calls"), i);
            if (!rule.path_prefix.empty() && rule.path_prefix.front() != '/') {
                faults_.add(pointer_to(call_at, "path_prefix"), "\"" + rule.path_prefix + "\"",
                            "a path below the service's that begins with `/`, or nothing");
            }
        }
    }

    void check_dependencies()
    {
        for (std::size_t i = 0; i < fleet_.services.size(); ++i) {
            const std::string at =
                pointer_to(pointer_to(pointer_to("/services", i), "depends_on"), "services");
            const auto& depends_on = fleet_.services[i].depends_on;
            for (std::size_t j = 0; j < depends_on.size(); ++j) {
                if (!depends_on[j].empty() && fleet_.find_service(depends_on[j]) == nullptr) {
                    faults_.add(pointer_to(at, j), "\"" + depends_on[j].str() + "\"",
                                "the name of a service");
                }
            }
        }
        for (std::size_t i = 0; i < fleet_.services.size(); ++i) {
            find_cycle(fleet_.services[i], pointer_to(pointer_to("/services", i), "depends_on"));
        }
    }

    /// Reports a cycle once, at the service of it that comes first in the text.
    void find_cycle(const service_spec& start, const std::string& pointer)
    {
        std::vector<service_id> path{start.id};
        std::set<service_id> visited;
        if (reaches(start, start.id, path, visited)) {
            std::string chain;
            for (const service_id& id : path) {
                in_cycle_.insert(id);
                chain += id.str() + " -> ";
            }
            faults_.add(pointer, "the cycle " + chain + start.id.str(), "dependencies without a cycle");
        }
    }

    bool reaches(const service_spec& from, const service_id& target, std::vector<service_id>& path,
                 std::set<service_id>& visited) const
    {
        if (in_cycle_.contains(target)) {
            return false;
        }
        for (const service_id& next : from.depends_on) {
            if (next == target) {
                return true;
            }
            const service_spec* service = fleet_.find_service(next);
            if (service == nullptr || !visited.insert(next).second) {
                continue;
            }
            path.push_back(next);
            if (reaches(*service, target, path, visited)) {
                return true;
            }
            path.pop_back();
        }
        return false;
    }

    void check_organisations()
    {
        distinct_values names(faults_, "an organisation's name");
        distinct_values hashes(faults_, "a key hash");
        for (std::size_t i = 0; i < fleet_.organisations.size(); ++i) {
            const organisation_spec& organisation = fleet_.organisations[i];
            const std::string at = pointer_to("/organisations", i);
            names.add(organisation.id.str(), pointer_to(at, "name"));
            if (!organisation.id.empty() && !is_sound_name(organisation.id.str())) {
                faults_.add(pointer_to(at, "name"), escaped_excerpt(organisation.id.str()),
                            "printable text, as servers get it in a header field");
            }
            for (std::size_t j = 0; j < organisation.key_hashes.size(); ++j) {
                hashes.add(organisation.key_hashes[j], pointer_to(pointer_to(at, "key_hashes"), j));
            }
            for (std::size_t j = 0; j < organisation.services.size(); ++j) {
                const service_id& service = organisation.services[j];
                if (!service.empty() && fleet_.find_service(service) == nullptr) {
                    faults_.add(pointer_to(pointer_to(at, "services"), j), "\"" + service.str() + "\"",
                                "the name of a service");
                }
            }
        }
        if (!fleet_.organisations.empty() && fleet_.key_salt.empty()) {
            faults_.add("/key_salt", "none", "a salt for the key hashes, at least one character");
        }
    }

    const located_fleet& located_;
    const fleet& fleet_;
    fault_list& faults_;
    distinct_values data_centres_{faults_, "a data centre's name"};
    distinct_values servers_{faults_, "a name for an engine or backend server"};
    distinct_values addresses_{faults_, "an address"};
    std::set<service_id> in_cycle_;
};

} // namespace

void check_fleet(const located_fleet& located, fault_list& faults)
{
    fleet_checker(located, faults).run();
}

} // namespace currantspar::config
