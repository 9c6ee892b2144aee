#ifndef CURRANTSPAR_RELAY_TEST_RELAY_HPP
#define CURRANTSPAR_RELAY_TEST_RELAY_HPP

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "currantspar/base/test_wire_text.hpp"
#include "currantspar/relay/relay_core.hpp"

namespace currantspar::relay::test {

inline instant at(double seconds)
{
    return instant(from_seconds(seconds));
}

inline server_entry make_server(const std::string& id, const std::string& service,
                                std::optional<config::engine_role> role = std::nullopt,
                                const std::string& data_centre = "a")
{
    server_entry entry;
    entry.id = backend_id(id);
    entry.service = service_id(service);
    entry.address = test_address("10.0.0.1:80");
    entry.data_centre = data_centre_id(data_centre);
    entry.slots = 6;
    entry.role = role;
    return entry;
}

inline route_spec make_route(const std::string& prefix, route_kind kind, const std::string& service)
{
    route_spec route;
    route.name = prefix;
    route.host = "shop.example";
    route.path_prefix = prefix;
    route.kind = kind;
    route.timeout = std::chrono::seconds(2);
    route.target = std::chrono::milliseconds(150);
    route.max_attempts = kind == route_kind::idempotent ? 2 : 1;
    route.services = {{service_id(service), 1}};
    return route;
}

/// Makes a configuration that routes /once/ and /read/ to the plain service "desk", and /stream/ and /resume/
/// to the model service "llm".
inline std::shared_ptr<relay_config> make_config(std::uint64_t version = 1)
{
    auto config = std::make_shared<relay_config>();
    config->version = version;
    config->routes = {make_route("/once/", route_kind::at_most_once, "desk"),
                      make_route("/read/", route_kind::idempotent, "desk"),
                      make_route("/stream/", route_kind::stream, "llm"),
                      make_route("/resume/", route_kind::stream, "llm")};
    config->routes[3].resumable = true;
    config->routes[3].max_attempts = 2;
    relayed_service desk;
    desk.id = service_id("desk");
    relayed_service llm;
    llm.id = service_id("llm");
    llm.engines = engine_traits{64, 450000, 163840, 1600000.0, std::chrono::seconds(5)};
    config->services = {desk, llm};
    return config;
}

/// Makes a request whose prompt has one shared and one private segment.
inline request_info make_prompt(const std::string& id, std::uint64_t shared_segment,
                                std::uint32_t shared_tokens, std::uint32_t own_tokens)
{
    static std::uint64_t private_segment = 1000000;
    request_info info;
    info.id = id;
    info.host = "shop.example";
    info.path = "/stream/1";
    info.prompt_tokens = shared_tokens + own_tokens;
    info.max_output = 100;
    info.segments = {{shared_segment, shared_tokens}, {++private_segment, own_tokens}};
    return info;
}

inline request_info make_call(const std::string& id, const std::string& path)
{
    request_info info;
    info.id = id;
    info.host = "shop.example";
    info.path = path;
    info.time_left = std::chrono::milliseconds(1500);
    return info;
}

/// Returns the first effect of a type, or null.
template <typename Effect>
const Effect* first(const relay_effects& effects)
{
    for (const relay_effect& effect : effects) {
        if (const auto* found = std::get_if<Effect>(&effect)) {
            return found;
        }
    }
    return nullptr;
}

/// A relay core with two plain servers, two prefill engines and two decode engines.
struct served_node
{
    explicit served_node(double reserve = 1000) : core(options(reserve))
    {
        core.on_config(make_config());
        for (const char* id : {"desk-1", "desk-2"}) {
            core.directory().put(make_server(id, "desk"), at(0));
        }
        for (const char* id : {"reader-1", "reader-2"}) {
            core.directory().put(make_server(id, "llm", config::engine_role::prefill), at(0));
        }
        for (const char* id : {"decoder-1", "decoder-2"}) {
            core.directory().put(make_server(id, "llm", config::engine_role::decode), at(0));
        }
    }

    static relay_options options(double reserve)
    {
        relay_options result;
        result.data_centre = data_centre_id("a");
        result.retries_reserve = reserve;
        return result;
    }

    /// Sends a request and reports its first byte as written.
    attempt_id sent(const request_info& info)
    {
        const relay_effects effects = core.on_request(request_number(++last), info, at(1));
        const auto* start = first<start_attempt>(effects);
        BOOST_REQUIRE(start != nullptr);
        core.on_written(start->attempt);
        return start->attempt;
    }

    relay_core core;
    std::uint64_t last = 0;
};

} // namespace currantspar::relay::test

#endif
