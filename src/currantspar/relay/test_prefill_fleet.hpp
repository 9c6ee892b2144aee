#ifndef CURRANTSPAR_RELAY_TEST_PREFILL_FLEET_HPP
#define CURRANTSPAR_RELAY_TEST_PREFILL_FLEET_HPP

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <vector>

#include "currantspar/relay/engine_choice.hpp"
#include "test_relay.hpp"

namespace currantspar::relay::test {

/// Load: many nodes place long prompts that share a few dozen segments on the same engines.
struct shared_prompt_load
{
    unsigned nodes = 14;
    unsigned prefill_engines = 14;
    unsigned decode_engines = 4;
    unsigned segments = 83;
    double requests_per_second = 27.5;
    double seconds = 20;
    double warm_up = 6; ///< seconds whose requests are not counted, since no segment is cached at first
    std::uint32_t shared_tokens = 13300;
    std::uint32_t own_tokens = 3720;
    double target_ms = 600;
};

/// Result of a load.
struct prefill_result
{
    double on_time_fraction = 0; ///< fraction of the prompts prefilled within the target
    double recomputed_fraction =
        0; ///< shared tokens computed though another engine had them cached, relative to all shared tokens
};

/// Chooses the engine that prefills a request placed by `node`.
using chooser = std::function<backend_id(unsigned node, const request_info&, instant)>;

/// Simulates a load on engines that prefill one prompt after the other and keep every shared segment cached.
class prefill_fleet
{
public:
    explicit prefill_fleet(shared_prompt_load load) : load_(load)
    {
        for (unsigned index = 0; index < load.prefill_engines + load.decode_engines; ++index) {
            const bool is_prefill = index < load.prefill_engines;
            engines_.push_back(
                make_server((is_prefill ? "reader-" : "decoder-") + std::to_string(index), "llm",
                            is_prefill ? config::engine_role::prefill : config::engine_role::decode));
        }
    }

    [[nodiscard]] const std::vector<server_entry>& engines() const { return engines_; }
    [[nodiscard]] double free_at(const backend_id& engine) { return free_at_[engine]; }
    [[nodiscard]] bool cached(const backend_id& engine, std::uint64_t segment)
    {
        return cached_[engine].contains(segment);
    }

    /// Calls `done` with each request's node and the time at which its prefill ends.
    prefill_result play(const chooser& choose,
                        const std::function<void(unsigned, const request_info&, double)>& done)
    {
        random_generator random(11);
        unsigned counted = 0;
        unsigned on_time = 0;
        double recomputed = 0;
        double requested = 0;
        for (double now = 0; now < load_.seconds;
             now += -std::log(1 - random.unit()) / load_.requests_per_second) {
            const std::uint64_t segment = 1 + random.below(load_.segments);
            const auto node = static_cast<unsigned>(random.below(load_.nodes));
            const request_info request = make_prompt("r", segment, load_.shared_tokens, load_.own_tokens);
            const backend_id engine = choose(node, request, at(1 + now));
            const bool known = cached_[engine].contains(segment);
            const bool known_somewhere =
                !known && std::any_of(cached_.begin(), cached_.end(),
                                      [&](const auto& each) { return each.second.contains(segment); });
            const double prefill_s = prefill_seconds(known ? load_.shared_tokens : 0);
            const double ready = std::max(now, free_at_[engine]) + prefill_s;
            free_at_[engine] = ready;
            cached_[engine].insert(segment);
            done(node, request, ready);
            if (now < load_.warm_up) {
                continue;
            }
            ++counted;
            on_time += (ready - now) * 1000 <= load_.target_ms ? 1 : 0;
            recomputed += known_somewhere ? load_.shared_tokens : 0;
            requested += load_.shared_tokens;
        }
        return {static_cast<double>(on_time) / counted, recomputed / requested};
    }

private:
    /// An engine prefills about 64 tokens a millisecond, plus attention to each earlier token.
    [[nodiscard]] double prefill_seconds(std::uint32_t cached) const
    {
        const double total = load_.shared_tokens + load_.own_tokens;
        const double new_tokens = total - cached;
        const double pairs = new_tokens * (total + cached) / 2;
        return (new_tokens / 64.2 + pairs / 1e6 * 0.647) / 1000;
    }

    shared_prompt_load load_;
    std::vector<server_entry> engines_;
    std::map<backend_id, double> free_at_;
    std::map<backend_id, std::set<std::uint64_t>> cached_;
};

} // namespace currantspar::relay::test

#endif
