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

/// Deliberate faults of this core, for tests that prove the checks.
enum class injected_fault
{
    none,
    no_takeover_wait,       ///< a successor acts without waiting for its predecessor's time to pass
    lease_from_read_back,   ///< a renewal counts from when it was read, not from when it was sent
    fence_not_compared,     ///< a holder goes on after the log gave its authority away
    former_holder_ignored,  ///< orders engines that ignore fences while an earlier holder may still act
    checkpoint_by_position, ///< the last checkpoint read wins, whatever it covers
    no_read_back,           ///< an order whose answer was lost counts as done
    view_ack_skipped,       ///< drains without waiting for the nodes that route to the engine
    report_by_receipt,      ///< ends a drain by any report received, whenever it was taken
    open_order_ignored,     ///< orders an engine while an earlier order to it has no result
    stale_view_accepted,    ///< a node takes a routing view with a smaller fence
    leaving_ignored,        ///< engines that say they leave stay open
    drain_skipped,          ///< orders an engine that has work in flight
    crossed_accepted,       ///< takes tokens of another request
    positions_ignored,      ///< takes tokens whatever their position
    truncated_accepted,     ///< an answer counts as whole without all of its tokens
    booking_repeated,       ///< repeats a call that may have run
    key_not_recorded,       ///< dispatches a keyed call without waiting for its record
    given_up_dispatched,    ///< dispatches a call whose caller was already told something
    not_run_guessed,        ///< says NOT RUN of a call that broke
    silence_ignored,        ///< never judges a connection as silent
    stop_cuts,              ///< a planned stop leaves without finishing
};

/// How a node's core behaves; one set for a whole installation.
struct core_options
{
    node_id self;
    data_centre_id data_centre;
    incarnation process;    ///< drawn at random by the caller, once a start
    std::uint64_t seed = 1; ///< for the core's generator
    std::string version = "0.1.0";

    // The platform.
    duration log_poll = std::chrono::milliseconds(200);
    duration key_log_poll = std::chrono::milliseconds(50); ///< while a keyed call waits for the log
    duration vm_list_poll = std::chrono::seconds(1);
    duration retry_first = std::chrono::milliseconds(200); ///< first wait after a failed log call
    duration retry_most = std::chrono::seconds(10);
    std::size_t checkpoint_body_limit = 256U << 10U; ///< bytes in one part
    std::uint64_t checkpoint_every = 20000;          ///< records after the last checkpoint

    // Authority.
    duration lease = std::chrono::seconds(10);
    duration renew_every = std::chrono::seconds(3);
    duration clock_error = std::chrono::milliseconds(200); ///< over one lease, between any two clocks
    duration order_flight = std::chrono::seconds(2);       ///< longest time an order can be on its way

    // Peers.
    duration probe_every = std::chrono::seconds(1);
    duration probe_timeout = std::chrono::milliseconds(500);
    duration suspect_for = std::chrono::seconds(3);
    duration view_valid_for = std::chrono::seconds(2);
    duration digest_every = std::chrono::milliseconds(250);

    // Requests.
    duration report_every = std::chrono::milliseconds(500);
    duration call_idle_limit = std::chrono::seconds(30); ///< for backend servers of plain services
    duration key_wait = std::chrono::seconds(5);         ///< how long a keyed call waits for its record
    unsigned attempts_most = 8;                          ///< per model request
    duration balancer_drain = std::chrono::seconds(5);
    duration reply_linger = std::chrono::milliseconds(250);  ///< at a stop, for the last answers to leave
    duration accept_limit = std::chrono::seconds(1);         ///< for an engine's first sign of an attempt
    duration attempt_idle_limit = std::chrono::seconds(60);  ///< the adapter's own, behind the core's limits
    duration engine_retry = std::chrono::milliseconds(100);  ///< between looks for an engine that is free
    duration resume_grace = std::chrono::milliseconds(1500); ///< a stream runs on after its caller left
    duration key_flush = std::chrono::milliseconds(20);      ///< keys of this time go into one batch
    duration key_resend = std::chrono::milliseconds(500);    ///< until a key or outcome is handed on again
    duration settle_wait = std::chrono::seconds(1);          ///< for the record of a NOT RUN
    duration release_wait = std::chrono::seconds(10);        ///< for the last records at a graceful stop

    // The log, continued.
    duration checkpoint_age = std::chrono::minutes(20); ///< write one at least this often
    duration checkpoint_step = std::chrono::seconds(2); ///< between one node's turn to write and the next's
    duration read_timeout = std::chrono::seconds(10);   ///< an answer that didn't come by then never will
    double appends_per_second = 120;                    ///< of all nodes together, without keyed calls
    double key_appends_per_second = 10;                 ///< of one node that records keyed calls
    double append_burst = 4;                            ///< batches of one node
    agreement::fleet_parser fleet_parser = agreement::parse_fleet_document;

    // Orders.
    duration new_node_settles = std::chrono::seconds(
        8); ///< a node that was started routes without a view after this long on the list
    duration ack_valid_for = std::chrono::seconds(4); ///< a view's acknowledgement counts for this long
    duration list_valid_for = std::chrono::seconds(5);
    duration state_read_every = std::chrono::milliseconds(500);
    duration closing_most = std::chrono::seconds(20); ///< then the engine is opened again
    duration draining_most = std::chrono::seconds(180);
    duration change_pause = std::chrono::seconds(10); ///< after a change that was given up
    unsigned weight_loads_most = 1;                   ///< engines of one pool that load weights at a time
    double digest_bytes_per_second = 7000;            ///< sent by one node
    double collect_bytes_per_second = 5000;           ///< of engines' reports, read by one node
    double news_bytes_per_second = 10000;             ///< sent by one node, besides digests

    injected_fault fault = injected_fault::none;
};

/// The name of a deliberate fault: `no_takeover_wait` and so on. Thread safe.
[[nodiscard]] std::string_view fault_name(injected_fault fault);
/// The fault of that name; `none` for no known name. Thread safe.
[[nodiscard]] injected_fault fault_of(std::string_view name);

/// All faults but `none`.
inline constexpr unsigned injected_fault_count = 21;

// A recorded session begins with its options: every member that changes behaviour is listed here.
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
