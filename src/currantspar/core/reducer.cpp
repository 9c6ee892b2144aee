#include "currantspar/core/reducer.hpp"

#include <array>
#include <utility>

#include "currantspar/core/step.hpp"

namespace currantspar::core {

namespace {

/// Hands each kind of event to the concerns that want it, in a fixed order.
class dispatch
{
public:
    explicit dispatch(step_context& context) : run_(context) {}

    void on_tick(const event_body&)
    {
        configuration::on_tick(run_);
        membership::on_tick(run_);
        authority::on_tick(run_);
        reports::on_tick(run_);
        routing::on_tick(run_);
        roles::on_tick(run_);
        orders::on_tick(run_);
        keyed_calls::on_tick(run_);
        requests::on_tick(run_);
        ledger::on_tick(run_);
        lifecycle::on_tick(run_);
        log_writer::on_tick(run_);
    }
    void on_log_read(const event_body& body) { configuration::on_log_read(run_, std::get<log_read>(body)); }
    void on_log_read_failed(const event_body& body)
    {
        configuration::on_log_read_failed(run_, std::get<log_read_failed>(body));
    }
    void on_append_finished(const event_body& body)
    {
        log_writer::on_append_finished(run_, std::get<append_finished>(body));
    }
    void on_vm_list(const event_body& body) { membership::on_vm_list(run_, std::get<vm_list_read>(body)); }
    void on_vm_list_failed(const event_body& body)
    {
        membership::on_vm_list_failed(run_, std::get<vm_list_failed>(body));
    }
    void on_stop(const event_body&) { lifecycle::on_stop(run_); }
    void on_report(const event_body& body) { reports::on_report(run_, std::get<report_received>(body)); }
    void on_report_failed(const event_body& body)
    {
        reports::on_report_failed(run_, std::get<report_failed>(body));
    }
    void on_cache_events(const event_body& body)
    {
        reports::on_cache_events(run_, std::get<cache_events_received>(body));
    }
    void on_state_read(const event_body& body)
    {
        orders::on_state_read(run_, std::get<engine_state_read>(body));
    }
    void on_state_failed(const event_body& body)
    {
        orders::on_state_failed(run_, std::get<engine_state_failed>(body));
    }
    void on_order_answered(const event_body& body)
    {
        orders::on_order_answered(run_, std::get<order_answered>(body));
    }
    void on_peer(const event_body& body);
    void on_unreachable(const event_body& body)
    {
        membership::on_unreachable(run_, std::get<peer_unreachable>(body));
    }
    void on_generate(const event_body& body)
    {
        requests::on_generate(run_, std::get<generate_arrived>(body));
    }
    void on_resumed(const event_body& body) { requests::on_resumed(run_, std::get<stream_resumed>(body)); }
    void on_call(const event_body& body) { requests::on_call(run_, std::get<call_arrived>(body)); }
    void on_caller_gone(const event_body& body)
    {
        requests::on_caller_gone(run_, std::get<caller_gone>(body));
    }
    void on_written(const event_body& body) { requests::on_written(run_, std::get<attempt_written>(body)); }
    void on_accepted(const event_body& body)
    {
        routing::on_attempt_accepted(run_, std::get<attempt_accepted>(body).attempt);
        requests::on_accepted(run_, std::get<attempt_accepted>(body));
    }
    void on_tokens(const event_body& body) { requests::on_tokens(run_, std::get<attempt_tokens>(body)); }
    void on_head(const event_body& body) { requests::on_head(run_, std::get<answer_head>(body)); }
    void on_ended(const event_body& body) { requests::on_ended(run_, std::get<attempt_ended>(body)); }
    void on_kv_moved(const event_body& body) { requests::on_kv_moved(run_, std::get<kv_moved>(body)); }

private:
    step_context& run_;
};

/// Hands each kind of peer message to its concern.
class peer_dispatch
{
public:
    peer_dispatch(step_context& context, const peer_received& from) : run_(context), from_(from) {}

    void operator()(const probe& message) const { membership::on_probe(run_, from_, message); }
    void operator()(const probe_answer& message) const { membership::on_probe_answer(run_, from_, message); }
    void operator()(const pool_routing_view& message) const { routing::on_view(run_, from_, message); }
    void operator()(const routing_view_ack& message) const { orders::on_view_ack(run_, from_, message); }
    void operator()(const load_digest& message) const { reports::on_digest(run_, from_, message); }
    void operator()(const checkpoint_request&) const { configuration::on_checkpoint_request(run_, from_); }
    void operator()(const checkpoint_answer& message) const
    {
        configuration::on_checkpoint_answer(run_, from_, message);
    }
    void operator()(const key_relay& message) const { keyed_calls::on_relay(run_, from_, message); }

private:
    step_context& run_;
    const peer_received& from_;
};

void dispatch::on_peer(const event_body& body)
{
    const auto& from = std::get<peer_received>(body);
    membership::on_message(run_, from);
    std::visit(peer_dispatch(run_, from), from.message);
}

using handler = void (dispatch::*)(const event_body&);

/// One handler for each alternative of event_body, in its order.
constexpr std::array<handler, std::variant_size_v<event_body>> handlers = {
    &dispatch::on_tick,
    &dispatch::on_log_read,
    &dispatch::on_log_read_failed,
    &dispatch::on_append_finished,
    &dispatch::on_vm_list,
    &dispatch::on_vm_list_failed,
    &dispatch::on_stop,
    &dispatch::on_report,
    &dispatch::on_report_failed,
    &dispatch::on_cache_events,
    &dispatch::on_state_read,
    &dispatch::on_state_failed,
    &dispatch::on_order_answered,
    &dispatch::on_peer,
    &dispatch::on_unreachable,
    &dispatch::on_generate,
    &dispatch::on_resumed,
    &dispatch::on_call,
    &dispatch::on_caller_gone,
    &dispatch::on_written,
    &dispatch::on_accepted,
    &dispatch::on_tokens,
    &dispatch::on_head,
    &dispatch::on_ended,
    &dispatch::on_kv_moved,
};

} // namespace

effect_list reduce(node_state& state, const event& incoming)
{
    effect_list effects;
    step_context context{state, incoming.at, incoming.wall, effects};
    dispatch target(context);
    (target.*handlers[incoming.body.index()])(incoming.body);
    reports::send_delta_digest(context);
    return effects;
}

} // namespace currantspar::core
