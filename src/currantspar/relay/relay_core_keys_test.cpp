#include <algorithm>

#include "currantspar/base/hash.hpp"
#include "currantspar/base/test_wire_text.hpp"
#include "test_relay.hpp"

namespace currantspar::relay {

namespace {

using test::at;
using test::first;

constexpr const char* key = "trader-key-1";
constexpr const char* other_key = "miller-key-1";

organisation_spec make_organisation(const std::string& name, const std::vector<std::string>& keys,
                                    std::optional<unsigned> priority = std::nullopt)
{
    organisation_spec organisation;
    organisation.name = organisation_id(name);
    for (const std::string& each : keys) {
        organisation.key_hashes.push_back(sha256_hex(each));
    }
    organisation.priority = priority;
    return organisation;
}

/// Two organisations; the route /read/ is public.
std::shared_ptr<relay_config> make_config(std::uint64_t version = 2)
{
    auto config = test::make_config(version);
    for (route_spec& route : config->routes) {
        route.priority = 5;
    }
    config->routes[1].is_public = true;
    config->organisations = {make_organisation("traders", {key}, 2),
                             make_organisation("millers", {other_key})};
    return config;
}

/// The same without the key of the traders, who have another one instead.
std::shared_ptr<relay_config> make_config_without_key(std::uint64_t version = 3)
{
    auto config = make_config(version);
    config->organisations[0] = make_organisation("traders", {"trader-key-2"}, 2);
    return config;
}

request_info make_call(const std::string& path, const std::string& with_key)
{
    request_info info = test::make_call("r-1", path);
    info.api_key_hash = with_key.empty() ? std::string() : sha256_hex(with_key);
    return info;
}

struct keyed_node
{
    explicit keyed_node(bool strict = false) : core(options(strict))
    {
        core.on_config(make_config());
        core.directory().put(test::make_server("desk-1", "desk"), at(0));
        core.directory().put(test::make_server("desk-2", "desk"), at(0));
        core.directory().put(test::make_server("decoder-1", "llm", config::engine_role::decode), at(0));
    }

    static relay_options options(bool strict)
    {
        relay_options result = test::served_node::options(1000);
        result.strict_revocation = strict;
        return result;
    }

    relay_effects call(const std::string& path, const std::string& with_key)
    {
        return core.on_request(request_number(++last), make_call(path, with_key), at(1));
    }

    /// Sends a request and reports its first byte as written.
    attempt_id sent(const std::string& path, const std::string& with_key)
    {
        const relay_effects effects = call(path, with_key);
        const auto* start = first<start_attempt>(effects);
        BOOST_REQUIRE(start != nullptr);
        core.on_written(start->attempt);
        return start->attempt;
    }

