#ifndef CURRANTSPAR_RELAY_LEASE_HPP
#define CURRANTSPAR_RELAY_LEASE_HPP

#include <cstdint>
#include <optional>
#include <string>

#include "currantspar/base/time.hpp"

namespace currantspar::relay {

struct lease_options
{
    duration term =
        std::chrono::milliseconds(2500); ///< time that a holder may act, from when it sent its claim
    duration min_gap = std::chrono::milliseconds(3000); ///< minimum time between the actions of two holders
    duration response_timeout = std::chrono::milliseconds(900);
    /// Without any claim in a store of era 0, a node claims at once: no claim was ever made.
    bool first_start = true;
    /// A node whose own claim is the newest may claim again at once, and may append further records.
    bool renewable = false;
};

/// The next operation that the owner of a lease must perform on the shared store.
enum class lease_action
{
    none,
    read,  ///< read the newest claim and the topic's end
    claim, ///< append a claim, conditional on the topic's end being unchanged since the read
};

/// Lease on an authority, such as that to order engines, taken by claims in the shared store. A claim is
/// appended on the condition that the topic's end is where this node last read it, so one of two concurrent
/// claims fails. A holder acts for `term`, and a successor claims only when it has known the last claim for
/// `term + min_gap`. The fencing token derives from the store's era and the claim's offset. A rise of the era
/// tells that the store has lost appended records, which may include claims: it voids this node's claim, and
/// for `term + min_gap` nobody claims. All times are of a clock that counts while the machine is suspended.
/// Not thread safe.
class lease
{
public:
    explicit lease(lease_options options = {}) : options_(options) {}

    /// Returns the operation to perform now; `requested`: this node has something to do as the holder.
    [[nodiscard]] lease_action next(bool requested, instant now);
    /// The newest claim was read: its offset, if there is one, and the topic's end.
    void on_read(std::optional<std::uint64_t> newest_claim, std::uint64_t end, std::uint64_t era,
                 instant now);
    /// A claim was appended at `offset`. Its term began when it was sent.
    void on_claimed(std::uint64_t offset, std::uint64_t era, instant now);
    /// A read or a claim failed or timed out; such a claim may still have been appended.
    void on_failed(instant now);
    /// The holder appended another record at `offset`, on the condition that the topic ended at
    /// expected_end().
    void on_appended(std::uint64_t offset, std::uint64_t era, instant now);
    /// What the topic holds is in doubt: next() returns read, and the holder appends nothing before.
    void on_doubt() { end_known_ = false; }
    /// The receiver of an order or a call rejected this node's token because it has seen a higher one.
    void on_superseded();
    /// A response of the store named its era. Lower eras than the highest one seen are ignored: they come
    /// from responses that were delayed.
    void on_era(std::uint64_t era, instant now);

    /// Returns the fencing token while this node may act; call it immediately before each order.
    [[nodiscard]] std::optional<std::uint64_t> token(instant now) const;
    /// Returns whether this node made the newest known claim, even if its term has ended.
    [[nodiscard]] bool newest_is_own() const { return claimed_; }
    /// Returns whether expected_end() is known.
    [[nodiscard]] bool end_known() const { return end_known_; }
    /// Returns the topic's end that an append by this node expects. Precondition: end_known().
    [[nodiscard]] std::uint64_t expected_end() const { return end_; }
    /// Returns the highest era seen.
    [[nodiscard]] std::uint64_t era() const { return era_.value_or(0); }

private:
    /// Returns when a claim may be made, as far as known now.
    [[nodiscard]] instant claimable_at() const;

    lease_options options_;
    lease_action pending_ = lease_action::none; ///< the call to the store that is in flight
    bool end_known_ = false;                    ///< end_ is the topic's end
    bool claimed_ = false;                      ///< token_ belongs to this node's claim, the newest known
    std::uint64_t end_ = 0;
    std::optional<std::uint64_t> era_;
    std::uint64_t claim_era_ = 0; ///< era_ when the pending claim was sent
    std::optional<std::uint64_t> newest_;
    std::uint64_t token_ = 0;
    instant newest_seen_{};  ///< when newest_ was first read
    instant era_hold_end_{}; ///< until then, a claim that the store has lost may be in force
    instant call_sent_{};
    instant expiry_{};
    instant retry_at_{};
};

} // namespace currantspar::relay

#endif
