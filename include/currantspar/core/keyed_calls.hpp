#ifndef CURRANTSPAR_CORE_KEYED_CALLS_HPP
#define CURRANTSPAR_CORE_KEYED_CALLS_HPP

#include <map>
#include <vector>

#include "currantspar/agreement/agreed_state.hpp"
#include "currantspar/core/effect.hpp"
#include "currantspar/core/event.hpp"

namespace currantspar::core {

struct call;
struct node_state;
struct step_context;

/// An entry that this node hasn't read back from the log yet.
template <typename Entry>
struct unconfirmed
{
    Entry entry;
    bool sent = false;   ///< sent to the relay node or passed to this node's own log writer
    bool direct = false; ///< passed to this node's own log writer, which appends it eventually
    instant sent_at{};
};

/// Calls with an Idempotency-Key that wait at this node, and the keys and outcomes that it has yet to record.
struct keyed_call_state
{
    std::map<call_key, std::vector<request_id>> waiting; ///< for the key's record or outcome
    std::map<request_id, unconfirmed<agreement::key_entry>> keys;
    std::map<request_id, unconfirmed<agreement::key_outcome_entry>> outcomes;
    instant flush_due{};
    std::uint64_t recorded = 0; ///< keys sent for recording since the start
    std::uint64_t flushes = 0;  ///< batches that carried keys or outcomes
};

namespace keyed_calls {

/// Handles an accepted call whose key decides whether it may run.
void on_call(step_context& context, call& request);
/// A key was recorded or got its outcome.
void on_change(step_context& context, const agreement::applied_change& change);
void on_relay(step_context& context, const peer_received& from, const key_relay& relay);
/// The call of a key that this node recorded got a complete response.
void on_answered(step_context& context, const call& request, const attempt_ended& incoming);
/// The call of a key that this node recorded ended without a response. A NOT RUN reply is sent only after
/// that outcome is recorded, or as unknown when recording it takes too long.
void on_unanswered(step_context& context, call& request, reply_end reply);
/// This node won't dispatch the call any more.
void on_abandoned(step_context& context, const call& request);
void on_tick(step_context& context);
/// True while the next record of the log may let a call of this node continue.
[[nodiscard]] bool is_waiting_for_log(const node_state& state);

} // namespace keyed_calls
} // namespace currantspar::core

#endif
