#ifndef CURRANTSPAR_CORE_OPTIONS_HPP
#define CURRANTSPAR_CORE_OPTIONS_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "currantspar/agreement/agreed_state.hpp"
#include "currantspar/base/ids.hpp"
#include "currantspar/base/json.hpp"
#include "currantspar/base/time.hpp"

namespace currantspar::core {

/// Faults that can be injected into the core, to prove that the checks detect them.
enum class injected_fault
{
    none,
    no_takeover_wait,       ///< a new holder acts without waiting for its predecessor's lease to expire
    lease_from_read_back,   ///< a renewed lease runs from the read-back, not from the send time
    fence_not_compared,     ///< a holder continues after the log has assigned its authority to another node
    former_holder_ignored,  ///< orders engines without fence checks while an earlier holder may act
    checkpoint_by_position, ///< adopts the last checkpoint read, regardless of the offset that it covers
    no_read_back,           ///< treats an order whose response was lost as done
    view_ack_skipped,       ///< drains without the acknowledgements of the nodes that route to the engine
    report_by_receipt,      ///< ends a drain by any received report, regardless of when it was taken
    open_order_ignored,     ///< sends an order to an engine while an earlier order to it has no result
    stale_view_accepted,    ///< a node accepts a routing view with a smaller fence
    leaving_ignored,        ///< engines that announce that they are leaving stay open
    drain_skipped,          ///< sends an order to an engine that has work in flight
    crossed_accepted,       ///< accepts tokens of another request
    positions_ignored,      ///< accepts tokens regardless of their position
    truncated_accepted,     ///< treats a response as complete although tokens are missing
    booking_repeated,       ///< repeats a call that may have run
    key_not_recorded,       ///< dispatches a keyed call without waiting for its record
    given_up_dispatched,    ///< dispatches a call whose caller has already received an outcome
    not_run_guessed,        ///< reports NOT RUN for a call whose connection broke
    silence_ignored,        ///< never treats a connection as timed out
    stop_cuts,              ///< a graceful stop exits without completing requests in flight
};

/// Parameters of a node's core; the same for all nodes of an installation apart from its identity.
struct core_options
{
    node_id self;
    data_centre_id data_centre;
    incarnation process;    ///< drawn at random by the caller at each start
    std::uint64_t seed = 1; ///< of the core's random generator
    std::string version = "0.1.0";

    // The platform.
    duration log_poll = std::chrono::milliseconds(200);
    duration key_log_poll = std::chrono::milliseconds(50); ///< while a keyed call waits for log records
    duration vm_list_poll = std::chrono::seconds(1);
    duration retry_first = std::chrono::milliseconds(200); ///< initial backoff after a failed log call
    duration retry_most = std::chrono::seconds(10);
    std::size_t checkpoint_body_limit = 256U << 10U; ///< bytes per checkpoint part
    std::uint64_t checkpoint_every = 20000;          ///< records between checkpoints

    // Authority.
    duration lease = std::chrono::seconds(10);
    duration renew_every = std::chrono::seconds(3);
    duration clock_error = std::chrono::milliseconds(200); ///< drift over one lease, between any two clocks
    duration order_flight = std::chrono::seconds(2);       ///< maximum time that an order can be in flight

    // Peers.
    duration probe_every = std::chrono::seconds(1);
    duration probe_timeout = std::chrono::milliseconds(500);
    duration suspect_for = std::chrono::seconds(3);
    duration view_valid_for = std::chrono::seconds(2);
    duration digest_every = std::chrono::milliseconds(250);

    // Requests.
    duration report_every = std::chrono::milliseconds(500);
    duration call_idle_limit = std::chrono::seconds(30); ///< for calls to backend servers of plain services
    duration key_wait = std::chrono::seconds(5);         ///< time that a keyed call waits for its record
    unsigned attempts_most = 8;                          ///< per model request
    duration balancer_drain = std::chrono::seconds(5);
    duration reply_linger = std::chrono::milliseconds(250);  ///< at a stop, for the last responses to be sent
    duration accept_limit = std::chrono::seconds(1);         ///< for an engine's first response to an attempt
    duration attempt_idle_limit = std::chrono::seconds(60);  ///< in the adapter, behind the core's limits
    duration engine_retry = std::chrono::milliseconds(100);  ///< interval between searches for a free engine
    duration resume_grace = std::chrono::milliseconds(1500); ///< a stream continues after a disconnect
    duration key_flush = std::chrono::milliseconds(20);      ///< keys within this time share a batch
    duration key_resend = std::chrono::milliseconds(500);    ///< until a key or outcome is relayed again
    duration settle_wait = std::chrono::seconds(1);          ///< for the NOT RUN record of a call
    duration release_wait = std::chrono::seconds(10);        ///< at a graceful stop, for the last records

    // The log, continued.
    duration checkpoint_age = std::chrono::minutes(20); ///< maximum age of the last checkpoint
    duration checkpoint_step = std::chrono::seconds(2); ///< stagger between the write times of nodes by rank
    duration read_timeout = std::chrono::seconds(10);   ///< then a read or append is treated as lost
    double appends_per_second = 120;                    ///< all nodes together, without keyed calls
    double key_appends_per_second = 10;                 ///< per node that records keyed calls
    double append_burst = 4;                            ///< batches per node
    agreement::fleet_parser fleet_parser = agreement::parse_fleet_document;

    // Orders.
    duration new_node_settles =
        std::chrono::seconds(8); ///< a new node routes without a view after this time on the VM list
    duration ack_valid_for = std::chrono::seconds(4); ///< validity of a view's acknowledgement
    duration list_valid_for = std::chrono::seconds(5);
    duration state_read_every = std::chrono::milliseconds(500);
    duration closing_most = std::chrono::seconds(20); ///< after this time the engine is opened again
    duration draining_most = std::chrono::seconds(180);
    duration change_pause = std::chrono::seconds(10); ///< pause after an abandoned change
    unsigned weight_loads_most = 1;                   ///< engines per pool that load weights at the same time
    double digest_bytes_per_second = 7000;            ///< sent per node
    double collect_bytes_per_second = 5000;           ///< engine reports read per node
    double delta_bytes_per_second = 10000;            ///< delta digests sent per node

    injected_fault fault = injected_fault::none;
};

/// The name of an injected fault, such as `no_takeover_wait`. Thread safe.
[[nodiscard]] std::string_view fault_name(injected_fault fault);
/// The fault of that name, or `none` when the name is unknown. Thread safe.
[[nodiscard]] injected_fault fault_of(std::string_view name);

/// All faults but `none`.
inline constexpr unsigned injected_fault_count = 21;

// A recorded session begins with its options, so every member that changes behaviour is listed here.
CURRANTSPAR_JSON(core_options, self, data_centre, process, seed, version, log_poll, key_log_poll,
                 vm_list_poll, retry_first, retry_most, checkpoint_body_limit, checkpoint_every, lease,
                 renew_every, clock_error, order_flight, probe_every, probe_timeout, suspect_for,
                 view_valid_for, digest_every, report_every, call_idle_limit, key_wait, attempts_most,
                 balancer_drain, reply_linger, accept_limit, attempt_idle_limit, engine_retry, resume_grace,
                 key_flush, key_resend, settle_wait, release_wait, checkpoint_age, checkpoint_step,
                 read_timeout, appends_per_second, key_appends_per_second, append_burst, new_node_settles,
                 ack_valid_for, list_valid_for, state_read_every, closing_most, draining_most, change_pause,
                 weight_loads_most, digest_bytes_per_second)

} // namespace currantspar::core

#endif
