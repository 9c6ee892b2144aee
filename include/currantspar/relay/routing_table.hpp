#ifndef CURRANTSPAR_RELAY_ROUTING_TABLE_HPP
#define CURRANTSPAR_RELAY_ROUTING_TABLE_HPP

#include <memory>
#include <string_view>

#include "currantspar/base/random.hpp"
#include "currantspar/relay/model.hpp"

namespace currantspar::relay {

/// Whether a request may go anywhere, and where.
enum class route_match
{
    found,
    unknown_route, ///< the configuration in force has no such route
    unconfigured,  ///< no configuration is known yet
};

/// The result of looking a route up. `route` stays valid while its configuration is held.
struct route_lookup
{
    route_match match = route_match::unconfigured;
    const route_spec* route = nullptr;
};

/// The newest configuration that this process has seen. It never goes back to an older version.
/// Not thread safe.
class routing_table
{
public:
    /// Takes a configuration over when it is newer than the one in force; false: it isn't.
    bool adopt(std::shared_ptr<const relay_config> config);
    [[nodiscard]] route_lookup find(std::string_view host, std::string_view path) const;
    /// The version in force; 0 before the first configuration.
    [[nodiscard]] std::uint64_t version() const { return config_ ? config_->version : 0; }
    /// Null before the first configuration.
    [[nodiscard]] const std::shared_ptr<const relay_config>& config() const { return config_; }

private:
    std::shared_ptr<const relay_config> config_;
};

/// Draws one of a route's services by weight. Precondition: the route has a service. Thread safe.
[[nodiscard]] const service_id& choose_service(const route_spec& route, random_generator& random);

} // namespace currantspar::relay

#endif
