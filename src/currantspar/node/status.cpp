#include "currantspar/node/status.hpp"

#include <algorithm>
#include <array>

namespace currantspar::node {

namespace {

constexpr std::array<std::string_view, 6> phase_names{"starting",  "serving",  "draining",
                                                      "finishing", "released", "stopped"};
constexpr std::array<std::string_view, 6> change_names{"",          "closing", "draining",
                                                       "recording", "sending", "reading"};
constexpr std::array<std::string_view, 3> health_names{"alive", "suspect", "gone"};
constexpr std::array<std::string_view, 3> verdict_names{"accepted", "conflict", "invalid"};

/// A node whose log hasn't answered for this long counts what depends on the log as degraded.
constexpr duration log_silence = std::chrono::seconds(10);

template <typename Enum, std::size_t Size>
std::string name_in(const std::array<std::string_view, Size>& names, Enum value)
{
    return std::string(names.at(static_cast<std::size_t>(value)));
}

/// Builds one status; lives for one call.
class status_maker
{
public:
    status_maker(const core::node_state& state, const alarm_details& alarms, instant now)
        : state_(state), agreed_(state.configuration.replica.state()), alarms_(alarms), now_(now)
    {}

    node_status make()
    {
        add_node();
        if (agreed_.fleet != nullptr) {
            out_.fleet = agreed_.fleet->name;
            for (const config::service_spec& service : agreed_.fleet->services) {
                add_service(service);
            }
            mark_degraded();
        }
        add_pools();
        add_members();
        add_history();
        for (const auto& [which, detail] : alarms_) {
            out_.alarms.push_back({std::string(core::alarm_name(which)), detail});
        }
        return std::move(out_);
    }

private:
    void add_node()
    {
        const agreement::replica& replica = state_.configuration.replica;
        out_.node = state_.options.self;
        out_.data_centre = state_.options.data_centre;
        out_.process = state_.options.process;
        out_.version = state_.options.version;
        out_.phase = phase_name(state_.lifecycle.phase);
        out_.ready = state_.lifecycle.ready;
        out_.current = agreed_.current;
        out_.applied = agreed_.applied;
        out_.head = replica.head();
        out_.checkpointed = replica.checkpointed();
        out_.verified = replica.has_base() && !replica.unverified();
        out_.log_age = age(state_.configuration.last_read);
        out_.appends = state_.log_writer.appends;
        out_.records = state_.log_writer.records;
        out_.dropped_answers = state_.requests.dropped_answers;
        out_.keys = agreed_.keys.size();
    }

    void add_service(const config::service_spec& service)
    {
        service_status status;
        status.service = service.id;
        status.kind = service.kind;
        status.depends_on = service.depends_on;
        status.depends_on_log = service.depends_on_log;
        status.degraded = service.depends_on_log && out_.log_age > log_silence;
        const auto account = state_.ledger.accounts.find(service.id);
        if (account != state_.ledger.accounts.end()) {
            status.accepted = account->second.accepted;
            status.answered = account->second.answered;
            status.not_run = account->second.not_run;
            status.unknown = account->second.unknown;
            status.caller_gone = account->second.caller_gone;
            status.in_flight = account->second.in_flight;
            status.difference = account->second.difference();
        }
        out_.services.push_back(std::move(status));
        for (const config::engine_spec& engine : service.engines) {
            add_engine(service.id, engine);
        }
        for (const config::backend_spec& backend : service.backends) {
            const auto health = state_.backends.services.find(service.id);
            const std::uint32_t open =
                health == state_.backends.services.end() ? 0 : health->second.open_calls(backend.id);
            out_.backends.push_back({backend.id, service.id, backend.data_centre, backend.drained, open});
        }
    }

    /// A service is degraded when one that it depends on is; dependencies have no cycles.
    void mark_degraded()
    {
        for (std::size_t pass = 0; pass < out_.services.size(); ++pass) {
            for (service_status& service : out_.services) {
                for (const service_id& needed : service.depends_on) {
                    service.degraded = service.degraded || is_degraded(needed);
                }
            }
        }
    }

    [[nodiscard]] bool is_degraded(const service_id& id) const
    {
        return std::any_of(out_.services.begin(), out_.services.end(), [&](const service_status& service) {
            return service.service == id && service.degraded;
        });
    }

    void add_engine(const service_id& service, const config::engine_spec& spec)
    {
        engine_status status;
        status.engine = spec.id;
        status.service = service;
        status.data_centre = spec.data_centre;
        status.drained = spec.drained;
        add_report(status);
        const auto view = state_.routing.views.find(pool_id{service, spec.data_centre});
        status.closed = view != state_.routing.views.end() && view->second.closed.contains(spec.id);
        const auto change = state_.orders.changes.find(spec.id);
        if (change != state_.orders.changes.end()) {
            status.change = name_in(change_names, change->second.phase);
        }
        const auto order = agreed_.orders.find(spec.id);
        if (order != agreed_.orders.end()) {
            status.open_order = order->second.id;
        }
        out_.engines.push_back(std::move(status));
    }

    void add_report(engine_status& status) const
    {
        const policy::engine_report* report = state_.routing.dispatcher.report(status.engine);
        if (report == nullptr) {
            return;
        }
        status.reported = true;
        status.role = report->role;
        status.condition = report->condition;
        status.running = report->running;
        status.queued = report->queued;
        status.prefill_tokens_left = report->prefill_tokens_left;
        status.pieces_used = report->pieces_used;
        status.pieces_total = report->pieces_total;
        const auto polled = state_.reports.engines.find(status.engine);
        if (polled != state_.reports.engines.end()) {
            status.report_age = age(polled->second.last);
        }
    }

    void add_pools()
    {
        for (const auto& [pool, entry] : agreed_.authority) {
            const bool acting = core::authority::acting_fence(state_, pool, now_).value() != 0;
            out_.pools.push_back({pool, entry.holder, entry.held, entry.released, acting});
        }
    }

    void add_members()
    {
        for (const auto& [node, member] : state_.membership.members) {
            member_status status;
            status.node = node;
            status.data_centre = member.data_centre;
            status.health = name_in(health_names, member.health);
            status.listed = member.listed;
            status.leaving = member.leaving;
            status.current = member.summary.current;
            status.version = member.summary.version;
            status.heard_age = age(member.last_received);
            out_.members.push_back(std::move(status));
        }
    }

    void add_history()
    {
        const auto& history = agreed_.history;
        const std::size_t first = history.size() > status_history ? history.size() - status_history : 0;
        for (std::size_t i = first; i < history.size(); ++i) {
            const agreement::publish_result& result = history[i];
            out_.history.push_back({result.id, result.offset, name_in(verdict_names, result.verdict),
                                    result.current, result.author});
        }
    }

    [[nodiscard]] duration age(instant since) const
    {
        return since == instant{} ? duration::zero() : std::max(duration::zero(), now_ - since);
    }

    const core::node_state& state_;
    const agreement::agreed_state& agreed_;
    const alarm_details& alarms_;
    instant now_;
    node_status out_;
};

} // namespace

std::string_view phase_name(core::lifecycle_phase phase)
{
    return phase_names.at(static_cast<std::size_t>(phase));
}

node_status make_status(const core::node_state& state, const alarm_details& alarms, instant now)
{
    return status_maker(state, alarms, now).make();
}

} // namespace currantspar::node
