#ifndef CURRANTSPAR_GATEWAY_ROLE_CONTROLLER_HPP
#define CURRANTSPAR_GATEWAY_ROLE_CONTROLLER_HPP

#include <map>
#include <set>
#include <string>
#include <vector>

#include "currantspar/gateway/server_connection.hpp"
#include "currantspar/gateway/wire_protocol.hpp"
#include "currantspar/io/clock.hpp"
#include "currantspar/relay/lease.hpp"
#include "currantspar/relay/relay_core.hpp"
#include "currantspar/relay/role_plan.hpp"
#include "unary_call.hpp"

namespace currantspar::gateway {

struct role_controller_options
{
    duration check_period = std::chrono::milliseconds(250);
    duration settle_time = std::chrono::milliseconds(1500); ///< from the start to the first plan
    duration claim_stagger =
        std::chrono::milliseconds(1500); ///< added to the claim delay per live node of lower rank
    duration change_time =
        std::chrono::seconds(9); ///< after an order, until the engine's entry must show the new role
    duration serving_linger =
        std::chrono::seconds(10); ///< after the last open request, while the fleet still counts as serving
    duration order_timeout = std::chrono::milliseconds(900);
    relay::role_plan_options plan{};
};

/// Changes the engines' roles to match the plan: claims the lease when a role has to change, queries the
/// engine's status, and sends the order with the lease's fencing token. Not thread safe.
class role_controller
{
public:
    role_controller(server_pool& servers, server_pool& store, const wire_protocol& wire,
                    relay::relay_core& core, std::string node, std::string store_address,
                    role_controller_options options = {});

    /// Keeps the lease in this store from now on.
    void use_store(const std::string& address) { store_address_ = address; }
    /// `rank` is the number of live nodes that claim the lease before this one.
    void on_tick(std::size_t rank, instant now);
    /// An engine's entry shows its role; completes an ordered change to that role.
    void on_role(const backend_id& engine, config::engine_role role);
    /// A response of the store named its era.
    void on_store_era(std::uint64_t era) { lease_.on_era(era, io::suspend_aware_now()); }

private:
    struct change
    {
        config::engine_role role = config::engine_role::prefill;
        instant until{}; ///< after this, treated as lost if the engine's entry doesn't show the role
    };

    [[nodiscard]] std::vector<relay::role_change> plan(instant now);
    void advance_lease(bool requested);
    void on_claims_read(const http_response* response);
    void on_claim_ended(const http_response* response);
    void order(const relay::role_change& requested);
    void on_status(const relay::role_change& requested, const relay::server_entry& engine,
                   const http_response& response);
    void send_order(const relay::role_change& requested, const relay::server_entry& engine,
                    std::uint64_t orders);
    void on_ordered(const backend_id& engine, std::uint64_t token, const http_response& response);
    void start(server_pool& pool, const std::string& address, result<std::string> request, duration timeout,
               unary_calls::response_handler done);

    server_pool& servers_;
    server_pool& store_;
    const wire_protocol& wire_;
    relay::relay_core& core_;
    std::string node_;
    std::string store_address_;
    role_controller_options options_;
    relay::lease lease_;
    std::uint64_t lease_call_ = 0; ///< number of the lease's last call; responses to earlier ones are ignored
    std::map<backend_id, change> changing_;
    unary_calls calls_;
    instant started_at_{};
    instant last_served_at_{};
    instant requested_since_{};
    instant check_due_{};
};

} // namespace currantspar::gateway

#endif
