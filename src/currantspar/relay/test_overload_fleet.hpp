#ifndef CURRANTSPAR_RELAY_TEST_OVERLOAD_FLEET_HPP
#define CURRANTSPAR_RELAY_TEST_OVERLOAD_FLEET_HPP

#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "currantspar/base/test_wire_text.hpp"
#include "currantspar/relay/relay_core.hpp"
#include "test_relay.hpp"

namespace currantspar::relay::test {

/// Engines, callers and the load that they offer.
struct overload_scenario
{
    unsigned nodes = 12;
    unsigned prefill_engines = 9;
    unsigned decode_engines = 3;
    double prefill_tokens_per_ms = 330;
    double attention_ms_per_million = 0.069;
    std::size_t queue_limit = 48; ///< requests at an engine; it refuses more
    unsigned segments = 200;
    std::uint32_t shared_tokens = 6300;
    std::uint32_t own_tokens = 2890;
    double target_s = 0.15;
    double deadline_s = 2;
    double seconds = 16;
    /// Requests a second at a time.
    std::function<double(double)> rate = [](double) { return 100.0; };
    /// Engines that crash, and when; they return after `outage_s` with an empty cache.
    unsigned crashed_engines = 0;
    double crash_at = 0;
    double outage_s = 0;
    unsigned tries = 2;                     ///< of a caller that is refused
    bool callers_honour_retry_after = true; ///< false: refused callers return at once
};

/// Requests by the second in which they first arrived.
struct overload_result
{
    std::vector<unsigned> offered;
    std::vector<unsigned> in_time;
    std::vector<unsigned> served;
    std::vector<unsigned> refused; ///< that ended refused

    /// Returns the fraction of the requests of these seconds that was served in time.
    [[nodiscard]] double in_time_fraction(std::size_t from, std::size_t until) const
    {
        unsigned all = 0;
        unsigned good = 0;
        for (std::size_t second = from; second < until; ++second) {
            all += offered[second];
            good += in_time[second];
        }
        return all == 0 ? 0 : static_cast<double>(good) / all;
    }

    /// Returns the requests served in time a second.
    [[nodiscard]] double goodput(std::size_t from, std::size_t until) const
    {
        return rate(in_time, from, until);
    }

    /// Returns the requests served a second, also after their target.
    [[nodiscard]] double served_rate(std::size_t from, std::size_t until) const
    {
        return rate(served, from, until);
    }

private:
    [[nodiscard]] static double rate(const std::vector<unsigned>& counts, std::size_t from, std::size_t until)
    {
        unsigned sum = 0;
        for (std::size_t second = from; second < until; ++second) {
            sum += counts[second];
        }
        return static_cast<double>(sum) / static_cast<double>(until - from);
    }
};

/// Plays a load on relay cores that share engines and exchange digests with a delay, in virtual time.
class overload_fleet
{
public:
    explicit overload_fleet(overload_scenario scenario) : scenario_(std::move(scenario))
    {
        const unsigned count = scenario_.prefill_engines + scenario_.decode_engines;
        for (unsigned index = 0; index < count; ++index) {
            const bool prefills = index < scenario_.prefill_engines;
            const std::string id = (prefills ? "prefill-" : "decode-") + std::to_string(index);
            server_entry entry =
                make_server(id, "llm", prefills ? config::engine_role::prefill : config::engine_role::decode);
            entry.address = test_address("10.0." + std::to_string(index / 256) + "." +
                                         std::to_string(index % 256) + ":80");
            entries_.push_back(entry);
            engines_[backend_id(id)].prefills = prefills;
        }
        auto config = make_config();
        for (route_spec& route : config->routes) {
            route.target = from_seconds(scenario_.target_s);
            route.timeout = from_seconds(scenario_.deadline_s);
        }
        for (unsigned index = 0; index < scenario_.nodes; ++index) {
            relay_options options;
            options.data_centre = data_centre_id("a");
            options.seed = index + 1;
            options.retries_reserve = 100;
            nodes_.push_back(std::make_unique<relay_core>(options));
            nodes_.back()->on_nodes(scenario_.nodes);
            nodes_.back()->engines().set_view_lag(from_seconds(tick_s));
            nodes_.back()->on_config(config);
            nodes_.back()->on_listing(entries_, at(1));
        }
    }

    overload_result play()
    {
        const auto seconds = static_cast<std::size_t>(scenario_.seconds);
        for (auto* counts : {&result_.offered, &result_.in_time, &result_.served, &result_.refused}) {
            counts->assign(seconds, 0);
        }
        schedule(0, [this] { next_arrival(); });
        for (unsigned node = 0; node < scenario_.nodes; ++node) {
            schedule(tick_s * node / scenario_.nodes, [this, node] { tick(node); });
        }
        for (unsigned index = 0; index < scenario_.crashed_engines; ++index) {
            // Every third engine, so that both roles lose some.
            const backend_id id = entries_[index * 3 % entries_.size()].id;
            schedule(scenario_.crash_at, [this, id] { crash(id); });
        }
        while (!events_.empty() && events_.top().at < scenario_.seconds) {
            const event next = events_.top();
            events_.pop();
            now_ = next.at;
            next.run();
        }
        return result_;
    }

private:
    static constexpr double tick_s = 0.005;
    static constexpr double network_s = 0.0015;
    static constexpr double decode_s = 0.004;

