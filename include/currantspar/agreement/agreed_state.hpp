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
    conflict, ///< its base isn't the revision in force
    invalid,  ///< its text has faults
};

/// What became of one publish id.
struct publish_result
{
    publish_id id;
    log_offset offset;
    publish_verdict verdict = publish_verdict::accepted;
    revision current; ///< in force after the verdict
    std::string author;
    std::string detail; ///< the faults, for an invalid text
};

/// A holder that lost a pool's authority without giving it up, so that it may still act by mistake.
struct former_holder
{
    node_id node;
    incarnation process;
    fence held;

    friend bool operator==(const former_holder&, const former_holder&) = default;
};

/// Who has authority over a pool. A node that was told to release keeps the entry with `released` set, so
/// that fences never go back.
struct authority_entry
{
    node_id holder;
    incarnation process;
    fence held;
    log_offset renewed_at; ///< the last record that proved the holder alive
    std::uint64_t renew_sequence = 0;
    bool released = false;
    std::vector<former_holder> former; ///< oldest first, bounded
};

/// The last intent that opened an order for an engine.
struct intent_mark
{
    fence held;
    std::uint64_t sequence = 0;
};

/// An order that has no result yet.
struct open_order
{
    order_id id;
    intent_record intent;
};

/// What is recorded about a keyed call.
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

/// Everything the nodes agree on, as a function of the log alone.
struct agreed_state
{
    log_offset applied; ///< the last record that is part of this state
    revision current;
    std::string text; ///< of the revision in force
    unsigned text_schema = 1;
    config::fleet_ptr fleet;            ///< parsed from `text`; null before the first revision
    std::deque<publish_result> history; ///< newest last, bounded
    std::map<pool_id, authority_entry> authority;
    std::map<engine_id, open_order> orders;
    std::map<engine_id, engine_goal> engine_goals; ///< the last goal that an order reached
    std::map<call_key, key_state> keys;
    std::map<engine_id, intent_mark> intent_marks;
    std::map<node_id, wall_time> stamps; ///< newest written_at of the last recorders of keys, bounded
    wall_time newest_stamp{}; ///< lower median of `stamps`, never back; ages keys the same way on every node

    // Derived from the above.
    std::deque<std::pair<wall_time, call_key>> key_ages; ///< oldest first
    std::uint64_t entries_hash = 0;                      ///< sum of the hashes of all entries above
};

/// What applying one record changed, for the node that reads it.
struct applied_change
{
    log_offset offset;
    std::string_view kind;
    std::optional<publish_result> publish; ///< a verdict was reached
    std::vector<pool_id> authority;        ///< these pools' authority changed hands or was renewed
    bool claimed_after_release = false;    ///< a claim took effect and nobody held the pool before
    std::optional<engine_id> order;        ///< this engine's order opened or closed
    std::vector<call_key> keys;            ///< recorded or finished
    bool effective = true;                 ///< false: the record lost a race or repeats an earlier one
};

/// Number of publish verdicts kept for duplicates and `show --history`.
inline constexpr std::size_t history_limit = 256;

/// Number of recorders whose clocks age the keys.
inline constexpr std::size_t stamp_limit = 15;
/// Number of former holders kept for one pool.
inline constexpr std::size_t former_limit = 16;

/// Checks a text and makes a fleet of it; a process with many replicas can share the fleets.
using fleet_parser =
    std::function<config::checked<config::fleet_ptr>(const std::string& text, unsigned schema)>;

/// The reader that parses each text. Thread safe.
[[nodiscard]] config::checked<config::fleet_ptr> parse_fleet_document(const std::string& text,
                                                                      unsigned schema);

/// Applies the record that follows `state.applied`. Deterministic. Records at or before `state.applied`
/// change nothing. Precondition: the records between were applied. Not thread safe for one state.
applied_change apply_record(agreed_state& state, const log_record& record,
                            const fleet_parser& parser = parse_fleet_document);

/// A hash over the whole state; equal states have equal hashes on every machine. Thread safe for a state that
/// nobody changes.
[[nodiscard]] std::uint64_t state_hash(const agreed_state& state);

/// The part of state_hash that apply_record keeps up to date, computed from scratch. Thread safe for a state
/// that nobody changes.
[[nodiscard]] std::uint64_t hash_entries(const agreed_state& state);

/// Writes the state as checkpoint records, each body at most `body_limit` bytes. Precondition: body_limit >
/// 0.
[[nodiscard]] std::vector<checkpoint_record> make_checkpoint(const agreed_state& state,
                                                             std::size_t body_limit);

/// Takes every pool's authority away from its holder at `offset`; whoever claims it waits as after a holder
/// that may still act. Used when records were lost.
void vacate_authority(agreed_state& state, log_offset offset);

/// Reads a state back from all parts of one checkpoint; fails when parts are missing or the hash differs.
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
