#include <algorithm>
#include <iterator>

#include <boost/test/unit_test.hpp>

#include "test_relay.hpp"

// What a server says of itself in responses, and when that ends, must be found in the log.

namespace currantspar::relay {

using test::at;
using test::first;

BOOST_AUTO_TEST_SUITE(server_statement_tests)

/// Guards against a log that tells when a server was closed and not when it was used again.
BOOST_AUTO_TEST_CASE(both_ends_of_a_pause_and_of_an_announced_shutdown_are_logged)
{
    relay_options options;
    options.data_centre = data_centre_id("a");
    relay_core core(options);
    core.on_config(test::make_config());
    core.directory().put(test::make_server("desk-1", "desk"), at(0));
    const relay_effects begun = core.on_request(request_number(1), test::make_call("r", "/read/1"), at(1));
    const auto* sent = first<start_attempt>(begun);
    BOOST_REQUIRE(sent != nullptr);
    response_info refusal;
    refusal.status = 503;
    refusal.not_run = true;
    refusal.leaving = true;
    refusal.pause = std::chrono::seconds(3);
    std::vector<log_decision> lines;
    const auto collect = [&](const relay_effects& effects) {
        for (const relay_effect& effect : effects) {
            const auto* line = std::get_if<log_decision>(&effect);
            if (line != nullptr && line->event.starts_with("server_")) {
                lines.push_back(*line);
            }
        }
    };
    collect(core.on_response_head(sent->attempt, refusal, at(1.5)));
    static_cast<void>(core.on_failure(sent->attempt, attempt_failure::not_run, "503", at(1.5)));
    for (instant now = at(1.5); now <= at(62); now += std::chrono::milliseconds(500)) {
        collect(core.on_tick(now));
        core.directory().on_written(test::make_server("desk-1", "desk"), now);
    }
    std::vector<std::string> events;
    std::transform(lines.begin(), lines.end(), std::back_inserter(events),
                   [](const log_decision& line) { return line.event; });
    const std::vector<std::string> expected{"server_leaving", "server_paused", "server_pause_ended",
                                            "server_leaving_ended"};
    BOOST_REQUIRE((events == expected));
    const std::vector<std::pair<std::string, std::string>> pause{
        {"server", "desk-1"}, {"reason", "over"}, {"lasted_ms", "3000"}};
    const std::vector<std::pair<std::string, std::string>> leaving{
        {"server", "desk-1"}, {"reason", "stayed"}, {"lasted_ms", "60000"}};
    BOOST_TEST((lines[2].fields == pause));
    BOOST_TEST((lines[3].fields == leaving));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::relay
