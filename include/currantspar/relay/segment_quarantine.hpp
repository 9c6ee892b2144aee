#ifndef CURRANTSPAR_RELAY_SEGMENT_QUARANTINE_HPP
#define CURRANTSPAR_RELAY_SEGMENT_QUARANTINE_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "currantspar/relay/model.hpp"

namespace currantspar::relay {

/// Identifies a segment of prompts; requests with the same id share its KV cache.
using segment_id = std::uint64_t;

/// A request that was lost when the engine that had it crashed. Times are ages, so that a report can be sent
/// to other nodes.
struct lost_request
{
    std::string request_id;
    backend_id engine;
    std::int64_t engine_started_ms = 0; ///< tells an engine's incarnations apart
    duration since_sent{};
    duration since_crash{};
    std::vector<segment_id> segments; ///< those that other requests may share
};

/// Requests with this segment are refused.
struct quarantined_segment
{
    segment_id segment = 0;
    unsigned trials = 0;  ///< number of trials so far
    duration age{};       ///< of the quarantine
    duration remaining{}; ///< until the next trial
};

/// What nodes tell each other about crashes; ages and times count from the moment of sending.
struct quarantine_report
{
    std::vector<lost_request> lost;
    std::map<segment_id, duration> completed; ///< time since the last complete response to such a request
    std::vector<quarantined_segment> quarantined;

    [[nodiscard]] bool empty() const { return lost.empty() && completed.empty() && quarantined.empty(); }
};

/// Whether a request may be sent.
struct quarantine_verdict
{
    std::optional<quarantined_segment> refused; ///< the segment because of which it may not
    bool trial = false; ///< it is let through to find out whether it still crashes engines
};

/// A change of what this node believes about a segment, for the log.
struct quarantine_change
{
    enum class kind
    {
        started,
        trial, ///< one request with the segment is let through
        ended,
    };

    kind what = kind::started;
    segment_id segment = 0;
    unsigned trials = 0;
    duration remaining{};
    std::string source;                ///< the peer that reported it; empty: this node
    std::vector<std::string> engines;  ///< that crashed
    std::vector<std::string> requests; ///< that had the segment when they did
};

struct segment_quarantine_options
{
    unsigned crashes_to_quarantine = 3;
    /// For a segment that other requests completed with before: it is probably sound.
    unsigned crashes_if_completed_before = 6;
    duration evidence_ttl = std::chrono::seconds(30);
    duration completion_ttl = std::chrono::seconds(60);
    duration first_quarantine = std::chrono::seconds(60);
    unsigned quarantine_growth = 8; ///< factor of the time from one trial to the next
    unsigned max_counted_trials = 5;
    duration trial_stagger = std::chrono::seconds(1); ///< by which each further node waits with a trial
    duration forget_after = std::chrono::minutes(10); ///< a due trial that no request comes for
    std::size_t max_lost_requests = 512;
    std::size_t max_quarantined = 64;
    std::size_t max_completions = 4096;
    std::size_t max_segments_per_request = 16;
    std::size_t max_reported = 32; ///< lost requests, and completions, in one report
};

/// Finds prompt segments that crash every engine which starts to generate from them ("queries of death"), and
/// refuses requests that have one.
///
/// A segment is quarantined after several engines crashed one after the other while they had a request with
/// it, and no such request was completed in between. Crashes that overlap count once: what hits many engines
/// at the same time isn't caused by one request. A crash that a quarantined segment explains counts against
/// no other segment. Nodes share lost requests, completions and quarantines, so each comes to the same
/// belief. A quarantine ends when a request with the segment completes; to find out, one request is let
/// through after first_quarantine, then after ever longer times. Not thread safe.
class segment_quarantine
{
public:
    explicit segment_quarantine(segment_quarantine_options options = {}) : options_(options) {}

