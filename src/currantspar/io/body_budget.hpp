#ifndef CURRANTSPAR_IO_BODY_BUDGET_HPP
#define CURRANTSPAR_IO_BODY_BUDGET_HPP

#include <cstddef>
#include <mutex>
#include <utility>

namespace currantspar::io {

/// Bounds the memory that the bodies of all open requests may take together. Thread safe.
class body_budget
{
public:
    explicit body_budget(std::size_t limit) : limit_(limit) {}

    /// False when that many bytes aren't left. A body larger than the limit is admitted alone.
    [[nodiscard]] bool take(std::size_t bytes)
    {
        const std::lock_guard lock(mutex_);
        if (used_ > 0 && (bytes > limit_ || used_ > limit_ - bytes)) {
            was_short_ = true;
            return false;
        }
        used_ += bytes;
        return true;
    }
    void give_back(std::size_t bytes)
    {
        const std::lock_guard lock(mutex_);
        used_ -= bytes;
    }
    /// True when a request didn't get its bytes since the last call.
    [[nodiscard]] bool was_short()
    {
        const std::lock_guard lock(mutex_);
        return std::exchange(was_short_, false);
    }

private:
    const std::size_t limit_;
    std::mutex mutex_;
    std::size_t used_ = 0;
    bool was_short_ = false;
};

/// What one request has taken of a budget, which must outlive it. Not thread safe.
class body_share
{
public:
    body_share() = default;
    body_share(const body_share&) = delete;
    body_share& operator=(const body_share&) = delete;
    ~body_share()
    {
        if (budget_ != nullptr) {
            budget_->give_back(bytes_);
        }
    }

    /// Precondition: nothing was taken yet.
    [[nodiscard]] bool take(body_budget& budget, std::size_t bytes)
    {
        if (!budget.take(bytes)) {
            return false;
        }
        budget_ = &budget;
        bytes_ = bytes;
        return true;
    }
    [[nodiscard]] bool taken() const { return budget_ != nullptr; }

private:
    body_budget* budget_ = nullptr;
    std::size_t bytes_ = 0;
};

} // namespace currantspar::io

#endif
