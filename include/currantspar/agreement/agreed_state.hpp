#ifndef CURRANTSPAR_AGREEMENT_AGREED_STATE_HPP
#define CURRANTSPAR_AGREEMENT_AGREED_STATE_HPP

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "currantspar/agreement/record.hpp"
#include "currantspar/config/diagnostic.hpp"
#include "currantspar/config/fleet.hpp"

namespace currantspar::agreement {

enum class publish_verdict
{
    accepted,
    conflict, ///< based on another revision than the current one
    invalid,  ///< the document is invalid
};

/// The result of one publish.
struct publish_result
{
    publish_id id;
    log_offset offset;
    publish_verdict verdict = publish_verdict::accepted;
    revision current; ///< the current revision after the verdict
    std::string author;
    std::string detail; ///< the first error of an invalid document
};

/// A holder that lost a pool's authority without releasing it, so that it may still act on a stale lease.
struct former_holder
{
    node_id node;
    incarnation process;
    fence held;

    friend bool operator==(const former_holder&, const former_holder&) = default;
};

/// The holder of the authority over a pool. After a release the entry remains with `released` set, so that
/// fences never decrease.
struct authority_entry
{
    node_id holder;
    incarnation process;
    fence held;
    log_offset renewed_at; ///< the offset of the holder's last claim or renewal
    std::uint64_t renew_sequence = 0;
    bool released = false;
    std::vector<former_holder> former; ///< oldest first, bounded
};

/// Identifies the last intent that opened an order for an engine, to reject repeated intents.
struct intent_mark
{
    fence held;
    std::uint64_t sequence = 0;
};

/// An order without a result.
struct open_order
{
    order_id id;
    intent_record intent;
};

/// The recorded state of a keyed call.
struct key_state
{
    node_id recorder;
    incarnation process;
    request_id request;
    std::uint64_t request_digest = 0;
    log_offset recorded_at;
    wall_time written_at{}; ///< newest_stamp when the key was recorded
    std::optional<key_outcome_entry> outcome;
};

/// The replicated state of all nodes, a function of the log alone.
struct agreed_state
{
    log_offset applied; ///< the last applied record
    revision current;
    std::string text; ///< the current configuration document
    unsigned text_schema = 1;
    config::fleet_ptr fleet;            ///< parsed from `text`; null before the first revision
    std::deque<publish_result> history; ///< newest last, bounded
    std::map<pool_id, authority_entry> authority;
    std::map<engine_id, open_order> orders;
    std::map<engine_id, engine_goal> engine_goals; ///< the engine's state at its last order result
    std::map<call_key, key_state> keys;
    std::map<engine_id, intent_mark> intent_marks;
    std::map<node_id, wall_time> stamps; ///< latest written_at of each recent recorder, bounded
    wall_time
        newest_stamp{}; ///< lower median of `stamps`, never decreases; expires keys identically on every node

    // Derived from the above.
    std::deque<std::pair<wall_time, call_key>> key_ages; ///< oldest first
    std::uint64_t entries_hash = 0;                      ///< sum of the hashes of all entries above
};

/// The effects of applying one record.
struct applied_change
{
    log_offset offset;
    std::string_view kind;
    std::optional<publish_result> publish; ///< set when a verdict was reached
    std::vector<pool_id> authority;        ///< pools whose authority was claimed, renewed or released
    bool claimed_after_release = false;    ///< a claim took effect on a pool without a holder
    std::optional<engine_id> order;        ///< the engine whose order was opened or closed
    std::vector<call_key> keys;            ///< recorded or completed
    bool effective = true;                 ///< false: the record is stale, repeated or of an unknown kind
};

/// Number of publish verdicts kept for duplicate detection and `show --history`.
inline constexpr std::size_t history_limit = 256;

/// Number of recorders whose clocks determine the age of keys.
inline constexpr std::size_t stamp_limit = 15;
/// Number of former holders kept for one pool.
inline constexpr std::size_t former_limit = 16;

/// Validates and parses a configuration document; replicas of one process can share the parsed fleets.
using fleet_parser =
    std::function<config::checked<config::fleet_ptr>(const std::string& text, unsigned schema)>;

/// The default parser, which parses every document anew. Thread safe.
[[nodiscard]] config::checked<config::fleet_ptr> parse_fleet_document(const std::string& text,
                                                                      unsigned schema);

/// Applies a record. Deterministic. Records at or before `state.applied` have no effect. Precondition: every
/// record between `state.applied` and this one was applied. Not thread safe for the same state.
applied_change apply_record(agreed_state& state, const log_record& record,
                            const fleet_parser& parser = parse_fleet_document);

/// Returns a hash of the full state; equal states have equal hashes on every machine. Thread safe as long as
/// the state isn't modified.
[[nodiscard]] std::uint64_t state_hash(const agreed_state& state);

/// Computes from scratch the part of state_hash that apply_record maintains incrementally. Thread safe as
/// long as the state isn't modified.
[[nodiscard]] std::uint64_t hash_entries(const agreed_state& state);

/// Encodes the state as checkpoint records with bodies of at most `body_limit` bytes. Precondition:
/// body_limit > 0.
[[nodiscard]] std::vector<checkpoint_record> make_checkpoint(const agreed_state& state,
                                                             std::size_t body_limit);

/// Revokes the authority over every pool at `offset`. The holders become former holders that may still act,
/// so the next claimant waits as after any lost lease. Used when records were lost.
void vacate_authority(agreed_state& state, log_offset offset);

/// Decodes a state from all parts of one checkpoint; fails if parts are missing or the hash doesn't match.
[[nodiscard]] result<agreed_state> read_checkpoint(const std::vector<checkpoint_record>& parts,
                                                   const fleet_parser& parser = parse_fleet_document);

NLOHMANN_JSON_SERIALIZE_ENUM(publish_verdict, {{publish_verdict::accepted, "accepted"},
                                               {publish_verdict::conflict, "conflict"},
                                               {publish_verdict::invalid, "invalid"}})
CURRANTSPAR_JSON(publish_result, id, offset, verdict, current, author, detail)
CURRANTSPAR_JSON(former_holder, node, process, held)
CURRANTSPAR_JSON(authority_entry, holder, process, held, renewed_at, renew_sequence, released, former)
CURRANTSPAR_JSON(intent_mark, held, sequence)
CURRANTSPAR_JSON(open_order, id, intent)
CURRANTSPAR_JSON(key_state, recorder, process, request, request_digest, recorded_at, written_at, outcome)

} // namespace currantspar::agreement

#endif
