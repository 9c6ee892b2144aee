#include <algorithm>

#include "policy_run.hpp"

namespace currantspar::bench {

namespace {

using config::engine_role;

enum class balance
{
    round_robin,
    reported_load,
    outstanding, ///< reported load and what this node itself has in flight
};

/// Routes by reports, as simple balancers do.
class report_router : public node_router
{
public:
    report_router(const scenario& of, balance how, std::uint64_t seed) : how_(how), random_(seed)
    {
        for (const standin::engine_model_options& engine : of.engines) {
            views_[engine.id].report.engine = engine.id;
        }
    }

    tl::expected<policy::route, policy::refusal> choose(const policy::request_shape&, instant,
                                                        const std::set<engine_id>& exclude) override
    {
        policy::route chosen;
        if (const view* best = pick(engine_role::prefill, exclude)) {
            chosen.prefill_engine = best->report.engine;
            const view* decode = pick(engine_role::decode, exclude);
            decode = decode == nullptr ? pick(engine_role::mixed, exclude) : decode;
            if (decode != nullptr) {
                chosen.engine = decode->report.engine;
                return chosen;
            }
            chosen.prefill_engine = {};
        }
        const view* mixed = pick(engine_role::mixed, exclude);
        if (mixed == nullptr) {
            return tl::unexpected<policy::refusal>(policy::refusal{});
        }
        chosen.engine = mixed->report.engine;
        return chosen;
    }
    void on_report(const policy::engine_report& report, instant) override
    {
        views_[report.engine].report = report;
    }
    void set_open(const engine_id& engine, bool open) override { views_[engine].open = open; }
    void on_sent(attempt_id attempt, const policy::route& chosen, const policy::request_shape& shape,
                 instant) override
    {
        attempts_[attempt] = {chosen, shape.prompt_tokens};
        views_[chosen.engine].own += 1;
        if (!chosen.prefill_engine.empty()) {
            views_[chosen.prefill_engine].own += 1;
        }
    }
    void on_prefilled(attempt_id attempt, instant) override
    {
        leave(attempts_[attempt].first.prefill_engine);
    }
    void on_ended(attempt_id attempt, policy::attempt_end, instant) override
    {
        leave(attempts_[attempt].first.engine);
        attempts_.erase(attempt);
    }

private:
    struct view
    {
        policy::engine_report report;
        bool open = true;
        std::uint32_t own = 0;
    };

    void leave(const engine_id& engine)
    {
        view& left = views_[engine];
        left.own -= left.own > 0 ? 1 : 0;
    }

    const view* pick(engine_role role, const std::set<engine_id>& exclude)
    {
        std::vector<const view*> usable;
        for (const auto& [id, candidate] : views_) {
            if (candidate.open && candidate.report.role == role && !exclude.contains(id) &&
                candidate.report.condition == policy::engine_condition::serving) {
                usable.push_back(&candidate);
            }
        }
        if (usable.empty()) {
            return nullptr;
        }
        if (how_ == balance::round_robin) {
            return usable[turns_[role]++ % usable.size()];
        }
        if (how_ == balance::outstanding) { // the better one of two
            const view* left = usable[random_.below(usable.size())];
            const view* right = usable[random_.below(usable.size())];
            return rank_of(*left) < rank_of(*right) ? left : right;
        }
        return *std::min_element(usable.begin(), usable.end(), [this](const view* left, const view* right) {
            return rank_of(*left) < rank_of(*right);
        });
    }

    double rank_of(const view& of) const
    {
        constexpr double tokens_per_sequence = 250; ///< prompt tokens that cost about as much as a sequence
        const double reported = of.report.running + of.report.queued +
                                static_cast<double>(of.report.prefill_tokens_left) / tokens_per_sequence;
        return how_ == balance::outstanding ? reported + static_cast<double>(views_.size()) * of.own
                                            : reported;
    }

    balance how_;
    random_generator random_;
    std::map<engine_id, view> views_;
    std::map<engine_role, std::size_t> turns_;
    std::map<attempt_id, std::pair<policy::route, std::uint32_t>> attempts_;
};

/// The dispatcher of the product.
class own_router : public node_router
{
public:
    own_router(const scenario& of, std::size_t node, std::uint64_t seed)
        : dispatcher_(options_of(of, node)), random_(seed)
    {
        dispatcher_.on_fleet(make_fleet(of));
    }

    tl::expected<policy::route, policy::refusal> choose(const policy::request_shape& shape, instant now,
                                                        const std::set<engine_id>& exclude) override
    {
        return dispatcher_.choose(shape, now, random_, exclude);
    }
    void on_report(const policy::engine_report& report, instant now) override
    {
        dispatcher_.on_report(report, now);
    }
    void set_open(const engine_id& engine, bool open) override { dispatcher_.set_open(engine, open); }
    void on_sent(attempt_id attempt, const policy::route& chosen, const policy::request_shape& shape,
                 instant now) override
    {
        dispatcher_.on_sent(attempt, chosen, shape, now);
    }
    void on_accepted(attempt_id attempt, engine_time at) override { dispatcher_.on_accepted(attempt, at); }
    void on_prefilled(attempt_id attempt, instant now) override { dispatcher_.on_prefilled(attempt, now); }
    void on_tokens(attempt_id attempt, std::uint32_t count, instant now) override
    {
        dispatcher_.on_tokens(attempt, count, now);
    }
    void on_ended(attempt_id attempt, policy::attempt_end how, instant now) override
    {
        dispatcher_.on_ended(attempt, how, now);
    }
    void on_cache_events(const policy::cache_event_batch& batch, instant now) override
    {
        dispatcher_.on_cache_events(batch, now);
    }
    void on_digest(const policy::work_digest& digest, instant now) override
    {
        dispatcher_.on_digest(digest, now);
    }
    policy::work_digest make_digest(instant now) override { return dispatcher_.make_digest(now); }
    bool has_changes() const override { return dispatcher_.has_changes(); }
    policy::work_digest make_delta_digest() override { return dispatcher_.make_delta_digest(); }
    policy::dispatcher* dispatcher() override { return &dispatcher_; }

private:
    static policy::dispatcher_options options_of(const scenario& of, std::size_t node)
    {
        policy::dispatcher_options options;
        options.self = node_id("n" + std::to_string(node));
        options.data_centre = data_centre_id("d" + std::to_string(node % of.data_centres));
        return options;
    }

