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

/// A batch of records as the log gave them.
struct log_batch
{
    log_offset first_retained;       ///< the oldest record the log still has
    log_offset head;                 ///< the offset that the next append will get
    std::vector<log_record> records; ///< ascending; may begin after the offset asked for
};

/// The hash of the agreed state after the record at that offset.
struct offset_hash
{
    log_offset offset;
    std::uint64_t hash = 0;
};

/// How a replica behaves.
struct replica_options
{
    fleet_parser parser = parse_fleet_document;
    std::uint64_t hash_every = 64;      ///< offsets between the hashes that peers compare
    std::size_t max_hashes = 64;        ///< newest hashes kept
    bool trust_latest_position = false; ///< for tests of the checks: takes any checkpoint, the last one read
};

/// Follows the log from any starting point. It judges no record before it has a base to judge it from: either
/// the log still has its very first record (offset 1), or a whole checkpoint was found that has no gap
/// between its offset and the records read. Of several the one that covers most is taken. A replica that
/// fell behind the log's retention loses its base and looks for a new one.
///
/// When an outage outlasts the retention, records may age out that no node has read. Then the log holds no
/// base for anybody, and a node that read nearly all writes a restart. Of the restarts for one loss the first
/// in the log counts, and only if no whole checkpoint that reaches the loss stands before it. It replaces the
/// state of every reader, also of one that had read everything, voids all records before it that it doesn't
/// cover, and takes every pool's authority away.
class replica
{
public:
    replica() = default;
    explicit replica(replica_options options) : options_(std::move(options)) {}

    /// Takes in a batch and returns what changed. Not thread safe.
    std::vector<applied_change> on_batch(const log_batch& batch);

    /// Takes a checkpoint from a peer, used only while the log can't be read. The state stays unverified,
    /// which forbids everything that needs authority, until a base was found in the log. False when the
    /// replica has a base, knows a newer state, or the checkpoint isn't whole. Not thread safe.
    bool on_peer_checkpoint(const std::vector<checkpoint_record>& parts);

    [[nodiscard]] const agreed_state& state() const { return state_; }
    /// True once records are judged.
    [[nodiscard]] bool has_base() const { return has_base_; }
    /// True while the state came from a peer and the log hasn't confirmed it.
    [[nodiscard]] bool unverified() const { return unverified_; }
    /// The offset to read from next.
    [[nodiscard]] log_offset next_read() const { return next_read_; }
    /// The newest head seen.
    [[nodiscard]] log_offset head() const { return head_; }
    /// The oldest retained offset seen.
    [[nodiscard]] log_offset first_retained() const { return first_retained_; }
    /// The offset that the best whole checkpoint read covers up to; 0 when none was read.
    [[nodiscard]] log_offset checkpointed() const { return checkpointed_; }
    /// True when the state has everything up to the head seen last.
    [[nodiscard]] bool caught_up() const;
    /// True while the log can give a new reader a base from which nothing is missing.
    [[nodiscard]] bool log_has_base() const;
    /// True when this replica had a verified state, lost its base to the log's retention, and the log, read
    /// to its end, has no other.
    [[nodiscard]] bool has_lost_base() const;
    /// The last record that a stranded replica can't read any more.
    [[nodiscard]] log_offset lost_up_to() const { return log_offset(first_read_.value() - 1); }
    /// Hashes of the state at some offsets, oldest first, bounded.
    [[nodiscard]] const std::deque<offset_hash>& hashes() const { return hashes_; }
    /// The hash at an offset, if it is kept.
    [[nodiscard]] std::optional<std::uint64_t> hash_at(log_offset offset) const;
    /// How often a base was taken from a checkpoint of the log.
    [[nodiscard]] std::uint64_t bases_adopted() const { return bases_adopted_; }

private:
    /// Names one checkpoint; two nodes may cut the same state into different parts.
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
    log_offset first_read_; ///< where the unbroken run of records read began
    std::map<checkpoint_name, std::vector<checkpoint_record>> partial_;
    /// Restarts while their parts come in, by what was lost.
    std::map<std::pair<log_offset, checkpoint_name>, std::vector<checkpoint_record>> restarts_;
    log_offset restarted_;            ///< the last restart that took effect; 0: none
    std::vector<log_record> pending_; ///< read, not yet judged for want of a base
    std::deque<offset_hash> hashes_;
    std::uint64_t bases_adopted_ = 0;
};

} // namespace currantspar::agreement

#endif
