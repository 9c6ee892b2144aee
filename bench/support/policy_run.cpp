#include "policy_run.hpp"

#include <algorithm>
#include <chrono>
#include <queue>
#include <unordered_map>

namespace currantspar::bench {

namespace {

using policy::attempt_end;
using standin::engine_model;
using standin::engine_output;

constexpr std::uint64_t attempts_per_request = 16;

enum class what
{
    arrive,
    submit,
    engine_output,
    prefilled,
    tokens,
    finished,
    failed,
    poll,
    digest,
    news,
    learn,
    plan,
    close_step,
    changed,
    fault_start,
    fault_end,
};

struct happening
{
    instant at{};
    std::uint64_t order = 0;
    what kind = what::arrive;
    std::size_t subject = 0; ///< request, engine, node or fault
    std::size_t other = 0;   ///< attempt, engine or position

    friend bool operator>(const happening& a, const happening& b)
    {
        return std::tie(a.at, a.order) > std::tie(b.at, b.order);
    }
};

struct live_request
{
    std::uint64_t attempts = 0;
    policy::route route;
    bool decoding = false; ///< past the prefill engine
    std::uint32_t tokens = 0;
    std::uint32_t attempt_from = 0;
    std::set<engine_id> failed;
    instant first{};
    instant last{};
    duration predicted{};
    bool taken = false;
    bool done = false;
};

struct change_in_progress
{
    config::engine_role to = config::engine_role::mixed;
    bool busy = false;
};

class policy_run
{
public:
    policy_run(const scenario& of, const std::vector<arrival>& arrivals, run_setup setup)
        : of_(of), arrivals_(arrivals), setup_(std::move(setup)), live_(arrivals.size()),
          changes_(of.engines.size()), drained_(of.engines.size()), loss_(of.report_loss), random_(99)
    {
        for (std::size_t i = 0; i < of.engines.size(); ++i) {
            standin::engine_model_options options = of.engines[i];
            options.goal.role = i < setup_.prefill_engines ? config::engine_role::prefill
                                : setup_.split             ? config::engine_role::decode
                                                           : config::engine_role::mixed;
            index_[options.id] = i;
            engines_.emplace_back(options);
        }
        cache_next_.assign(of.nodes, std::vector<std::uint64_t>(engines_.size(), 1));
        news_due_.assign(of.nodes, instant{});
        wake_.assign(engines_.size(), instant::max());
    }

    run_result run();

private:
    void push(instant at, what kind, std::size_t subject, std::size_t other = 0)
    {
        events_.push({at, ++order_, kind, subject, other});
    }
    duration delay(std::size_t node, std::size_t engine) const
    {
        const duration local = std::chrono::microseconds(150);
        return node % of_.data_centres == engine % of_.data_centres ? local : local + of_.delay_between;
    }
    attempt_id attempt(std::size_t request) const
    {
        return attempt_id(request * attempts_per_request + live_[request].attempts);
    }
    node_router& router(std::size_t request) { return *setup_.routers[arrivals_[request].node]; }

    void handle(const happening& event);
    void route(std::size_t request);
    void submit(std::size_t request, std::uint64_t attempt);
    void collect(std::size_t engine);
    void deliver(std::size_t engine, const engine_output& output);
    void fail_attempt(std::size_t request);
    void finish(std::size_t request);
    void poll(std::size_t node);
    void share(policy::work_digest digest, std::size_t node);
    void tell_news(std::size_t node);
    void plan();
    [[nodiscard]] policy::pool_view describe_pool(std::size_t number, std::size_t pools);
    void start_change(const policy::role_change& change);
    void close_step(std::size_t engine);
    void fault_step(const fault& entry, bool starts);
    void set_open(std::size_t engine, bool open);
    void summarise();