    /// An engine crashed while it had these requests; `since_*` count from `now`.
    void on_crash(const std::vector<lost_request>& lost, instant now);
    /// A request was answered completely.
    void on_completed(const request_info& request, instant now);
    /// A peer sent a report; one that is repeated, late or out of order does no harm.
    void on_peer_report(const std::string& peer, const quarantine_report& report, instant now);
    /// Sets this node's place among the live nodes, by which they take turns with trials.
    void set_rank(std::size_t rank) { rank_ = rank; }

    /// Decides whether `request` may be sent. Starts a trial with it when one is due at this node.
    [[nodiscard]] quarantine_verdict check(const request_info& request, instant now);

    /// Returns what peers have to know: everything if `full`, otherwise what is new since the last call.
    [[nodiscard]] quarantine_report make_report(bool full, instant now);
    /// Returns the changes since the last call.
    [[nodiscard]] std::vector<quarantine_change> take_changes();
    /// Discards what has expired.
    void on_tick(instant now);

    /// Returns the number of quarantined segments.
    [[nodiscard]] std::size_t size() const { return quarantined_.size(); }

private:
    struct evidence
    {
        lost_request lost; ///< its ages are unused
        instant sent{};
        instant crashed{};
        bool own = false; ///< seen by this node
    };
    struct quarantine
    {
        unsigned trials = 0;
        instant began{};
        instant until{};
    };
    struct completion
    {
        instant at{};
        instant reported{}; ///< when it was last marked as news for the peers
    };
    /// An engine and its start.
    using crash_id = std::pair<backend_id, std::int64_t>;
    using crashes = std::vector<const evidence*>;

    /// Returns whether the lost request wasn't known yet.
    bool add_evidence(const lost_request& lost, bool own, instant now);
    /// Returns the most specific segments, as many as are considered.
    [[nodiscard]] std::vector<segment_id> last_segments(const lost_request& lost) const;
    /// Quarantines a segment of the request if there is enough evidence against it.
    void evaluate(const lost_request& lost, instant now);
    [[nodiscard]] bool is_sufficient(const crashes& counted, segment_id segment) const;
    /// Returns whether a later segment is in several of the lost requests, and may be the cause instead.
    [[nodiscard]] bool later_segment_recurs(const crashes& counted, segment_id segment) const;
    /// Returns the lost requests that count against a segment, one for each crash that followed the last.
    [[nodiscard]] crashes successive_crashes(segment_id segment) const;
    /// Returns the crashes in which a request with another, quarantined segment was lost.
    [[nodiscard]] std::set<crash_id> crashes_explained_by_others(segment_id segment) const;
    [[nodiscard]] bool has_quarantined(const lost_request& lost, segment_id except) const;
    void start(segment_id segment, const crashes& counted, instant now);
    void start_trial(segment_id segment, instant now);
    void adopt(const quarantined_segment& reported, const std::string& peer, instant now);
    void record_completion(segment_id segment, instant at, const std::string& source, instant now);
    [[nodiscard]] duration trial_delay(unsigned trials) const;
    [[nodiscard]] instant due(const quarantine& state) const;
    [[nodiscard]] quarantined_segment describe(segment_id segment, const quarantine& state,
                                               instant now) const;
    void note_change(quarantine_change::kind what, const quarantined_segment& state, std::string source);
    void remove_expired(instant now);

    segment_quarantine_options options_;
    std::size_t rank_ = 0;
    std::deque<evidence> evidence_;
    std::set<segment_id> suspects_; ///< the segments of evidence_
    std::unordered_map<segment_id, completion> completed_;
    instant last_completion_{}; ///< of any request
    std::map<segment_id, quarantine> quarantined_;
    std::vector<quarantine_change> changes_;
    std::vector<evidence> new_lost_;
    std::set<segment_id> new_completed_;
    std::set<segment_id> new_quarantined_;
    instant purge_due_{};
};

/// Returns the segments of a prompt that other requests may have; the last one belongs to the request. Thread
/// safe.
[[nodiscard]] std::vector<segment_id> shared_segments(const request_info& request);

} // namespace currantspar::relay

#endif
