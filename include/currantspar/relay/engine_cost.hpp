#ifndef CURRANTSPAR_RELAY_ENGINE_COST_HPP
#define CURRANTSPAR_RELAY_ENGINE_COST_HPP

#include <cstdint>

#include "currantspar/relay/model.hpp"

namespace currantspar::relay {

/// Cost model of an engine.
struct engine_speed
{
    double prefill_tokens_per_ms = 64; ///< at a prefill engine
    double decode_prefill_fraction =
        0.5; ///< prefill speed of a decode engine, relative to that of a prefill engine
    double attention_ms_per_million = 0.65;  ///< per million pairs of a new and an earlier token
    double step_ms = 4.3;                    ///< one decode step: one token for each running request
    double context_ms_per_thousand = 0.0086; ///< added to a step per thousand tokens of context
    double transfer_setup_ms = 2.7;
};

/// Outstanding work of one node at an engine.
struct engine_work
{
    double prefill_ms = 0;    ///< of prompts not yet prefilled
    std::int32_t running = 0; ///< requests sent that have not ended
    std::int64_t tokens = 0;  ///< of these requests: prompt and expected output
};

/// Returns the cost model of an engine that is `factor` times as fast. Precondition: factor > 0. Thread safe.
[[nodiscard]] engine_speed scaled(const engine_speed& nominal, double factor);

/// Returns the expected number of output tokens of a request. Thread safe.
[[nodiscard]] std::uint32_t output_tokens(const request_info& request);

/// Returns the milliseconds that an engine takes to prefill a prompt of which `cached` tokens are in its
/// cache. Thread safe.
[[nodiscard]] double prefill_ms(const engine_speed& speed, const request_info& request, std::uint32_t cached,
                                bool at_decode_engine);

/// Returns the milliseconds from a prefilled prompt to its first event at a decode engine with this load.
/// Thread safe.
[[nodiscard]] double decode_wait_ms(const engine_speed& speed, const engine_work& load,
                                    const engine_traits& traits, const request_info& request);

/// Returns the milliseconds that sending a prompt's KV cache takes on an idle link. Thread safe.
[[nodiscard]] double kv_transfer_ms(const engine_traits& traits, const request_info& request);

} // namespace currantspar::relay

#endif
