#include "currantspar/core/log_writer.hpp"

#include <algorithm>
#include <utility>

#include "currantspar/core/step.hpp"

namespace currantspar::core::log_writer {

namespace {

/// Minimum append rate of one node in batches per second, regardless of the number of nodes.
constexpr double min_rate = 0.6;

bool is_key(const agreement::record_body& body)
{
    return std::holds_alternative<agreement::key_record>(body) ||
           std::holds_alternative<agreement::key_outcome_record>(body);
}

/// Renewals, claims and checkpoints are not retried after a failed append; they are made anew while still
/// needed.
bool is_volatile(const agreement::record_body& body)
{
    return std::holds_alternative<agreement::renew_record>(body) ||
           std::holds_alternative<agreement::claim_record>(body) ||
           std::holds_alternative<agreement::checkpoint_record>(body);
}

void refill(step_context& context)
{
    log_writer_state& state = context.state.log_writer;
    const core_options& options = context.state.options;
    const double seconds = to_seconds(context.now - std::exchange(state.refilled, context.now));
    const auto nodes = static_cast<double>(context.state.membership.members.size() + 1);
    const double rate = std::max(min_rate, options.appends_per_second / nodes);
    state.budget = std::min(options.append_burst, state.budget + seconds * rate);
    state.key_budget =
        std::min(options.append_burst, state.key_budget + seconds * options.key_appends_per_second);
}

/// Takes one batch from the budget; returns false when the budget is exhausted.
bool consume_budget(step_context& context)
{
    log_writer_state& state = context.state.log_writer;
    refill(context);
    const bool keyed = std::any_of(state.waiting.begin(), state.waiting.end(), is_key);
    double& budget = keyed && state.key_budget >= 1 ? state.key_budget : state.budget;
    if (budget < 1) {
        return false;
    }
    budget -= 1;
    return true;
}

} // namespace

void append(step_context& context, agreement::record_body record)
{
    context.state.log_writer.waiting.push_back(std::move(record));
}

void on_append_finished(step_context& context, const append_finished& incoming)
{
    log_writer_state& state = context.state.log_writer;
    if (incoming.append != state.open) {
        return;
    }
    state.open = append_id();
    if (incoming.outcome == append_outcome::appended) {
        state.failed = 0;
        state.in_flight.clear();
        return;
    }
    // Every record is idempotent, so a batch whose response was lost is sent again.
    state.failed += 1;
    std::erase_if(state.in_flight, is_volatile);
    state.waiting.insert(state.waiting.begin(), std::make_move_iterator(state.in_flight.begin()),
                         std::make_move_iterator(state.in_flight.end()));
    state.in_flight.clear();
    state.next_due = context.now + configuration::backoff(context, state.failed);
}

void on_tick(step_context& context)
{
    log_writer_state& state = context.state.log_writer;
    if (state.open.value() != 0 && context.now - state.opened >= context.state.options.read_timeout) {
        on_append_finished(context, append_finished{state.open, append_outcome::unknown, {}});
    }
    const bool idle = state.open.value() == 0 && !state.waiting.empty();
    if (!idle || context.now < state.next_due || !consume_budget(context)) {
        return;
    }
    state.in_flight = std::exchange(state.waiting, {});
    state.open = append_id(++state.last_append);
    state.opened = context.now;
    state.appends += 1;
    state.records += state.in_flight.size();
    context.emit(append_records{state.open, state.in_flight});
}

} // namespace currantspar::core::log_writer