    const scenario& of_;
    const std::vector<arrival>& arrivals_;
    run_setup setup_;
    std::vector<live_request> live_;
    std::vector<engine_model> engines_;
    std::map<engine_id, std::size_t> index_;
    std::vector<change_in_progress> changes_;
    std::vector<bool> drained_;
    double loss_;
    bool log_out_ = false;
    random_generator random_;
    std::vector<std::vector<std::uint64_t>> cache_next_;
    std::vector<instant> wake_;
    struct sent_message
    {
        policy::work_digest digest;
        std::size_t left = 0; ///< deliveries still to come
    };
    std::unordered_map<std::size_t, sent_message> messages_;
    std::size_t last_message_ = 0;
    std::vector<instant> news_due_;
    std::priority_queue<happening, std::vector<happening>, std::greater<>> events_;
    std::uint64_t order_ = 0;
    instant now_{};
    std::map<engine_id, std::pair<config::engine_role, instant>> last_change_; ///< from, when
    run_result result_;
};

void policy_run::route(std::size_t request)
{
    live_request& live = live_[request];
    const arrival& from = arrivals_[request];
    const auto before = std::chrono::steady_clock::now();
    const auto chosen = router(request).choose(from.shape, now_, live.failed);
    const auto after = std::chrono::steady_clock::now();
    result_.decision_us.push_back(std::chrono::duration<double, std::micro>(after - before).count());
    if (!chosen || live.attempts + 2 >= attempts_per_request / 2) {
        live.done = true;
        return;
    }
    live.attempts += 1;
    live.route = *chosen;
    live.decoding = chosen->prefill_engine.empty();
    live.attempt_from = live.tokens;
    if (!live.taken) {
        live.taken = true;
        live.predicted = chosen->predicted_first_token;
    }
    router(request).on_sent(attempt(request), *chosen, from.shape, now_);
    const engine_id& first = live.decoding ? chosen->engine : chosen->prefill_engine;
    tell_news(from.node);
    push(now_ + delay(from.node, index_.at(first)), what::submit, request, live.attempts);
}

void policy_run::submit(std::size_t request, std::uint64_t number)
{
    live_request& live = live_[request];
    if (live.done || live.attempts != number) {
        return;
    }
    const arrival& from = arrivals_[request];
    const bool split = !live.route.prefill_engine.empty();
    const std::size_t engine = index_.at(live.decoding ? live.route.engine : live.route.prefill_engine);
    standin::engine_work work;
    work.request = engine_request_id(std::to_string(attempt(request).value()));
    work.prompt_tokens = from.shape.prompt_tokens;
    work.prefix_pieces = from.shape.prefix_pieces;
    work.output_tokens = from.output_tokens;
    work.from_position = live.tokens;
    work.priority = from.shape.priority;
    work.prefill_only = split && !live.decoding;
    work.kv_imported = split && live.decoding;
    if (engines_[engine].submit(work, now_) != standin::work_answer::accepted) {
        push(now_ + delay(from.node, engine), what::failed, request, number);
        return;
    }
    router(request).on_accepted(attempt(request), engines_[engine].clock(now_));
    collect(engine);
}

void policy_run::collect(std::size_t engine)
{
    for (const engine_output& output : engines_[engine].advance(now_)) {
        deliver(engine, output);
    }
    const instant next = engines_[engine].next_output();
    if (next != instant::max() && next != wake_[engine]) {
        wake_[engine] = next;
        push(next, what::engine_output, engine);
    }
}

void policy_run::deliver(std::size_t engine, const engine_output& output)
{
    const std::uint64_t name = std::stoull(output.request.str());
    const std::size_t request = name / attempts_per_request;
    live_request& live = live_[request];
    if (live.done || live.attempts != name % attempts_per_request) {
        return;
    }
    const instant seen = now_ + delay(arrivals_[request].node, engine);
    switch (output.kind) {
    case engine_output::what::exported:
        push(seen, what::prefilled, request, live.attempts);
        break;
    case engine_output::what::tokens:
        push(seen, what::tokens, request, output.position + 1);
        break;
    case engine_output::what::finished:
        push(seen, what::finished, request, output.position);
        break;
    }
}

void policy_run::fail_attempt(std::size_t request)
{
    live_request& live = live_[request];
    router(request).on_ended(attempt(request), attempt_end::broken, now_);
    live.failed.insert(live.decoding ? live.route.engine : live.route.prefill_engine);
    route(request);
}

void policy_run::finish(std::size_t request)
{
    live_request& live = live_[request];
    router(request).on_ended(attempt(request), attempt_end::complete, now_);
    live.done = true;
    const arrival& from = arrivals_[request];
    const double second = to_seconds(from.at.time_since_epoch());
    const double first = to_milliseconds(live.first - from.at);
    const double between =
        live.tokens > 1 ? to_milliseconds(live.last - live.first) / (live.tokens - 1) : 0.0;
    if (second < of_.warm_up_s) {
        return;
    }
    result_.first_token_ms.push_back(first);
    result_.between_tokens_ms.push_back(between);
    if (live.attempts == 1) {
        result_.prediction_error_ms.push_back(
            std::abs(first - to_milliseconds(live.predicted + 2 * of_.caller_delay)));
    }
    if (first <= to_milliseconds(of_.targets.first_token) &&
        between <= to_milliseconds(of_.targets.between_tokens)) {
        result_.good_by_second[static_cast<std::size_t>(second)] += 1;
        result_.light_goodput_share += from.heavy ? 0 : 1;
    }
}

void policy_run::poll(std::size_t node)
{
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        if (engines_[i].down(now_) || engines_[i].paused(now_) || random_.unit() < loss_) {
            continue;
        }
        setup_.routers[node]->on_report(engines_[i].report(now_), now_);
        const auto batch = engines_[i].cache_events(cache_next_[node][i], now_);
        if (!batch.changes.empty()) {
            cache_next_[node][i] = batch.first_sequence + batch.changes.size();
            setup_.routers[node]->on_cache_events(batch, now_);
        }
    }
    push(now_ + of_.report_poll, what::poll, node);
}

void policy_run::share(policy::work_digest digest, std::size_t node)
{
    const std::size_t message = ++last_message_;
    std::size_t sent = 0;
    for (std::size_t other = 0; other < of_.nodes; ++other) {
        if (other != node && random_.unit() >= loss_) {
            push(now_ + delay(node, other), what::learn, other, message);
            sent += 1;
        }
    }
    if (sent > 0) {
        messages_[message] = {std::move(digest), sent};
    }
}

void policy_run::tell_news(std::size_t node)
{
    if (setup_.routers[node]->has_changes() && now_ >= news_due_[node]) {
        news_due_[node] = now_ + of_.news_every;
        push(news_due_[node], what::news, node);
    }
}

void policy_run::set_open(std::size_t engine, bool open)
{
    for (const auto& router : setup_.routers) {
        router->set_open(engines_[engine].options().id, open);
    }
}

void policy_run::plan()
{
    push(now_ + std::chrono::seconds(1), what::plan, 0);
    const std::size_t pools = setup_.roles.size();
    for (std::size_t pool = 0; pool < pools && !log_out_; ++pool) {
        const policy::pool_view view = describe_pool(pool, pools);
        for (const policy::role_change& change : setup_.roles[pool]->plan(view, now_)) {
            start_change(change);
        }
    }
}

policy::pool_view policy_run::describe_pool(std::size_t number, std::size_t pools)
{
    policy::pool_view pool;
    pool.pool.service = service_id("model");
    pool.options = of_.roles;
    pool.targets = of_.targets;
    if (policy::dispatcher* own = setup_.routers[number % of_.nodes]->dispatcher()) {
        own->describe_pool(pool, now_);
    }
    for (std::size_t i = number; i < engines_.size(); i += pools) {
        const policy::engine_report report = engines_[i].report(now_);
        policy::role_candidate entry;
        entry.engine = report.engine;
        entry.role = changes_[i].busy ? changes_[i].to : engines_[i].options().goal.role; // read back
        entry.available =
            !changes_[i].busy && !drained_[i] && report.condition == policy::engine_condition::serving;
        entry.changing = changes_[i].busy;
        entry.running = report.running + report.queued;
        entry.prefill_tokens_left = report.prefill_tokens_left;
        pool.engines.push_back(entry);
    }
    const double share = static_cast<double>(pool.engines.size()) / static_cast<double>(engines_.size());
    pool.prefill_tokens_per_second *= share;
    pool.decode_tokens_per_second *= share;
    pool.requests_per_second *= share;
    return pool;
}

void policy_run::start_change(const policy::role_change& change)
{
    const std::size_t engine = index_.at(change.engine);
    changes_[engine] = {change.to, true};
    result_.role_changes += 1;
    result_.change_seconds.push_back(to_seconds(now_.time_since_epoch()));
    const auto last = last_change_.find(change.engine);
    const duration pay_back = 4 * of_.roles.role_change_time;
    if (last != last_change_.end() && last->second.first == change.to &&
        now_ - last->second.second < pay_back) {
        result_.reversals += 1;
    }
    last_change_[change.engine] = {change.from, now_};
    set_open(engine, false);
    push(now_ + std::chrono::milliseconds(200), what::close_step, engine);
}

void policy_run::close_step(std::size_t engine)
{
    if (engines_[engine].state(now_).in_flight > 0) {
        push(now_ + std::chrono::milliseconds(200), what::close_step, engine);
        return;
    }
    agreement::engine_goal goal;
    goal.role = changes_[engine].to;
    engines_[engine].order(order_id(++order_), fence(1), goal, now_);
    push(now_ + of_.roles.role_change_time, what::changed, engine);
}

void policy_run::fault_step(const fault& entry, bool starts)
{
    const duration length = from_seconds(entry.for_s);
    if (entry.kind == "report_loss") {
        loss_ = starts ? entry.value : of_.report_loss;
    }
    log_out_ = entry.kind == "log_outage" ? starts : log_out_;
    for (const std::size_t i : entry.engines) {
        if (i >= engines_.size()) {
            continue;
        }
        if (entry.kind == "slow") {
            engines_[i].set_speed(of_.engines[i].speed * (starts ? entry.value : 1), now_);
        } else if (entry.kind == "cache_events_lost") {
            engines_[i].lose_cache_events(starts);
        } else if (entry.kind == "drain") {
            drained_[i] = starts;
            set_open(i, !starts);
        } else if (entry.kind == "pause" && starts) {
            engines_[i].pause(now_, length);
        } else if (entry.kind == "crash" && starts) {
            engines_[i].crash(now_, length);
            for (std::size_t request = 0; request < live_.size(); ++request) {
                const live_request& live = live_[request];
                const bool here = (live.decoding ? live.route.engine : live.route.prefill_engine) ==
                                  engines_[i].options().id;
                if (live.taken && !live.done && here) {
                    push(now_ + delay(arrivals_[request].node, i), what::failed, request, live.attempts);
                }
            }
            push(now_ + length, what::close_step, i);
            changes_[i] = {config::engine_role::mixed, true};
        }
        collect(i);
    }
}

void policy_run::handle(const happening& event)
{
    const std::size_t subject = event.subject;
    switch (event.kind) {
    case what::arrive:
        route(subject);
        if (subject + 1 < arrivals_.size()) {
            push(arrivals_[subject + 1].at + of_.caller_delay, what::arrive, subject + 1);
        }
        return;
    case what::submit:
        submit(subject, event.other);
        return;
    case what::engine_output:
        if (wake_[subject] == now_) {
            wake_[subject] = instant::max();
            collect(subject);
        }
        return;
    case what::prefilled: {
        live_request& live = live_[subject];
        if (live.done || live.attempts != event.other) {
            return;
        }
        live.decoding = true;
        router(subject).on_prefilled(attempt(subject), now_);
        tell_news(arrivals_[subject].node);
        const duration move = from_seconds(arrivals_[subject].shape.prompt_tokens / of_.kv_tokens_per_second);
        push(now_ + move + delay(arrivals_[subject].node, index_.at(live.route.engine)), what::submit,
             subject, live.attempts);
        return;
    }
    case what::tokens:
    case what::finished: {
        live_request& live = live_[subject];
        const std::uint32_t fresh = static_cast<std::uint32_t>(event.other) - live.tokens;
        if (live.tokens == 0) {
            live.first = now_ + of_.caller_delay;
        }
        live.tokens = static_cast<std::uint32_t>(event.other);
        live.last = now_ + of_.caller_delay;
        router(subject).on_tokens(attempt(subject), fresh, now_);
        tell_news(arrivals_[subject].node);
        if (event.kind == what::finished) {
            finish(subject);
        }
        return;
    }
    case what::failed:
        if (!live_[subject].done && live_[subject].attempts == event.other) {
            fail_attempt(subject);
        }
        return;
    case what::poll:
        poll(subject);
        return;
    case what::digest:
        share(setup_.routers[subject]->make_digest(now_), subject);
        push(now_ + std::chrono::seconds(1), what::digest, subject);
        return;
    case what::news:
        share(setup_.routers[subject]->make_delta_digest(), subject);
        return;
    case what::learn:
        setup_.routers[subject]->on_digest(messages_.at(event.other).digest, now_);
        if (--messages_.at(event.other).left == 0) {
            messages_.erase(event.other);
        }
        return;
    case what::plan:
        plan();
        return;
    case what::close_step:
        close_step(subject);
        return;
    case what::changed:
        changes_[subject].busy = false;
        set_open(subject, !drained_[subject]);
        for (const auto& control : setup_.roles) {
            control->on_changed(engines_[subject].options().id, changes_[subject].to, now_);
        }
        return;
    case what::fault_start:
    case what::fault_end:
        fault_step(of_.faults[subject], event.kind == what::fault_start);
        return;
    }
}

run_result policy_run::run()
{
    result_.policy = setup_.policy;
    result_.good_by_second.resize(static_cast<std::size_t>(of_.duration_s) + 1);
    result_.offered_by_second = result_.good_by_second;
    if (arrivals_.empty()) {
        return result_;
    }
    push(arrivals_.front().at + of_.caller_delay, what::arrive, 0);
    for (std::size_t node = 0; node < of_.nodes; ++node) {
        const auto phase = static_cast<std::int64_t>(node) * 100 / static_cast<std::int64_t>(of_.nodes);
        push(instant(of_.report_poll * phase / 100), what::poll, node);
        push(instant(std::chrono::milliseconds(1000) * phase / 100), what::digest, node);
    }
    push(instant(std::chrono::seconds(5)), what::plan, 0);
    for (std::size_t i = 0; i < of_.faults.size(); ++i) {
        push(instant(from_seconds(of_.faults[i].at_s)), what::fault_start, i);
        push(instant(from_seconds(of_.faults[i].at_s + of_.faults[i].for_s)), what::fault_end, i);
    }
    const instant end(from_seconds(of_.duration_s + 60)); // lets the last answers end
    while (!events_.empty() && events_.top().at < end) {
        const happening event = events_.top();
        events_.pop();
        now_ = event.at;
        handle(event);
    }
    summarise();
    return std::move(result_);
}

void policy_run::summarise()
{
    const double seconds = of_.duration_s - of_.warm_up_s;
    double light = 0;
    for (std::size_t i = 0; i < arrivals_.size(); ++i) {
        const double second = to_seconds(arrivals_[i].at.time_since_epoch());
        if (second < of_.warm_up_s) {
            continue;
        }
        result_.offered += 1 / seconds;
        result_.offered_by_second[static_cast<std::size_t>(second)] += 1;
        light += arrivals_[i].heavy ? 0 : 1;
        result_.refused += live_[i].taken ? 0 : 1;
        const bool whole = live_[i].done && live_[i].tokens >= arrivals_[i].output_tokens;
        result_.broken += live_[i].taken && !whole ? 1 : 0;
    }
    for (const double good : result_.good_by_second) {
        result_.goodput += good / seconds;
    }
    result_.light_goodput_share = light > 0 ? result_.light_goodput_share / light : 1;
}

} // namespace

run_result run_policy(const scenario& of, const std::vector<arrival>& arrivals, run_setup setup)
{
    return policy_run(of, arrivals, std::move(setup)).run();
}

} // namespace currantspar::bench
