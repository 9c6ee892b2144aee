#include "currantspar/relay/lease.hpp"

#include <algorithm>
#include <utility>

namespace currantspar::relay {

namespace {

/// Tokens of a higher era are greater, whatever the offsets: a topic has fewer records than that.
constexpr unsigned era_shift = 32;

} // namespace

lease_action lease::next(bool requested, instant now)
{
    if (pending_ != lease_action::none && now - call_sent_ > options_.response_timeout) {
        on_failed(now);
    }
    if (!requested) {
        // What was read becomes outdated while another node holds the lease.
        end_known_ = end_known_ && claimed_;
        return lease_action::none;
    }
    if (pending_ != lease_action::none || now < retry_at_) {
        return lease_action::none;
    }
    if (token(now) && (end_known_ || !options_.renewable)) {
        return lease_action::none;
    }
    if (end_known_ && now < claimable_at()) {
        retry_at_ = claimable_at();
        return lease_action::none;
    }
    call_sent_ = now;
    claim_era_ = era();
    pending_ = end_known_ ? lease_action::claim : lease_action::read;
    return pending_;
}

instant lease::claimable_at() const
{
    if (claimed_ && options_.renewable) {
        return {};
    }
    const bool never_claimed = !newest_ && options_.first_start && era() == 0;
    const instant lost_claim_ends = never_claimed ? instant() : era_hold_end_;
    const instant newest_ends = newest_ ? newest_seen_ + options_.term + options_.min_gap : instant();
    return std::max(lost_claim_ends, newest_ends);
}

void lease::on_read(std::optional<std::uint64_t> newest_claim, std::uint64_t end, std::uint64_t era,
                    instant now)
{
    on_era(era, now);
    if (std::exchange(pending_, lease_action::none) != lease_action::read) {
        return;
    }
    if (era < this->era()) {
        on_failed(now);
        return;
    }
    end_known_ = true;
    end_ = end;
    if (newest_claim != newest_) {
        claimed_ = false;
        newest_ = newest_claim;
        newest_seen_ = now;
    }
}

void lease::on_claimed(std::uint64_t offset, std::uint64_t era, instant now)
{
    on_era(era, now);
    const bool in_time = std::exchange(pending_, lease_action::none) == lease_action::claim;
    // After a rise of the era, the topic may have ended where the claim expected it although it holds other
    // records, and a claim from before is lost.
    if (!in_time || era != claim_era_ || era != this->era()) {
        end_known_ = false;
        return;
    }
    claimed_ = true;
    token_ = (era << era_shift) + offset + 1;
    newest_ = offset;
    newest_seen_ = call_sent_;
    expiry_ = call_sent_ + options_.term;
    end_known_ = options_.renewable;
    end_ = offset + 1;
}

void lease::on_failed(instant now)
{
    pending_ = lease_action::none;
    end_known_ = false;
    retry_at_ = now + options_.response_timeout;
}

void lease::on_appended(std::uint64_t offset, std::uint64_t era, instant now)
{
    on_era(era, now);
    if (end_known_ && claimed_ && era == this->era()) {
        end_ = offset + 1;
    }
}

void lease::on_superseded()
{
    // The own claim counts like another node's from now on, in case the topic holds no newer one yet.
    claimed_ = false;
    end_known_ = false;
}

void lease::on_era(std::uint64_t era, instant now)
{
    if (era_ && era <= *era_) {
        return;
    }
    era_ = era;
    era_hold_end_ = now + options_.term + options_.min_gap;
    claimed_ = false;
    end_known_ = false;
    newest_.reset();
}

std::optional<std::uint64_t> lease::token(instant now) const
{
    if (!claimed_ || now >= expiry_) {
        return std::nullopt;
    }
    return token_;
}

} // namespace currantspar::relay
