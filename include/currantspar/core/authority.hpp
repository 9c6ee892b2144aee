#ifndef CURRANTSPAR_CORE_AUTHORITY_HPP
#define CURRANTSPAR_CORE_AUTHORITY_HPP

#include <map>

#include "currantspar/agreement/agreed_state.hpp"
#include "currantspar/core/event.hpp"

namespace currantspar::core {

struct node_state;
struct step_context;

/// What this node knows about one pool's authority beyond what the log says.
struct pool_authority
{
    fence seen;                 ///< the fence this entry is about
    instant holder_last_seen{}; ///< when this node last read a sign of the holder's life
    instant vacant_since{};     ///< when this node noticed that nobody holds the pool; 0: somebody does
    instant claimed{};          ///< when this node sent its claim after `claim_previous`; 0: never
    fence claim_previous;
    instant claim_again{};   ///< not before this
    instant may_act_from{};  ///< for this node's own fence: after the predecessor's time has passed
    instant renewed{};       ///< when the last renewal of this fence that was read back had been sent
    bool superseded = false; ///< a peer or an engine has seen a greater fence
    bool releasing = false;
};

struct authority_state
{
    std::map<pool_id, pool_authority> pools;
    instant review_due{};
    instant renew_due{};
    std::uint64_t renew_sequence = 0;
    std::map<std::uint64_t, instant> renewals_sent; ///< not yet read back
};

namespace authority {

/// A record of a pool's authority was applied.
void on_change(step_context& context, const agreement::applied_change& change);
/// The agreed state was taken from a checkpoint: what happened before isn't known.
void on_base(step_context& context);
void on_tick(step_context& context);
/// Somebody has seen a greater fence for the pool.
void on_greater_fence(step_context& context, const pool_id& pool, fence seen);
/// Gives up all pools, at a graceful stop.
void release_all(step_context& context);

/// The fence that the log gave this process for the pool, or 0. It alone doesn't allow to act.
[[nodiscard]] fence held_fence(const node_state& state, const pool_id& pool);
/// The fence to act with, or 0 when this node may not act for the pool now.
[[nodiscard]] fence acting_fence(const node_state& state, const pool_id& pool, instant now);
/// When this node's right to act ends, as far as it knows now.
[[nodiscard]] instant lease_expiry(const node_state& state, const pool_id& pool);

} // namespace authority
} // namespace currantspar::core

#endif
