#include "bench/support/virtual_fleet.hpp"

#include <stdexcept>
#include <utility>

#include "bench/support/effect_runner.hpp"
#include "currantspar/config/parse.hpp"

namespace currantspar::bench {

namespace {

node_id node_name(std::size_t index)
{
    return node_id("10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1) + ":7000");
}

} // namespace

virtual_fleet::virtual_fleet(virtual_fleet_options options)
    : options_(std::move(options)), random_(options_.seed), network_(queue_, random_), log_(options_.log),
      vm_list_(options_.vm_list_lag), callers_(*this)
{
    const auto fleet = config::parse_fleet(options_.text);
    if (!fleet) {
        throw std::invalid_argument(config::describe(fleet.error().front(), "text"));
    }
    build(*fleet);
    publish(publish_id("first"), revision(), options_.text);
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        start(index);
    }
    queue_.run_until(now() + options_.vm_list_lag);
}

void virtual_fleet::build(const config::fleet& fleet)
{
    for (const auto& [pair, delay] : fleet.delays) {
        network_.set_delay(pair.first, pair.second, delay);
    }
    nodes_.resize(options_.nodes);
    leaving_.resize(options_.nodes);
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        virtual_node& node = nodes_[index];
        node.id = node_name(index);
        node.data_centre = fleet.data_centres[index % fleet.data_centres.size()];
        node_by_id_[node.id] = index;
        network_.place(node.id.str(), node.data_centre);
    }
    for (const config::service_spec& service : fleet.services) {
        for (const config::engine_spec& spec : service.engines) {
            standin::engine_model_options engine = options_.engine;
            engine.id = spec.id;
            engine.checks_fence = spec.checks_fence;
            engine.goal = {spec.fixed_role.value_or(config::engine_role::mixed), service.load};
            engine.clock_offset = std::chrono::seconds(random_.below(100000));
            engines_.emplace(spec.id, standin::engine_model(engine));
            network_.place(spec.id.str(), spec.data_centre);
        }
        for (const config::backend_spec& spec : service.backends) {
            backends_[spec.id] = virtual_backend{spec.id, service.id, true, false, 0, {}};
            network_.place(spec.id.str(), spec.data_centre);
        }
    }
}

void virtual_fleet::publish(const publish_id& id, revision base, const std::string& text)
{
    agreement::publish_record record;
    record.id = id;
    record.base = base;
    record.author = "operator";
    record.text = text;
    log_.append({agreement::encode_record(record)}, now());
}

std::size_t virtual_fleet::node_index(const node_id& id) const
{
    return node_by_id_.at(id);
}

instant virtual_fleet::node_clock(const virtual_node& node) const
{
    const auto passed = static_cast<double>(now().time_since_epoch().count()) * node.clock_rate;
    return instant(duration(static_cast<duration::rep>(passed))) + node.clock_offset;
}

void virtual_fleet::start(std::size_t index)
{
    virtual_node& node = nodes_[index];
    node.start += 1;
    node.alive = true;
    node.ready = false;
    node.exit_code.reset();
    node.paused_until = instant();
    node.clock_offset = std::chrono::seconds(1 + random_.below(100000));
    node.inbox.clear();
    node.outbox.clear();
    leaving_[index] = false;
    core::core_options options = options_.core;
    options.self = node.id;
    options.data_centre = node.data_centre;
    options.process = incarnation(random_());
    options.seed = random_();
    node.state = std::make_unique<core::node_state>(options);
    update_vm_list();
    const std::uint64_t begun = node.start;
    queue_.after(duration(static_cast<duration::rep>(
                     random_.below(static_cast<std::uint64_t>(options_.tick.count())))),
                 [this, index, begun] { tick(index, begun); });
}

void virtual_fleet::kill(std::size_t index)
{
    virtual_node& node = nodes_[index];
    callers_.on_node_gone(index);
    node.alive = false;
    node.ready = false;
    node.inbox.clear();
    node.outbox.clear();
    node.state.reset();
    std::erase_if(streams_, [&](const auto& entry) { return entry.second.node == index; });
    update_vm_list();
}

void virtual_fleet::leave(std::size_t index)
{
    leaving_[index] = true;
    update_vm_list();
    deliver(index, core::stop_requested{});
}

void virtual_fleet::update_vm_list()
{
    std::vector<core::vm_entry> vms;
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        if (nodes_[index].alive) {
            vms.push_back({nodes_[index].id, nodes_[index].data_centre, leaving_[index]});
        }
    }
    vm_list_.set(std::move(vms), now());
}

void virtual_fleet::pause(std::size_t index, duration time)
{
    virtual_node& node = nodes_[index];
    node.paused_until = std::max(node.paused_until, now() + time);
    const std::uint64_t begun = node.start;
    queue_.at(node.paused_until, [this, index, begun] {
        if (current(index, begun)) {
            drain(index);
        }
    });
}

void virtual_fleet::pause_before(std::size_t node, std::string_view effect_kind, duration time)
{
    held_pauses_[node] = held_pause{std::string(effect_kind), time};
}

void virtual_fleet::pause_in_write(std::size_t node, duration time)
{
    write_pauses_[node] = time;
}

bool virtual_fleet::current(std::size_t node, std::uint64_t start) const
{
    return nodes_[node].alive && nodes_[node].start == start;
}

void virtual_fleet::deliver_to(std::size_t node, std::uint64_t start, core::event_body body)
{
    if (current(node, start)) {
        deliver(node, std::move(body));
    }
}

