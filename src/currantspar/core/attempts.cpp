#include "currantspar/core/attempts.hpp"

#include "currantspar/core/step.hpp"

namespace currantspar::core::attempts {

attempt_id open(step_context& context, attempt new_attempt)
{
    request_state& state = context.state.requests;
    const attempt_id id(++state.last_attempt);
    new_attempt.started = context.now;
    state.attempts.emplace(id, std::move(new_attempt));
    return id;
}

attempt* find_active(step_context& context, attempt_id id)
{
    request_state& state = context.state.requests;
    const auto found = state.attempts.find(id);
    if (found != state.attempts.end()) {
        return &found->second;
    }
    drop(context, id);
    context.emit(cancel_attempt{id, false});
    return nullptr;
}

void drop(step_context& context, attempt_id id)
{
    context.state.requests.dropped_answers += 1;
    timeline_entry entry;
    entry.kind = "request.answer_dropped";
    entry.attempt = id;
    context.trace(std::move(entry));
}

void abandon(step_context& context, attempt_id id, bool at_engine)
{
    if (context.state.requests.attempts.erase(id) > 0) {
        context.emit(cancel_attempt{id, at_engine});
    }
}

bool spend_retry(step_context& context, const service_id& service, const organisation_id& organisation)
{
    request_state& state = context.state.requests;
    policy::retry_budget& of_service = state.service_budgets[service];
    policy::retry_budget& of_organisation = state.organisation_budgets[organisation];
    if (!of_service.available() || !of_organisation.available()) {
        return false;
    }
    of_service.spend();
    of_organisation.spend();
    return true;
}

void earn_retry(step_context& context, const service_id& service, const organisation_id& organisation)
{
    context.state.requests.service_budgets[service].earn();
    context.state.requests.organisation_budgets[organisation].earn();
}

} // namespace currantspar::core::attempts
