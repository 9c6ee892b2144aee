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

/// The node's only writer to the log. One batch is in flight at a time; records queued meanwhile form the
/// next batch.
struct log_writer_state
{
    std::vector<agreement::record_body> waiting;
    std::vector<agreement::record_body> in_flight;
    append_id open; ///< 0: no append in flight
    std::uint64_t last_append = 0;
    instant next_due{};
    unsigned failed = 0;       ///< consecutive failures
    std::uint64_t appends = 0; ///< batches sent since the process started
    std::uint64_t records = 0;
    double budget = 1;     ///< batches that may be sent now (token bucket)
    double key_budget = 1; ///< token bucket for batches that contain records of keyed calls
    instant refilled{};
    instant opened{}; ///< when the batch in flight was sent
};

namespace log_writer {

/// Queues a record for the next batch.
void append(step_context& context, agreement::record_body record);
void on_append_finished(step_context& context, const append_finished& incoming);
void on_tick(step_context& context);

/// True while a record of that type is queued or in flight.
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
