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
struct step;

/// An entry that isn't seen in the log yet.
template <typename Entry>
struct unconfirmed
{
    Entry entry;
    bool sent = false;   ///< handed to the relay or to this node's own writer
    bool direct = false; ///< handed to this node's own writer, which brings it to the log in the end
    instant sent_at{};
};

/// Calls with an Idempotency-Key that wait at this node, and what it has to tell the log about its own.
struct keyed_call_state
{
    std::map<call_key, std::vector<request_id>> waiting; ///< for the key's record or outcome
    std::map<request_id, unconfirmed<agreement::key_entry>> keys;
    std::map<request_id, unconfirmed<agreement::key_outcome_entry>> outcomes;
    instant flush_due{};
    std::uint64_t recorded = 0; ///< keys handed on since the start
    std::uint64_t flushes = 0;  ///< batches they went in
};

namespace keyed_calls {

/// Takes over a call whose key decides whether it may run.
void on_call(step& run, call& request);
/// A key was recorded or got its outcome.
void on_change(step& run, const agreement::applied_change& change);
void on_relay(step& run, const peer_received& from, const key_relay& relay);
/// The call of a key that this node recorded was answered whole.
void on_answered(step& run, const call& request, const attempt_ended& happened);
/// The call of a key that this node recorded ended without an answer. With NOT RUN the caller is told once
/// that is recorded.
void on_unanswered(step& run, call& request, reply_end reply);
/// The call won't be dispatched any more by this node.
void on_abandoned(step& run, const call& request);
void on_tick(step& run);
/// True while the log's next record may let a call of this node go on.
[[nodiscard]] bool is_waiting_for_log(const node_state& state);

} // namespace keyed_calls
} // namespace currantspar::core

#endif
