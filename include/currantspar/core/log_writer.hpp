#ifndef CURRANTSPAR_CORE_LOG_WRITER_HPP
#define CURRANTSPAR_CORE_LOG_WRITER_HPP

#include <algorithm>
#include <cstdint>
#include <variant>
#include <vector>

#include "currantspar/agreement/record.hpp"
#include "currantspar/core/event.hpp"

namespace currantspar::core {

struct node_state;
struct step_context;

/// The node's only writer to the log: one batch open at a time, the rest waits and goes out together.
struct log_writer_state
{
    std::vector<agreement::record_body> waiting;
    std::vector<agreement::record_body> in_flight;
    append_id open; ///< 0: none
    std::uint64_t last_append = 0;
    instant next_due{};
    unsigned failed = 0;       ///< in a row
    std::uint64_t appends = 0; ///< batches sent since the start
    std::uint64_t records = 0;
    double budget = 1;     ///< batches that may go out now
    double key_budget = 1; ///< the same for batches with keyed calls
    instant refilled{};
    instant opened{}; ///< when the open batch was sent
};

namespace log_writer {

/// Queues a record for the next batch.
void append(step_context& context, agreement::record_body record);
void on_append_finished(step_context& context, const append_finished& incoming);
void on_tick(step_context& context);

/// True while a record of that kind waits or is on its way.
template <typename Record>
[[nodiscard]] bool has_pending(const log_writer_state& state)
{
    const auto is_kind = [](const agreement::record_body& body) {
        return std::holds_alternative<Record>(body);
    };
    return std::any_of(state.waiting.begin(), state.waiting.end(), is_kind) ||
           std::any_of(state.in_flight.begin(), state.in_flight.end(), is_kind);
}

} // namespace log_writer
} // namespace currantspar::core

#endif
