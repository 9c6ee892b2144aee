#ifndef CURRANTSPAR_CORE_CONFIGURATION_HPP
#define CURRANTSPAR_CORE_CONFIGURATION_HPP

#include "currantspar/agreement/replica.hpp"
#include "currantspar/core/event.hpp"
#include "currantspar/core/options.hpp"

namespace currantspar::core {

struct node_state;
struct step_context;

/// This node's replica of the agreed state (configuration, authority, orders), and its reads of the log.
struct configuration_state
{
    configuration_state() = default;
    explicit configuration_state(const core_options& options);

    agreement::replica replica;
    bool read_open = false;
    instant read_due{};
    instant read_sent{};
    instant last_read{};       ///< when the last read succeeded
    unsigned failed_reads = 0; ///< consecutive failures
    revision announced;        ///< revision that the other modules were last notified of

    log_offset checkpoint_seen; ///< latest checkpoint of the log known to this node
    instant checkpoint_at{};    ///< when this node learned of that checkpoint, or obtained a base
    instant checkpoint_due{};   ///< when this node writes a checkpoint; 0: none is needed
    instant peer_request_due{}; ///< next request for a peer's state, used while the log can't be read
    instant restart_due{};      ///< when this node writes a restart checkpoint; 0: none is needed
    bool alarmed_log = false;
    bool alarmed_unverified = false;
    bool alarmed_checkpoint = false;
    bool alarmed_divergence = false;
};

namespace configuration {

/// Applies a batch of records and notifies the other modules of the changes.
void on_log_read(step_context& context, const log_read& incoming);
void on_log_read_failed(step_context& context, const log_read_failed& incoming);
/// Issues log reads when due, and writes a checkpoint when the log needs one.
void on_tick(step_context& context);
/// Sends this node's state to a peer that can't read the log.
void on_checkpoint_request(step_context& context, const peer_received& from);
/// Adopts the state that a peer sent, if the log still can't be read.
void on_checkpoint_answer(step_context& context, const peer_received& from, const checkpoint_answer& answer);
/// Compares a peer's hash of the agreed state with this node's hash at the same offset, and raises an alarm
/// when they differ.
void on_summary(step_context& context, const node_id& peer, const node_summary& summary);

/// True when this node's state has a base in the log and isn't a peer's copy; newer records may be unread.
[[nodiscard]] bool verified(const node_state& state);
/// Exponential backoff by the number of consecutive failures, drawn at random between half and one and a half
/// of the nominal delay.
[[nodiscard]] duration backoff(step_context& context, unsigned failed);

} // namespace configuration
} // namespace currantspar::core

#endif
