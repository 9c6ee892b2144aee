#ifndef CURRANTSPAR_NODE_STATUS_HPP
#define CURRANTSPAR_NODE_STATUS_HPP

#include <map>
#include <string>
#include <vector>

#include "currantspar/base/json.hpp"
#include "currantspar/core/state.hpp"

namespace currantspar::node {

/// One model engine as a node sees it. Times are microseconds in JSON.
struct engine_status
{
    engine_id engine;
    service_id service;
    data_centre_id data_centre;
    bool reported = false; ///< the members up to `report_age` come from a report
    config::engine_role role = config::engine_role::mixed;
    policy::engine_condition condition = policy::engine_condition::unknown;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t prefill_tokens_left = 0;
    std::uint32_t pieces_used = 0;
    std::uint32_t pieces_total = 0;
    duration report_age{}; ///< since this node last read a report from the engine itself; 0: never did
    bool drained = false;  ///< by the operators' text
    bool closed = false;   ///< takes no new work for a change
    std::string change;    ///< phase of the change that this node is carrying out; empty: none
    order_id open_order;   ///< 0: none
};

/// One backend server of a plain service as a node sees it.
struct backend_status
{
    backend_id backend;
    service_id service;
    data_centre_id data_centre;
    bool drained = false;
    std::uint32_t calls_open = 0; ///< from this node
};

/// One service and what became of its requests at this node.
struct service_status
{
    service_id service;
    config::service_kind kind = config::service_kind::model;
    std::vector<service_id> depends_on;
    bool depends_on_log = false;
    bool degraded = false; ///< something that it depends on isn't available
    std::uint64_t accepted = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t caller_gone = 0;
    std::uint64_t in_flight = 0;
    std::int64_t difference = 0; ///< requests lost (positive) or counted twice (negative)
};

/// Who has authority over a pool, by the log as far as this node has read it.
struct pool_status
{
    pool_id pool;
    node_id holder;
    fence held;
    bool released = false;
    bool acting = false; ///< this node may act for the pool now
};

/// Another node, as this one sees it.
struct member_status
{
    node_id node;
    data_centre_id data_centre;
    std::string health;
    bool listed = false;
    bool leaving = false;
    revision current;
    std::string version;
    duration heard_age{};
};

struct alarm_status
{
    std::string alarm;
    std::string detail;
};

/// One verdict on a publish.
struct publish_status
{
    publish_id id;
    log_offset offset;
    std::string verdict;
    revision current;
    std::string author;
};

/// Everything that `currantspar status` and the metrics show of one node, taken at one moment.
struct node_status
{
    node_id node;
    data_centre_id data_centre;
    incarnation process;
    std::string version;
    std::string phase;
    bool ready = false;
    std::string fleet; ///< name of the installation; empty: no configuration yet
    revision current;
    log_offset applied;
    log_offset head;
    log_offset checkpointed;
    bool verified = false; ///< the agreed state was read from the log itself
    duration log_age{};    ///< since the log answered last
    std::uint64_t appends = 0;
    std::uint64_t records = 0;
    std::uint64_t dropped_answers = 0;
    std::uint64_t keys = 0; ///< idempotency keys that are remembered
    std::vector<service_status> services;
    std::vector<pool_status> pools;
    std::vector<engine_status> engines;
    std::vector<backend_status> backends;
    std::vector<member_status> members;
    std::vector<alarm_status> alarms;
    std::vector<publish_status> history; ///< the newest few, newest last
};

using alarm_details = std::map<core::alarm, std::string>;

/// Number of verdicts that a status carries.
inline constexpr std::size_t status_history = 16;

/// Reads a status out of a node's state. To be called on the thread that owns the state.
[[nodiscard]] node_status make_status(const core::node_state& state, const alarm_details& alarms,
                                      instant now);

/// The name of a life phase, such as `serving`. Thread safe.
[[nodiscard]] std::string_view phase_name(core::lifecycle_phase phase);

CURRANTSPAR_JSON(engine_status, engine, service, data_centre, reported, role, condition, running, queued,
                 prefill_tokens_left, pieces_used, pieces_total, report_age, drained, closed, change,
                 open_order)
CURRANTSPAR_JSON(backend_status, backend, service, data_centre, drained, calls_open)
CURRANTSPAR_JSON(service_status, service, kind, depends_on, depends_on_log, degraded, accepted, answered,
                 not_run, unknown, caller_gone, in_flight, difference)
CURRANTSPAR_JSON(pool_status, pool, holder, held, released, acting)
CURRANTSPAR_JSON(member_status, node, data_centre, health, listed, leaving, current, version, heard_age)
CURRANTSPAR_JSON(alarm_status, alarm, detail)
CURRANTSPAR_JSON(publish_status, id, offset, verdict, current, author)
CURRANTSPAR_JSON(node_status, node, data_centre, process, version, phase, ready, fleet, current, applied,
                 head, checkpointed, verified, log_age, appends, records, dropped_answers, keys, services,
                 pools, engines, backends, members, alarms, history)

} // namespace currantspar::node

#endif
