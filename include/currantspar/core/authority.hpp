#ifndef CURRANTSPAR_CORE_AUTHORITY_HPP
#define CURRANTSPAR_CORE_AUTHORITY_HPP

#include <map>

#include "currantspar/agreement/agreed_state.hpp"
#include "currantspar/core/event.hpp"

namespace currantspar::core {

struct node_state;
struct step_context;

/// Local knowledge about the authority over one pool, in addition to the agreed state of the log.
struct pool_authority
{
    fence seen;                 ///< fence that this entry describes
    instant holder_last_seen{}; ///< when this node last read a record that shows the holder to be alive
    instant vacant_since{};     ///< when this node found the pool without a holder; 0: it has one
    instant claimed{};          ///< when this node first claimed the pool after `claim_previous`; 0: never
    fence claim_previous;
    instant claim_again{};   ///< earliest time of the next claim
    instant may_act_from{};  ///< own fence only: when the predecessor's lease has expired
    instant renewed{};       ///< send time of the last renewal of this fence that was read back from the log
    bool superseded = false; ///< a peer or an engine has reported a greater fence
    bool releasing = false;
};

struct authority_state
{
    std::map<pool_id, pool_authority> pools;
    instant review_due{};
    instant renew_due{};
    std::uint64_t renew_sequence = 0;
    std::map<std::uint64_t, instant> renewals_sent; ///< send time by sequence, for renewals not yet read back
};

namespace authority {

/// Handles applied records that change the authority over pools.
void on_change(step_context& context, const agreement::applied_change& change);
/// The agreed state was replaced by that of a checkpoint; the records before it are unknown.
void on_base(step_context& context);
void on_tick(step_context& context);
/// Handles a report of a greater fence for the pool.
void on_greater_fence(step_context& context, const pool_id& pool, fence seen);
/// Releases all pools at a graceful stop.
void release_all(step_context& context);

/// The fence that the log assigned to this process for the pool, or 0. It alone does not permit acting; see
/// acting_fence.
[[nodiscard]] fence held_fence(const node_state& state, const pool_id& pool);
/// The fence to act with, or 0 while this node may not act for the pool.
[[nodiscard]] fence acting_fence(const node_state& state, const pool_id& pool, instant now);
/// When this node's lease on the pool expires, as far as it is known now.
[[nodiscard]] instant lease_expiry(const node_state& state, const pool_id& pool);

} // namespace authority
} // namespace currantspar::core

#endif
