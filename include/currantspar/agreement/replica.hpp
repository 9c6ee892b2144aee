#ifndef CURRANTSPAR_AGREEMENT_REPLICA_HPP
#define CURRANTSPAR_AGREEMENT_REPLICA_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "currantspar/agreement/agreed_state.hpp"

namespace currantspar::agreement {

/// The result of one read from the log.
struct log_batch
{
    log_offset first_retained;       ///< the oldest record in the log
    log_offset head;                 ///< the offset that the next append will get
    std::vector<log_record> records; ///< ascending; may begin after the requested offset
};

/// The hash of the agreed state after the record at `offset`.
struct offset_hash
{
    log_offset offset;
    std::uint64_t hash = 0;
};

struct replica_options
{
    fleet_parser parser = parse_fleet_document;
    std::uint64_t hash_every = 64; ///< offsets between the hashes that peers compare
    std::size_t max_hashes = 64;   ///< the newest ones are kept
    bool trust_latest_position =
        false; ///< a deliberate fault for tests of the checkers: adopts the last checkpoint read
};

/// Follows the log from any starting point. Records are applied only on top of a base: either the log still
/// has its first record (offset 1), or a complete checkpoint was found with no gap between the offset it
/// covers and the records read. Of several checkpoints the one with the highest covered offset is adopted. A
/// replica that fell behind the log's retention loses its base and searches for a new one.
///
/// During an outage longer than the retention, the log may remove records that no node has read. Then the log
/// contains no base for any replica, and a node that has read nearly all records writes a restart checkpoint.
/// Of several for one loss only the first in the log counts, and only if no complete checkpoint that covers
/// the loss precedes it. It replaces the state of every replica, including those that had read every record,
/// voids all earlier records that it doesn't cover, and revokes the authority over every pool.
class replica
{
public:
    replica() = default;
    explicit replica(replica_options options) : options_(std::move(options)) {}

    /// Applies a batch and returns the changes. Not thread safe.
    std::vector<applied_change> on_batch(const log_batch& batch);

    /// Adopts a checkpoint from a peer, used only while the log can't be read. The state is unverified, which
    /// forbids everything that requires authority, until a base is found in the log. Returns false if the
    /// replica has a base or a newer state, or the checkpoint is incomplete. Not thread safe.
    bool on_peer_checkpoint(const std::vector<checkpoint_record>& parts);

    [[nodiscard]] const agreed_state& state() const { return state_; }
    /// True while records are applied as they are read.
    [[nodiscard]] bool has_base() const { return has_base_; }
    /// True while the state comes from a peer and isn't confirmed by the log.
    [[nodiscard]] bool unverified() const { return unverified_; }
    /// The offset of the next read.
    [[nodiscard]] log_offset next_read() const { return next_read_; }
    /// The highest head offset seen.
    [[nodiscard]] log_offset head() const { return head_; }
    /// The highest first retained offset seen.
    [[nodiscard]] log_offset first_retained() const { return first_retained_; }
    /// The highest offset covered by a complete checkpoint in the log; 0 if none was read.
    [[nodiscard]] log_offset checkpointed() const { return checkpointed_; }
    /// True when every record before the known head is applied.
    [[nodiscard]] bool caught_up() const;
    /// True while the log contains a gapless base for a new reader.
    [[nodiscard]] bool log_has_base() const;
    /// True when this replica had a verified state, lost its base to the log's retention, and found no other
    /// base up to the log's head.
    [[nodiscard]] bool has_lost_base() const;
    /// The last record that the log's retention removed, for a replica that lost its base.
    [[nodiscard]] log_offset lost_up_to() const { return log_offset(first_read_.value() - 1); }
    /// State hashes at multiples of `hash_every`, oldest first, bounded.
    [[nodiscard]] const std::deque<offset_hash>& hashes() const { return hashes_; }
    /// The hash at an offset, if available.
    [[nodiscard]] std::optional<std::uint64_t> hash_at(log_offset offset) const;
    /// Number of bases adopted from the log: checkpoints, restart checkpoints and the log's start.
    [[nodiscard]] std::uint64_t bases_adopted() const { return bases_adopted_; }

private:
    /// Identifies a checkpoint; nodes may split the same state into a different number of parts.
    using checkpoint_name = std::tuple<log_offset, std::uint64_t, std::uint32_t>;

    void lose_base(log_offset first_retained);
    void collect_checkpoint(const log_record& record);
    void collect_restart(const checkpoint_record& part, log_offset offset);
    [[nodiscard]] bool is_loss_covered(log_offset lost_up_to) const;
    void restart(agreed_state base, log_offset offset);
    void record_complete_checkpoint(const checkpoint_name& name);
    void find_base(std::vector<applied_change>& changes);
    void rebase(agreed_state base);
    void apply(const log_record& record, std::vector<applied_change>& changes);

    replica_options options_;
    agreed_state state_;
    bool has_base_ = false;
    bool unverified_ = false;
    log_offset next_read_{1};
    log_offset head_;
    log_offset first_retained_;
    log_offset checkpointed_;
    log_offset first_read_; ///< start of the contiguous range of records read
    std::map<checkpoint_name, std::vector<checkpoint_record>> partial_;
    /// Incomplete restart checkpoints, by the end of the loss.
    std::map<std::pair<log_offset, checkpoint_name>, std::vector<checkpoint_record>> restarts_;
    log_offset restarted_;            ///< offset of the last effective restart checkpoint; 0: none
    std::vector<log_record> pending_; ///< read before a base was found
    std::deque<offset_hash> hashes_;
    std::uint64_t bases_adopted_ = 0;
};

} // namespace currantspar::agreement

#endif
