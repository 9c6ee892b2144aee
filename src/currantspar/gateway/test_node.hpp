#ifndef CURRANTSPAR_GATEWAY_TEST_NODE_HPP
#define CURRANTSPAR_GATEWAY_TEST_NODE_HPP

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Reactor.h>
#include <boost/test/unit_test.hpp>

#include "currantspar/base/test_wire_text.hpp"
#include "currantspar/io/clock.hpp"
#include "gateway_node.hpp"
#include "test_peer.hpp"

namespace currantspar::gateway::test {

/// A wire protocol with plain header names, whose configuration and servers a test sets.
class fake_protocol : public wire_protocol
{
public:
    result<gateway_settings> read_settings() const override { return settings; }
    bool is_readiness_probe(const http_request& request) const override { return request.target == "/ready"; }
    result<relay::request_info> decode_request(const http_request& request) const override
    {
        relay::request_info decoded;
        decoded.id = field(request.fields, "Id");
        decoded.host = field(request.fields, "Host");
        decoded.path = request.target;
        decoded.api_key_hash = field(request.fields, "Key");
        // One digit a segment.
        for (const char digit : field(request.fields, "Segments")) {
            decoded.segments.push_back({static_cast<std::uint64_t>(digit - '0'), 1});
        }
        return decoded;
    }
    result<std::string> encode_attempt(const http_request& request,
                                       const relay::start_attempt& attempt) const override
    {
        http_request out = request;
        if (!attempt.resume_after.empty()) {
            out.fields.push_back({"Resume", attempt.resume_after.str()});
        }
        return write_request(out);
    }
    relay::response_info decode_response(int status, const http_fields& fields) const override
    {
        relay::response_info decoded;
        decoded.status = status;
        decoded.request_id = field(fields, "Id");
        decoded.has_proof = find_field(fields, "Proof") != nullptr;
        decoded.not_run = find_field(fields, "Not-Run") != nullptr;
        if (const std::string limit = field(fields, "Limit"); !limit.empty()) {
            decoded.limit = std::stod(limit);
        }
        return decoded;
    }
    result<kv_handle> decode_kv_handle(std::string_view body) const override
    {
        return kv_handle::parse(std::string(body));
    }
    result<std::string> encode_free_kv_cache(const relay::free_kv_cache&) const override { return {}; }
    http_fields encode_reply(const relay::reply&) const override { return {}; }
    result<std::string> encode_listing(shared_topic topic, const std::string&) const override
    {
        return write_request(
            {"GET", "/newest/" + std::to_string(static_cast<int>(topic)), {{"Host", "store"}}, {}});
    }
    result<listing_page> decode_listing(const http_response& response) const override
    {
        listing_page page;
        if (response.body == "configuration") {
            page.records.push_back({0, "configuration", "c"});
        } else if (response.body == "servers") {
            for (const relay::server_entry& server : servers) {
                page.records.push_back({0, server.id.str(), "s"});
            }
        }
        return page;
    }
    result<std::string> encode_read(shared_topic topic, std::uint64_t, duration) const override
    {
        return write_request(
            {"GET", "/read/" + std::to_string(static_cast<int>(topic)), {{"Host", "store"}}, {}});
    }
    result<record_batch> decode_read(const http_response& response, std::uint64_t from) const override
    {
        if (response.status != 200) {
            return fail(error_kind::unavailable, "status " + std::to_string(response.status));
        }
        return record_batch{{}, from, false};
    }
    result<std::string> encode_append(shared_topic topic, const std::string&,
                                      const std::string&) const override
    {
        return write_request(
            {"POST", "/append/" + std::to_string(static_cast<int>(topic)), {{"Host", "store"}}, {}});
    }
    result<std::string> encode_conditional_append(shared_topic, const std::string&, const std::string&,
                                                  std::uint64_t) const override
    {
        return {};
    }
    result<std::uint64_t> decode_append(const http_response&) const override { return 0U; }
    std::uint64_t decode_store_era(const http_fields& fields) const override
    {
        const std::string era = field(fields, "Era");
        return era.empty() ? 0 : std::stoull(era);
    }
    result<std::string> encode_usage(const relay::usage_report&, const duty_holder&) const override
    {
        return {};
    }
    result<std::string> encode_capacity_order(const relay::capacity_order&, const duty_holder&) const override
    {
        return {};
    }
    relay::duty_outcome decode_duty_response(const http_response&) const override
    {
        return relay::duty_outcome::accepted;
    }
    result<std::string> encode_status(const relay::server_entry&) const override { return {}; }
    result<engine_status> decode_status(const http_response&) const override { return engine_status{}; }
    result<std::string> encode_order(const relay::server_entry&, const role_order&) const override
    {
        return {};
    }
    order_outcome decode_order(const http_response&) const override { return order_outcome::refused; }
    result<std::shared_ptr<const relay::relay_config>> decode_config(const keyed_record&) const override
    {
        return config;
    }
    result<relay::server_entry> decode_server(const keyed_record& record) const override
    {
        for (const relay::server_entry& server : servers) {
            if (server.id.str() == record.key) {
                return server;
            }
        }
        return fail(error_kind::invalid, "no such server");
    }

