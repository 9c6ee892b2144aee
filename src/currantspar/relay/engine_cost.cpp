#include "currantspar/relay/engine_cost.hpp"

#include <algorithm>

namespace currantspar::relay {

namespace {

constexpr double tokens_per_thousand = 1000.0;
constexpr double pairs_per_million = 1e6;
constexpr double bits_per_byte = 8.0;
/// Converts megabits a second to bits a millisecond.
constexpr double bits_per_ms = 1000.0;
/// Divides the maximum output to estimate the output of a request whose caller gives no estimate.
constexpr std::uint32_t expected_output_divisor = 2;

} // namespace

engine_speed scaled(const engine_speed& nominal, double factor)
{
    engine_speed result = nominal;
    result.prefill_tokens_per_ms *= factor;
    result.attention_ms_per_million /= factor;
    result.step_ms /= factor;
    result.context_ms_per_thousand /= factor;
    result.transfer_setup_ms /= factor;
    return result;
}

std::uint32_t output_tokens(const request_info& request)
{
    return request.expected_output > 0 ? request.expected_output
                                       : request.max_output / expected_output_divisor;
}

double prefill_ms(const engine_speed& speed, const request_info& request, std::uint32_t cached,
                  bool at_decode_engine)
{
    const double new_tokens = request.prompt_tokens - std::min(cached, request.prompt_tokens);
    const double mean_earlier_tokens = (request.prompt_tokens + cached) / 2.0;
    const double attention =
        new_tokens * mean_earlier_tokens / pairs_per_million * speed.attention_ms_per_million;
    const double at_full_speed = new_tokens / speed.prefill_tokens_per_ms + attention;
    return at_decode_engine ? at_full_speed / speed.decode_prefill_fraction : at_full_speed;
}

double decode_wait_ms(const engine_speed& speed, const engine_work& load, const engine_traits& traits,
                      const request_info& request)
{
    const double context_ms =
        static_cast<double>(load.tokens) / tokens_per_thousand * speed.context_ms_per_thousand;
    const double step = speed.step_ms + context_ms;
    double wait = step;
    const auto needed = static_cast<double>(load.tokens) + request.prompt_tokens + request.max_output;
    const bool memory_full = traits.memory_tokens > 0 && needed > static_cast<double>(traits.memory_tokens);
    const bool slots_full = load.running >= static_cast<std::int32_t>(traits.slots);
    if (memory_full || slots_full) {
        wait += step * output_tokens(request);
    }
    return wait + load.running * speed.context_ms_per_thousand;
}

double kv_transfer_ms(const engine_traits& traits, const request_info& request)
{
    if (traits.link_mbps <= 0) {
        return 0;
    }
    const double bytes = static_cast<double>(traits.bytes_per_token) * request.prompt_tokens;
    return bytes * bits_per_byte / (traits.link_mbps * bits_per_ms);
}

} // namespace currantspar::relay
