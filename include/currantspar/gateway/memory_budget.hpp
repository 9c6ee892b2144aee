#ifndef CURRANTSPAR_GATEWAY_MEMORY_BUDGET_HPP
#define CURRANTSPAR_GATEWAY_MEMORY_BUDGET_HPP

#include <cstddef>
#include <limits>
#include <string>

namespace currantspar::gateway {

/// Frees a string's memory. An assignment of an empty string keeps it. Thread safe.
inline void free_memory(std::string& text)
{
    std::string().swap(text);
}

/// Counts the bytes that a process holds for its peers: partly received requests, data sent ahead, open
/// requests and responses that aren't read yet. Most of it may be reserved for large bodies; the rest stays
/// free for small requests. Only accounts; its users stop reading and close connections. Not thread safe.
class memory_budget
{
public:
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    explicit memory_budget(std::size_t limit = unlimited);
    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;
    ~memory_budget() = default;

    [[nodiscard]] std::size_t limit() const { return limit_; }
    /// Sets the limit. What is charged already stays charged.
    void set_limit(std::size_t limit);
    /// The bytes that are allocated, without what is only reserved.
    [[nodiscard]] std::size_t allocated() const { return allocated_; }
    /// The bytes charged to all accounts.
    [[nodiscard]] std::size_t used() const { return used_; }
    /// True when more is charged than the limit. A body admitted alone counts for no more than all large ones
    /// may take.
    [[nodiscard]] bool exceeded() const;
    /// True when connections without a reservation take so much that none can be made for large bodies.
    [[nodiscard]] bool small_exceeded() const { return small_used() > limit_ - large_limit_; }
    /// True when bytes for large bodies are short, so that connections should take little beside them.
    [[nodiscard]] bool under_pressure() const
    {
        return used_ > large_limit_ || small_used() > (limit_ - large_limit_) / 2;
    }

private:
    friend class memory_account;

    /// The bytes charged to accounts without a reservation.
    [[nodiscard]] std::size_t small_used() const { return used_ - large_used_; }

    std::size_t limit_ = 0;
    std::size_t large_limit_ = 0; ///< of all bytes, when a large body is admitted
    std::size_t used_ = 0;
    std::size_t allocated_ = 0;
    std::size_t large_used_ = 0; ///< charged to accounts with a reservation
    std::size_t reservations_ = 0;
};

/// The share of one connection in a budget, which must outlive it. Not thread safe.
class memory_account
{
public:
    /// Without a budget, nothing is limited.
    explicit memory_account(memory_budget* budget) : budget_(budget) {}
    memory_account(const memory_account&) = delete;
    memory_account& operator=(const memory_account&) = delete;
    ~memory_account();

    /// Sets the bytes that are allocated. A larger reservation is charged instead.
    void set_allocated(std::size_t bytes);
    /// Raises the reservation to what a large body needs until its request has ended; false when it must
    /// wait, and the reservation stays. A body that needs more than all large ones may take is admitted when
    /// no other is.
    [[nodiscard]] bool reserve(std::size_t bytes);
    void release_reservation();
    [[nodiscard]] bool has_reservation() const { return reserved_ > 0; }
    [[nodiscard]] std::size_t reserved() const { return reserved_; }
    /// The bytes charged.
    [[nodiscard]] std::size_t charged() const { return charged_; }

private:
    void update();

    memory_budget* budget_;
    std::size_t allocated_ = 0;
    std::size_t reserved_ = 0;
    std::size_t charged_ = 0;
    std::size_t large_charged_ = 0; ///< of the charged bytes, when there is a reservation
};

} // namespace currantspar::gateway

#endif
