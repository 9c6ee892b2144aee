#include "currantspar/core/keyed_calls.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "currantspar/core/calls.hpp"
#include "currantspar/core/key_relay.hpp"
#include "currantspar/core/replies.hpp"
#include "currantspar/core/step.hpp"

namespace currantspar::core::keyed_calls {

namespace {

using agreement::call_outcome;
using agreement::key_state;

constexpr duration min_log_max_age = std::chrono::seconds(2);
constexpr int log_max_age_polls = 5;
constexpr unsigned max_failed_appends = 2;
constexpr duration retry_after = std::chrono::seconds(1);
/// Keys this close to the end of the key window are refused, because clocks may differ.
constexpr std::chrono::milliseconds window_margin = std::chrono::minutes(1);

call_key key_of(const call_arrived& arrived)
{
    return call_key(arrived.organisation.str() + "/" + arrived.service.str() + "/" + arrived.idempotency_key);
}

/// Returns the timestamp of a version 7 UUID; nothing for any other key.
std::optional<wall_time> time_of(const std::string& key)
{
    constexpr std::size_t uuid_length = 36;
    constexpr std::size_t version_at = 14;
    const bool uuid7 = key.size() == uuid_length && key[8] == '-' && key[13] == '-' && key[version_at] == '7';
    if (!uuid7) {
        return std::nullopt;
    }
    const std::string digits = key.substr(0, 8) + key.substr(9, 4);
    std::int64_t milliseconds = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), milliseconds, 16);
    if (parsed.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return wall_time(std::chrono::milliseconds(milliseconds));
}

/// True when the key may have been used so long ago that its outcome has been removed.
bool expired(const step_context& context, const call& request)
{
    const config::fleet_ptr& fleet = context.state.configuration.replica.state().fleet;
    const auto made = time_of(request.arrived.idempotency_key);
    return made && context.wall - *made > fleet->key_window - window_margin;
}

/// True when this node's view of the log is current and its appends succeed.
bool log_usable(const step_context& context)
{
    const configuration_state& log = context.state.configuration;
    const duration max_age = std::max(min_log_max_age, context.state.options.log_poll * log_max_age_polls);
    return log.failed_reads == 0 && context.now - log.last_read <= max_age && !log.replica.unverified() &&
           context.state.log_writer.failed <= max_failed_appends;
}

bool recorder_alive(const step_context& context, const key_state& recorded)
{
    if (recorded.process == context.state.options.process) {
        return true;
    }
    const auto& members = context.state.membership.members;
    const auto found = members.find(recorded.recorder);
    return found != members.end() && found->second.process == recorded.process &&
           found->second.health != member_health::gone;
}

const key_state* find_key(const step_context& context, const call_key& key)
{
    const auto& keys = context.state.configuration.replica.state().keys;
    const auto found = keys.find(key);
    return found == keys.end() ? nullptr : &found->second;
}

void stop_waiting(step_context& context, const call& request)
{
    auto& waiting = context.state.keyed_calls.waiting;
    const auto found = waiting.find(key_of(request.arrived));
    if (found == waiting.end()) {
        return;
    }
    std::erase(found->second, request.arrived.request);
    if (found->second.empty()) {
        waiting.erase(found);
    }
}

/// Ends a call that was never dispatched.
void end_waiting(step_context& context, call& request, request_outcome outcome, int status, const char* code,
                 duration wait = {})
{
    on_abandoned(context, request);
    calls::finish(context, request.arrived.request,
                  replies::failure(request.arrived.request, outcome, status, code, wait));
}

/// Ends a call whose key is repeated with the outcome that was recorded first.
void reply_recorded_outcome(step_context& context, call& request, const agreement::key_outcome_entry& outcome)
{
    if (outcome.outcome == call_outcome::unknown) {
        end_waiting(context, request, request_outcome::unknown, replies::status_conflict, "outcome_unknown");
        return;
    }
    reply_end reply;
    reply.request = request.arrived.request;
    reply.status = outcome.status;
    reply.content_type = outcome.content_type;
    reply.body = outcome.body;
    reply.code = outcome.body_kept ? "repeated" : "repeated_without_body";
    on_abandoned(context, request);
    calls::finish(context, request.arrived.request, std::move(reply));
}

void wait_for(step_context& context, call& request, key_stage stage)
{
    request.stage = stage;
    std::vector<request_id>& waiting = context.state.keyed_calls.waiting[key_of(request.arrived)];
    if (std::find(waiting.begin(), waiting.end(), request.arrived.request) == waiting.end()) {
        waiting.push_back(request.arrived.request);
    }
}

void record(step_context& context, call& request)
{
    wait_for(context, request, key_stage::recording);
    const call_arrived& arrived = request.arrived;
    context.state.keyed_calls.keys[arrived.request] = {
        {key_of(arrived), arrived.request_digest, arrived.request}, false, false, {}};
    key_relays::flush(context);
}

void add_outcome(step_context& context, const request_id& request, agreement::key_outcome_entry entry)
{
    entry.request = request;
    context.state.keyed_calls.outcomes[request] = {std::move(entry), false, false, {}};
    key_relays::flush(context);
}

/// Continues a waiting call according to its key's entry in the log.
void continue_with_recorded(step_context& context, call& request, const key_state& recorded)
{
    const bool own =
        recorded.request == request.arrived.request && recorded.process == context.state.options.process;
    if (own && !recorded.outcome) {
        stop_waiting(context, request);
        request.stage = key_stage::running;
        calls::dispatch(context, request);
    } else if (recorded.request_digest != request.arrived.request_digest) {
        end_waiting(context, request, request_outcome::not_run, replies::status_unprocessable, "key_reused");
    } else if (!recorded.outcome) {
        wait_for(context, request, key_stage::awaiting_outcome);
    } else if (recorded.outcome->outcome == call_outcome::not_run) {
        record(context, request);
    } else {
        reply_recorded_outcome(context, request, *recorded.outcome);
    }
}

/// Removes the unconfirmed entries that the log now contains, so that they are not sent again.
void confirm(step_context& context, const call_key& key, const key_state& recorded)
{
    keyed_call_state& state = context.state.keyed_calls;
    const bool is_not_run = recorded.outcome && recorded.outcome->outcome == call_outcome::not_run;
    std::erase_if(state.keys, [&](const auto& item) {
        const bool same_key = item.second.entry.key == key;
        return same_key && (!is_not_run || item.first == recorded.request);
    });
    if (recorded.outcome) {
        state.outcomes.erase(recorded.request);
    }
}

/// Handles a key of this process whose call was abandoned before it was dispatched. No other node may
/// dispatch that call, so its outcome is recorded as NOT RUN, which lets another request with the same key
/// run.
void record_abandoned_as_not_run(step_context& context, const call_key& key, const key_state& recorded)
{
    const bool own = recorded.process == context.state.options.process && !recorded.outcome;
    const bool is_active = context.state.requests.calls.contains(recorded.request);
    const bool known = context.state.keyed_calls.outcomes.contains(recorded.request);
    if (own && !is_active && !known) {
        agreement::key_outcome_entry entry;
        entry.key = key;
        entry.outcome = call_outcome::not_run;
        add_outcome(context, recorded.request, std::move(entry));
    }
}

void on_not_run_recorded(step_context& context, const key_state& recorded)
{
    const auto found = context.state.requests.calls.find(recorded.request);
    const bool outcome_recorded = recorded.outcome && found != context.state.requests.calls.end() &&
                                  found->second.stage == key_stage::recording_not_run;
    if (outcome_recorded) {
        calls::finish(context, recorded.request, found->second.not_run_reply);
    }
}

void on_stage_timeout(step_context& context, call& request)
{
    switch (request.stage) {
    case key_stage::recording:
        if (context.state.options.fault == injected_fault::given_up_dispatched) {
            context.emit(replies::failure(request.arrived.request, request_outcome::not_run,
                                          replies::status_unavailable, "key_unconfirmed", retry_after));
            request.stage_deadline = instant::max();
            return;
        }
        end_waiting(context, request, request_outcome::unknown, replies::status_unavailable,
                    "key_unconfirmed", retry_after);
        return;
    case key_stage::awaiting_outcome: {
        const key_state* recorded = find_key(context, key_of(request.arrived));
        const bool alive = recorded != nullptr && recorder_alive(context, *recorded);
        end_waiting(context, request, request_outcome::unknown, replies::status_conflict,
                    alive ? "in_progress" : "outcome_unknown", retry_after);
        return;
    }
    case key_stage::recording_not_run:
        calls::finish(context, request.arrived.request,
                      replies::failure(request.arrived.request, request_outcome::unknown,
                                       replies::status_unavailable, "key_unconfirmed", retry_after));
        return;
    case key_stage::none:
    case key_stage::running:
        return;
    }
}

} // namespace

