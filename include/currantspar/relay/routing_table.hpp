#ifndef CURRANTSPAR_RELAY_ROUTING_TABLE_HPP
#define CURRANTSPAR_RELAY_ROUTING_TABLE_HPP

#include <memory>
#include <string_view>

#include "currantspar/base/random.hpp"
#include "currantspar/relay/model.hpp"

namespace currantspar::relay {

/// Result of matching a request against the routes.
enum class route_match
{
    found,
    unknown_route, ///< the configuration in force has no such route
    unconfigured,  ///< no configuration is known yet
};

/// The result of a route lookup. `route` stays valid while its configuration is referenced.
struct route_lookup
{
    route_match match = route_match::unconfigured;
    const route_spec* route = nullptr;
};

/// The routes of the newest configuration that this process has seen; it never reverts to an older version.
/// Not thread safe.
class routing_table
{
public:
    /// Adopts a configuration if it is newer than the one in force; false: it isn't.
    bool adopt(std::shared_ptr<const relay_config> config);
    [[nodiscard]] route_lookup find(std::string_view host, std::string_view path) const;
    /// Returns the version in force; 0 before the first configuration.
    [[nodiscard]] std::uint64_t version() const { return config_ ? config_->version : 0; }
    /// Null before the first configuration.
    [[nodiscard]] const std::shared_ptr<const relay_config>& config() const { return config_; }

private:
    std::shared_ptr<const relay_config> config_;
};

/// Selects one of a route's services at random by weight. Precondition: the route has a service. Thread safe.
[[nodiscard]] const service_id& choose_service(const route_spec& route, random_generator& random);

} // namespace currantspar::relay

#endif
