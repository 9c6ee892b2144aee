#include <algorithm>

#include "currantspar/standin/engine_model.hpp"

namespace currantspar::standin {

namespace {

constexpr std::size_t cache_events_kept = 8192;

} // namespace

core::order_answer engine_model::order(order_id id, fence held, const agreement::engine_goal& goal,
                                       instant now)
{
    run_until(now);
    if (down(now)) {
        return core::order_answer::unknown;
    }
    if (options_.checks_fence && held < highest_fence_) {
        return core::order_answer::refused_fence;
    }
    if (id == last_order_) {
        return core::order_answer::accepted;
    }
    if (changing_ || (options_.refuses_when_busy && !sequences_.empty())) {
        return core::order_answer::refused_busy;
    }
    if (held < highest_fence_) {
        requests_cut_ += 1;
    }
    highest_fence_ = std::max(highest_fence_, held);
    last_order_ = id;
    const bool nothing_to_do = settled_ && goal == options_.goal;
    drop_all();
    note_cache_changes(now);
    target_ = goal;
    changing_ = true;
    change_end_ = nothing_to_do ? now : now + options_.change_time;
    accepted_orders_.push_back({id, held, goal, now, change_end_});
    run_until(now);
    return core::order_answer::accepted;
}

void engine_model::end_change()
{
    changing_ = false;
    settled_ = true;
    options_.goal = target_;
}

policy::engine_condition engine_model::condition() const
{
    if (changing_) {
        return policy::engine_condition::changing;
    }
    if (!settled_) {
        return policy::engine_condition::unknown;
    }
    return leaving_ ? policy::engine_condition::leaving : policy::engine_condition::serving;
}

core::engine_state engine_model::state(instant now)
{
    run_until(now);
    core::engine_state answer;
    answer.engine = options_.id;
    answer.now = clock(now);
    answer.condition = condition();
    answer.goal = changing_ ? target_ : options_.goal;
    answer.last_order = last_order_;
    answer.highest_fence = options_.checks_fence ? highest_fence_ : fence{};
    answer.boot = boot_;
    answer.in_flight = static_cast<std::uint32_t>(sequences_.size());
    return answer;
}

engine_time engine_model::clock(instant now) const
{
    return engine_time(now.time_since_epoch() + options_.clock_offset);
}

policy::engine_report engine_model::make_report(instant at) const
{
    policy::engine_report made;
    made.engine = options_.id;
    made.taken_at = clock(at);
    made.condition = condition();
    made.role = options_.goal.role;
    made.load = options_.goal.load;
    made.running = static_cast<std::uint32_t>(prefilling_.size() + decoding_.size());
    made.queued = static_cast<std::uint32_t>(queue_.size());
    for (const sequence* entry : queue_) {
        made.prefill_tokens_left += entry->prefill_left;
    }
    for (const sequence* entry : prefilling_) {
        made.prefill_tokens_left += entry->prefill_left;
    }
    made.pieces_used = memory_.used();
    made.pieces_total = memory_.total();
    made.prefill_tokens_total = prefill_total_;
    made.decode_tokens_total = decode_total_;
    return made;
}

void engine_model::take_report(instant at)
{
    report_due_ = at + options_.report_every;
    if (down(at) || paused(at)) {
        return;
    }
    reports_.emplace_back(at, make_report(at));
    while (reports_.size() > 2 && reports_[1].first + options_.report_lag <= at) {
        reports_.pop_front();
    }
}

policy::engine_report engine_model::report(instant now)
{
    run_until(now);
    const auto shown = std::find_if(reports_.rbegin(), reports_.rend(), [&](const auto& entry) {
        return entry.first + options_.report_lag <= now;
    });
    return shown == reports_.rend() ? reports_.front().second : shown->second;
}

void engine_model::note_cache_changes(instant at)
{
    for (const policy::cache_event_batch::change& change : memory_.take_changes()) {
        const std::uint64_t number = next_cache_event_++;
        if (!losing_cache_events_) {
            cache_events_.push_back({number, at, change});
        }
    }
    while (cache_events_.size() > cache_events_kept) {
        cache_events_.pop_front();
    }
}

policy::cache_event_batch engine_model::cache_events(std::uint64_t from_sequence, instant now)
{
    run_until(now);
    policy::cache_event_batch batch;
    batch.engine = options_.id;
    batch.first_sequence = from_sequence;
    auto entry =
        std::lower_bound(cache_events_.begin(), cache_events_.end(), from_sequence,
                         [](const cache_event& left, std::uint64_t right) { return left.number < right; });
    if (entry == cache_events_.end()) {
        return batch;
    }
    batch.first_sequence = entry->number;
    std::uint64_t expected = entry->number;
    for (; entry != cache_events_.end() && entry->number == expected; ++entry, ++expected) {
        if (entry->at + options_.report_lag > now) {
            break;
        }
        batch.changes.push_back(entry->change);
    }
    if (batch.changes.empty()) {
        batch.first_sequence = from_sequence;
    }
    return batch;
}

void engine_model::crash(instant now, duration down_for)
{
    run_until(now);
    const std::uint64_t cut = requests_cut_;
    drop_all();
    requests_cut_ = cut;
    (void)memory_.take_changes();
    cache_events_.clear();
    next_cache_event_ += 1;
    finished_.clear();
    outputs_.clear();
    if (changing_ && change_end_ - now < options_.change_time / 2) {
        options_.goal = target_;
    }
    changing_ = false;
    settled_ = false;
    boot_ += 1;
    prefill_total_ = 0;
    decode_total_ = 0;
    down_until_ = std::max(down_until_, now + down_for);
}

void engine_model::pause(instant now, duration for_time)
{
    run_until(now);
    paused_until_ = std::max(paused_until_, now + for_time);
    step_end_ += for_time;
    change_end_ += for_time;
}

void engine_model::set_speed(double speed, instant now)
{
    run_until(now);
    options_.speed = speed;
}

} // namespace currantspar::standin
