#include "effect_runner.hpp"

#include "currantspar/io/log.hpp"

namespace currantspar::node {

using io::log_event;
using io::log_level;

void effect_runner::operator()(const core::start_generation& effect) const
{
    to_.streams->start(effect, to_.front->prompt(effect.request));
}

void effect_runner::operator()(const core::start_prefill& effect) const
{
    to_.streams->start(effect, to_.front->prompt(effect.request));
}

void effect_runner::operator()(const core::start_call& effect) const
{
    to_.services->start(effect, to_.front->call(effect.request));
}

void effect_runner::operator()(const core::cancel_attempt& effect) const
{
    // Only one of them knows the attempt.
    to_.streams->cancel(effect);
    to_.services->cancel(effect);
}

void effect_runner::operator()(const core::forward_answer& effect) const
{
    to_.front->forward(effect.request, to_.services->answer(effect.attempt));
}

void effect_runner::operator()(const core::set_ready& effect) const
{
    log_event(log_level::info, "node.ready", {{"ready", effect.ready ? "true" : "false"}});
}

void effect_runner::operator()(const core::add_timeline& effect) const
{
    const core::timeline_entry& entry = effect.entry;
    log_event(log_level::debug, entry.kind,
              {{"request", entry.request.str()},
               {"engine", entry.engine.str()},
               {"service", entry.service.str()},
               {"detail", entry.detail}});
}

void effect_runner::operator()(const core::set_alarm& effect) const
{
    log_event(effect.raised ? log_level::error : log_level::info,
              effect.raised ? "alarm.raised" : "alarm.cleared",
              {{"alarm", std::string(core::alarm_name(effect.which))}, {"detail", effect.detail}});
}

void effect_runner::operator()(const core::exit_process& effect)
{
    exit_code_ = effect.code;
}

} // namespace currantspar::node
