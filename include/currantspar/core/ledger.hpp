#ifndef CURRANTSPAR_CORE_LEDGER_HPP
#define CURRANTSPAR_CORE_LEDGER_HPP

#include <cstdint>
#include <map>

#include "currantspar/base/ids.hpp"
#include "currantspar/core/effect.hpp"

namespace currantspar::core {

struct node_state;
struct step_context;

/// Request counts of one service at this node, kept to detect requests that are lost or counted twice.
struct ledger_account
{
    std::uint64_t accepted = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t caller_gone = 0;
    std::uint64_t in_flight = 0;

    /// Number of requests that are missing (positive) or counted twice (negative); 0 when the counts agree.
    [[nodiscard]] std::int64_t difference() const
    {
        return static_cast<std::int64_t>(accepted) -
               static_cast<std::int64_t>(answered + not_run + unknown + caller_gone + in_flight);
    }
};

struct ledger_state
{
    std::map<service_id, ledger_account> accounts;
    instant check_due{};
    bool alarm = false; ///< raised: requests are missing or counted twice
};

namespace ledger {

void on_accepted(step_context& context, const service_id& service);
void on_outcome(step_context& context, const service_id& service, request_outcome outcome);
void on_caller_gone(step_context& context, const service_id& service);
/// Compares the accounts with the requests that are actually open, and raises or clears the alarm.
void on_tick(step_context& context);

} // namespace ledger
} // namespace currantspar::core

#endif