    struct event
    {
        double at = 0;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(const event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct job
    {
        unsigned node = 0;
        attempt_id attempt;
        request_info info;
        bool prefill_only = false;
    };
    struct engine
    {
        bool prefills = false;
        bool running = false;
        bool down = false;
        std::uint64_t generation = 0; ///< changes when the running job is cancelled or lost
        job current;
        std::deque<job> queue;
        std::set<std::uint64_t> cached;
    };
    struct caller
    {
        unsigned node = 0;
        double arrived = 0;
        unsigned tries = 0;
        request_info info;
        bool done = false;
    };

    void schedule(double at, std::function<void()> run) { events_.push({at, ++last_event_, std::move(run)}); }

    [[nodiscard]] instant time() const { return at(1 + now_); }

    void next_arrival()
    {
        const double rate = scenario_.rate(now_);
        const request_info info = make_prompt("r", 1 + random_.below(scenario_.segments),
                                              scenario_.shared_tokens, scenario_.own_tokens);
        const std::uint64_t number = ++last_caller_;
        callers_[number] = {0, now_, 0, info, false};
        result_.offered[static_cast<std::size_t>(now_)] += 1;
        arrive(number);
        schedule(now_ - std::log(1 - random_.unit()) / rate, [this] { next_arrival(); });
    }

    void arrive(std::uint64_t number)
    {
        caller& from = callers_[number];
        const double left = scenario_.deadline_s - (now_ - from.arrived);
        if (left <= 0) {
            return;
        }
        from.tries += 1;
        from.node = static_cast<unsigned>(random_.below(scenario_.nodes));
        from.info.time_left = from_seconds(left);
        const std::uint64_t request = ++last_request_;
        requests_[request] = number;
        apply(from.node, nodes_[from.node]->on_request(request_number(request), from.info, time()));
    }

    void apply(unsigned node, const relay_effects& effects)
    {
        for (const relay_effect& effect : effects) {
            if (const auto* start = std::get_if<start_attempt>(&effect)) {
                begin(node, *start);
            } else if (const auto* cancel = std::get_if<cancel_attempt>(&effect)) {
                cancelled(node, cancel->attempt);
            } else if (const auto* refusal = std::get_if<reply>(&effect)) {
                refused(*refusal);
            }
        }
    }

    void begin(unsigned node, const start_attempt& start)
    {
        nodes_[node]->on_written(start.attempt);
        const request_info info = callers_[requests_[start.request.value()]].info;
        placed_[{node, start.attempt.value()}] = {start.server, start.request.value()};
        const job work{node, start.attempt, info, start.stage == attempt_stage::prefill_only};
        if (start.stage == attempt_stage::decode_only) {
            schedule(now_ + 2 * network_s + decode_s, [this, work] { first_event(work); });
            return;
        }
        schedule(now_ + network_s, [this, work, server = start.server] { submit(server, work); });
    }

    void submit(const backend_id& server, const job& work)
    {
        engine& at_engine = engines_[server];
        if (!placed_.contains({work.node, work.attempt.value()})) {
            return;
        }
        if (at_engine.down || at_engine.queue.size() >= scenario_.queue_limit) {
            const auto how = at_engine.down ? attempt_failure::not_written : attempt_failure::not_run;
            apply(work.node, nodes_[work.node]->on_failure(work.attempt, how, "refused", time()));
            return;
        }
        at_engine.queue.push_back(work);
        run_next(server);
    }

    void run_next(const backend_id& server)
    {
        engine& at_engine = engines_[server];
        if (at_engine.running || at_engine.down || at_engine.queue.empty()) {
            return;
        }
        at_engine.current = at_engine.queue.front();
        at_engine.queue.pop_front();
        at_engine.running = true;
        const double seconds = prefill_seconds(at_engine, at_engine.current.info);
        const std::uint64_t generation = ++at_engine.generation;
        schedule(now_ + seconds, [this, server, generation] { prefilled(server, generation); });
    }

    [[nodiscard]] double prefill_seconds(const engine& at_engine, const request_info& info) const
    {
        const double total = info.prompt_tokens;
        const double cached =
            at_engine.cached.contains(info.segments.front().id) ? info.segments.front().tokens : 0;
        const double fresh = total - cached;
        const double ms = fresh / scenario_.prefill_tokens_per_ms +
                          fresh * (total + cached) / 2 / 1e6 * scenario_.attention_ms_per_million;
        return ms / 1000 * (at_engine.prefills ? 1 : 2);
    }

    void prefilled(const backend_id& server, std::uint64_t generation)
    {
        engine& at_engine = engines_[server];
        if (at_engine.generation != generation || !at_engine.running) {
            return;
        }
        const job done = at_engine.current;
        at_engine.running = false;
        at_engine.cached.insert(done.info.segments.front().id);
        schedule(now_ + network_s, [this, done] {
            if (!done.prefill_only) {
                first_event(done);
            } else if (placed_.contains({done.node, done.attempt.value()})) {
                apply(done.node,
                      nodes_[done.node]->on_prompt_prefilled(done.attempt, test_handle("handle"), time()));
            }
        });
        run_next(server);
    }

    void first_event(const job& done)
    {
        const auto found = placed_.find({done.node, done.attempt.value()});
        if (found == placed_.end()) {
            return;
        }
        caller& to = callers_[requests_[found->second.request]];
        placed_.erase(found);
        relay_core& node = *nodes_[done.node];
        apply(done.node, node.on_stream_head(done.attempt, time()));
        apply(done.node, node.on_events(done.attempt, test_event("1"), time()));
        apply(done.node, node.on_stream_end(done.attempt, time()));
        const auto second = static_cast<std::size_t>(to.arrived);
        result_.served[second] += 1;
        result_.in_time[second] += now_ - to.arrived <= scenario_.target_s ? 1 : 0;
    }

    void cancelled(unsigned node, attempt_id attempt)
    {
        const auto found = placed_.find({node, attempt.value()});
        if (found == placed_.end()) {
            return;
        }
        const backend_id server = found->second.server;
        placed_.erase(found);
        engine& at_engine = engines_[server];
        const auto is_it = [&](const job& each) { return each.node == node && each.attempt == attempt; };
        std::erase_if(at_engine.queue, is_it);
        if (at_engine.running && is_it(at_engine.current)) {
            at_engine.running = false;
            run_next(server);
        }
    }

    void refused(const reply& refusal)
    {
        const std::uint64_t number = requests_[refusal.request.value()];
        caller& from = callers_[number];
        if (refusal.status != 503 || from.tries >= scenario_.tries) {
            result_.refused[static_cast<std::size_t>(from.arrived)] += 1;
            return;
        }
        const double wait = scenario_.callers_honour_retry_after ? to_seconds(refusal.retry_after) : 0.02;
        schedule(now_ + wait + 2 * network_s, [this, number] { arrive(number); });
    }

    void crash(const backend_id& server)
    {
        engine& at_engine = engines_[server];
        at_engine.down = true;
        at_engine.running = false;
        at_engine.queue.clear();
        at_engine.cached.clear();
        std::vector<std::pair<unsigned, attempt_id>> lost;
        for (const auto& [key, where] : placed_) {
            if (where.server == server) {
                lost.emplace_back(key.first, attempt_id(key.second));
            }
        }
        for (const auto& [node, attempt] : lost) {
            placed_.erase({node, attempt.value()});
            apply(node, nodes_[node]->on_failure(attempt, attempt_failure::lost, "reset", time()));
        }
        schedule(now_ + scenario_.outage_s, [this, server] { engines_[server].down = false; });
    }

    void tick(unsigned node)
    {
        apply(node, nodes_[node]->on_tick(time()));
        const engine_loads work = nodes_[node]->engines().own_work();
        const auto segments = nodes_[node]->engines().take_new_segments();
        schedule(now_ + network_s, [this, node, work, segments] {
            for (unsigned peer = 0; peer < scenario_.nodes; ++peer) {
                if (peer != node) {
                    nodes_[peer]->engines().on_peer_work(std::to_string(node), work, true, time());
                    nodes_[peer]->engines().on_peer_segments(segments, time());
                }
            }
        });
        schedule(now_ + tick_s, [this, node] { tick(node); });
    }

    struct placed_attempt
    {
        backend_id server;
        std::uint64_t request = 0;
    };

    overload_scenario scenario_;
    random_generator random_{17};
    std::vector<server_entry> entries_;
    std::map<backend_id, engine> engines_;
    std::vector<std::unique_ptr<relay_core>> nodes_;
    std::map<std::uint64_t, caller> callers_;
    std::map<std::uint64_t, std::uint64_t> requests_; ///< request number to caller
    std::map<std::pair<unsigned, std::uint64_t>, placed_attempt> placed_;
    std::priority_queue<event> events_;
    std::uint64_t last_event_ = 0;
    std::uint64_t last_caller_ = 0;
    std::uint64_t last_request_ = 0;
    double now_ = 0;
    overload_result result_;
};

} // namespace currantspar::relay::test

#endif