void virtual_fleet::deliver(std::size_t node, core::event_body body)
{
    if (!nodes_[node].alive) {
        return;
    }
    nodes_[node].inbox.push_back(std::move(body));
    drain(node);
}

void virtual_fleet::tick(std::size_t index, std::uint64_t begun)
{
    if (!current(index, begun)) {
        return;
    }
    // A paused process gets one tick when it wakes, not all that it missed.
    const instant woken = std::max(now(), nodes_[index].paused_until);
    if (woken == now()) {
        deliver(index, core::tick{});
    }
    queue_.at(std::max(woken, now() + options_.tick), [this, index, begun] { tick(index, begun); });
}

void virtual_fleet::drain(std::size_t index)
{
    const std::uint64_t begun = nodes_[index].start;
    run_effects(index);
    while (current(index, begun) && now() >= nodes_[index].paused_until && nodes_[index].outbox.empty() &&
           !nodes_[index].inbox.empty()) {
        virtual_node& node = nodes_[index];
        core::event happened;
        happened.at = node_clock(node);
        happened.wall =
            wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(now().time_since_epoch()));
        happened.body = std::move(node.inbox.front());
        node.inbox.pop_front();
        for (core::effect& effect : core::reduce(*node.state, happened)) {
            node.outbox.push_back(std::move(effect));
        }
        run_effects(index);
    }
}

void virtual_fleet::run_effects(std::size_t index)
{
    const std::uint64_t begun = nodes_[index].start;
    while (current(index, begun) && now() >= nodes_[index].paused_until && !nodes_[index].outbox.empty()) {
        const auto held = held_pauses_.find(index);
        if (held != held_pauses_.end() &&
            core::effect_kind(nodes_[index].outbox.front()) == held->second.effect_kind) {
            const duration time = held->second.time;
            held_pauses_.erase(held);
            pause(index, time);
            return;
        }
        const core::effect effect = std::move(nodes_[index].outbox.front());
        nodes_[index].outbox.pop_front();
        if (on_effect) {
            on_effect(nodes_[index], effect);
        }
        std::visit(effect_runner(*this, index), effect);
    }
}

void virtual_fleet::crash_engine(const engine_id& engine, duration down_for)
{
    engines_.at(engine).crash(now(), down_for);
    std::vector<engine_request_id> broken;
    for (const auto& [request, open] : streams_) {
        if (open.engine == engine && !open.silent) {
            broken.push_back(request);
        }
    }
    for (const engine_request_id& request : broken) {
        end_stream(request, core::attempt_result::broken);
    }
}

void virtual_fleet::silence_connections(std::size_t node, const engine_id& engine)
{
    for (auto& [request, open] : streams_) {
        if (open.node == node && open.engine == engine) {
            open.silent = true;
        }
    }
}

void virtual_fleet::pump(const engine_id& engine)
{
    standin::engine_model& model = engines_.at(engine);
    for (const standin::engine_output& output : model.advance(now())) {
        give_out(engine, output);
    }
    const std::uint64_t version = ++pump_version_[engine];
    const instant next = model.next_output();
    if (next != instant::max()) {
        queue_.at(next, [this, engine, version] {
            if (pump_version_[engine] == version) {
                pump(engine);
            }
        });
    }
}

void virtual_fleet::give_out(const engine_id& engine, const standin::engine_output& output)
{
    const auto found = streams_.find(output.request);
    if (found == streams_.end() || found->second.silent) {
        return;
    }
    const stream open = found->second;
    const endpoint to = nodes_[open.node].id.str();
    network_.send(engine.str(), to, [this, open, output] {
        const auto still = streams_.find(output.request);
        if (still == streams_.end() || still->second.attempt != open.attempt || still->second.silent) {
            return;
        }
        still->second.last_byte = now();
        if (output.kind == standin::engine_output::what::tokens) {
            deliver_to(open.node, open.start,
                       core::attempt_tokens{open.attempt, output.request, output.position, {output.token}});
            return;
        }
        streams_.erase(still);
        if (output.kind == standin::engine_output::what::exported) {
            deliver_to(open.node, open.start,
                       core::kv_moved{open.attempt, core::kv_step::exported,
                                      kv_handle::parse(output.request.str()).value_or(kv_handle())});
            return;
        }
        core::attempt_ended ended;
        ended.attempt = open.attempt;
        ended.engine_request = output.request;
        ended.total_tokens = output.position;
        ended.finish_reason = "stop";
        deliver_to(open.node, open.start, std::move(ended));
    });
}

void virtual_fleet::end_stream(const engine_request_id& request, core::attempt_result how)
{
    const auto found = streams_.find(request);
    if (found == streams_.end()) {
        return;
    }
    const stream open = found->second;
    streams_.erase(found);
    core::attempt_ended ended;
    ended.attempt = open.attempt;
    ended.engine_request = request;
    ended.how = how;
    deliver_to(open.node, open.start, std::move(ended));
}

void virtual_fleet::watch_idle(const engine_request_id& request, attempt_id attempt)
{
    const auto found = streams_.find(request);
    if (found == streams_.end() || found->second.attempt != attempt) {
        return;
    }
    const instant limit = found->second.last_byte + found->second.idle_limit;
    if (limit <= now()) {
        end_stream(request, core::attempt_result::silent);
        return;
    }
    queue_.at(limit, [this, request, attempt] { watch_idle(request, attempt); });
}

} // namespace currantspar::bench