    policy::dispatcher dispatcher_;
    random_generator random_;
};

class planned_roles : public role_control
{
public:
    std::vector<policy::role_change> plan(const policy::pool_view& pool, instant now) override
    {
        return planner_.plan(pool, now);
    }
    void on_changed(const engine_id& engine, engine_role role, instant now) override
    {
        planner_.on_changed(engine, role, now);
    }

private:
    policy::role_planner planner_;
};

/// Moves one engine a second to the side that is busier, with neither hysteresis nor cost.
class threshold_roles : public role_control
{
public:
    std::vector<policy::role_change> plan(const policy::pool_view& pool, instant) override
    {
        std::map<engine_role, std::pair<double, std::size_t>> load;
        for (const policy::role_candidate& engine : pool.engines) {
            const bool prefill = engine.role == engine_role::prefill;
            load[engine.role].first += prefill
                                           ? static_cast<double>(engine.prefill_tokens_left) / prefill_full
                                           : engine.running / decode_full;
            load[engine.role].second += 1;
        }
        const auto& [prefill, prefill_count] = load[engine_role::prefill];
        const auto& [decode, decode_count] = load[engine_role::decode];
        const double left = prefill / static_cast<double>(std::max<std::size_t>(1, prefill_count));
        const double right = decode / static_cast<double>(std::max<std::size_t>(1, decode_count));
        if (left > high && left > right && decode_count > 1) {
            return change(pool, engine_role::decode, engine_role::prefill);
        }
        if (right > high && right > left && prefill_count > 1) {
            return change(pool, engine_role::prefill, engine_role::decode);
        }
        return {};
    }

private:
    static constexpr double prefill_full = 8000; ///< waiting tokens that make a prefill engine full
    static constexpr double decode_full = 48;    ///< sequences that make a decode engine full
    static constexpr double high = 0.5;

    static std::vector<policy::role_change> change(const policy::pool_view& pool, engine_role from,
                                                   engine_role to)
    {
        for (const policy::role_candidate& engine : pool.engines) {
            if (engine.role == from && engine.available) {
                return {{engine.engine, from, to, 0, 0, {}}};
            }
        }
        return {};
    }
};

template <typename Router, typename... Args>
void add_routers(run_setup& setup, const scenario& of, std::uint64_t seed, Args... args)
{
    for (std::size_t node = 0; node < of.nodes; ++node) {
        setup.routers.push_back(std::make_unique<Router>(of, args..., seed * 1000 + node));
    }
}

} // namespace

config::fleet make_fleet(const scenario& of)
{
    config::fleet fleet;
    for (std::size_t i = 0; i < of.data_centres; ++i) {
        fleet.data_centres.emplace_back("d" + std::to_string(i));
    }
    for (const data_centre_id& from : fleet.data_centres) {
        for (const data_centre_id& to : fleet.data_centres) {
            fleet.delays[{from, to}] = from == to ? duration{} : of.delay_between;
        }
    }
    config::service_spec service;
    service.id = service_id("model");
    service.targets = of.targets;
    service.roles = of.roles;
    service.piece_tokens = of.engines.front().piece_tokens;
    for (std::size_t i = 0; i < of.engines.size(); ++i) {
        config::engine_spec engine;
        engine.id = of.engines[i].id;
        engine.data_centre = fleet.data_centres[i % of.data_centres];
        service.engines.push_back(engine);
    }
    fleet.services.push_back(std::move(service));
    return fleet;
}

const std::vector<std::string>& policy_names()
{
    static const std::vector<std::string> names{"currantspar", "round_robin", "least_load", "all_mixed",
                                                "fixed_split", "threshold",   "no_roles"};
    return names;
}

run_setup make_setup(const scenario& of, const std::string& name, std::uint64_t seed,
                     std::size_t prefill_engines)
{
    run_setup setup;
    setup.policy = name;
    if (name == "currantspar" || name == "no_roles") {
        for (std::size_t node = 0; node < of.nodes; ++node) {
            setup.routers.push_back(std::make_unique<own_router>(of, node, seed * 1000 + node));
        }
        if (name == "currantspar") {
            for (std::size_t i = 0; i < of.data_centres; ++i) {
                setup.roles.push_back(std::make_unique<planned_roles>());
            }
        }
    } else if (name == "round_robin") {
        add_routers<report_router>(setup, of, seed, balance::round_robin);
    } else if (name == "least_load") {
        add_routers<report_router>(setup, of, seed, balance::reported_load);
    } else if (name == "all_mixed" || name == "fixed_split" || name == "threshold") {
        add_routers<report_router>(setup, of, seed, balance::outstanding);
        if (name != "all_mixed") {
            setup.split = true;
            setup.prefill_engines = prefill_engines > 0 ? prefill_engines : of.engines.size() / 2;
        }
        if (name == "threshold") {
            setup.roles.push_back(std::make_unique<threshold_roles>());
        }
    }
    return setup;
}

} // namespace currantspar::bench
