#ifndef CURRANTSPAR_AGREEMENT_TEST_LOG_HPP
#define CURRANTSPAR_AGREEMENT_TEST_LOG_HPP

#include <string>
#include <utility>
#include <vector>

#include "currantspar/agreement/replica.hpp"
#include "currantspar/base/random.hpp"

/// Test doubles for the tests of this module.
namespace currantspar::agreement {

/// Accepts any text except `bad`; `window N` sets a key window of N seconds.
inline config::checked<config::fleet_ptr> test_parser(const std::string& text, unsigned)
{
    if (text == "bad") {
        return tl::unexpected<config::diagnostics>(config::diagnostics{{"", 1, "bad", "a text"}});
    }
    auto fleet = std::make_shared<config::fleet>();
    fleet->name = text;
    if (text.rfind("window ", 0) == 0) {
        fleet->key_window = std::chrono::seconds(std::stoi(text.substr(7)));
    }
    return fleet;
}

/// An agreed state that applies records at successive offsets.
struct test_log
{
    agreed_state state;

    applied_change apply(record_body body)
    {
        return apply_record(state, {state.applied.next(), std::move(body)}, test_parser);
    }
};

inline pool_id test_pool(const std::string& service = "s")
{
    return {service_id(service), data_centre_id("d")};
}

inline publish_record publish(const std::string& id, revision base, const std::string& text)
{
    publish_record record;
    record.id = publish_id(id);
    record.base = base;
    record.text = text;
    return record;
}

inline claim_record claim(const std::string& node, std::uint64_t process, fence previous)
{
    return {test_pool(), previous, node_id(node), incarnation(process)};
}

inline intent_record intent(fence held, std::uint64_t sequence)
{
    intent_record record;
    record.engine = engine_id("e");
    record.pool = test_pool();
    record.held = held;
    record.sequence = sequence;
    return record;
}

inline key_record keys(const std::string& node, int seconds, const std::string& key)
{
    key_record record;
    record.recorder = node_id(node);
    record.process = incarnation(7);
    record.written_at = wall_time(std::chrono::seconds(seconds));
    record.entries.push_back({call_key(key), 1, request_id("r")});
    return record;
}

inline key_outcome_record outcome(const std::string& node, const std::string& key)
{
    key_outcome_record record;
    record.recorder = node_id(node);
    record.process = incarnation(7);
    record.entries.push_back({call_key(key), call_outcome::answered, 200, "text/plain", "ok", true});
    return record;
}

/// Returns a random record, usually one that is valid for the state.
inline record_body random_record(random_generator& random, const agreed_state& state)
{
    const std::string name = std::to_string(random.below(20));
    const auto authority = state.authority.find(test_pool());
    const fence held = authority == state.authority.end() ? fence() : authority->second.held;
    const auto order = state.orders.find(engine_id("e"));
    const int seconds = static_cast<int>(state.applied.value()) * 60;
    switch (random.below(8)) {
    case 0:
        return publish(std::to_string(random()), state.current,
                       "window " + std::to_string(3600 + seconds % 7));
    case 1:
        return claim("n" + name, 11, held);
    case 2:
        return renew_record{authority == state.authority.end() ? node_id() : authority->second.holder,
                            incarnation(11),
                            random.below(9),
                            {held}};
    case 3:
        return release_record{test_pool(), held, node_id("n" + name), incarnation(11)};
    case 4:
        return intent(held, state.applied.value());
    case 5:
        return result_record{order == state.orders.end() ? order_id() : order->second.id,
                             engine_id("e"),
                             order_outcome::done,
                             {}};
    case 6:
        return keys("n" + name, seconds, "k" + std::to_string(random.below(500)));
    default:
        return outcome("n" + name, "k" + std::to_string(random.below(500)));
    }
}

} // namespace currantspar::agreement

#endif
