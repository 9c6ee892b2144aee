#ifndef CURRANTSPAR_CORE_SCRIPTED_NODE_HPP
#define CURRANTSPAR_CORE_SCRIPTED_NODE_HPP

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "currantspar/core/reducer.hpp"
#include "currantspar/core/session.hpp"

namespace currantspar::core {

/// Options of the node under test.
inline core_options scripted_options()
{
    core_options options;
    options.self = node_id("10.0.0.1:8082");
    options.data_centre = data_centre_id("a");
    options.process = incarnation(7);
    return options;
}

/// A configuration with a model service `chat` on two engines and a plain service `orders` on two backend
/// servers.
inline const char* const scripted_configuration = R"({
  "name": "scripted", "key_salt": "salt", "data_centres": ["a"],
  "services": [
    {"name": "chat", "load": {"model": "m"}, "engines": [
      {"name": "e1", "address": "10.0.1.1:9000", "data_centre": "a"},
      {"name": "e2", "address": "10.0.1.2:9000", "data_centre": "a"}]},
    {"name": "orders", "kind": "plain", "path": "/orders",
     "calls": [{"method": "GET", "may_repeat": true},
               {"method": "POST", "path_prefix": "/strict", "require_key": true}],
     "backends": [
      {"name": "b1", "address": "10.0.2.1:9000", "data_centre": "a"},
      {"name": "b2", "address": "10.0.2.2:9000", "data_centre": "a"}]}],
  "organisations": [
    {"name": "abay", "key_hashes": ["0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"]},
    {"name": "other", "key_hashes": ["1123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"]}]
})";

/// Effects of one kind, in order.
template <typename Kind>
std::vector<Kind> effects_of(const effect_list& effects)
{
    std::vector<Kind> found;
    for (const effect& caused : effects) {
        if (const auto* match = std::get_if<Kind>(&caused)) {
            found.push_back(*match);
        }
    }
    return found;
}

/// A core that a test drives event by event, with the session recorded. The test supplies the results of
/// appends.
class scripted_node
{
public:
    explicit scripted_node(core_options options = scripted_options())
        : state_(options), now_(std::chrono::seconds(1))
    {
        recorded_.options = std::move(options);
    }

    /// Advances the clock without an event.
    void wait(duration time) { now_ += time; }

    /// Reduces one event at the current time and returns its effects.
    effect_list on(event_body body)
    {
        const wall_time wall(std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()));
        event incoming{now_, wall, std::move(body)};
        effect_list effects = reduce(state_, incoming);
        session_step step{std::move(incoming), {}};
        for (const effect& caused : effects) {
            step.effects.push_back(effect_line(caused));
        }
        recorded_.steps.push_back(std::move(step));
        return effects;
    }

    /// Advances the clock, then reduces one tick.
    effect_list tick_after(duration time)
    {
        wait(time);
        return on(tick{});
    }

    /// Delivers these records to the node as the next log read.
    effect_list on_records(std::vector<agreement::record_body> records)
    {
        log_read read;
        read.batch.first_retained = log_offset(1);
        for (agreement::record_body& record : records) {
            read.batch.records.push_back({log_offset(head_++), std::move(record)});
        }
        read.batch.head = log_offset(head_);
        return on(std::move(read));
    }

    /// Applies the scripted configuration and delivers a report of each engine.
    void configure()
    {
        agreement::publish_record record;
        record.id = publish_id("first");
        record.author = "operator";
        record.text = scripted_configuration;
        on_records({record});
        on_report("e1");
        on_report("e2");
    }

    /// Delivers a report of an engine of `chat`.
    effect_list on_report(const std::string& engine,
                          policy::engine_condition condition = policy::engine_condition::serving)
    {
        policy::engine_report report;
        report.engine = engine_id(engine);
        report.taken_at = engine_time(now_.time_since_epoch());
        report.condition = condition;
        report.load.model = "m";
        report.pieces_total = 1000;
        return on(report_received{report});
    }

    /// Completes an append successfully and delivers its records to the node.
    effect_list on_appended(const append_records& append)
    {
        on(append_finished{append.append, append_outcome::appended, log_offset(head_)});
        return on_records(append.records);
    }

    [[nodiscard]] node_state& state() { return state_; }
    [[nodiscard]] instant now() const { return now_; }
    [[nodiscard]] const session& recorded() const { return recorded_; }

private:
    node_state state_;
    instant now_;
    session recorded_;
    std::uint64_t head_ = 1;
};

/// A request to `chat` with a prompt of 40 tokens.
inline generate_arrived chat_request(const std::string& name, bool stream = true)
{
    generate_arrived arrived;
    arrived.request = request_id(name);
    arrived.organisation = organisation_id("abay");
    arrived.service = service_id("chat");
    arrived.prompt_tokens = 40;
    arrived.max_output = 4;
    arrived.stream = stream;
    arrived.engine_request = engine_request_id("secret-" + name);
    return arrived;
}

/// A booking call to `orders`.
inline call_arrived order_call(const std::string& name, const std::string& key = {},
                               const std::string& method = "POST")
{
    call_arrived arrived;
    arrived.request = request_id(name);
    arrived.organisation = organisation_id("abay");
    arrived.service = service_id("orders");
    arrived.method = method;
    arrived.path = "/bookings";
    arrived.idempotency_key = key;
    arrived.request_digest = key.empty() ? 0 : 11;
    return arrived;
}

/// Tokens as sent by the attempt's engine.
inline attempt_tokens tokens_of(const start_generation& start, std::uint32_t position,
                                std::vector<std::string> tokens)
{
    return {start.attempt, start.engine_request, position, std::move(tokens)};
}

/// End of an attempt on an engine.
inline attempt_ended end_of(const start_generation& start, attempt_result how, std::uint32_t total = 0)
{
    attempt_ended ended;
    ended.attempt = start.attempt;
    ended.engine_request = start.engine_request;
    ended.how = how;
    ended.total_tokens = total;
    ended.finish_reason = how == attempt_result::complete ? "stop" : "";
    return ended;
}

/// End of an attempt on a backend server.
inline attempt_ended end_of(const start_call& start, attempt_result how)
{
    attempt_ended ended;
    ended.attempt = start.attempt;
    ended.how = how;
    ended.status = how == attempt_result::complete ? 201 : 0;
    if (start.keep_body && how == attempt_result::complete) {
        ended.content_type = "application/json";
        ended.body = R"({"booking":1})";
    }
    return ended;
}

} // namespace currantspar::core

#endif
