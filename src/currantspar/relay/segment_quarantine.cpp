#include "currantspar/relay/segment_quarantine.hpp"

#include <algorithm>

namespace currantspar::relay {

namespace {

/// Lost requests stay in full reports for this long, which repairs lost datagrams.
constexpr duration report_time = std::chrono::seconds(10);
/// Between two reports of completions with the same segment.
constexpr duration completion_report_period = std::chrono::milliseconds(500);
constexpr duration purge_period = std::chrono::seconds(5);
/// A larger age in a peer's report is taken for an error.
constexpr duration max_age = std::chrono::hours(24 * 30);

duration age(instant since, instant now)
{
    return std::max(duration{}, std::chrono::duration_cast<duration>(now - since));
}

instant before(instant now, duration age)
{
    return now - std::clamp(age, duration{}, max_age);
}

} // namespace

std::vector<segment_id> shared_segments(const request_info& request)
{
    std::vector<segment_id> shared;
    for (std::size_t index = 0; index + 1 < request.segments.size(); ++index) {
        shared.push_back(request.segments[index].id);
    }
    return shared;
}

void segment_quarantine::on_crash(const std::vector<lost_request>& lost, instant now)
{
    for (const lost_request& each : lost) {
        if (add_evidence(each, true, now)) {
            new_lost_.push_back(evidence_.back());
        }
    }
    for (const lost_request& each : lost) {
        evaluate(each, now);
    }
}

bool segment_quarantine::add_evidence(const lost_request& lost, bool own, instant now)
{
    const bool known = std::any_of(evidence_.begin(), evidence_.end(), [&](const evidence& each) {
        return each.lost.request_id == lost.request_id && each.lost.engine == lost.engine &&
               each.lost.engine_started_ms == lost.engine_started_ms;
    });
    if (known || lost.segments.empty() || lost.since_crash > options_.evidence_ttl) {
        return false;
    }
    if (evidence_.size() >= options_.max_lost_requests) {
        evidence_.pop_front();
    }
    evidence added{lost, before(now, lost.since_sent), before(now, lost.since_crash), own};
    added.lost.segments = last_segments(lost);
    suspects_.insert(added.lost.segments.begin(), added.lost.segments.end());
    evidence_.push_back(std::move(added));
    return true;
}

std::vector<segment_id> segment_quarantine::last_segments(const lost_request& lost) const
{
    const std::size_t count = std::min(lost.segments.size(), options_.max_segments_per_request);
    return {lost.segments.end() - static_cast<std::ptrdiff_t>(count), lost.segments.end()};
}

void segment_quarantine::evaluate(const lost_request& lost, instant now)
{
    const std::vector<segment_id> segments = last_segments(lost);
    // The last segments first: fewer other requests have them, so a wrong belief does less harm.
    for (auto segment = segments.rbegin(); segment != segments.rend(); ++segment) {
        if (quarantined_.contains(*segment)) {
            return;
        }
        const crashes counted = successive_crashes(*segment);
        if (is_sufficient(counted, *segment)) {
            start(*segment, counted, now);
            return;
        }
    }
}

bool segment_quarantine::is_sufficient(const crashes& counted, segment_id segment) const
{
    const unsigned needed =
        completed_.contains(segment) ? options_.crashes_if_completed_before : options_.crashes_to_quarantine;
    // While no request at all completes, the engines fail for another reason.
    return counted.size() >= needed && last_completion_ > counted.front()->crashed &&
           !later_segment_recurs(counted, segment);
}

bool segment_quarantine::later_segment_recurs(const crashes& counted, segment_id segment) const
{
    std::set<segment_id> later;
    for (const evidence* each : counted) {
        const auto& segments = each->lost.segments;
        const auto at = std::find(segments.begin(), segments.end(), segment);
        for (auto next = std::next(at); next < segments.end(); ++next) {
            const bool is_sound = completed_.contains(*next);
            if (*next != segment && !is_sound && !later.insert(*next).second) {
                return true;
            }
        }
    }
    return false;
}

segment_quarantine::crashes segment_quarantine::successive_crashes(segment_id segment) const
{
    const auto completed = completed_.find(segment);
    const std::set<crash_id> explained = crashes_explained_by_others(segment);
    crashes candidates;
    for (const evidence& each : evidence_) {
        const auto& segments = each.lost.segments;
        const bool has_segment = std::find(segments.begin(), segments.end(), segment) != segments.end();
        const bool refuted = completed != completed_.end() && completed->second.at >= each.crashed;
        if (has_segment && !refuted && !explained.contains({each.lost.engine, each.lost.engine_started_ms})) {
            candidates.push_back(&each);
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const evidence* one, const evidence* other) { return one->crashed < other->crashed; });
    crashes counted;
    for (const evidence* each : candidates) {
        if (counted.empty() || each->sent > counted.back()->crashed) {
            counted.push_back(each);
        }
    }
    return counted;
}

std::set<segment_quarantine::crash_id>
segment_quarantine::crashes_explained_by_others(segment_id segment) const
{
    std::set<crash_id> explained;
    for (const evidence& each : evidence_) {
        if (has_quarantined(each.lost, segment)) {
            explained.emplace(each.lost.engine, each.lost.engine_started_ms);
        }
    }
    return explained;
}

bool segment_quarantine::has_quarantined(const lost_request& lost, segment_id except) const
{
    return !quarantined_.empty() &&
           std::any_of(lost.segments.begin(), lost.segments.end(), [&](segment_id segment) {
               return segment != except && quarantined_.contains(segment);
           });
}

void segment_quarantine::start(segment_id segment, const crashes& counted, instant now)
{
    if (quarantined_.size() >= options_.max_quarantined) {
        const auto first_due = std::min_element(
            quarantined_.begin(), quarantined_.end(),
            [](const auto& one, const auto& other) { return one.second.until < other.second.until; });
        note_change(quarantine_change::kind::ended, describe(first_due->first, first_due->second, now), {});
        quarantined_.erase(first_due);
    }
    const quarantine state{0, now, now + trial_delay(0)};
    quarantined_.emplace(segment, state);
    new_quarantined_.insert(segment);
    note_change(quarantine_change::kind::started, describe(segment, state, now), {});
    for (const evidence* each : counted) {
        changes_.back().engines.push_back(each->lost.engine.str());
        changes_.back().requests.push_back(each->lost.request_id);
    }
}

void segment_quarantine::on_completed(const request_info& request, instant now)
{
    last_completion_ = now;
    for (const segment_id segment : shared_segments(request)) {
        record_completion(segment, now, {}, now);
    }
}

void segment_quarantine::record_completion(segment_id segment, instant at, const std::string& source,
                                           instant now)
{
    const auto found = quarantined_.find(segment);
    const bool ends = found != quarantined_.end() && at > found->second.began;
    const bool relevant = ends || suspects_.contains(segment);
    if (!relevant && !completed_.contains(segment) && completed_.size() >= options_.max_completions) {
        return;
    }
    completion& known = completed_[segment];
    known.at = std::max(known.at, at);
    if (ends) {
        note_change(quarantine_change::kind::ended, describe(segment, found->second, now), source);
        quarantined_.erase(found);
        suspects_.insert(segment);
    }
    if (source.empty() && relevant && (ends || now - known.reported > completion_report_period)) {
        known.reported = now;
        new_completed_.insert(segment);
    }
}

void segment_quarantine::on_peer_report(const std::string& peer, const quarantine_report& report, instant now)
{
    for (const auto& [segment, since] : report.completed) {
        record_completion(segment, before(now, since), peer, now);
    }
    for (const lost_request& lost : report.lost) {
        if (!add_evidence(lost, false, now)) {
            continue;
        }
        for (const segment_id segment : evidence_.back().lost.segments) {
            // The peers may not know that the segment is sound.
            if (completed_.contains(segment)) {
                new_completed_.insert(segment);
            }
        }
    }
    for (const quarantined_segment& reported : report.quarantined) {
        adopt(reported, peer, now);
    }
    for (const lost_request& lost : report.lost) {
        evaluate(lost, now);
    }
}

void segment_quarantine::adopt(const quarantined_segment& reported, const std::string& peer, instant now)
{
    const instant began = before(now, reported.age);
    const auto completed = completed_.find(reported.segment);
    if (completed != completed_.end() && completed->second.at > began) {
        new_completed_.insert(reported.segment);
        return;
    }
    const auto known = quarantined_.find(reported.segment);
    const bool is_new = known == quarantined_.end();
    // With as many trials the own times stay: each exchange would add the datagram's delay to them.
    if ((is_new && quarantined_.size() >= options_.max_quarantined) ||
        (!is_new && known->second.trials >= reported.trials)) {
        return;
    }
    const unsigned trials = std::min(reported.trials, options_.max_counted_trials);
    const quarantine state{trials, is_new ? began : known->second.began,
                           now + std::clamp(reported.remaining, duration{}, trial_delay(trials))};
    quarantined_.insert_or_assign(reported.segment, state);
    note_change(is_new ? quarantine_change::kind::started : quarantine_change::kind::trial,
                describe(reported.segment, state, now), peer);
}

quarantine_verdict segment_quarantine::check(const request_info& request, instant now)
{
    quarantine_verdict verdict;
    if (quarantined_.empty()) {
        return verdict;
    }
    std::vector<segment_id> due_segments;
    for (const segment_id segment : shared_segments(request)) {
        const auto found = quarantined_.find(segment);
        if (found == quarantined_.end()) {
            continue;
        }
        if (now >= due(found->second)) {
            due_segments.push_back(segment);
            continue;
        }
        const quarantined_segment state = describe(segment, found->second, now);
        if (!verdict.refused || state.remaining > verdict.refused->remaining) {
            verdict.refused = state;
        }
    }
    if (verdict.refused) {
        return verdict;
    }
    for (const segment_id segment : due_segments) {
        start_trial(segment, now);
        verdict.trial = true;
    }
    return verdict;
}

void segment_quarantine::start_trial(segment_id segment, instant now)
{
    // The next trial is set at once, so that no other node starts one whatever becomes of this one.
    quarantine& state = quarantined_.at(segment);
    state.trials = std::min(state.trials + 1, options_.max_counted_trials);
    state.until = now + trial_delay(state.trials);
    new_quarantined_.insert(segment);
    note_change(quarantine_change::kind::trial, describe(segment, state, now), {});
}

duration segment_quarantine::trial_delay(unsigned trials) const
{
    duration delay = options_.first_quarantine;
    for (unsigned step = 0; step < trials; ++step) {
        delay *= options_.quarantine_growth;
    }
    return delay;
}

instant segment_quarantine::due(const quarantine& state) const
{
    return state.until + options_.trial_stagger * static_cast<std::int64_t>(rank_);
}

quarantined_segment segment_quarantine::describe(segment_id segment, const quarantine& state,
                                                 instant now) const
{
    return {segment, state.trials, age(state.began, now),
            std::chrono::duration_cast<duration>(std::max(due(state) - now, monotonic_clock::duration{}))};
}

void segment_quarantine::note_change(quarantine_change::kind what, const quarantined_segment& state,
                                     std::string source)
{
    changes_.push_back({what, state.segment, state.trials, state.remaining, std::move(source), {}, {}});
}

quarantine_report segment_quarantine::make_report(bool full, instant now)
{
    quarantine_report report;
    const auto add_lost = [&](const evidence& each) {
        if (report.lost.size() < options_.max_reported) {
            report.lost.push_back(each.lost);
            report.lost.back().since_sent = age(each.sent, now);
            report.lost.back().since_crash = age(each.crashed, now);
        }
    };
    const auto add_completed = [&](segment_id segment) {
        const auto found = completed_.find(segment);
        if (found != completed_.end() && report.completed.size() < options_.max_reported) {
            report.completed.emplace(segment, age(found->second.at, now));
        }
    };
    if (full) {
        for (auto each = evidence_.rbegin(); each != evidence_.rend(); ++each) {
            if (each->own && now - each->crashed < report_time) {
                add_lost(*each);
            }
        }
        std::for_each(suspects_.begin(), suspects_.end(), add_completed);
    } else {
        std::for_each(new_lost_.begin(), new_lost_.end(), add_lost);
        std::for_each(new_completed_.begin(), new_completed_.end(), add_completed);
    }
    for (const auto& [segment, state] : quarantined_) {
        if (full || new_quarantined_.contains(segment)) {
            report.quarantined.push_back(describe(segment, state, now));
            // A peer adds the wait for its own turn.
            report.quarantined.back().remaining =
                std::max(duration{}, report.quarantined.back().remaining -
                                         options_.trial_stagger * static_cast<std::int64_t>(rank_));
        }
    }
    new_lost_.clear();
    new_completed_.clear();
    new_quarantined_.clear();
    return report;
}

std::vector<quarantine_change> segment_quarantine::take_changes()
{
    return std::exchange(changes_, {});
}

void segment_quarantine::on_tick(instant now)
{
    if (now >= purge_due_) {
        purge_due_ = now + purge_period;
        remove_expired(now);
    }
}

void segment_quarantine::remove_expired(instant now)
{
    std::erase_if(evidence_,
                  [&](const evidence& each) { return now - each.crashed > options_.evidence_ttl; });
    std::erase_if(completed_,
                  [&](const auto& each) { return now - each.second.at > options_.completion_ttl; });
    suspects_.clear();
    for (const evidence& each : evidence_) {
        suspects_.insert(each.lost.segments.begin(), each.lost.segments.end());
    }
    for (auto each = quarantined_.begin(); each != quarantined_.end();) {
        const bool forgotten = now > each->second.until + options_.forget_after;
        if (forgotten) {
            note_change(quarantine_change::kind::ended, describe(each->first, each->second, now), {});
        }
        each = forgotten ? quarantined_.erase(each) : std::next(each);
    }
}

} // namespace currantspar::relay
