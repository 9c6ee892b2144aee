#include "currantspar/relay/engine_choice.hpp"

#include <cmath>
#include <deque>

#include <boost/test/unit_test.hpp>

#include "currantspar/base/test_wire_text.hpp"
#include "test_prefill_fleet.hpp"

namespace currantspar::relay {

namespace {

using test::at;
using test::make_prompt;
using test::make_server;
using test::prefill_result;
using test::shared_prompt_load;

constexpr auto prefill = config::engine_role::prefill;
constexpr auto decode = config::engine_role::decode;
const engine_traits traits{64, 450000, 163840, 1600000.0, std::chrono::seconds(5)};

engine_choice make_choice()
{
    engine_choice_options options;
    options.data_centre = data_centre_id("a");
    return engine_choice(options);
}

std::vector<server_entry> small_fleet()
{
    return {make_server("reader-1", "llm", prefill), make_server("reader-2", "llm", prefill),
            make_server("decoder-1", "llm", decode), make_server("decoder-2", "llm", decode)};
}

/// Nodes that place requests and receive each other's updates after a delay.
class choosing_nodes
{
public:
    choosing_nodes(const shared_prompt_load& load, double update_delay_s, duration view_lag = {})
        : fleet_(load), delay_(update_delay_s)
    {
        for (unsigned node = 0; node < load.nodes; ++node) {
            nodes_.push_back(make_choice());
            nodes_.back().set_view_lag(view_lag);
        }
    }

    prefill_result play()
    {
        return fleet_.play([this](unsigned node, const request_info& request,
                                  instant now) { return choose(node, request, now); },
                           [this](unsigned node, const request_info&, double ready) {
                               prefills_.emplace_back(node, attempt_, ready);
                           });
    }

private:
    struct update
    {
        unsigned from = 0;
        double arrives_at = 0;
        engine_loads work;
        std::vector<cached_segment> segments;
    };

    backend_id choose(unsigned node, const request_info& request, instant now)
    {
        const double seconds = to_seconds(now.time_since_epoch()) - 1;
        finish_prefills(seconds);
        deliver(seconds, now);
        const auto chosen = nodes_[node].choose(request, traits, fleet_.engines(), {}, now);
        attempt_ = attempt_.next();
        nodes_[node].on_sent(attempt_, service_id("llm"), *chosen, request, now);
        send_update(node, seconds);
        return chosen->prefill_engine.empty() ? chosen->decode_engine : chosen->prefill_engine;
    }

    void finish_prefills(double now)
    {
        for (auto& [node, attempt, ready] : prefills_) {
            if (ready <= now && attempt.value() != 0) {
                nodes_[node].on_prefilled(attempt, at(1 + now));
                nodes_[node].on_ended(attempt);
                attempt = attempt_id();
                send_update(node, now);
            }
        }
        std::erase_if(prefills_, [](const auto& each) { return std::get<1>(each).value() == 0; });
    }

    void send_update(unsigned node, double now)
    {
        updates_.push_back({node, now + delay_, nodes_[node].own_work(), nodes_[node].take_new_segments()});
    }

    void deliver(double now, instant at)
    {
        while (!updates_.empty() && updates_.front().arrives_at <= now) {
            for (unsigned node = 0; node < nodes_.size(); ++node) {
                if (node != updates_.front().from) {
                    nodes_[node].on_peer_work(std::to_string(updates_.front().from), updates_.front().work,
                                              true, at);
                    nodes_[node].on_peer_segments(updates_.front().segments, at);
                }
            }
            updates_.pop_front();
        }
    }

