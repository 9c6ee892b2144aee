#ifndef CURRANTSPAR_CORE_CONFIGURATION_HPP
#define CURRANTSPAR_CORE_CONFIGURATION_HPP

#include "currantspar/agreement/replica.hpp"
#include "currantspar/core/event.hpp"
#include "currantspar/core/options.hpp"

namespace currantspar::core {

struct node_state;
struct step_context;

/// This node's copy of the agreed state and its reading of the log.
struct configuration_state
{
    configuration_state() = default;
    explicit configuration_state(const core_options& options);

    agreement::replica replica;
    bool read_open = false;
    instant read_due{};
    instant read_sent{};
    instant last_read{};       ///< when the log answered last
    unsigned failed_reads = 0; ///< in a row
    revision announced;        ///< the revision that the other concerns were told of

    log_offset checkpoint_seen; ///< the best checkpoint of the log that this node knew last
    instant checkpoint_at{};    ///< when it first knew it, or had a base
    instant checkpoint_due{};   ///< when this node writes one; 0: not needed now
    instant peer_request_due{}; ///< when to ask a peer for its state, while the log can't be read
    instant restart_due{};      ///< this node's turn to write a restart; 0: none is needed
    bool alarmed_log = false;
    bool alarmed_unverified = false;
    bool alarmed_checkpoint = false;
    bool alarmed_divergence = false;
};

namespace configuration {

/// Takes in a batch of records and tells the other concerns what changed.
void on_log_read(step_context& context, const log_read& incoming);
void on_log_read_failed(step_context& context, const log_read_failed& incoming);
/// Reads the log when it is due, and writes a checkpoint when the log needs one.
void on_tick(step_context& context);
/// Answers a peer that can't read the log, or takes over what a peer answered.
void on_checkpoint_request(step_context& context, const peer_received& from);
void on_checkpoint_answer(step_context& context, const peer_received& from, const checkpoint_answer& answer);
/// Compares a peer's hash of the agreed state with this node's own at the same offset.
void on_summary(step_context& context, const node_id& peer, const node_summary& summary);

/// True when this node's state is judged from the log itself and complete as far as it knows.
[[nodiscard]] bool verified(const node_state& state);
/// Doubles the wait with each failure in a row, and adds up to half of it at random.
[[nodiscard]] duration backoff(step_context& context, unsigned failed);

} // namespace configuration
} // namespace currantspar::core

#endif
