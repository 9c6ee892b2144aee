#include "currantspar/relay/routing_table.hpp"

#include <algorithm>
#include <cctype>

namespace currantspar::relay {

namespace {

bool same_host(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::string_view without_port(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

std::string_view without_query(std::string_view path)
{
    return path.substr(0, path.find('?'));
}

} // namespace

const relayed_service* relay_config::find_service(const service_id& id) const
{
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&](const relayed_service& service) { return service.id == id; });
    return found == services.end() ? nullptr : &*found;
}

bool routing_table::adopt(std::shared_ptr<const relay_config> config)
{
    if (config_ && config->version <= config_->version) {
        return false;
    }
    config_ = std::move(config);
    return true;
}

route_lookup routing_table::find(std::string_view host, std::string_view path) const
{
    if (!config_) {
        return {};
    }
    const std::string_view name = without_port(host);
    const std::string_view plain_path = without_query(path);
    const route_spec* best = nullptr;
    for (const route_spec& route : config_->routes) {
        const bool matches = same_host(route.host, name) && plain_path.starts_with(route.path_prefix);
        if (matches && (best == nullptr || route.path_prefix.size() > best->path_prefix.size())) {
            best = &route;
        }
    }
    return {best == nullptr ? route_match::unknown_route : route_match::found, best};
}

const service_id& choose_service(const route_spec& route, random_generator& random)
{
    std::uint64_t total = 0;
    for (const weighted_service& share : route.services) {
        total += share.weight;
    }
    if (total == 0) {
        return route.services.front().service;
    }
    std::uint64_t drawn = random.below(total);
    for (const weighted_service& share : route.services) {
        if (drawn < share.weight) {
            return share.service;
        }
        drawn -= share.weight;
    }
    return route.services.back().service;
}

} // namespace currantspar::relay
