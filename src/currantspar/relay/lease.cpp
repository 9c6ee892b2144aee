#include "currantspar/relay/lease.hpp"

namespace currantspar::relay {

lease_action lease::next(bool requested, instant now)
{
    if (call_pending_ && now - call_sent_ > options_.response_timeout) {
        on_failed(now);
    }
    if (!requested || call_pending_ || now < retry_at_ || token(now)) {
        return lease_action::none;
    }
    call_pending_ = true;
    call_sent_ = now;
    if (!end_known_) {
        return lease_action::read;
    }
    const bool expired = !newest_ || now - newest_seen_ >= options_.term + options_.min_gap;
    if (!expired) {
        call_pending_ = false;
        retry_at_ = newest_seen_ + options_.term + options_.min_gap;
        return lease_action::none;
    }
    return lease_action::claim;
}

void lease::on_read(std::optional<std::uint64_t> newest_claim, std::uint64_t end, instant now)
{
    call_pending_ = false;
    end_known_ = true;
    end_ = end;
    if (newest_claim != newest_ || !newest_) {
        newest_ = newest_claim;
        newest_seen_ = now;
    }
}

void lease::on_claimed(std::uint64_t offset)
{
    call_pending_ = false;
    end_known_ = false;
    claimed_ = true;
    token_ = offset + 1;
    newest_ = offset;
    newest_seen_ = call_sent_;
    expiry_ = call_sent_ + options_.term;
}

void lease::on_failed(instant now)
{
    call_pending_ = false;
    end_known_ = false;
    retry_at_ = now + options_.response_timeout;
}

void lease::on_superseded()
{
    claimed_ = false;
    end_known_ = false;
}

std::optional<std::uint64_t> lease::token(instant now) const
{
    if (!claimed_ || now >= expiry_) {
        return std::nullopt;
    }
    return token_;
}

} // namespace currantspar::relay
