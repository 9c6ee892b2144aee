#include "currantspar/core/ledger.hpp"

#include <string>

#include "currantspar/core/step.hpp"

namespace currantspar::core::ledger {

namespace {

constexpr duration check_interval = std::chrono::seconds(1);

} // namespace

void on_accepted(step& run, const service_id& service)
{
    ledger_account& account = run.state.ledger.accounts[service];
    account.accepted += 1;
    account.in_flight += 1;
}

void on_outcome(step& run, const service_id& service, request_outcome outcome)
{
    ledger_account& account = run.state.ledger.accounts[service];
    account.in_flight -= 1;
    switch (outcome) {
    case request_outcome::answered:
        account.answered += 1;
        break;
    case request_outcome::not_run:
        account.not_run += 1;
        break;
    case request_outcome::unknown:
        account.unknown += 1;
        break;
    }
}

void on_caller_gone(step& run, const service_id& service)
{
    ledger_account& account = run.state.ledger.accounts[service];
    account.in_flight -= 1;
    account.caller_gone += 1;
}

void on_tick(step& run)
{
    ledger_state& state = run.state.ledger;
    if (run.now < state.check_due) {
        return;
    }
    state.check_due = run.now + check_interval;
    std::string detail;
    for (const auto& [service, account] : state.accounts) {
        const std::size_t open = requests::open_requests(run.state, service);
        if (account.difference() != 0 || account.in_flight != open) {
            detail += service.str() + " difference=" + std::to_string(account.difference()) +
                      " in_flight=" + std::to_string(account.in_flight) + " open=" + std::to_string(open) +
                      " ";
        }
    }
    if (state.alarm != !detail.empty()) {
        state.alarm = !detail.empty();
        run.emit(set_alarm{alarm::ledger_difference, state.alarm, std::move(detail)});
    }
}

} // namespace currantspar::core::ledger
