#include "currantspar/core/reducer.hpp"

#include <array>
#include <utility>

#include "currantspar/core/step.hpp"

namespace currantspar::core {

namespace {

/// Dispatches each kind of event to the modules that handle it, in a fixed order.
class event_dispatch
{
public:
    explicit event_dispatch(step_context& context) : context_(context) {}

    void on_tick(const event_body&)
    {
        configuration::on_tick(context_);
        membership::on_tick(context_);
        authority::on_tick(context_);
        reports::on_tick(context_);
        routing::on_tick(context_);
        roles::on_tick(context_);
        orders::on_tick(context_);
        keyed_calls::on_tick(context_);
        requests::on_tick(context_);
        ledger::on_tick(context_);
        lifecycle::on_tick(context_);
        log_writer::on_tick(context_);
    }
    void on_log_read(const event_body& body)
    {
        configuration::on_log_read(context_, std::get<log_read>(body));
    }
    void on_log_read_failed(const event_body& body)
    {
        configuration::on_log_read_failed(context_, std::get<log_read_failed>(body));
    }
    void on_append_finished(const event_body& body)
    {
        log_writer::on_append_finished(context_, std::get<append_finished>(body));
    }
    void on_vm_list(const event_body& body)
    {
        membership::on_vm_list(context_, std::get<vm_list_read>(body));
    }
    void on_vm_list_failed(const event_body& body)
    {
        membership::on_vm_list_failed(context_, std::get<vm_list_failed>(body));
    }
    void on_stop(const event_body&) { lifecycle::on_stop(context_); }
    void on_report(const event_body& body) { reports::on_report(context_, std::get<report_received>(body)); }
    void on_report_failed(const event_body& body)
    {
        reports::on_report_failed(context_, std::get<report_failed>(body));
    }
    void on_cache_events(const event_body& body)
    {
        reports::on_cache_events(context_, std::get<cache_events_received>(body));
    }
    void on_state_read(const event_body& body)
    {
        orders::on_state_read(context_, std::get<engine_state_read>(body));
    }
    void on_state_failed(const event_body& body)
    {
        orders::on_state_failed(context_, std::get<engine_state_failed>(body));
    }
    void on_order_answered(const event_body& body)
    {
        orders::on_order_answered(context_, std::get<order_answered>(body));
    }
    void on_peer(const event_body& body);
    void on_unreachable(const event_body& body)
    {
        membership::on_unreachable(context_, std::get<peer_unreachable>(body));
    }
    void on_generate(const event_body& body)
    {
        requests::on_generate(context_, std::get<generate_arrived>(body));
    }
    void on_resumed(const event_body& body)
    {
        requests::on_resumed(context_, std::get<stream_resumed>(body));
    }
    void on_call(const event_body& body) { requests::on_call(context_, std::get<call_arrived>(body)); }
    void on_caller_gone(const event_body& body)
    {
        requests::on_caller_gone(context_, std::get<caller_gone>(body));
    }
    void on_written(const event_body& body)
    {
        requests::on_written(context_, std::get<attempt_written>(body));
    }
    void on_accepted(const event_body& body)
    {
        routing::on_attempt_accepted(context_, std::get<attempt_accepted>(body).attempt);
        requests::on_accepted(context_, std::get<attempt_accepted>(body));
    }
    void on_tokens(const event_body& body) { requests::on_tokens(context_, std::get<attempt_tokens>(body)); }
    void on_head(const event_body& body) { requests::on_head(context_, std::get<answer_head>(body)); }
    void on_ended(const event_body& body) { requests::on_ended(context_, std::get<attempt_ended>(body)); }
    void on_kv_moved(const event_body& body) { requests::on_kv_moved(context_, std::get<kv_moved>(body)); }

private:
    step_context& context_;
};

/// Dispatches each kind of peer message to the module that handles it.
class peer_dispatch
{
public:
    peer_dispatch(step_context& context, const peer_received& from) : context_(context), from_(from) {}

    void operator()(const probe& message) const { membership::on_probe(context_, from_, message); }
    void operator()(const probe_answer& message) const
    {
        membership::on_probe_answer(context_, from_, message);
    }
    void operator()(const pool_routing_view& message) const { routing::on_view(context_, from_, message); }
    void operator()(const routing_view_ack& message) const { orders::on_view_ack(context_, from_, message); }
    void operator()(const load_digest& message) const { reports::on_digest(context_, from_, message); }
    void operator()(const checkpoint_request&) const
    {
        configuration::on_checkpoint_request(context_, from_);
    }
    void operator()(const checkpoint_answer& message) const
    {
        configuration::on_checkpoint_answer(context_, from_, message);
    }
    void operator()(const key_relay& message) const { keyed_calls::on_relay(context_, from_, message); }

private:
    step_context& context_;
    const peer_received& from_;
};

void event_dispatch::on_peer(const event_body& body)
{
    const auto& from = std::get<peer_received>(body);
    membership::on_message(context_, from);
    std::visit(peer_dispatch(context_, from), from.message);
}

using handler = void (event_dispatch::*)(const event_body&);

/// One handler for each alternative of event_body, in the order of the variant.
constexpr std::array<handler, std::variant_size_v<event_body>> handlers = {
    &event_dispatch::on_tick,
    &event_dispatch::on_log_read,
    &event_dispatch::on_log_read_failed,
    &event_dispatch::on_append_finished,
    &event_dispatch::on_vm_list,
    &event_dispatch::on_vm_list_failed,
    &event_dispatch::on_stop,
    &event_dispatch::on_report,
    &event_dispatch::on_report_failed,
    &event_dispatch::on_cache_events,
    &event_dispatch::on_state_read,
    &event_dispatch::on_state_failed,
    &event_dispatch::on_order_answered,
    &event_dispatch::on_peer,
    &event_dispatch::on_unreachable,
    &event_dispatch::on_generate,
    &event_dispatch::on_resumed,
    &event_dispatch::on_call,
    &event_dispatch::on_caller_gone,
    &event_dispatch::on_written,
    &event_dispatch::on_accepted,
    &event_dispatch::on_tokens,
    &event_dispatch::on_head,
    &event_dispatch::on_ended,
    &event_dispatch::on_kv_moved,
};

} // namespace

effect_list reduce(node_state& state, const event& incoming)
{
    effect_list effects;
    step_context context{state, incoming.at, incoming.wall, effects};
    event_dispatch target(context);
    (target.*handlers[incoming.body.index()])(incoming.body);
    reports::send_delta_digest(context);
    return effects;
}

} // namespace currantspar::core
