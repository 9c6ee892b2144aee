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
};

/// The next operation that the owner of a lease must perform on the shared store.
enum class lease_action
{
    none,
    read,  ///< read the newest claim and the topic's end
    claim, ///< append a claim, conditional on the topic's end being unchanged since the read
};

/// Lease on the authority to order engines, taken by claims in the shared store. A claim is appended on the
/// condition that the topic's end is where this node last read it, so one of two concurrent claims fails; the
/// fencing token derives from the claim's offset. A claim isn't renewed: its holder acts for `term`, and a
/// successor claims only when it has known the last claim for `term + min_gap`. All times are of a clock that
/// counts while the machine is suspended. Not thread safe.
class lease
{
public:
    explicit lease(lease_options options = {}) : options_(options) {}

    /// Returns the operation to perform now; `requested`: this node has orders to send.
    [[nodiscard]] lease_action next(bool requested, instant now);
    /// The newest claim was read: its offset, if there is one, and the topic's end.
    void on_read(std::optional<std::uint64_t> newest_claim, std::uint64_t end, instant now);
    /// A claim was appended at `offset`. Its term began when it was sent.
    void on_claimed(std::uint64_t offset);
    /// A read or a claim failed or timed out; such a claim may still have been appended.
    void on_failed(instant now);
    /// An engine rejected this node's token because it has seen a higher one.
    void on_superseded();

    /// Returns the fencing token while this node may act; call it immediately before each order.
    [[nodiscard]] std::optional<std::uint64_t> token(instant now) const;
    /// Returns the topic's end that the claim expects. Precondition: next() returned claim.
    [[nodiscard]] std::uint64_t expected_end() const { return end_; }

private:
    lease_options options_;
    bool call_pending_ = false; ///< a call to the store is in flight
    bool end_known_ = false;    ///< end_ is the topic's end of the last read
    bool claimed_ = false;      ///< token_ belongs to this node's claim
    std::uint64_t end_ = 0;
    std::optional<std::uint64_t> newest_;
    std::uint64_t token_ = 0;
    instant newest_seen_{}; ///< when newest_ was first read
    instant call_sent_{};
    instant expiry_{};
    instant retry_at_{};
};

} // namespace currantspar::relay

#endif
