#include "currantspar/agreement/replica.hpp"

#include <algorithm>
#include <iterator>

namespace currantspar::agreement {

namespace {

/// Maximum number of incomplete checkpoints.
constexpr std::size_t partial_limit = 8;
/// Maximum number of incomplete restart checkpoints.
constexpr std::size_t restart_limit = 64;

/// Adds a part unless it is already present.
void add_part(std::vector<checkpoint_record>& parts, const checkpoint_record& part)
{
    const bool known = std::any_of(parts.begin(), parts.end(),
                                   [&](const checkpoint_record& had) { return had.part == part.part; });
    if (!known) {
        parts.push_back(part);
    }
}

} // namespace

std::vector<applied_change> replica::on_batch(const log_batch& batch)
{
    std::vector<applied_change> changes;
    first_retained_ = std::max(first_retained_, batch.first_retained);
    head_ = std::max(head_, batch.head);
    if (first_read_.value() == 0 || first_retained_ > next_read_) {
        lose_base(first_retained_);
    }
    for (const log_record& record : batch.records) {
        if (record.offset < next_read_) {
            continue;
        }
        next_read_ = record.offset.next();
        collect_checkpoint(record);
        if (has_base_) {
            apply(record, changes);
        } else {
            pending_.push_back(record);
        }
    }
    if (!has_base_ && next_read_ >= head_) {
        find_base(changes);
    }
    return changes;
}

void replica::lose_base(log_offset first_retained)
{
    const bool whole_log = first_retained <= log_offset(1);
    first_read_ = std::max(first_retained, log_offset(1));
    next_read_ = first_read_;
    has_base_ = whole_log && !unverified_ && state_.applied.value() == 0;
    pending_.clear();
    partial_.clear();
}

/// Collects the parts of checkpoints and restart checkpoints.
void replica::collect_checkpoint(const log_record& record)
{
    const auto* part = std::get_if<checkpoint_record>(&record.body);
    if (part == nullptr) {
        return;
    }
    if (part->lost_up_to.value() != 0) {
        collect_restart(*part, record.offset);
        return;
    }
    const bool old = has_base_ && part->covers <= checkpointed_;
    if (old && !options_.trust_latest_position) {
        return;
    }
    const checkpoint_name name{part->covers, part->state_hash, part->parts};
    std::vector<checkpoint_record>& parts = partial_[name];
    add_part(parts, *part);
    if (has_base_ && parts.size() == part->parts) {
        record_complete_checkpoint(name);
    }
    if (partial_.size() > partial_limit) {
        partial_.erase(partial_.begin());
    }
}

/// True if the log contains a base that covers the loss before the current record.
bool replica::is_loss_covered(log_offset lost_up_to) const
{
    const bool whole = std::any_of(partial_.begin(), partial_.end(), [&](const auto& entry) {
        return std::get<0>(entry.first) >= lost_up_to && entry.second.size() == entry.second.front().parts;
    });
    return whole || std::max(checkpointed_, restarted_) >= lost_up_to;
}

/// Only the first restart checkpoint for a loss counts, and only if no complete checkpoint covers the loss. A
/// replica can tell only if it has read every record from the end of the loss up to the restart checkpoint.
void replica::collect_restart(const checkpoint_record& part, log_offset offset)
{
    const bool read_all = first_read_ <= part.lost_up_to.next();
    if (!read_all || is_loss_covered(part.lost_up_to)) {
        return;
    }
    const checkpoint_name name{part.covers, part.state_hash, part.parts};
    std::vector<checkpoint_record>& parts = restarts_[{part.lost_up_to, name}];
    add_part(parts, part);
    if (parts.size() == part.parts) {
        if (auto base = read_checkpoint(parts, options_.parser)) {
            restart(std::move(*base), offset);
        }
    }
    if (restarts_.size() > restart_limit) {
        restarts_.erase(restarts_.begin());
    }
}

void replica::restart(agreed_state base, log_offset offset)
{
    base.applied = offset;
    vacate_authority(base, offset);
    rebase(std::move(base));
    restarted_ = offset;
    restarts_.clear();
    partial_.clear();
    pending_.clear();
    hashes_.clear();
}

/// A replica with a base only needs the offset that the log's best checkpoint covers.
void replica::record_complete_checkpoint(const checkpoint_name& name)
{
    checkpointed_ = std::max(checkpointed_, std::get<0>(name));
    if (options_.trust_latest_position) {
        if (auto base = read_checkpoint(partial_.at(name), options_.parser)) {
            state_ = std::move(*base);
        }
    }
    std::erase_if(partial_, [&](const auto& entry) { return std::get<0>(entry.first) <= checkpointed_; });
}

/// Adopts the checkpoint with the highest covered offset that has no gap after it.
void replica::find_base(std::vector<applied_change>& changes)
{
    for (auto candidate = partial_.rbegin(); candidate != partial_.rend(); ++candidate) {
        const log_offset covers = std::get<0>(candidate->first);
        const bool gap = covers.next() < first_read_;
        if (gap && !options_.trust_latest_position) {
            break;
        }
        if (auto base = read_checkpoint(candidate->second, options_.parser)) {
            checkpointed_ = std::max(checkpointed_, covers);
            rebase(std::move(*base));
            break;
        }
    }
    const bool whole_log = first_read_ <= log_offset(1);
    if (!has_base_ && whole_log) {
        rebase(agreed_state());
    }
    if (!has_base_) {
        return;
    }
    partial_.clear();
    for (const log_record& record : std::exchange(pending_, {})) {
        apply(record, changes);
    }
}

void replica::rebase(agreed_state base)
{
    state_ = std::move(base);
    has_base_ = true;
    unverified_ = false;
    bases_adopted_ += 1;
}

void replica::apply(const log_record& record, std::vector<applied_change>& changes)
{
    const log_offset before = state_.applied;
    changes.push_back(apply_record(state_, record, options_.parser));
    if (state_.applied == before || record.offset.value() % options_.hash_every != 0) {
        return;
    }
    hashes_.push_back({record.offset, state_hash(state_)});
    if (hashes_.size() > options_.max_hashes) {
        hashes_.pop_front();
    }
}

bool replica::on_peer_checkpoint(const std::vector<checkpoint_record>& parts)
{
    if (has_base_) {
        return false;
    }
    auto base = read_checkpoint(parts, options_.parser);
    if (!base || base->applied <= state_.applied) {
        return false;
    }
    state_ = std::move(*base);
    unverified_ = true;
    return true;
}

bool replica::has_lost_base() const
{
    const bool had_state = state_.applied.value() != 0 && !unverified_;
    return had_state && !has_base_ && first_read_.value() > 1 && next_read_ >= head_;
}

bool replica::caught_up() const
{
    return has_base_ && next_read_ >= head_;
}

bool replica::log_has_base() const
{
    return first_retained_ <= log_offset(1) || checkpointed_.next() >= first_retained_;
}

std::optional<std::uint64_t> replica::hash_at(log_offset offset) const
{
    const auto found =
        std::lower_bound(hashes_.begin(), hashes_.end(), offset,
                         [](const offset_hash& had, log_offset at) { return had.offset < at; });
    if (found == hashes_.end() || found->offset != offset) {
        return std::nullopt;
    }
    return found->hash;
}

} // namespace currantspar::agreement
