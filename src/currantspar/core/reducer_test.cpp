#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "currantspar/core/reducer.hpp"
#include "currantspar/core/scripted_node.hpp"

namespace {

using namespace currantspar;
using namespace currantspar::core;
using namespace std::chrono_literals;

/// Number of checkpoint parts that the node appends within this time, with one tick per second. Every append
/// ends with an unknown outcome.
std::size_t checkpoints_within(scripted_node& node, unsigned seconds)
{
    std::size_t parts = 0;
    for (unsigned second = 0; second < seconds; ++second) {
        for (const append_records& append : effects_of<append_records>(node.tick_after(1s))) {
            parts += static_cast<std::size_t>(
                std::count_if(append.records.begin(), append.records.end(), [](const auto& record) {
                    return std::holds_alternative<agreement::checkpoint_record>(record);
                }));
            node.on(append_finished{append.append, append_outcome::unknown, {}});
        }
    }
    return parts;
}

BOOST_AUTO_TEST_SUITE(reducer)

BOOST_AUTO_TEST_CASE(first_tick_reads_log_and_vm_list)
{
    core_options options;
    options.self = node_id("127.0.0.1:1");
    node_state state(options);
    const effect_list effects = reduce(state, event{instant(std::chrono::seconds(1)), {}, tick{}});
    BOOST_TEST_REQUIRE(effects.size() == 2U);
    BOOST_TEST(effect_kind(effects[0]) == "read_log");
    BOOST_TEST(effect_kind(effects[1]) == "read_vm_list");
}

BOOST_AUTO_TEST_CASE(no_checkpoint_is_queued_while_the_log_is_out_of_reach)
{
    core_options options = scripted_options();
    options.checkpoint_every = 1;
    scripted_node node(options);
    node.configure();
    BOOST_TEST(checkpoints_within(node, 5) == 1U);
    node.on(log_read_failed{});
    BOOST_TEST(checkpoints_within(node, 120) == 0U);
    node.on_records({});
    BOOST_TEST(checkpoints_within(node, 5) == 1U);
}

BOOST_AUTO_TEST_CASE(events_survive_json)
{
    event before{instant(std::chrono::seconds(3)), {}, generate_arrived{}};
    std::get<generate_arrived>(before.body).request = request_id("r1");
    const auto after = nlohmann::json(before).get<event>();
    BOOST_TEST(nlohmann::json(after).dump() == nlohmann::json(before).dump());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
