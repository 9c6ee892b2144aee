#include "currantspar/node/runtime.hpp"

#include <atomic>
#include <csignal>
#include <fstream>
#include <future>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Log_Msg.h>
#include <ace/Reactor.h>

#include "currantspar/base/hash.hpp"
#include "currantspar/core/reducer.hpp"
#include "currantspar/core/session.hpp"
#include "currantspar/io/clock.hpp"
#include "currantspar/io/log.hpp"
#include "currantspar/io/timer_service.hpp"
#include "currantspar/node/operations.hpp"
#include "effect_runner.hpp"
#include "event_queue.hpp"
#include "signal_watch.hpp"

namespace currantspar::node {

namespace {

using io::log_event;
using io::log_level;

constexpr duration sweep_every = std::chrono::milliseconds(250);
constexpr duration ask_limit = std::chrono::seconds(2);
constexpr int exit_port = 1;
constexpr int exit_cut = 3;

core::core_options make_core_options(const config::node_settings& settings, const runtime_options& options)
{
    core::core_options made;
    made.self = node_id(settings.peer_address);
    made.data_centre = settings.data_centre;
    made.process = incarnation(std::stoull(random_hex(64), nullptr, 16));
    made.seed = std::stoull(random_hex(64), nullptr, 16);
    made.balancer_drain = settings.balancer_drain;
    if (options.adjust) {
        options.adjust(made);
    }
    return made;
}

operations_options make_operations_options(const config::node_settings& settings,
                                           const runtime_options& options)
{
    operations_options made;
    made.timeline_entries = settings.timeline_entries;
    made.observe = options.observe;
    return made;
}

} // namespace

/// The parts of a node. Everything but post, ask and the ports belongs to the thread that runs it.
class runtime::loop
{
public:
    loop(config::node_settings settings, runtime_options options);

    result<void> open();
    int run();
    void post(queue_item item) { queue_.post(std::move(item)); }
    void stop_now() { cut_ = true; }
    result<std::string> ask(std::function<std::string(const core::node_state&)> question);
    [[nodiscard]] std::uint16_t caller_port() const { return front_->port(); }
    [[nodiscard]] std::uint16_t admin_port() const { return admin_->port(); }

private:
    void take(queue_item item);
    void happen(core::event_body body);
    void record(const core::event& happened, const core::effect_list& effects);
    void after(const core::event_body& body);
    void on_tick();
    void watch_signals();
    void open_admin_pages();
    void log_cut() const;

    const config::node_settings settings_;
    const runtime_options options_;
    core::node_state state_;
    ACE_Dev_Poll_Reactor poll_;
    ACE_Reactor reactor_;
    operations operations_;
    event_queue queue_;
    io::event_sink sink_;
    std::unique_ptr<io::timer_service> timers_;
    std::unique_ptr<signal_watch> signals_;
    unsigned signals_seen_ = 0;
    std::unique_ptr<effect_runner> runner_;
    config::fleet_ptr fleet_;
    bool done_ = false;
    std::atomic<bool> cut_{false};
    std::atomic<bool> running_{false};
    std::ofstream record_;

