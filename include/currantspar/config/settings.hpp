#ifndef CURRANTSPAR_CONFIG_SETTINGS_HPP
#define CURRANTSPAR_CONFIG_SETTINGS_HPP

#include <cstdint>
#include <string>

#include "currantspar/base/ids.hpp"
#include "currantspar/base/json.hpp"
#include "currantspar/base/time.hpp"

namespace currantspar::config {

enum class log_format
{
    key_value,
    json,
};

/// The settings of one node. Addresses are `IP:port`.
struct node_settings
{
    data_centre_id data_centre;
    std::string caller_address = "127.0.0.1:8080"; ///< where callers connect
    std::string admin_address = "127.0.0.1:8081";  ///< health, metrics, time line
    std::string peer_address = "127.0.0.1:8082";   ///< where other nodes connect; names the node
    std::string log_address;                       ///< the platform's log service
    std::string vm_list_address;                   ///< the platform's list of VMs
    std::string log_level = "info";                ///< debug, info, warning, error
    log_format log_lines = log_format::key_value;
    std::uint64_t max_body_bytes = 8U << 20U;
    std::uint32_t max_connections = 4096;
    std::uint32_t max_peer_connections = 1024;         ///< that other nodes have opened
    std::uint32_t timeline_entries = 65536;            ///< kept in memory
    duration balancer_drain = std::chrono::seconds(5); ///< how long the balancer may go on sending after
                                                       ///< readiness fails
    std::string record_path; ///< where to write the event stream as JSON lines; empty: nowhere
};

NLOHMANN_JSON_SERIALIZE_ENUM(log_format, {{log_format::key_value, "key_value"}, {log_format::json, "json"}})

} // namespace currantspar::config

#endif