void on_call(step_context& context, call& request)
{
    request.stage_deadline = context.now + context.state.options.key_wait;
    const call_key key = key_of(request.arrived);
    if (const key_state* recorded = find_key(context, key)) {
        continue_with_recorded(context, request, *recorded);
    } else if (expired(context, request)) {
        end_waiting(context, request, request_outcome::unknown, replies::status_conflict, "key_expired");
    } else if (!log_usable(context)) {
        end_waiting(context, request, request_outcome::unknown, replies::status_unavailable,
                    "log_unavailable", retry_after);
    } else {
        record(context, request);
    }
}

void on_change(step_context& context, const agreement::applied_change& change)
{
    for (const call_key& key : change.keys) {
        const key_state* found = find_key(context, key);
        if (found == nullptr) {
            continue;
        }
        const key_state recorded = *found;
        confirm(context, key, recorded);
        on_not_run_recorded(context, recorded);
        const auto waiting = context.state.keyed_calls.waiting.find(key);
        const std::vector<request_id> requests =
            waiting == context.state.keyed_calls.waiting.end() ? std::vector<request_id>() : waiting->second;
        for (const request_id& id : requests) {
            const auto request = context.state.requests.calls.find(id);
            if (request != context.state.requests.calls.end()) {
                continue_with_recorded(context, request->second, recorded);
            }
        }
        record_abandoned_as_not_run(context, key, recorded);
    }
}