    // The adapters come last: their threads end before anything that they use.
    std::unique_ptr<io::http_client> http_;
    std::unique_ptr<io::log_client> log_;
    std::unique_ptr<io::vm_list_client> vm_list_;
    std::unique_ptr<io::engine_control> engines_;
    std::unique_ptr<io::engine_streams> streams_;
    std::unique_ptr<io::service_client> services_;
    std::unique_ptr<io::peer_network> peers_;
    std::unique_ptr<io::caller_front> front_;
    std::unique_ptr<io::admin_server> admin_;
};

runtime::loop::loop(config::node_settings settings, runtime_options options)
    : settings_(std::move(settings)), options_(std::move(options)),
      state_(make_core_options(settings_, options_)), reactor_(&poll_),
      operations_(make_operations_options(settings_, options_)),
      queue_(reactor_, [this](queue_item item) { take(std::move(item)); }),
      sink_([this](core::event_body body) { queue_.post(std::move(body)); }),
      timers_(io::make_reactor_timer_service(reactor_))
{}

result<void> runtime::loop::open()
{
    io::caller_front_options front;
    front.address = settings_.caller_address;
    front.max_body_bytes = settings_.max_body_bytes;
    front.max_connections = settings_.max_connections;
    auto opened_front = io::make_http_caller_front(front, sink_);
    if (!opened_front) {
        return tl::unexpected<error>(opened_front.error());
    }
    front_ = std::move(*opened_front);
    io::peer_network_options peers;
    peers.self = state_.options.self;
    peers.process = state_.options.process;
    peers.connections_most = settings_.max_peer_connections;
    auto opened_peers = io::make_capnp_peer_network(peers, sink_);
    if (!opened_peers) {
        return tl::unexpected<error>(opened_peers.error());
    }
    peers_ = std::move(*opened_peers);
    http_ = std::make_unique<io::http_client>();
    log_ = io::make_http_log_client(*http_, {settings_.log_address}, sink_);
    vm_list_ = io::make_http_vm_list_client(*http_, {settings_.vm_list_address}, sink_);
    engines_ = io::make_http_engine_control(*http_, {}, sink_);
    streams_ = io::make_http_engine_streams(*http_, sink_);
    services_ = io::make_http_service_client(*http_, {}, sink_);
    runner_ =
        std::make_unique<effect_runner>(adapters{log_.get(), vm_list_.get(), engines_.get(), streams_.get(),
                                                 services_.get(), front_.get(), peers_.get()});
    if (!settings_.record_path.empty()) {
        record_.open(settings_.record_path, std::ios::trunc);
        record_ << core::options_line(state_.options) << '\n';
    }
    open_admin_pages();
    return admin_->open(settings_.admin_address);
}

void runtime::loop::open_admin_pages()
{
    std::map<std::string, io::admin_page> pages = options_.pages;
    pages.merge(operations_.pages());
    admin_ = std::make_unique<io::admin_server>(std::move(pages));
}

int runtime::loop::run()
{
    // A signal that interrupts a wait is no fault; ACE would print one.
    ACE_LOG_MSG->priority_mask(0, ACE_Log_Msg::PROCESS);
    reactor_.owner(ACE_OS::thr_self());
    if (options_.handle_signals) {
        signals_ = std::make_unique<signal_watch>();
    }
    timers_->subscribe(options_.tick, [this](instant) { on_tick(); });
    timers_->subscribe(sweep_every, [this](instant now) { front_->sweep(now); });
    running_ = true;
    while (!done_) {
        reactor_.handle_events();
    }
    running_ = false;
    if (cut_ && !runner_->exit_code()) {
        log_cut();
        return exit_cut;
    }
    return runner_->exit_code().value_or(0);
}

void runtime::loop::log_cut() const
{
    log_event(log_level::warning, "node.cut",
              {{"requests", std::to_string(core::requests::in_flight(state_))},
               {"unsent_records", std::to_string(state_.log_writer.waiting.size())}});
}

void runtime::loop::on_tick()
{
    watch_signals();
    happen(core::tick{});
    // The core has finished; the last answers may still be on their way to their callers.
    const bool finished = runner_->exit_code().has_value() && front_->open_requests() == 0;
    done_ = done_ || finished || cut_;
}

void runtime::loop::watch_signals()
{
    if (!signals_ || signals_->count() == signals_seen_) {
        return;
    }
    const bool first = signals_seen_ == 0 && signals_->count() == 1;
    signals_seen_ = signals_->count();
    if (first) {
        log_event(log_level::info, "node.stopping");
        happen(core::stop_requested{});
    } else {
        cut_ = true;
    }
}

void runtime::loop::take(queue_item item)
{
    if (auto* const body = std::get_if<core::event_body>(&item)) {
        happen(std::move(*body));
    } else {
        std::get<std::function<void(const core::node_state&)>>(item)(state_);
    }
}

void runtime::loop::happen(core::event_body body)
{
    const core::event happened{io::monotonic_now(), io::wall_now(), std::move(body)};
    const core::effect_list effects = core::reduce(state_, happened);
    if (record_.is_open()) {
        record(happened, effects);
    }
    for (const core::effect& effect : effects) {
        std::visit(*runner_, effect);
    }
    operations_.on_step(state_, happened, effects);
    after(happened.body);
}

void runtime::loop::record(const core::event& happened, const core::effect_list& effects)
{
    record_ << core::event_line(happened) << '\n';
    for (const core::effect& effect : effects) {
        record_ << core::effect_line(effect) << '\n';
    }
}

void runtime::loop::after(const core::event_body& body)
{
    if (const auto* const ended = std::get_if<core::attempt_ended>(&body)) {
        services_->forget(ended->attempt);
    }
    const config::fleet_ptr& fleet = state_.configuration.replica.state().fleet;
    if (fleet != fleet_) {
        fleet_ = fleet;
        front_->set_fleet(fleet_);
        log_event(log_level::info, "configuration.in_force",
                  {{"revision", std::to_string(state_.configuration.replica.state().current.value())}});
    }
}

result<std::string> runtime::loop::ask(std::function<std::string(const core::node_state&)> question)
{
    const auto answer = std::make_shared<std::promise<std::string>>();
    auto waiting = answer->get_future();
    queue_.post([answer, question = std::move(question)](const core::node_state& state) {
        answer->set_value(question(state));
    });
    if (waiting.wait_for(ask_limit) != std::future_status::ready) {
        return fail(error_kind::unavailable, "the node isn't running");
    }
    return waiting.get();
}

runtime::runtime(config::node_settings settings, runtime_options options)
    : loop_(std::make_unique<loop>(std::move(settings), std::move(options)))
{}

runtime::~runtime() = default;

result<void> runtime::open()
{
    return loop_->open();
}

int runtime::run()
{
    return loop_->run();
}

void runtime::stop()
{
    loop_->post(core::event_body(core::stop_requested{}));
}

void runtime::stop_now()
{
    loop_->stop_now();
}

result<std::string> runtime::ask(std::function<std::string(const core::node_state&)> question)
{
    return loop_->ask(std::move(question));
}

std::uint16_t runtime::caller_port() const
{
    return loop_->caller_port();
}

std::uint16_t runtime::admin_port() const
{
    return loop_->admin_port();
}

int serve(const config::node_settings& settings, runtime_options options)
{
    io::configure_log(settings.log_level, settings.log_lines);
    std::signal(SIGPIPE, SIG_IGN);
    options.handle_signals = true;
    runtime node(settings, std::move(options));
    if (const auto opened = node.open(); !opened) {
        log_event(log_level::error, "node.not_started", {{"reason", opened.error().message}});
        return exit_port;
    }
    log_event(log_level::info, "node.started",
              {{"callers", settings.caller_address},
               {"admin", settings.admin_address},
               {"peers", settings.peer_address},
               {"data_centre", settings.data_centre.str()}});
    const int code = node.run();
    log_event(log_level::info, "node.stopped", {{"code", std::to_string(code)}});
    return code;
}

} // namespace currantspar::node
