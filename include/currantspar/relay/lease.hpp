#ifndef CURRANTSPAR_RELAY_LEASE_HPP
#define CURRANTSPAR_RELAY_LEASE_HPP

#include <cstdint>
#include <optional>
#include <string>

#include "currantspar/base/time.hpp"

namespace currantspar::relay {

struct lease_options
{
    duration term = std::chrono::milliseconds(2500);    ///< a holder acts for so long after it sent its claim
    duration min_gap = std::chrono::milliseconds(3000); ///< least time between the acts of two holders
    duration answer_timeout = std::chrono::milliseconds(900);
};

/// What a lease's owner has to do next with the shared store.
enum class lease_action
{
    none,
    read,  ///< read the newest claim
    claim, ///< append a claim under the condition that nothing came since the read
};

/// Authority to order engines, by claims in the shared store. A claim is appended under the condition that
/// the topic ends where this node last read it, so of two claims one fails; its offset is the fencing token.
/// A claim isn't renewed: its holder acts for `hold`, and a successor claims only when it has known the last
/// claim for `hold + apart`. All times are of a clock that counts while the machine is suspended. Not thread
/// safe.
class lease
{
public:
    explicit lease(lease_options options = {}) : options_(options) {}

    /// What to do now; `wanted`: this node has something to order.
    [[nodiscard]] lease_action next(bool requested, instant now);
    /// The newest claim was read: its offset, if there is one, and where the topic ends.
    void on_read(std::optional<std::uint64_t> newest_claim, std::uint64_t end, instant now);
    /// A claim was appended at `offset`. It counts from when it was sent.
    void on_claimed(std::uint64_t offset);
    /// A read or a claim failed, or its answer didn't come: a claim may stand all the same.
    void on_failed(instant now);
    /// An engine has seen a higher token.
    void on_superseded();

    /// The fencing token while this node may act; call it immediately before each order.
    [[nodiscard]] std::optional<std::uint64_t> token(instant now) const;
    /// The condition of the claim. Precondition: next() returned claim.
    [[nodiscard]] std::uint64_t expected_end() const { return end_; }

private:
    lease_options options_;
    bool call_pending_ = false; ///< a call is on its way
    bool end_known_ = false;    ///< end_ is what the topic ended with when it was last read
    bool claimed_ = false;      ///< token_ is this node's
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