void on_answered(step_context& context, const call& request, const attempt_ended& incoming)
{
    agreement::key_outcome_entry entry;
    entry.key = key_of(request.arrived);
    entry.outcome = call_outcome::answered;
    entry.status = incoming.status;
    entry.content_type = incoming.content_type;
    entry.body = incoming.body_kept ? incoming.body : std::string();
    entry.body_kept = incoming.body_kept;
    add_outcome(context, request.arrived.request, std::move(entry));
}

void on_unanswered(step_context& context, call& request, reply_end reply)
{
    agreement::key_outcome_entry entry;
    entry.key = key_of(request.arrived);
    const bool is_not_run = reply.outcome == request_outcome::not_run;
    entry.outcome = is_not_run ? call_outcome::not_run : call_outcome::unknown;
    const request_id id = request.arrived.request;
    if (is_not_run && !request.caller_disconnected) {
        request.stage = key_stage::recording_not_run;
        request.stage_deadline = context.now + context.state.options.settle_wait;
        request.not_run_reply = std::move(reply);
    } else {
        calls::finish(context, id, std::move(reply));
    }
    add_outcome(context, id, std::move(entry));
}

void on_abandoned(step_context& context, const call& request)
{
    stop_waiting(context, request);
    context.state.keyed_calls.keys.erase(request.arrived.request);
}

void on_tick(step_context& context)
{
    std::vector<request_id> timed_out;
    for (const auto& [id, request] : context.state.requests.calls) {
        const bool is_waiting = request.stage != key_stage::none && request.stage != key_stage::running;
        if (is_waiting && context.now >= request.stage_deadline) {
            timed_out.push_back(id);
        }
    }
    for (const request_id& id : timed_out) {
        on_stage_timeout(context, context.state.requests.calls.at(id));
    }
    key_relays::resend(context);
    key_relays::flush(context);
}

bool is_waiting_for_log(const node_state& state)
{
    return !state.keyed_calls.waiting.empty() || !state.keyed_calls.keys.empty();
}

} // namespace currantspar::core::keyed_calls
