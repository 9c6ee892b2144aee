#include "currantspar/core/ledger.hpp"

#include <string>

#include "currantspar/core/step.hpp"

namespace currantspar::core::ledger {

namespace {

constexpr duration check_interval = std::chrono::seconds(1);

} // namespace

void on_accepted(step_context& context, const service_id& service)
{
    ledger_account& account = context.state.ledger.accounts[service];
    account.accepted += 1;
    account.in_flight += 1;
}

void on_outcome(step_context& context, const service_id& service, request_outcome outcome)
{
    ledger_account& account = context.state.ledger.accounts[service];
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

void on_caller_gone(step_context& context, const service_id& service)
{
    ledger_account& account = context.state.ledger.accounts[service];
    account.in_flight -= 1;
    account.caller_gone += 1;
}

void on_tick(step_context& context)
{
    ledger_state& state = context.state.ledger;
    if (context.now < state.check_due) {
        return;
    }
    state.check_due = context.now + check_interval;
    std::string detail;
    for (const auto& [service, account] : state.accounts) {
        const std::size_t open = requests::open_requests(context.state, service);
        if (account.difference() != 0 || account.in_flight != open) {
            detail += service.str() + " difference=" + std::to_string(account.difference()) +
                      " in_flight=" + std::to_string(account.in_flight) + " open=" + std::to_string(open) +
                      " ";
        }
    }
    if (state.alarm != !detail.empty()) {
        state.alarm = !detail.empty();
        context.emit(set_alarm{alarm::ledger_difference, state.alarm, std::move(detail)});
    }
}

} // namespace currantspar::core::ledger