    gateway_settings settings;
    std::shared_ptr<const relay::relay_config> config;
    std::vector<relay::server_entry> servers;

private:
    static std::string field(const http_fields& fields, std::string_view name)
    {
        const std::string* value = find_field(fields, name);
        return value == nullptr ? std::string() : *value;
    }
};

inline relay::route_spec make_route(const std::string& prefix, relay::route_kind kind)
{
    relay::route_spec route;
    route.host = "shop";
    route.path_prefix = prefix;
    route.kind = kind;
    route.timeout = std::chrono::seconds(2);
    route.target = std::chrono::milliseconds(100);
    route.max_attempts = kind == relay::route_kind::idempotent ? 2 : 1;
    route.services = {{service_id("desk"), 1}};
    return route;
}

/// A node with a scripted store, scripted servers and raw callers, driven by the test's thread.
struct running_node
{
    explicit running_node(std::vector<scripted_server::handler> handlers,
                          scripted_server::handler store_handler = store_response,
                          const std::function<void(fake_protocol&)>& prepare = {})
        : store(std::move(store_handler))
    {
        auto config = std::make_shared<relay::relay_config>();
        config->version = 1;
        config->routes = {make_route("/once/", relay::route_kind::at_most_once),
                          make_route("/read/", relay::route_kind::idempotent),
                          make_route("/stream/", relay::route_kind::stream)};
        wire.config = config;
        for (scripted_server::handler& handler : handlers) {
            servers.push_back(std::make_unique<scripted_server>(std::move(handler)));
            relay::server_entry entry;
            entry.id = backend_id("server-" + std::to_string(servers.size()));
            entry.service = service_id("desk");
            entry.address = test_address(servers.back()->address());
            wire.servers.push_back(entry);
        }
        wire.settings.node = "node";
        wire.settings.caller_address = test::free_address();
        wire.settings.ready_address = test::free_address();
        wire.settings.store_address = store.address();
        wire.settings.peer_address = test::free_address();
        wire.settings.retry_reserve = 1000;
        if (prepare) {
            prepare(wire);
        }
        node = std::make_unique<gateway_node>(reactor, wire, wire.settings);
        BOOST_REQUIRE(node->start().has_value());
        BOOST_REQUIRE(run_until([this] { return node->ready(); }));
    }

    static scripted_response store_response(const http_request& request)
    {
        const std::string body = request.target == "/newest/0"   ? "configuration"
                                 : request.target == "/newest/1" ? "servers"
                                                                 : "";
        return {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
    }

    /// Runs the node until `done` returns true; returns false after three seconds.
    bool run_until(const std::function<bool()>& done)
    {
        const instant started_at = io::monotonic_now();
        while (!done()) {
            const instant now = io::monotonic_now();
            if (now - started_at > std::chrono::seconds(3)) {
                return false;
            }
            node->on_tick(now);
            ACE_Time_Value wait(0, 5000);
            reactor.handle_events(wait);
        }
        return true;
    }

    /// Runs the node until the reads that it starts with are done or held by the store; held reads last
    /// longer.
    void run_past_startup()
    {
        const instant started_at = io::monotonic_now();
        run_until([&] { return io::monotonic_now() - started_at > std::chrono::milliseconds(300); });
    }

    /// Sends bytes as a caller and returns what is received until `enough` returns true or the connection
    /// ends.
    std::string call(const std::string& bytes, const std::function<bool(const std::string&)>& enough)
    {
        auto caller =
            std::async(std::launch::async, test::exchange, wire.settings.caller_address, bytes, enough);
        BOOST_TEST(
            run_until([&] { return caller.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }));
        return caller.get();
    }

    ACE_Reactor reactor{new ACE_Dev_Poll_Reactor, true};
    scripted_server store;
    std::vector<std::unique_ptr<scripted_server>> servers;
    fake_protocol wire;
    std::unique_ptr<gateway_node> node;
};

inline std::string request(const std::string& method, const std::string& path, const std::string& id,
                           const std::string& body = "")
{
    return method + " " + path + " HTTP/1.1\r\nHost: shop\r\nId: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string make_response(const std::string& id, const std::string& body,
                                 const std::string& more = "Proof: p\r\n")
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

inline std::string id_of(const http_request& from)
{
    const std::string* id = find_field(from.fields, "Id");
    return id == nullptr ? "" : *id;
}

inline scripted_response echo(const http_request& from)
{
    return {make_response(id_of(from), "echo " + from.body)};
}

inline std::function<bool(const std::string&)> ends_with(const std::string& end)
{
    return [end](const std::string& received) { return received.ends_with(end); };
}

} // namespace currantspar::gateway::test

#endif
