#include "gateway_node.hpp"

#include <algorithm>
#include <utility>

#include "currantspar/base/hash.hpp"
#include "currantspar/io/clock.hpp"
#include "currantspar/io/log.hpp"
#include "gateway_attempt.hpp"

namespace currantspar::gateway {

namespace {

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
/// The fraction of the retry budget that is used, because a node learns late how many nodes share it.
constexpr double retry_margin = 0.8;
constexpr duration idle_check_period = std::chrono::milliseconds(250);
constexpr int min_server_error = 500;
constexpr duration min_logged_tick_delay = std::chrono::milliseconds(250);
/// Between two looks at which nodes share the limits of servers.
constexpr duration share_update_period = std::chrono::milliseconds(250);

relay::relay_options to_options(const gateway_settings& settings)
{
    relay::relay_options options;
    options.data_centre = settings.data_centre;
    options.seed = fast_hash(settings.node);
    options.retries_per_request = settings.retry_ratio * retry_margin;
    options.retries_reserve = settings.retry_reserve * retry_margin;
    options.strict_revocation = settings.strict_revocation;
    options.admission.ranks_requests = settings.ranks_requests;
    return options;
}

peer_link_options to_peer_options(const gateway_settings& settings)
{
    peer_link_options options;
    if (settings.batches_load) {
        options.remote_period_per_pair = std::chrono::microseconds(20);
        options.release_delay_periods = 4;
    }
    return options;
}

/// Descriptors of the process's own: files, listeners, probe and metrics connections.
constexpr std::size_t own_descriptors = 200;
constexpr std::size_t default_connections = 4096;
constexpr std::size_t min_connections = 16;
/// A caller's connection may be replaced by a new one after this long without a request, when there are too
/// many.
constexpr duration min_idle_time = std::chrono::milliseconds(250);

/// The most connections of callers: half of the free descriptors, because each open request takes another one
/// for its server.
std::size_t max_caller_connections(std::size_t max_descriptors)
{
    if (max_descriptors == 0) {
        return default_connections;
    }
    const std::size_t free = max_descriptors > own_descriptors ? max_descriptors - own_descriptors : 0;
    return std::max(min_connections, free / 2);
}

memory_plan plan_memory_of(const gateway_settings& settings)
{
    return plan_memory(settings.memory_bytes,
                       max_caller_connections(settings.max_descriptors) + listen_backlog);
}

server_pool_options server_options(const memory_plan& plan)
{
    server_pool_options options;
    options.receive_buffer = plan.server_receive_buffer;
    return options;
}

server_pool_options store_pool_options()
{
    server_pool_options options;
    options.responses_have_ids = false;
    return options;
}

} // namespace

gateway_node::gateway_node(ACE_Reactor& reactor, const wire_protocol& wire, gateway_settings settings)
    : wire_(wire), settings_(std::move(settings)), memory_plan_(plan_memory_of(settings_)),
      budget_(memory_plan_.budget), core_(to_options(settings_)),
      servers_(reactor, server_options(memory_plan_)), store_(reactor, store_pool_options()),
      readiness_server_(
          reactor, [this](const http_request& request) { return handle_readiness_probe(request); }, budget_),
      metrics_server_(
          reactor, [this](const http_request&) { return handle_metrics_request(); }, budget_),
      caller_server_(reactor, *this,
                     [this] {
                         const relay::caller_limits now = limits();
                         return reader_limits{now.header_bytes, now.body_bytes};
                     },
                     {max_caller_connections(settings_.max_descriptors), min_idle_time,
                      memory_plan_.caller_receive_buffer, &budget_}),
      peers_(reactor, to_peer_options(settings_),
             [this](const load_digest& digest) { on_digest(digest, io::monotonic_now()); }),
      usage_(settings_.duties, settings_.peer_address,
             [this](const std::vector<std::string>& collectors, const std::vector<window_usage>& counts) {
                 load_digest digest;
                 digest.usage = counts;
                 peers_.send_to(collectors, std::move(digest));
             }),
      roles_(servers_, store_, wire, core_, settings_.node, settings_.store_address),
      duties_(store_, wire, settings_), store_reader_(store_, wire, core_, peers_, settings_,
                                                      [this](const relay::server_entry& entry) {
                                                          if (entry.role) {
                                                              roles_.on_role(entry.id, *entry.role);
                                                          }
                                                      }),
      probes_(reactor), capacity_(core_, settings_)
{
    if (settings_.duties.usage) {
        duties_.add(usage_.duty());
    }
    if (settings_.duties.capacity) {
        duties_.add(capacity_.duty());
    }
    core_.engines().prefer_connected(
        [this](const std::string& address) { return servers_.has_idle(address); });
    store_.observe_heads([this](int status, const http_fields& fields) {
        // An error may come from something in front of the store, which doesn't know the era.
        if (status < min_server_error) {
            seen_store_era_ = std::max(seen_store_era_.value_or(0), wire_.decode_store_era(fields));
        }
    });
}

gateway_node::~gateway_node() = default;

result<void> gateway_node::start()
{
    if (auto opened = readiness_server_.open(settings_.ready_address); !opened) {
        return opened;
    }
    if (auto opened = caller_server_.open(settings_.caller_address); !opened) {
        return opened;
    }
    if (!settings_.metrics_address.empty()) {
        if (auto opened = metrics_server_.open(settings_.metrics_address); !opened) {
            return opened;
        }
    }
    if (!settings_.peer_address.empty()) {
        if (auto opened = peers_.open(settings_.peer_address, settings_.data_centre); !opened) {
            return opened;
        }
    }
    store_reader_.open(settings_.store_address);
    io::log_event(io::log_level::info, "started",
                  {{"node", settings_.node},
                   {"data_centre", settings_.data_centre.str()},
                   {"front", settings_.caller_address},
                   {"store", settings_.store_address}});
    return {};
}

http_response gateway_node::handle_readiness_probe(const http_request& request) const
{
    const bool is_ready = wire_.is_readiness_probe(request) && ready();
    return {is_ready ? status_ok : status_unavailable, {}, {}};
}

http_response gateway_node::handle_metrics_request()
{
    const gateway_counts counts{servers_.connects(),
                                caller_server_.size(),
                                peers_.live_nodes(),
                                core_.routes().version(),
                                buffered_bytes_,
                                budget_.used(),
                                caller_server_.closed_for_resources(),
                                refused_for_memory_,
                                io::dropped_log_lines(),
                                ready(),
                                usage_.duty().reported_windows(),
                                usage_.duty().missed_windows()};
    return {status_ok,
            {{"Content-Type", "text/plain; version=0.0.4"}},
            metrics_.text(core_, counts, capacity_.figures())};
}

// Callers.

relay::caller_limits gateway_node::limits() const
{
    const auto& config = core_.routes().config();
    return config ? config->limits : relay::caller_limits{};
}

void gateway_node::request_arrived(caller_connection& from, http_request request)
{
    const instant now = io::monotonic_now();
    if (budget_.exceeded()) {
        refuse_for_memory(from, now);
        return;
    }
    auto decoded = wire_.decode_request(request);
    if (!decoded) {
        if (const auto count = invalid_lines_.on_event(now)) {
            io::log_event(io::log_level::warning, "request_invalid",
                          {{"reason", decoded.error().message}, {"count", std::to_string(*count)}});
        }
        from.respond(400, {}, "", false);
        return;
    }
    if (!accepts_requests(now)) {
        refuse_while_stopping(from, decoded->id);
        return;
    }
    const relay::request_number number(++last_request_);
    from.number = number;
    callers_.emplace(number, caller{&from, std::move(request), now});
    run(core_.on_request(number, std::move(*decoded), now), now);
    update_peers(now);
}

void gateway_node::request_malformed(int status)
{
    if (const auto count = malformed_lines_.on_event(io::monotonic_now())) {
        io::log_event(io::log_level::warning, "request_malformed",
                      {{"status", std::to_string(status)}, {"count", std::to_string(*count)}});
    }
}

void gateway_node::connection_closed(caller_connection& closed)
{
    if (closed.has_request() && callers_.erase(closed.number) > 0) {
        const instant now = io::monotonic_now();
        run(core_.on_caller_disconnected(closed.number, closed.close_reason(), now), now);
    }
}

gateway_node::caller* gateway_node::find_caller(relay::request_number number)
{
    const auto found = callers_.find(number);
    return found == callers_.end() ? nullptr : &found->second;
}

caller_connection* gateway_node::finish_caller(relay::request_number number, instant now)
{
    const auto found = callers_.find(number);
    if (found == callers_.end()) {
        return nullptr;
    }
    caller_connection* connection = found->second.connection;
    metrics_.on_ended(now - found->second.arrived);
    callers_.erase(found);
    return connection;
}

// Effects.

void gateway_node::run(const relay::relay_effects& effects, instant now)
{
    for (const relay::relay_effect& effect : effects) {
        std::visit([&](const auto& each) { apply(each, now); }, effect);
    }
}

void gateway_node::apply(const relay::start_attempt& effect, instant now)
{
    const caller* from = find_caller(effect.request);
    if (from == nullptr) {
        return;
    }
    auto created = std::make_unique<attempt>(*this, effect);
    attempt& added = *created;
    attempts_.emplace(effect.attempt, std::move(created));
    auto encoded = wire_.encode_attempt(from->request, effect);
    if (!encoded) {
        run(core_.on_not_encoded(effect.attempt, encoded.error().message, now), now);
        return;
    }
    const bool is_head = from->request.method == "HEAD";
    added.exchange =
        servers_.start(effect.address.str(), {std::move(*encoded), effect.request_id, is_head}, added, now);
}

void gateway_node::apply(const relay::cancel_attempt& effect, instant)
{
    retire(effect.attempt);
}

void gateway_node::apply(const relay::open_response& effect, instant)
{
    const caller* to = find_caller(effect.request);
    const auto from = attempts_.find(effect.attempt);
    if (to == nullptr || from == attempts_.end()) {
        return;
    }
    from->second->streaming = true;
    if (effect.with_head) {
        to->connection->begin_response(from->second->decoded.status, from->second->fields, stopping_);
    }
}

void gateway_node::apply(const relay::end_response& effect, instant now)
{
    if (caller_connection* connection = finish_caller(effect.request, now)) {
        connection->end_response();
    }
}

void gateway_node::apply(const relay::abort_response& effect, instant now)
{
    if (caller_connection* connection = finish_caller(effect.request, now)) {
        connection->abort("response aborted");
    }
}

void gateway_node::apply(const relay::deliver_response& effect, instant now)
{
    const auto from = attempts_.find(effect.attempt);
    if (from == attempts_.end()) {
        return;
    }
    if (caller_connection* connection = finish_caller(effect.request, now)) {
        const attempt& completed = *from->second;
        connection->respond(completed.decoded.status, completed.fields, completed.body, stopping_);
    }
}

void gateway_node::apply(const relay::reply& effect, instant now)
{
    if (caller_connection* connection = finish_caller(effect.request, now)) {
        connection->respond(effect.status, wire_.encode_reply(effect), "", stopping_);
    }
}

void gateway_node::apply(const relay::free_kv_cache& effect, instant now)
{
    // An exported KV cache that isn't freed expires by itself, so the response is only logged.
    calls_.start(
        servers_, effect.address.str(), wire_.encode_free_kv_cache(effect), call_timeout,
        [address = effect.address.str()](const http_response* response) {
            io::log_event(io::log_level::info, "prompt_freed",
                          {{"address", address},
                           {"status", response == nullptr ? "none" : std::to_string(response->status)}});
        },
        now);
}

void gateway_node::apply(const relay::probe_server& effect, instant now)
{
    probes_.start(
        effect.address.str(),
        [this, server = effect.server](relay::probe_result result) {
            const instant ended_at = io::monotonic_now();
            run(core_.on_probed(server, result, ended_at), ended_at);
            update_peers(ended_at);
        },
        now);
}

void gateway_node::apply(const relay::log_decision& effect, instant)
{
    std::vector<io::log_field> fields;
    if (!effect.request_id.empty()) {
        fields.push_back({"request", effect.request_id});
    }
    for (const auto& [key, value] : effect.fields) {
        fields.push_back({key, value});
    }
    io::log_event(io::log_level::info, effect.event, fields);
}

// Time.

void gateway_node::on_tick(instant now)
{
    io::flush_log();
    update_budget(now);
    log_engine_speeds(now);
    if (seen_store_era_) {
        apply_store_era(*seen_store_era_, now);
    }
    store_reader_.on_tick(now);
    announce(now);
    calls_.on_tick(now);
    probes_.on_tick(now);
    servers_.on_tick(now);
    store_.on_tick(now);
    update_peers(now);
    update_usage(now);
    if (!stopping_) {
        roles_.on_tick(peers_.rank(), now);
        duties_.on_tick(peers_.rank(), now);
    }
    core_.on_nodes(peers_.live_nodes());
    if (now >= shares_due_) {
        shares_due_ = now + share_update_period;
        core_.limits().set_nodes(settings_.peer_address, peers_.recent_peers(now), now);
    }
    core_.quarantine().set_rank(peers_.rank());
    core_.engines().set_view_lag(peers_.view_lag());
    run(core_.on_tick(now), now);
    send_demand(now);
    capacity_.on_tick(peers_.recent_peers(now), now, io::suspend_aware_now());
    end_open_requests(now);
    if (now >= idle_check_due_) {
        idle_check_due_ = now + idle_check_period;
        close_idle(now);
    }
    if (core_.ready() != was_ready_) {
        was_ready_ = core_.ready();
        io::log_event(io::log_level::info, "readiness_changed", {{"ready", was_ready_ ? "true" : "false"}});
    }
    caller_server_.on_tick(now);
    retired_.clear();
    readiness_server_.on_tick(now);
    metrics_server_.on_tick(now);
}

void gateway_node::on_tick_delay(duration delay)
{
    metrics_.on_tick_delay(delay);
    if (delay > min_logged_tick_delay) {
        const auto delay_ms = std::chrono::duration_cast<std::chrono::milliseconds>(delay);
        io::log_event(io::log_level::warning, "reactor_stalled",
                      {{"delay_ms", std::to_string(delay_ms.count())},
                       {"open_requests", std::to_string(core_.open_requests())}});
    }
}

void gateway_node::reload(const gateway_settings& new_settings)
{
    if (new_settings.store_address != settings_.store_address) {
        settings_.store_address = new_settings.store_address;
        store_reader_.open(settings_.store_address);
        roles_.use_store(settings_.store_address);
        duties_.use_store(settings_.store_address);
    }
    io::log_event(io::log_level::info, "settings_reloaded", {{"store", settings_.store_address}});
}

bool gateway_node::ready() const
{
    return core_.ready() && !stopping_;
}

} // namespace currantspar::gateway
