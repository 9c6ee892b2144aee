#ifndef CURRANTSPAR_BENCH_POLICY_RUN_HPP
#define CURRANTSPAR_BENCH_POLICY_RUN_HPP

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "currantspar/policy/dispatcher.hpp"
#include "currantspar/policy/role_planner.hpp"
#include "scenario.hpp"

namespace currantspar::bench {

/// One node's way of choosing engines; the currantspar one is the dispatcher itself.
class node_router
{
public:
    virtual ~node_router() = default;
    virtual tl::expected<policy::route, policy::refusal>
    choose(const policy::request_shape& shape, instant now, const std::set<engine_id>& exclude) = 0;
    virtual void on_report(const policy::engine_report& report, instant now) = 0;
    virtual void set_open(const engine_id& engine, bool open) = 0;
    virtual void on_sent(attempt_id, const policy::route&, const policy::request_shape&, instant) {}
    virtual void on_accepted(attempt_id, engine_time) {}
    virtual void on_prefilled(attempt_id, instant) {}
    virtual void on_tokens(attempt_id, std::uint32_t, instant) {}
    virtual void on_ended(attempt_id, policy::attempt_end, instant) {}
    virtual void on_cache_events(const policy::cache_event_batch&, instant) {}
    virtual void on_digest(const policy::work_digest&, instant) {}
    [[nodiscard]] virtual policy::work_digest make_digest(instant) { return {}; }
    [[nodiscard]] virtual bool has_changes() const { return false; }
    [[nodiscard]] virtual policy::work_digest make_delta_digest() { return {}; }
    [[nodiscard]] virtual policy::dispatcher* dispatcher() { return nullptr; }
};

/// Chooses the role changes of one data centre's engines, or of all when there is only one.
class role_control
{
public:
    virtual ~role_control() = default;
    virtual std::vector<policy::role_change> plan(const policy::pool_view& pool, instant now) = 0;
    virtual void on_changed(const engine_id&, config::engine_role, instant) {}
};

struct run_setup
{
    std::string policy;
    std::vector<std::unique_ptr<node_router>> routers; ///< one a node
    std::vector<std::unique_ptr<role_control>> roles;  ///< empty: roles stay
    std::size_t prefill_engines = 0;                   ///< at start, the first ones
    bool split = false;                                ///< the other engines start as decode
};

struct run_result
{
    std::string policy;
    double offered = 0; ///< requests a second, without the warm-up
    double goodput = 0;
    double light_goodput_share = 0; ///< of what the classes but the first offered
    std::uint64_t refused = 0;
    std::uint64_t broken = 0; ///< accepted and not answered whole
    std::uint64_t role_changes = 0;
    std::uint64_t reversals = 0; ///< changes back within the pay-back time
    std::vector<double> first_token_ms;
    std::vector<double> between_tokens_ms;
    std::vector<double> prediction_error_ms; ///< of the first token
    std::vector<double> decision_us;
    std::vector<double> good_by_second;
    std::vector<double> offered_by_second;
    std::vector<double> change_seconds;
};

/// Runs one policy through one scenario in virtual time.
[[nodiscard]] run_result run_policy(const scenario& of, const std::vector<arrival>& arrivals,
                                    run_setup setup);

/// The policies by name; `fixed_split` takes the number of prefill engines. An unknown name gives no routers.
[[nodiscard]] run_setup make_setup(const scenario& of, const std::string& name, std::uint64_t seed,
                                   std::size_t prefill_engines = 0);
[[nodiscard]] const std::vector<std::string>& policy_names();
[[nodiscard]] config::fleet make_fleet(const scenario& of);

} // namespace currantspar::bench

#endif
