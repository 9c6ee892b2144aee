#ifndef CURRANTSPAR_POLICY_VIEWS_HPP
#define CURRANTSPAR_POLICY_VIEWS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "currantspar/base/ids.hpp"
#include "currantspar/base/json.hpp"
#include "currantspar/base/time.hpp"
#include "currantspar/config/fleet.hpp"

namespace currantspar::policy {

/// Whether an engine accepts work, and why not.
enum class engine_condition
{
    serving,
    changing, ///< executes an order, accepts no work
    leaving,  ///< announced that it shuts down, accepts no new work
    unknown,  ///< restarted after a crash, role not yet confirmed
};

/// The state that an engine reports about itself. It is outdated on arrival: `taken_at` is its time on the
/// engine's own clock.
struct engine_report
{
    engine_id engine;
    engine_time taken_at{};
    engine_condition condition = engine_condition::serving;
    config::engine_role role = config::engine_role::mixed;
    config::engine_load load;
    std::uint32_t running = 0;             ///< sequences in the batch
    std::uint32_t queued = 0;              ///< requests not yet in the batch
    std::uint64_t prefill_tokens_left = 0; ///< prompt tokens still to compute, queued ones included
    std::uint32_t pieces_used = 0;
    std::uint32_t pieces_total = 0;
    std::uint64_t prefill_tokens_total = 0; ///< prompt tokens computed since the engine started
    std::uint64_t decode_tokens_total = 0;  ///< output tokens decoded since the engine started
};

/// Prefix pieces that an engine cached or evicted. If `first_sequence` doesn't follow the last event of the
/// previous batch, events were lost.
struct cache_event_batch
{
    struct change
    {
        std::uint64_t piece = 0; ///< chained hash of the prompt up to the end of this piece
        bool cached = true;
    };

    engine_id engine;
    std::uint64_t first_sequence = 0;
    std::vector<change> changes;
};

/// The properties of a request that the policy uses.
struct request_shape
{
    service_id service;
    organisation_id organisation;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t expected_output = 0;        ///< tokens; 0 lets the policy estimate it
    std::vector<std::uint64_t> prefix_pieces; ///< chained hashes, one per piece of the prompt
    unsigned priority = 1;
    instant arrived{};
    instant deadline{};
    duration first_token_target{};
    duration between_tokens_target{};
};

/// The engines chosen for a request and the predictions for them.
struct route
{
    engine_id engine;         ///< runs the request, or its decode when `prefill_engine` is set
    engine_id prefill_engine; ///< empty: `engine` does the prefill too
    duration predicted_first_token{};
    duration predicted_between_tokens{};
    std::uint32_t cached_tokens =
        0; ///< of the prompt, expected in the cache of the engine that does the prefill
};

enum class refusal_reason
{
    no_engine, ///< no engine of the service accepts work
    too_late,  ///< no engine can meet the deadline
    queue_full,
    rate_limited,
    concurrency_limited,
    fair_share, ///< the organisation exceeds its fair share under load
    stopping,   ///< the node is shutting down
};

/// Why a request was refused, and when to retry.
struct refusal
{
    refusal_reason reason = refusal_reason::no_engine;
    duration retry_after = std::chrono::seconds(1);
};

/// The work that one node has in flight at an engine, as sent to its peers.
struct sent_work
{
    engine_id engine;
    std::uint32_t running = 0;
    std::uint64_t prefill_tokens = 0; ///< sent, and not known to be computed
    std::uint32_t pieces = 0;
    std::uint32_t prefilling = 0; ///< of `running`, requests still in prefill
};

/// A node's work in flight, usage of limits and demand, sent to its peers; bounded in size.
struct work_digest
{
    struct usage
    {
        organisation_id organisation;
        double requests_per_second = 0;
        std::uint32_t concurrent = 0;
    };

    /// The demand for a service at this node, including refused requests.
    struct demand
    {
        service_id service;
        double requests_per_second = 0;
        double prefill_tokens_per_second = 0; ///< without cached prefixes
        double decode_tokens_per_second = 0;
    };

    node_id node;
    std::vector<sent_work> engines;
    std::vector<usage> organisations;
    std::vector<demand> services{};
    bool partial = false; ///< a delta: only engines whose work changed, without usage and demand
};

NLOHMANN_JSON_SERIALIZE_ENUM(engine_condition, {{engine_condition::serving, "serving"},
                                                {engine_condition::changing, "changing"},
                                                {engine_condition::leaving, "leaving"},
                                                {engine_condition::unknown, "unknown"}})
NLOHMANN_JSON_SERIALIZE_ENUM(refusal_reason, {{refusal_reason::no_engine, "no_engine"},
                                              {refusal_reason::too_late, "too_late"},
                                              {refusal_reason::queue_full, "queue_full"},
                                              {refusal_reason::rate_limited, "rate_limited"},
                                              {refusal_reason::concurrency_limited, "concurrency_limited"},
                                              {refusal_reason::fair_share, "fair_share"},
                                              {refusal_reason::stopping, "stopping"}})
CURRANTSPAR_JSON(engine_report, engine, taken_at, condition, role, load, running, queued, prefill_tokens_left,
                 pieces_used, pieces_total, prefill_tokens_total, decode_tokens_total)
CURRANTSPAR_JSON(cache_event_batch::change, piece, cached)
CURRANTSPAR_JSON(cache_event_batch, engine, first_sequence, changes)
CURRANTSPAR_JSON(sent_work, engine, running, prefill_tokens, pieces, prefilling)
CURRANTSPAR_JSON(work_digest::usage, organisation, requests_per_second, concurrent)
CURRANTSPAR_JSON(work_digest::demand, service, requests_per_second, prefill_tokens_per_second,
                 decode_tokens_per_second)
CURRANTSPAR_JSON(work_digest, node, engines, organisations, services, partial)

} // namespace currantspar::policy

#endif
