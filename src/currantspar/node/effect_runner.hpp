#ifndef CURRANTSPAR_NODE_EFFECT_RUNNER_HPP
#define CURRANTSPAR_NODE_EFFECT_RUNNER_HPP

#include <optional>

#include "currantspar/core/effect.hpp"
#include "currantspar/io/caller_front.hpp"
#include "currantspar/io/engine_control.hpp"
#include "currantspar/io/engine_streams.hpp"
#include "currantspar/io/log_client.hpp"
#include "currantspar/io/peer_network.hpp"
#include "currantspar/io/service_client.hpp"
#include "currantspar/io/vm_list_client.hpp"

namespace currantspar::node {

/// The adapters that effects go to. All outlive the runner.
struct adapters
{
    io::log_client* log = nullptr;
    io::vm_list_client* vm_list = nullptr;
    io::engine_control* engines = nullptr;
    io::engine_streams* streams = nullptr;
    io::service_client* services = nullptr;
    io::caller_front* front = nullptr;
    io::peer_network* peers = nullptr;
};

/// Carries effects out by handing each to its adapter. One overload per kind. Not thread safe.
class effect_runner
{
public:
    explicit effect_runner(adapters to) : to_(to) {}

    void operator()(const core::append_records& effect) const { to_.log->append(effect); }
    void operator()(const core::read_log& effect) const { to_.log->read(effect); }
    void operator()(const core::read_vm_list&) const { to_.vm_list->read(); }
    void operator()(const core::send_peer& effect) const { to_.peers->send(effect); }
    void operator()(const core::read_report& effect) const { to_.engines->read(effect); }
    void operator()(const core::read_cache_events& effect) const { to_.engines->read(effect); }
    void operator()(const core::read_engine_state& effect) const { to_.engines->read(effect); }
    void operator()(const core::send_order& effect) const { to_.engines->send(effect); }
    void operator()(const core::start_generation& effect) const;
    void operator()(const core::start_prefill& effect) const;
    void operator()(const core::start_call& effect) const;
    void operator()(const core::cancel_attempt& effect) const;
    void operator()(const core::forward_answer& effect) const;
    void operator()(const core::reply_tokens& effect) const { to_.front->send(effect); }
    void operator()(const core::reply_end& effect) const { to_.front->end(effect); }
    void operator()(const core::set_ready& effect) const;
    void operator()(const core::add_timeline& effect) const;
    void operator()(const core::set_alarm& effect) const;
    void operator()(const core::exit_process& effect);

    /// The code to leave with, once the core has finished.
    [[nodiscard]] std::optional<int> exit_code() const { return exit_code_; }

private:
    const adapters to_;
    std::optional<int> exit_code_;
};

} // namespace currantspar::node

#endif