    test::prefill_fleet fleet_;
    double delay_;
    std::vector<engine_choice> nodes_;
    std::deque<update> updates_;
    std::vector<std::tuple<unsigned, attempt_id, double>> prefills_;
    attempt_id attempt_;
};

prefill_result play_nodes(const shared_prompt_load& load, double update_delay_s)
{
    return choosing_nodes(load, update_delay_s).play();
}

/// Baseline: always the segment's preferred engine, whatever its load.
prefill_result play_prefix_hash(const shared_prompt_load& load)
{
    test::prefill_fleet fleet(load);
    std::vector<const server_entry*> prefill_engines;
    for (const server_entry& engine : fleet.engines()) {
        if (engine.role == prefill) {
            prefill_engines.push_back(&engine);
        }
    }
    return fleet.play([&](unsigned, const request_info& request,
                          instant) { return preferred_engine(sharing_key(request), prefill_engines)->id; },
                      [](unsigned, const request_info&, double) {});
}

/// Baseline: the engine that is idle first, with exact knowledge of all engines' queues.
prefill_result play_least_loaded(const shared_prompt_load& load)
{
    test::prefill_fleet fleet(load);
    return fleet.play(
        [&](unsigned, const request_info&, instant) {
            const auto best = std::min_element(
                fleet.engines().begin(), fleet.engines().end(), [&](const auto& left, const auto& right) {
                    const bool left_prefills = left.role == prefill;
                    const bool right_prefills = right.role == prefill;
                    return std::make_pair(!left_prefills, fleet.free_at(left.id)) <
                           std::make_pair(!right_prefills, fleet.free_at(right.id));
                });
            return best->id;
        },
        [](unsigned, const request_info&, double) {});
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine_choice_tests)

BOOST_AUTO_TEST_CASE(all_nodes_send_an_uncached_segment_to_the_same_engine)
{
    const auto engines = small_fleet();
    const request_info request = make_prompt("r", 7, 13300, 3700);
    const auto one = make_choice().choose(request, traits, engines, {}, at(1));
    const auto two = make_choice().choose(make_prompt("s", 7, 13300, 100), traits, engines, {}, at(1));
    BOOST_REQUIRE(one.has_value());
    BOOST_TEST((one->prefill_engine == two->prefill_engine));
    BOOST_TEST(!one->prefill_engine.empty());
}

BOOST_AUTO_TEST_CASE(a_request_goes_to_the_engine_that_cached_its_segment)
{
    const auto engines = small_fleet();
    engine_choice choice = make_choice();
    const request_info request = make_prompt("r", 7, 13300, 3700);
    const auto preferred_placement = choice.choose(request, traits, engines, {}, at(1));
    const auto other = choice.choose(request, traits, engines, {preferred_placement->prefill_engine}, at(1));
    choice.on_peer_segments({{engine_hash(other->prefill_engine), 7}}, at(1));
    const auto next = choice.choose(make_prompt("s", 7, 13300, 3700), traits, engines, {}, at(2));
    BOOST_TEST((next->prefill_engine == other->prefill_engine));
    BOOST_TEST(next->cached_tokens == 13300U);
}

BOOST_AUTO_TEST_CASE(a_request_avoids_an_engine_whose_queue_takes_longer_than_recomputing)
{
    const auto engines = small_fleet();
    engine_choice choice = make_choice();
    const auto preferred_placement =
        choice.choose(make_prompt("r", 7, 13300, 3700), traits, engines, {}, at(1));
    choice.on_peer_segments({{engine_hash(preferred_placement->prefill_engine), 7}}, at(1));
    choice.on_peer_work("peer", {{engine_hash(preferred_placement->prefill_engine), {2000, 20, 0}}}, true,
                        at(1));
    const auto next = choice.choose(make_prompt("s", 7, 13300, 3700), traits, engines, {}, at(1));
    BOOST_TEST((next->prefill_engine != preferred_placement->prefill_engine));
}

BOOST_AUTO_TEST_CASE(decode_engines_prefill_no_long_prompts_while_prefill_engines_exist)
{
    const auto engines = small_fleet();
    engine_choice choice = make_choice();
    const auto placed = choice.choose(make_prompt("r", 7, 13300, 3700), traits, engines, {}, at(1));
    BOOST_TEST(!placed->prefill_engine.empty());
    const auto alone =
        choice.choose(make_prompt("s", 7, 13300, 3700), traits, {engines[2], engines[3]}, {}, at(1));
    BOOST_REQUIRE(alone.has_value());
    BOOST_TEST(alone->prefill_engine.empty());
    BOOST_TEST(!choice.choose(make_prompt("t", 7, 13300, 3700), traits, {engines[0]}, {}, at(1)).has_value());
}

BOOST_AUTO_TEST_CASE(work_of_an_unresponsive_peer_is_discarded)
{
    const auto engines = small_fleet();
    engine_choice choice = make_choice();
    const auto preferred_placement = choice.choose(make_prompt("r", 7, 300, 100), traits, engines, {}, at(1));
    choice.on_peer_work("peer", {{engine_hash(preferred_placement->prefill_engine), {5000, 20, 0}}}, true,
                        at(1));
    choice.on_tick(at(2));
    BOOST_TEST((choice.choose(make_prompt("r", 7, 300, 100), traits, engines, {}, at(2))->prefill_engine !=
                preferred_placement->prefill_engine));
    choice.on_tick(at(9));
    BOOST_TEST((choice.choose(make_prompt("r", 7, 300, 100), traits, engines, {}, at(9))->prefill_engine ==
                preferred_placement->prefill_engine));
}

BOOST_AUTO_TEST_CASE(a_partial_digest_changes_only_the_engines_that_it_names)
{
    const auto engines = small_fleet();
    engine_choice choice = make_choice();
    const std::uint64_t one = engine_hash(engines[0].id);
    const std::uint64_t two = engine_hash(engines[1].id);
    choice.on_peer_work("peer", {{one, {5000, 20, 0}}, {two, {5000, 20, 0}}}, true, at(1));
    choice.on_peer_work("peer", {{two, {0, 0, 0}}}, false, at(1));
    const auto placed = choice.choose(make_prompt("r", 7, 3000, 1000), traits, engines, {}, at(1));
    BOOST_TEST((placed->prefill_engine == engines[1].id));
}

/// With a hundred nodes and as many engines, each node would return to an engine only after the engine has
/// closed the idle connection. Short prompts with a small shared segment can be placed on any engine.
BOOST_AUTO_TEST_CASE(short_prompts_go_where_connections_are_open)
{
    std::vector<server_entry> engines;
    for (int index = 0; index < 100; ++index) {
        engines.push_back(make_server("reader-" + std::to_string(index), "llm", prefill));
        engines.back().address = test_address("10.1.0." + std::to_string(index) + ":80");
    }
    for (int index = 0; index < 30; ++index) {
        engines.push_back(make_server("decoder-" + std::to_string(index), "llm", decode));
        engines.back().address = test_address("10.2.0." + std::to_string(index) + ":80");
    }
    constexpr double kept_seconds = 4;
    constexpr double requests_per_second = 3;
    constexpr int requests = 200;
    const auto new_connections = [&](bool preferred) {
        engine_choice choice = make_choice();
        std::map<std::string, double> used;
        double now = 1;
        unsigned opened = 0;
        const auto is_open = [&](const std::string& address) {
            const auto found = used.find(address);
            return found != used.end() && now - found->second < kept_seconds;
        };
        if (preferred) {
            choice.prefer_connected(is_open);
        }
        for (int number = 0; number < requests; ++number, now += 1 / requests_per_second) {
            const auto segment = static_cast<std::uint64_t>(number % 60);
            const auto placed =
                choice.choose(make_prompt("r", segment, 350, 1110), traits, engines, {}, at(now));
            const attempt_id attempt(static_cast<std::uint64_t>(number) + 1);
            choice.on_sent(attempt, service_id("llm"), *placed, make_prompt("r", segment, 350, 1110),
                           at(now));
            choice.on_prefilled(attempt, at(now));
            choice.on_ended(attempt);
            for (const server_entry& engine : engines) {
                if (engine.id == placed->prefill_engine || engine.id == placed->decode_engine) {
                    opened += is_open(engine.address.str()) ? 0 : 1;
                    used[engine.address.str()] = now;
                }
            }
        }
        return opened;
    };
    BOOST_TEST(new_connections(true) * 2 < new_connections(false));
}

/// Fourteen nodes place prompts that share 83 segments; each node sees a fourteenth of the requests itself.
BOOST_AUTO_TEST_CASE(shared_prompts_placed_by_many_nodes_are_prefilled_on_time)
{
    const shared_prompt_load load;
    const prefill_result with_updates = play_nodes(load, 0.002);
    const prefill_result prefix_hash = play_prefix_hash(load);
    const prefill_result least_loaded = play_least_loaded(load);
    BOOST_TEST(with_updates.on_time_fraction >= 0.95);
    BOOST_TEST(with_updates.on_time_fraction >= prefix_hash.on_time_fraction);
    BOOST_TEST(with_updates.on_time_fraction >= least_loaded.on_time_fraction);
    BOOST_TEST(with_updates.recomputed_fraction <= 0.1);
}

/// Long prompts arrive three times as often, close to the prefill capacity of the engines.
BOOST_AUTO_TEST_CASE(a_burst_of_shared_prompts_is_spread_by_updates_between_nodes)
{
    shared_prompt_load load;
    load.requests_per_second = 90;
    const prefill_result with_updates = play_nodes(load, 0.002);
    const prefill_result with_late_updates = play_nodes(load, 0.1);
    const prefill_result without_updates = play_nodes(load, 1000);
    BOOST_TEST(with_updates.on_time_fraction >= play_prefix_hash(load).on_time_fraction);
    BOOST_TEST(with_updates.on_time_fraction >= play_least_loaded(load).on_time_fraction);
    BOOST_TEST(with_updates.on_time_fraction >= 0.95);
    BOOST_TEST(with_updates.on_time_fraction > with_late_updates.on_time_fraction + 0.1);
    BOOST_TEST(with_updates.on_time_fraction > without_updates.on_time_fraction + 0.1);
}

/// With hundreds of nodes updates are late, and most of the load that a node doesn't know of goes to engines
/// that have other segments. Spreading requests because of it must not take them from their segments.
BOOST_AUTO_TEST_CASE(late_updates_of_many_nodes_do_not_take_requests_from_cached_segments)
{
    shared_prompt_load load;
    load.nodes = 195;
    load.prefill_engines = 60;
    load.decode_engines = 18;
    load.segments = 250;
    load.requests_per_second = 130;
    load.seconds = 16;
    const prefill_result result = choosing_nodes(load, 0.08, std::chrono::milliseconds(80)).play();
    BOOST_TEST(result.on_time_fraction >= 0.95);
    BOOST_TEST(result.recomputed_fraction <= 0.1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::relay
