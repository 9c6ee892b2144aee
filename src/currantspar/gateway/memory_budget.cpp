#include "currantspar/gateway/memory_budget.hpp"

#include <algorithm>

namespace currantspar::gateway {

namespace {

/// The fraction of the limit that stays free for small requests while large bodies arrive.
constexpr std::size_t small_requests_divisor = 4;

} // namespace

memory_budget::memory_budget(std::size_t limit)
{
    set_limit(limit);
}

void memory_budget::set_limit(std::size_t limit)
{
    limit_ = limit;
    large_limit_ = limit - limit / small_requests_divisor;
}

bool memory_budget::exceeded() const
{
    const std::size_t large = reservations_ == 1 ? std::min(large_used_, large_limit_) : large_used_;
    return large > limit_ || small_used() > limit_ - large;
}

memory_account::~memory_account()
{
    release_reservation();
    set_allocated(0);
}

void memory_account::set_allocated(std::size_t bytes)
{
    if (budget_ != nullptr) {
        budget_->allocated_ += bytes;
        budget_->allocated_ -= allocated_;
    }
    allocated_ = bytes;
    update();
}

bool memory_account::reserve(std::size_t bytes)
{
    if (budget_ == nullptr || (has_reservation() && bytes <= reserved_)) {
        return true;
    }
    const std::size_t others = budget_->used_ - charged_;
    const bool fits = bytes <= budget_->large_limit_ && others <= budget_->large_limit_ - bytes;
    const std::size_t own = has_reservation() ? 1 : 0;
    const bool is_alone = bytes > budget_->large_limit_ && budget_->reservations_ == own;
    if (!fits && !is_alone) {
        return false;
    }
    reserved_ = std::max<std::size_t>(bytes, 1);
    budget_->reservations_ += 1 - own;
    update();
    return true;
}

void memory_account::release_reservation()
{
    if (has_reservation()) {
        budget_->reservations_ -= 1;
        reserved_ = 0;
        update();
    }
}

void memory_account::update()
{
    const std::size_t charge = std::max(allocated_, reserved_);
    const std::size_t large_charge = has_reservation() ? charge : 0;
    if (budget_ != nullptr) {
        budget_->used_ += charge;
        budget_->used_ -= charged_;
        budget_->large_used_ += large_charge;
        budget_->large_used_ -= large_charged_;
    }
    charged_ = charge;
    large_charged_ = large_charge;
}

} // namespace currantspar::gateway
