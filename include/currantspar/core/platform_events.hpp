#ifndef CURRANTSPAR_CORE_PLATFORM_EVENTS_HPP
#define CURRANTSPAR_CORE_PLATFORM_EVENTS_HPP

#include <string>
#include <vector>

#include "currantspar/agreement/replica.hpp"
#include "currantspar/base/ids.hpp"
#include "currantspar/base/json.hpp"

namespace currantspar::core {

/// Periodic timer event.
struct tick
{};

/// A log read succeeded.
struct log_read
{
    agreement::log_batch batch;
};

/// A log read timed out or returned an error.
struct log_read_failed
{
    std::string reason;
};

enum class append_outcome
{
    appended,
    refused, ///< rate limit or outage; nothing was appended
    unknown, ///< the response was lost; the records may be in the log
};

/// Result of an append to the log.
struct append_finished
{
    append_id append;
    append_outcome outcome = append_outcome::appended;
    log_offset first; ///< first offset of the batch, when appended
};

/// A currantspar VM in the platform's list.
struct vm_entry
{
    node_id node;
    data_centre_id data_centre;
    bool leaving = false;
};

/// The platform's list of VMs. It may lag behind the actual state.
struct vm_list_read
{
    std::vector<vm_entry> vms;
};

struct vm_list_failed
{
    std::string reason;
};

/// The process received SIGTERM. A second SIGTERM terminates it immediately.
struct stop_requested
{};

NLOHMANN_JSON_SERIALIZE_ENUM(append_outcome, {{append_outcome::appended, "appended"},
                                              {append_outcome::refused, "refused"},
                                              {append_outcome::unknown, "unknown"}})
CURRANTSPAR_JSON_EMPTY(tick)
void to_json(nlohmann::json& out, const log_read& value);
void from_json(const nlohmann::json& in, log_read& value);
CURRANTSPAR_JSON(log_read_failed, reason)
CURRANTSPAR_JSON(append_finished, append, outcome, first)
CURRANTSPAR_JSON(vm_entry, node, data_centre, leaving)
CURRANTSPAR_JSON(vm_list_read, vms)
CURRANTSPAR_JSON(vm_list_failed, reason)
CURRANTSPAR_JSON_EMPTY(stop_requested)

} // namespace currantspar::core

#endif
