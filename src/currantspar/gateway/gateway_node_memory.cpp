#include <algorithm>

#include "currantspar/gateway/memory_plan.hpp"
#include "currantspar/io/log.hpp"
#include "gateway_node.hpp"

// The part of gateway_node that keeps the process within its memory.

namespace currantspar::gateway {

namespace {

constexpr int status_unavailable = 503;
/// Between two looks at the process's resident memory.
constexpr duration budget_update_period = std::chrono::milliseconds(50);
/// Between two returns of free memory to the system.
constexpr duration release_period = std::chrono::seconds(1);
constexpr duration memory_retry = std::chrono::seconds(1);

} // namespace

void gateway_node::refuse_for_memory(caller_connection& from, instant now)
{
    refused_for_memory_ += 1;
    if (const auto count = memory_lines_.on_event(now)) {
        io::log_event(io::log_level::warning, "request_refused",
                      {{"reason", "memory"},
                       {"count", std::to_string(*count)},
                       {"charged_bytes", std::to_string(budget_.used())}});
    }
    const relay::reply refusal{{}, status_unavailable, memory_retry, "memory"};
    from.respond(refusal.status, wire_.encode_reply(refusal), "", true);
}

void gateway_node::update_budget(instant now)
{
    if (now < budget_due_) {
        return;
    }
    budget_due_ = now + budget_update_period;
    const std::size_t resident = resident_memory();
    if (resident == 0) {
        return;
    }
    const std::size_t other = resident - std::min(resident, budget_.allocated());
    budget_.set_limit(budget_beside(memory_plan_, settings_.memory_bytes, other));
    if (budget_.limit() < memory_plan_.budget && now >= release_due_) {
        release_due_ = now + release_period;
        release_free_memory();
    }
}

} // namespace currantspar::gateway