    relay_core core;
    std::uint64_t last = 0;
};

/// Checks that a request was rejected with 401 and that nothing was sent, counted or left open for it.
void check_refused(const keyed_node& node, const relay_effects& effects, const std::string& reason)
{
    const auto* response = first<reply>(effects);
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->status == 401);
    BOOST_TEST((response->retry_after == duration{}));
    BOOST_TEST(first<start_attempt>(effects) == nullptr);
    BOOST_TEST(node.core.open_requests() == 0U);
    BOOST_TEST(node.core.accounts().empty());
    BOOST_TEST(node.core.refusals().at({service_id("desk"), reason}) == 1U);
}

std::string organisation_sent(const relay_effects& effects)
{
    const auto* start = first<start_attempt>(effects);
    BOOST_REQUIRE(start != nullptr);
    return start->organisation.str();
}

int status_sent(const relay_effects& effects)
{
    const auto* response = first<reply>(effects);
    return response == nullptr ? 0 : response->status;
}

/// All texts of the log lines.
std::string logged(const relay_effects& effects)
{
    std::string text;
    for (const relay_effect& effect : effects) {
        if (const auto* line = std::get_if<log_decision>(&effect)) {
            text.append(line->event).append(" ").append(line->request_id);
            for (const auto& [name, value] : line->fields) {
                text.append(" ").append(name).append("=").append(value);
            }
            text.append("\n");
        }
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(relay_core_keys_tests)

/// Guards against a request without a valid key that reaches a server.
BOOST_AUTO_TEST_CASE(an_unknown_or_missing_key_is_refused_and_nothing_is_sent)
{
    keyed_node node;
    check_refused(node, node.call("/once/1", "guessed"), "unknown_key");
    check_refused(node, node.call("/once/1", ""), "missing_key");
}

/// Guards against a key, or a hash that guesses could be tested against, in the log.
BOOST_AUTO_TEST_CASE(the_log_line_of_a_refusal_has_neither_key_nor_hash)
{
    keyed_node node;
    const std::string text = logged(node.call("/once/1", "guessed"));
    BOOST_TEST(text == "key_refused r-1 reason=unknown_key route=/once/ config_version=2\n");
}

/// Guards against a key that is logged when it is accepted.
BOOST_AUTO_TEST_CASE(an_accepted_key_is_not_logged)
{
    keyed_node node;
    relay_effects effects = node.call("/once/1", key);
    const attempt_id attempt = first<start_attempt>(effects)->attempt;
    node.core.on_written(attempt);
    for (relay_effect& effect : node.core.on_failure(attempt, attempt_failure::lost, "reset", at(1.1))) {
        effects.push_back(std::move(effect));
    }
    const std::string text = logged(effects);
    BOOST_TEST(text.find("request_ended") != std::string::npos);
    BOOST_TEST(text.find(key) == std::string::npos);
    BOOST_TEST(text.find(sha256_hex(key).substr(0, 16)) == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_known_key_is_served_under_the_name_of_its_organisation)
{
    keyed_node node;
    const relay_effects effects = node.call("/once/1", key);
    BOOST_TEST(organisation_sent(effects) == "traders");
    BOOST_TEST(node.core.organisation(first<start_attempt>(effects)->attempt).str() == "traders");
    BOOST_TEST(organisation_sent(node.call("/once/1", other_key)) == "millers");
}

/// Guards against a retry that loses the organisation or the priority of the first attempt.
BOOST_AUTO_TEST_CASE(a_retry_has_the_same_organisation_and_priority)
{
    keyed_node node;
    const attempt_id attempt = node.sent("/once/1", key);
    const relay_effects effects = node.core.on_failure(attempt, attempt_failure::not_run, "503", at(1.1));
    BOOST_TEST(organisation_sent(effects) == "traders");
    BOOST_TEST(first<start_attempt>(effects)->priority == 2U);
}

/// Guards against a public route that requires a key, or that forgets whose key it is.
BOOST_AUTO_TEST_CASE(a_public_route_needs_no_key_and_a_known_one_still_identifies)
{
    keyed_node node;
    BOOST_TEST(organisation_sent(node.call("/read/1", "")).empty());
    BOOST_TEST(organisation_sent(node.call("/read/1", "guessed")).empty());
    BOOST_TEST(organisation_sent(node.call("/read/1", key)) == "traders");
}

BOOST_AUTO_TEST_CASE(the_priority_of_an_organisation_replaces_that_of_the_route)
{
    keyed_node node;
    const auto priority = [&](const std::string& path, const std::string& with_key) {
        return first<start_attempt>(node.call(path, with_key))->priority;
    };
    BOOST_TEST(priority("/once/1", key) == 2U);
    BOOST_TEST(priority("/once/1", other_key) == 5U);
    BOOST_TEST(priority("/read/1", "") == 5U);
    BOOST_TEST(priority("/read/1", key) == 2U);
    BOOST_TEST(priority("/stream/1", key) == 2U);
    auto config = make_config(3);
    config->organisations[0].priority = 0;
    node.core.on_config(config);
    BOOST_TEST(priority("/once/1", key) == 0U);
}

/// Guards against a key check before the route lookup.
BOOST_AUTO_TEST_CASE(an_unknown_route_is_not_found_whatever_the_key)
{
    keyed_node node;
    for (const char* with_key : {"", "guessed", key}) {
        const relay_effects effects = node.call("/nowhere/1", with_key);
        BOOST_TEST(status_sent(effects) == 404);
        BOOST_TEST(logged(effects).find("key_refused") == std::string::npos);
    }
}

/// Guards against callers that take a key for invalid because a node has just started.
BOOST_AUTO_TEST_CASE(a_node_without_a_configuration_answers_503)
{
    relay_core core(keyed_node::options(true));
    for (const char* with_key : {"", "guessed", key}) {
        const relay_effects effects =
            core.on_request(request_number(1), make_call("/once/1", with_key), at(1));
        BOOST_TEST(status_sent(effects) == 503);
        BOOST_TEST(logged(effects).find("key_refused") == std::string::npos);
    }
    core.on_config(make_config());
    BOOST_TEST(status_sent(core.on_request(request_number(2), make_call("/once/1", "guessed"), at(1))) ==
               401);
}

/// Guards against a node whose behaviour changes although its configuration has no organisations.
BOOST_AUTO_TEST_CASE(without_organisations_keys_have_no_meaning)
{
    keyed_node node;
    auto config = make_config(3);
    config->organisations.clear();
    node.core.on_config(config);
    for (const char* with_key : {"", "guessed", key}) {
        const relay_effects effects = node.call("/once/1", with_key);
        BOOST_TEST(organisation_sent(effects).empty());
        BOOST_TEST(first<start_attempt>(effects)->priority == 5U);
    }
}

BOOST_AUTO_TEST_CASE(a_version_adds_and_removes_keys)
{
    keyed_node node;
    BOOST_TEST(status_sent(node.call("/once/1", "trader-key-2")) == 401);
    BOOST_TEST(node.core.on_config(make_config_without_key()));
    BOOST_TEST(status_sent(node.call("/once/1", key)) == 401);
    BOOST_TEST(organisation_sent(node.call("/once/1", "trader-key-2")) == "traders");
    BOOST_TEST(organisation_sent(node.call("/once/1", other_key)) == "millers");
}

/// Guards against an older version, read late, that makes a removed key valid again.
BOOST_AUTO_TEST_CASE(an_older_version_does_not_restore_a_removed_key)
{
    keyed_node node;
    node.core.on_config(make_config_without_key(3));
    BOOST_TEST(!node.core.on_config(make_config(2)));
    BOOST_TEST(status_sent(node.call("/once/1", key)) == 401);
}

/// Guards against new keys with old routes, or the other way round.
BOOST_AUTO_TEST_CASE(a_version_changes_keys_and_routes_together)
{
    keyed_node node;
    auto config = make_config_without_key();
    config->routes[0].is_public = true;
    config->routes[1].is_public = false;
    config->routes.push_back(test::make_route("/new/", route_kind::at_most_once, "desk"));
    config->routes.erase(config->routes.begin() + 2);
    node.core.on_config(config);
    BOOST_TEST(organisation_sent(node.call("/once/1", key)).empty());
    BOOST_TEST(status_sent(node.call("/read/1", key)) == 401);
    BOOST_TEST(status_sent(node.call("/read/1", "")) == 401);
    BOOST_TEST(status_sent(node.call("/stream/1", key)) == 404);
    BOOST_TEST(status_sent(node.call("/new/1", key)) == 401);
    BOOST_TEST(organisation_sent(node.call("/new/1", "trader-key-2")) == "traders");
}

/// Guards against open requests that end although the deployment doesn't ask for it.
BOOST_AUTO_TEST_CASE(without_strict_revocation_open_requests_of_a_removed_key_go_on)
{
    keyed_node node;
    response_info success;
    success.status = 200;
    const attempt_id call = node.sent("/once/1", key);
    const attempt_id stream = node.sent("/stream/1", key);
    std::ignore = node.core.on_stream_head(stream, at(1.1));
    node.core.on_config(make_config_without_key());
    BOOST_TEST(node.core.on_tick(at(1.2)).empty());
    BOOST_TEST(node.core.open_requests() == 2U);
    BOOST_TEST(first<deliver_response>(node.core.on_response(call, success, at(1.3))) != nullptr);
    BOOST_TEST(first<end_response>(node.core.on_stream_end(stream, at(1.3))) != nullptr);
}

/// Guards against a removed key that goes on being served by what it had begun before.
BOOST_AUTO_TEST_CASE(strict_revocation_refuses_requests_whose_response_has_not_begun)
{
    keyed_node node(true);
    response_info success;
    success.status = 200;
    const attempt_id call = node.sent("/once/1", key);
    const attempt_id stream = node.sent("/stream/1", key);
    node.core.on_config(make_config_without_key());
    const relay_effects effects = node.core.on_tick(at(1.2));
    std::vector<attempt_id> cancelled;
    std::vector<int> statuses;
    for (const relay_effect& effect : effects) {
        if (const auto* cancel = std::get_if<cancel_attempt>(&effect)) {
            cancelled.push_back(cancel->attempt);
        }
        if (const auto* response = std::get_if<reply>(&effect)) {
            statuses.push_back(response->status);
        }
    }
    BOOST_TEST((cancelled == std::vector<attempt_id>{call, stream}));
    BOOST_TEST((statuses == std::vector<int>{401, 401}));
    BOOST_TEST(node.core.open_requests() == 0U);
    // They were written, so a server may have executed them.
    BOOST_TEST(node.core.accounts().at(service_id("desk")).unknown == 1U);
    BOOST_TEST(node.core.accounts().at(service_id("desk")).in_flight == 0U);
    const std::string text = logged(effects);
    BOOST_TEST(text.find("key_refused r-1 reason=removed_key route=/once/ config_version=3") !=
               std::string::npos);
    BOOST_TEST(text.find(sha256_hex(key).substr(0, 16)) == std::string::npos);
    // What a cancelled attempt still says changes nothing.
    BOOST_TEST(node.core.on_response(call, success, at(1.3)).empty());
    BOOST_TEST(node.core.on_events(stream, test_event("1"), at(1.3)).empty());
}

/// Guards against a stream of a removed key that goes on, or that looks complete to its caller.
BOOST_AUTO_TEST_CASE(strict_revocation_aborts_streams_that_have_begun)
{
    keyed_node node(true);
    const attempt_id stream = node.sent("/resume/1", key);
    std::ignore = node.core.on_stream_head(stream, at(1.1));
    std::ignore = node.core.on_events(stream, test_event("1"), at(1.1));
    node.core.on_config(make_config_without_key());
    const relay_effects effects = node.core.on_tick(at(1.2));
    BOOST_REQUIRE(first<cancel_attempt>(effects) != nullptr);
    BOOST_TEST((first<cancel_attempt>(effects)->attempt == stream));
    BOOST_TEST(first<abort_response>(effects) != nullptr);
    BOOST_TEST(first<end_response>(effects) == nullptr);
    BOOST_TEST(first<reply>(effects) == nullptr);
    BOOST_TEST(first<start_attempt>(effects) == nullptr);
    BOOST_TEST(node.core.open_requests() == 0U);
}

/// Guards against requests of other keys that end with those of a removed one.
BOOST_AUTO_TEST_CASE(strict_revocation_leaves_all_other_requests)
{
    keyed_node node(true);
    std::ignore = node.sent("/once/1", other_key); // another organisation
    std::ignore = node.sent("/read/1", "");        // public, without a key
    std::ignore = node.sent("/read/1", "guessed"); // public, with a key that never was known
    std::ignore = node.sent("/read/1", key);       // public, which the new version would serve as well
    node.core.on_config(make_config_without_key());
    BOOST_TEST(node.core.on_tick(at(1.2)).empty());
    BOOST_TEST(node.core.open_requests() == 4U);
}

/// Guards against requests that end because their key's organisation was renamed, or because keys are no
/// longer required.
BOOST_AUTO_TEST_CASE(strict_revocation_leaves_requests_that_the_new_version_would_serve)
{
    keyed_node node(true);
    std::ignore = node.sent("/once/1", key);
    auto renamed = make_config(3);
    renamed->organisations[0].name = organisation_id("merchants");
    node.core.on_config(renamed);
    BOOST_TEST(node.core.on_tick(at(1.2)).empty());
    auto open = make_config(4);
    open->organisations.clear();
    node.core.on_config(open);
    BOOST_TEST(node.core.on_tick(at(1.3)).empty());
    BOOST_TEST(node.core.open_requests() == 1U);
}

/// Guards against open requests on a route that the same version makes private or removes.
BOOST_AUTO_TEST_CASE(strict_revocation_follows_the_routes_of_the_new_version)
{
    keyed_node node(true);
    std::ignore = node.sent("/read/1", key);
    std::ignore = node.sent("/once/1", key);
    auto config = make_config_without_key();
    config->routes[1].is_public = false;
    config->routes.erase(config->routes.begin()); // /once/ wasn't public
    node.core.on_config(config);
    const relay_effects effects = node.core.on_tick(at(1.2));
    BOOST_TEST(std::count_if(effects.begin(), effects.end(), [](const relay_effect& effect) {
                   return std::holds_alternative<reply>(effect);
               }) == 2);
    BOOST_TEST(node.core.open_requests() == 0U);
}

/// Guards against a version that is looked at again in each tick, or only the first of which is looked at.
BOOST_AUTO_TEST_CASE(strict_revocation_applies_to_each_version)
{
    keyed_node node(true);
    node.core.on_config(make_config_without_key(3));
    BOOST_TEST(node.core.on_tick(at(1.1)).empty());
    std::ignore = node.sent("/once/1", "trader-key-2");
    node.core.on_config(make_config(4));
    BOOST_TEST(status_sent(node.core.on_tick(at(1.2))) == 401);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::relay
