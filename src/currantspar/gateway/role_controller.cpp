#include "role_controller.hpp"

#include <algorithm>

#include "currantspar/io/clock.hpp"
#include "currantspar/io/log.hpp"

namespace currantspar::gateway {

namespace {

std::string role_name(config::engine_role role)
{
    return role == config::engine_role::prefill ? "prefill" : "decode";
}

} // namespace

role_controller::role_controller(server_pool& servers, server_pool& store, const wire_protocol& wire,
                                 relay::relay_core& core, std::string node, std::string store_address,
                                 role_controller_options options)
    : servers_(servers), store_(store), wire_(wire), core_(core), node_(std::move(node)),
      store_address_(std::move(store_address)), options_(options)
{}

void role_controller::start(server_pool& pool, const std::string& address, result<std::string> request,
                            duration timeout, unary_calls::response_handler done)
{
    calls_.start(pool, address, std::move(request), timeout, std::move(done), io::monotonic_now());
}

void role_controller::on_tick(std::size_t rank, instant now)
{
    if (started_at_ == instant()) {
        started_at_ = now;
    }
    calls_.on_tick(now);
    if (now < check_due_ || now - started_at_ < options_.settle_time) {
        return;
    }
    check_due_ = now + options_.check_period;
    const std::vector<relay::role_change> requested = plan(now);
    if (requested.empty()) {
        requested_since_ = instant();
        return;
    }
    if (requested_since_ == instant()) {
        requested_since_ = now;
    }
    if (now - requested_since_ < options_.claim_stagger * static_cast<std::int64_t>(rank)) {
        return;
    }
    if (!lease_.token(io::suspend_aware_now())) {
        advance_lease(true);
        return;
    }
    for (const relay::role_change& each : requested) {
        order(each);
    }
}

std::vector<relay::role_change> role_controller::plan(instant now)
{
    std::erase_if(changing_, [&](const auto& entry) { return now >= entry.second.until; });
    std::set<backend_id> changing;
    for (const auto& [engine, ordered] : changing_) {
        changing.insert(engine);
    }
    std::vector<relay::role_change> requested;
    const auto& config = core_.routes().config();
    if (!config) {
        return requested;
    }
    if (core_.open_requests() > 0) {
        last_served_at_ = now;
    }
    const bool serving = last_served_at_ != instant() && now - last_served_at_ < options_.serving_linger;
    for (const relay::relayed_service& service : config->services) {
        if (!service.engines) {
            continue;
        }
        const auto changes =
            relay::plan_roles(core_.responsive_servers(service.id, now), changing, serving, options_.plan);
        requested.insert(requested.end(), changes.begin(), changes.end());
    }
    return requested;
}

void role_controller::advance_lease(bool requested)
{
    switch (lease_.next(requested, io::suspend_aware_now())) {
    case relay::lease_action::none:
        return;
    case relay::lease_action::read:
        start(store_, store_address_, wire_.encode_listing(shared_topic::authority, {}),
              options_.order_timeout, [this, call = ++lease_call_](const http_response* response) {
                  if (call == lease_call_) {
                      on_claims_read(response);
                  }
              });
        return;
    case relay::lease_action::claim:
        start(store_, store_address_,
              wire_.encode_conditional_append(shared_topic::authority, "roles", node_, lease_.expected_end()),
              options_.order_timeout, [this, call = ++lease_call_](const http_response* response) {
                  if (call == lease_call_) {
                      on_claim_ended(response);
                  }
              });
        return;
    }
}

void role_controller::on_claims_read(const http_response* response)
{
    const auto page = response == nullptr ? fail(error_kind::timeout, "response timed out")
                                          : wire_.decode_listing(*response);
    if (!page) {
        lease_.on_failed(io::suspend_aware_now());
        return;
    }
    const bool any = !page->records.empty();
    lease_.on_read(any ? std::optional(page->records.back().offset) : std::nullopt, page->end,
                   wire_.decode_store_era(response->fields), io::suspend_aware_now());
}

void role_controller::on_claim_ended(const http_response* response)
{
    const auto offset = response == nullptr ? fail(error_kind::timeout, "response timed out")
                                            : wire_.decode_append(*response);
    if (!offset) {
        lease_.on_failed(io::suspend_aware_now());
        io::log_event(io::log_level::info, "lease_not_claimed", {{"reason", offset.error().message}});
        return;
    }
    const std::uint64_t era = wire_.decode_store_era(response->fields);
    lease_.on_claimed(*offset, era, io::suspend_aware_now());
    io::log_event(
        io::log_level::info, "lease_claimed",
        {{"authority", "roles"}, {"offset", std::to_string(*offset)}, {"era", std::to_string(era)}});
}

void role_controller::order(const relay::role_change& requested)
{
    const relay::server_entry* engine = core_.directory().find(requested.engine);
    if (engine == nullptr) {
        return;
    }
    changing_[requested.engine] = {requested.role, io::monotonic_now() + options_.change_time};
    const relay::server_entry entry = *engine;
    start(servers_, entry.address.str(), wire_.encode_status(entry), options_.order_timeout,
          [this, requested, entry](const http_response* response) {
              if (response == nullptr) {
                  changing_.erase(requested.engine);
                  return;
              }
              on_status(requested, entry, *response);
          });
}

void role_controller::on_status(const relay::role_change& requested, const relay::server_entry& engine,
                                const http_response& response)
{
    const auto status = wire_.decode_status(response);
    if (!status || status->changing || status->role == requested.role) {
        changing_.erase(requested.engine);
        return;
    }
    send_order(requested, engine, status->orders);
}

void role_controller::send_order(const relay::role_change& requested, const relay::server_entry& engine,
                                 std::uint64_t orders)
{
    const auto token = lease_.token(io::suspend_aware_now());
    if (!token) {
        changing_.erase(requested.engine);
        return;
    }
    io::log_event(io::log_level::info, "order_sent",
                  {{"engine", engine.id.str()},
                   {"role", role_name(requested.role)},
                   {"token", std::to_string(*token)},
                   {"orders_before", std::to_string(orders)}});
    start(servers_, engine.address.str(), wire_.encode_order(engine, {requested.role, node_, *token, orders}),
          options_.order_timeout, [this, id = engine.id, token = *token](const http_response* response) {
              if (response == nullptr) {
                  // The order may still take effect: the engine's entry shows it, or change_time expires.
                  io::log_event(io::log_level::warning, "order_unanswered", {{"engine", id.str()}});
                  return;
              }
              on_ordered(id, token, *response);
          });
}

void role_controller::on_ordered(const backend_id& engine, std::uint64_t token, const http_response& response)
{
    const order_outcome outcome = wire_.decode_order(response);
    io::log_event(io::log_level::info, "order_answered",
                  {{"engine", engine.str()},
                   {"token", std::to_string(token)},
                   {"status", std::to_string(response.status)}});
    if (outcome == order_outcome::superseded) {
        lease_.on_superseded();
    }
    if (outcome != order_outcome::accepted) {
        changing_.erase(engine);
    }
}

void role_controller::on_role(const backend_id& engine, config::engine_role role)
{
    const auto found = changing_.find(engine);
    if (found != changing_.end() && found->second.role == role) {
        io::log_event(io::log_level::info, "role_changed",
                      {{"engine", engine.str()}, {"role", role_name(role)}});
        changing_.erase(found);
    }
}

} // namespace currantspar::gateway
