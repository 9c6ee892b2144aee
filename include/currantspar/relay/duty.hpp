#ifndef CURRANTSPAR_RELAY_DUTY_HPP
#define CURRANTSPAR_RELAY_DUTY_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "currantspar/base/ids.hpp"
#include "currantspar/base/time.hpp"

namespace currantspar::relay {

/// The requests of each organisation that servers began in one window.
struct usage_report
{
    std::uint64_t window = 0; ///< windows since 1970
    std::map<organisation_id, std::uint64_t> counts;
};

/// An order for a number of servers.
struct capacity_order
{
    service_id service;
    data_centre_id data_centre;
    bool reclaimable = false; ///< the order is for servers that may be taken back; each kind counts by itself
    unsigned servers = 0;     ///< wanted in total
};

/// A call to the cloud API that only the holder of the duties makes.
using duty_call = std::variant<usage_report, capacity_order>;

/// What became of a call to the cloud API.
enum class duty_outcome
{
    accepted,
    conflict,    ///< none to be had there, or the API has seen a higher fencing token
    unavailable, ///< rejected for now: too many calls, or the API is in trouble
    unanswered,  ///< it may still be executed, seconds later
};

/// A record of the duties' topic in the shared store. Only its newest value of each key counts.
struct duty_record
{
    std::string key;
    std::string value;
};

/// What a holder does next: append a record on the condition that no other node has appended since, or make a
/// call.
using duty_step = std::variant<duty_record, duty_call>;

/// A duty that one node at a time performs. The holder of the lease asks each duty for its next step, one
/// step at a time, and tells the result. All times are of a clock that counts while the machine is suspended.
/// Not thread safe.
class duty
{
public:
    duty() = default;
    duty(const duty&) = delete;
    duty& operator=(const duty&) = delete;
    virtual ~duty() = default;

    /// Returns whether there is something to do, so that a node should claim the lease. Called at any node.
    [[nodiscard]] virtual bool pending(instant now) const = 0;
    /// The newest records of the topic were read: before a claim, and again after an append without response.
    virtual void on_records(const std::vector<duty_record>& records, instant now) = 0;
    /// Returns the next step of the holder; nothing: there is none now. Precondition: on_records() was called
    /// since this node became the holder, and the last step has ended.
    [[nodiscard]] virtual std::optional<duty_step> next(instant now) = 0;
    /// The record of the last step was appended.
    virtual void on_recorded(const duty_record& record, instant now) = 0;
    /// The call of the last step has ended.
    virtual void on_called(const duty_call& call, duty_outcome outcome, instant now) = 0;
    /// This node isn't the holder any more: the last step, if there is one, has an unknown result.
    virtual void on_lost(instant now) = 0;
};

} // namespace currantspar::relay

#endif
