#include "currantspar/core/attempts.hpp"

#include "currantspar/core/step.hpp"

namespace currantspar::core::attempts {

attempt_id open(step& run, attempt new_attempt)
{
    request_state& state = run.state.requests;
    const attempt_id id(++state.last_attempt);
    new_attempt.started = run.now;
    state.attempts.emplace(id, std::move(new_attempt));
    return id;
}

attempt* find_active(step& run, attempt_id id)
{
    request_state& state = run.state.requests;
    const auto found = state.attempts.find(id);
    if (found != state.attempts.end()) {
        return &found->second;
    }
    drop(run, id);
    run.emit(cancel_attempt{id, false});
    return nullptr;
}

void drop(step& run, attempt_id id)
{
    run.state.requests.dropped_answers += 1;
    timeline_entry entry;
    entry.kind = "request.answer_dropped";
    entry.attempt = id;
    run.trace(std::move(entry));
}

void abandon(step& run, attempt_id id, bool at_engine)
{
    if (run.state.requests.attempts.erase(id) > 0) {
        run.emit(cancel_attempt{id, at_engine});
    }
}

bool spend_retry(step& run, const service_id& service, const organisation_id& organisation)
{
    request_state& state = run.state.requests;
    policy::retry_budget& of_service = state.service_budgets[service];
    policy::retry_budget& of_organisation = state.organisation_budgets[organisation];
    if (!of_service.available() || !of_organisation.available()) {
        return false;
    }
    of_service.spend();
    of_organisation.spend();
    return true;
}

void earn_retry(step& run, const service_id& service, const organisation_id& organisation)
{
    run.state.requests.service_budgets[service].earn();
    run.state.requests.organisation_budgets[organisation].earn();
}

} // namespace currantspar::core::attempts
