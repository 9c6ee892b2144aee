#ifndef CURRANTSPAR_AGREEMENT_RECORD_HPP
#define CURRANTSPAR_AGREEMENT_RECORD_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "currantspar/base/ids.hpp"
#include "currantspar/base/json.hpp"
#include "currantspar/base/result.hpp"
#include "currantspar/base/time.hpp"
#include "currantspar/config/fleet.hpp"

namespace currantspar::agreement {

/// An operator's change of the configuration. Accepted if the document is valid under `schema_version` and
/// `base` is the current revision at this record's offset.
struct publish_record
{
    publish_id id;
    revision base;
    unsigned schema_version = 1;
    std::string author;
    std::string text; ///< the full document; with `is_delta` the replacement for the middle of the base
    bool is_delta = false;
    std::uint64_t keep_front = 0; ///< with `is_delta`: bytes kept from the start of the base
    std::uint64_t keep_back = 0;  ///< with `is_delta`: bytes kept from the end of the base
    std::uint64_t text_hash = 0;  ///< with `is_delta`: hash of the full new document
};

/// One part of a checkpoint of the agreed state, which covers every record up to and including `covers`. With
/// `lost_up_to` it is a restart checkpoint: the records after `covers` up to that one were removed by the
/// log's retention before the writer could read them.
struct checkpoint_record
{
    log_offset covers;
    std::uint64_t state_hash = 0; ///< of the agreed state at `covers`; identifies the parts of one checkpoint
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::string body;
    log_offset lost_up_to; ///< 0: no records were lost
};

/// Claims the authority over a pool. `previous` is the last fence that the claimant read; a claim with an
/// older fence lost a race and has no effect. The offset of the claim becomes the new fence.
struct claim_record
{
    pool_id pool;
    fence previous;
    node_id node;
    incarnation process;
};

/// Renews the authority over all pools of a node.
struct renew_record
{
    node_id node;
    incarnation process;
    std::uint64_t sequence = 0; ///< identifies the renewal when the node reads it back
    std::vector<fence> fences;
};

/// Releases the authority over a pool.
struct release_record
{
    pool_id pool;
    fence held;
    node_id node;
    incarnation process;
};

/// The target state of an order for an engine.
struct engine_goal
{
    config::engine_role role = config::engine_role::mixed;
    config::engine_load load;

    friend bool operator==(const engine_goal&, const engine_goal&) = default;
};

/// Opens an order. Effective only if `held` is the pool's fence and the engine has no open order. The offset
/// of the record is the order's id.
struct intent_record
{
    engine_id engine;
    pool_id pool;
    fence held;
    engine_goal from;
    engine_goal to;
    std::string reason;         ///< the figures behind the decision
    std::uint64_t sequence = 0; ///< increases with each intent of a process; a repeated intent has no effect
};

enum class order_outcome
{
    done,
    cancelled, ///< never reached the engine, or the engine refused it
    failed,    ///< the engine ended up in another state
};

/// Closes an order.
struct result_record
{
    order_id order;
    engine_id engine;
    order_outcome outcome = order_outcome::done;
    engine_goal state; ///< as reported by the engine
};

/// A keyed call, recorded before it runs.
struct key_entry
{
    call_key key;
    std::uint64_t request_digest =
        0; ///< of method, path and body; reuse of the key with another digest is refused
    request_id request;
};

/// Records the keys of calls that `recorder` wants to run: the first record of a key in log order wins, and
/// only its recorder may dispatch the call.
struct key_record
{
    node_id recorder;
    incarnation process;
    wall_time written_at{};
    std::vector<key_entry> entries;
};

enum class call_outcome
{
    answered,
    not_run,
    unknown,
};

/// The outcome of one keyed call.
struct key_outcome_entry
{
    call_key key;
    call_outcome outcome = call_outcome::unknown;
    int status = 0; ///< HTTP status of the response
    std::string content_type;
    std::string body; ///< empty if larger than the limit, see body_kept
    bool body_kept = true;
    request_id request{}; ///< the request that the outcome belongs to
};

/// Outcomes of keyed calls, written by the recorder of the keys.
struct key_outcome_record
{
    node_id recorder;
    incarnation process;
    wall_time written_at{};
    std::vector<key_outcome_entry> entries;
};

/// A record of a kind unknown to this version. It has no effect and keeps its bytes.
struct unknown_record
{
    std::string kind;
    std::string bytes;
};

using record_body =
    std::variant<publish_record, checkpoint_record, claim_record, renew_record, release_record, intent_record,
                 result_record, key_record, key_outcome_record, unknown_record>;

/// A record as read from the log.
struct log_record
{
    log_offset offset;
    record_body body;
};

NLOHMANN_JSON_SERIALIZE_ENUM(order_outcome, {{order_outcome::done, "done"},
                                             {order_outcome::cancelled, "cancelled"},
                                             {order_outcome::failed, "failed"}})
NLOHMANN_JSON_SERIALIZE_ENUM(call_outcome, {{call_outcome::answered, "answered"},
                                            {call_outcome::not_run, "not_run"},
                                            {call_outcome::unknown, "unknown"}})
CURRANTSPAR_JSON(publish_record, id, base, schema_version, author, text, is_delta, keep_front, keep_back,
                 text_hash)
CURRANTSPAR_JSON(checkpoint_record, covers, state_hash, part, parts, body, lost_up_to)
CURRANTSPAR_JSON(claim_record, pool, previous, node, process)
CURRANTSPAR_JSON(renew_record, node, process, sequence, fences)
CURRANTSPAR_JSON(release_record, pool, held, node, process)
CURRANTSPAR_JSON(engine_goal, role, load)
CURRANTSPAR_JSON(intent_record, engine, pool, held, from, to, reason, sequence)
CURRANTSPAR_JSON(result_record, order, engine, outcome, state)
CURRANTSPAR_JSON(key_entry, key, request_digest, request)
CURRANTSPAR_JSON(key_record, recorder, process, written_at, entries)
CURRANTSPAR_JSON(key_outcome_entry, key, outcome, status, content_type, body, body_kept, request)
CURRANTSPAR_JSON(key_outcome_record, recorder, process, written_at, entries)

/// Makes the publish record of a new document: a delta if more than half of the document is taken from the
/// base, otherwise the full document. Thread safe.
[[nodiscard]] publish_record make_publish(publish_id id, revision base, std::string_view base_text,
                                          std::string text, std::string author);

/// Returns the full document of a publish record, given its base document; fails if a delta doesn't match the
/// base. Thread safe.
[[nodiscard]] result<std::string> published_text(const publish_record& record, std::string_view base_text);

/// Encodes a record for the log as a JSON object, `{"kind": ..., "version": 1, ...}`. Thread safe.
[[nodiscard]] std::string encode_record(const record_body& body);

/// Decodes the output of encode_record. Unknown fields are ignored and an unknown kind gives an
/// unknown_record; anything else that can't be decoded is an error of kind `invalid`. Thread safe.
[[nodiscard]] result<record_body> decode_record(std::string_view bytes);

/// The name of the record's kind in the log: `publish`, `checkpoint` and so on. Thread safe.
[[nodiscard]] std::string_view record_kind(const record_body& body);

} // namespace currantspar::agreement

#endif
