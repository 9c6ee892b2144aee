#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "currantspar/base/test_wire_text.hpp"
#include "currantspar/gateway/store_watch.hpp"
#include "store_reader.hpp"
#include "test_node.hpp"

/// What a node believes when the shared store is rolled back to an earlier state.
namespace currantspar::gateway {

namespace {

using std::chrono::milliseconds;

constexpr int configuration_topic = 0;
constexpr int servers_topic = 1;

/// A store whose topics are logs of keys, with an era. Thread safe.
class fake_store
{
public:
    test::scripted_response respond(const http_request& request)
    {
        const std::lock_guard lock(mutex_);
        requests_.push_back(request.target);
        std::istringstream in(request.target);
        std::string kind;
        int topic = 0;
        std::size_t from = 0;
        char slash = 0;
        in >> slash;
        std::getline(in, kind, '/');
        in >> topic >> slash >> from;
        const std::vector<std::string>& log = log_[topic];
        if (kind == "newest") {
            std::string body = std::to_string(log.size());
            for (const std::string& key : std::set<std::string>(log.begin(), log.end())) {
                body.append(" ").append(key);
            }
            return ok(body);
        }
        if (from > log.size()) {
            return {"HTTP/1.1 410 Gone\r\nEra: " + std::to_string(era_) + "\r\nContent-Length: 0\r\n\r\n"};
        }
        std::string body = std::to_string(log.size());
        for (std::size_t offset = from; offset < log.size(); ++offset) {
            body.append(" ").append(log[offset]);
        }
        return ok(body);
    }

    void append(int topic, const std::string& key)
    {
        const std::lock_guard lock(mutex_);
        log_[topic].push_back(key);
    }
    void roll_back(int topic, std::size_t end)
    {
        const std::lock_guard lock(mutex_);
        log_[topic].resize(end);
        era_ += 1;
    }
    /// Responses name an earlier era from now on, like those that were delayed.
    void set_era(std::uint64_t era)
    {
        const std::lock_guard lock(mutex_);
        era_ = era;
    }
    [[nodiscard]] std::size_t requests_of(const std::string& prefix) const
    {
        const std::lock_guard lock(mutex_);
        return static_cast<std::size_t>(
            std::count_if(requests_.begin(), requests_.end(),
                          [&](const std::string& each) { return each.starts_with(prefix); }));
    }

private:
    [[nodiscard]] test::scripted_response ok(const std::string& body) const
    {
        return {"HTTP/1.1 200 OK\r\nEra: " + std::to_string(era_) +
                "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
    }

    mutable std::mutex mutex_;
    std::map<int, std::vector<std::string>> log_;
    std::vector<std::string> requests_;
    std::uint64_t era_ = 0;
};

/// Server entries are their ids; a configuration is its version.
class log_protocol : public test::fake_protocol
{
public:
    result<listing_page> decode_listing(const http_response& response) const override
    {
        listing_page page;
        std::istringstream in(response.body);
        in >> page.end;
        for (std::string key; in >> key;) {
            page.records.push_back({0, key, key});
        }
        return page;
    }
    result<std::string> encode_read(shared_topic topic, std::uint64_t from, duration) const override
    {
        const std::string target =
            "/read/" + std::to_string(static_cast<int>(topic)) + "/" + std::to_string(from);
        return write_request({"GET", target, {{"Host", "store"}}, {}});
    }
    result<record_batch> decode_read(const http_response& response, std::uint64_t from) const override
    {
        record_batch batch;
        if (response.status == 410) {
            batch.compacted = true;
            return batch;
        }
        std::istringstream in(response.body);
        in >> batch.next;
        for (std::string key; in >> key;) {
            batch.records.push_back({from++, key, key});
        }
        return batch;
    }
    result<std::shared_ptr<const relay::relay_config>>
    decode_config(const keyed_record& record) const override
    {
        auto decoded = std::make_shared<relay::relay_config>();
        decoded->version = std::stoull(record.key);
        return std::shared_ptr<const relay::relay_config>(decoded);
    }
    result<relay::server_entry> decode_server(const keyed_record& record) const override
    {
        relay::server_entry entry;
        entry.id = backend_id(record.key);
        entry.service = service_id("desk");
        entry.address = test_address("127.0.0.1:9");
        return entry;
    }
};

server_pool_options pool_options()
{
    server_pool_options options;
    options.responses_have_ids = false;
    return options;
}

struct running_reader
{
    running_reader()
    {
        store.append(configuration_topic, "1");
        store.append(configuration_topic, "2");
        store.append(servers_topic, "old");
        store.append(servers_topic, "young");
        settings.peer_address = "127.0.0.2:9";
        settings.data_centre = data_centre_id("a");
        reader = std::make_unique<store_reader>(pool, wire, core, peers, settings,
                                                [](const relay::server_entry&) {});
        reader->open(server.address());
    }

    bool run_until(const std::function<bool()>& done, duration limit = std::chrono::seconds(5))
    {
        const instant end = io::monotonic_now() + limit;
        while (!done()) {
            const instant now = io::monotonic_now();
            if (now > end) {
                return false;
            }
            if (peer_update) {
                load_digest digest{"127.0.0.1:9", 1, false, {}, {}, 0, settings.data_centre, {}};
                digest.servers = *peer_update;
                digest.store_era = peer_update->era;
                if (digest.store_era > 0) {
                    reader->on_store_era(digest.store_era, now);
                }
                reader->on_digest(digest, now);
            }
            static_cast<void>(core.on_tick(now));
            reader->on_tick(now);
            pool.on_tick(now);
            ACE_Time_Value wait(0, 5000);
            reactor.handle_events(wait);
        }
        return true;
    }
    void run_for(duration time)
    {
        run_until([] { return false; }, time);
    }
    [[nodiscard]] bool uses(const std::string& id) const { return core.directory().is_open(backend_id(id)); }
    /// Waits for the first listing, and until no entry is retained because the store has just been reached.
    void start()
    {
        BOOST_REQUIRE(
            run_until([&] { return uses("old") && uses("young") && core.routes().version() == 2; }));
        run_for(milliseconds(2400));
    }

    ACE_Reactor reactor{new ACE_Dev_Poll_Reactor, true};
    fake_store store;
    test::scripted_server server{[this](const http_request& request) { return store.respond(request); }};
    log_protocol wire;
    gateway_settings settings;
    server_pool pool{reactor, pool_options()};
    relay::relay_core core{relay::relay_options{}};
    peer_link peers{reactor, {}, [](const load_digest&) {}};
    std::unique_ptr<store_reader> reader;
    std::optional<relay::directory_update> peer_update;
};

} // namespace

BOOST_AUTO_TEST_SUITE(store_era_tests)

/// Guards against servers that are dropped because the store has lost their entries, against a configuration
/// that goes back, and against records that are missed because their offsets are reused.
BOOST_AUTO_TEST_CASE(a_node_lists_again_after_a_rollback_and_keeps_what_is_missing_for_a_time)
{
    running_reader node;
    node.start();
    const instant rolled_back_at = io::monotonic_now();
    node.store.roll_back(configuration_topic, 1);
    node.store.roll_back(servers_topic, 1);
    node.store.append(servers_topic, "new");
    // The offset of the next read exists again, so that the store doesn't respond with 410.
    BOOST_REQUIRE(node.run_until([&] { return node.uses("new"); }, std::chrono::seconds(2)));
    BOOST_TEST(node.uses("young"));
    BOOST_TEST(node.core.routes().version() == 2U);
    BOOST_REQUIRE(node.run_until([&] { return !node.uses("young"); }));
    BOOST_TEST((io::monotonic_now() - rolled_back_at >= milliseconds(2200)));
    BOOST_TEST(node.uses("old"));
    BOOST_TEST(node.core.routes().version() == 2U);
    node.store.append(configuration_topic, "3");
    BOOST_REQUIRE(node.run_until([&] { return node.core.routes().version() == 3; }));
}

BOOST_AUTO_TEST_CASE(a_server_that_writes_its_entry_again_after_a_rollback_stays_in_use)
{
    running_reader node;
    node.start();
    node.store.roll_back(servers_topic, 1);
    node.run_for(milliseconds(1200));
    node.store.append(servers_topic, "young");
    bool dropped = false;
    node.run_until(
        [&] {
            dropped = dropped || !node.uses("young");
            return false;
        },
        milliseconds(2500));
    BOOST_TEST(!dropped);
}

/// Guards against a node that applies changes at positions of another era.
BOOST_AUTO_TEST_CASE(a_node_that_relies_on_a_peer_ignores_updates_of_another_era)
{
    running_reader node;
    node.start();
    node.peer_update = relay::directory_update{0, 2, {}, milliseconds(1), 0};
    BOOST_REQUIRE(node.run_until([&] { return !node.reader->reading(); }));
    const std::size_t listings = node.store.requests_of("/newest/1");
    node.store.roll_back(servers_topic, 0);
    node.store.append(servers_topic, "old");
    // The peer has listed the servers again, and its offsets begin anew.
    relay::server_entry entry;
    entry.id = backend_id("new");
    entry.service = service_id("desk");
    entry.address = test_address("127.0.0.1:9");
    node.peer_update = relay::directory_update{
        1, 2, {relay::directory_change{1, backend_id("new"), entry}}, milliseconds(1), 1};
    BOOST_REQUIRE(node.run_until([&] { return node.uses("new"); }));
    BOOST_TEST(node.store.requests_of("/newest/1") == listings + 1);
    BOOST_TEST(!node.reader->reading());
    node.run_for(milliseconds(2400)); // nothing is retained any more
    // An update from before the rollback arrives late.
    node.peer_update = relay::directory_update{
        0, 9, {relay::directory_change{8, backend_id("new"), std::nullopt}}, milliseconds(1), 0};
    node.run_for(milliseconds(500));
    BOOST_TEST(node.uses("new"));
}

/// Guards against an era that goes back with responses that were sent before the rollback.
BOOST_AUTO_TEST_CASE(responses_of_an_earlier_era_are_dropped)
{
    running_reader node;
    node.store.set_era(1);
    node.start();
    node.reader->on_store_era(2, io::monotonic_now());
    node.store.append(servers_topic, "late");
    node.run_for(milliseconds(1500));
    BOOST_TEST(!node.uses("late"));
    node.store.set_era(2);
    BOOST_REQUIRE(node.run_until([&] { return node.uses("late"); }));
}

/// Guards against a node that its peers can't discover any more because the store has lost its entry.
BOOST_AUTO_TEST_CASE(a_node_announces_itself_again_after_a_rollback)
{
    std::atomic<unsigned> era = 0;
    std::atomic<unsigned> announced = 0;
    test::running_node running({test::echo}, [&](const http_request& request) {
        announced += request.target.starts_with("/append/2") ? 1 : 0;
        test::scripted_response response = test::running_node::store_response(request);
        response.bytes.insert(response.bytes.find("\r\n") + 2, "Era: " + std::to_string(era) + "\r\n");
        return response;
    });
    BOOST_REQUIRE(running.run_until([&] { return announced == 1; }));
    running.run_past_startup();
    BOOST_TEST(announced == 1U);
    era = 1;
    const instant began_at = io::monotonic_now();
    // Spread over three seconds, after a read of the servers.
    while (announced == 1 && io::monotonic_now() - began_at < std::chrono::seconds(5)) {
        running.run_past_startup();
    }
    BOOST_TEST(announced == 2U);
    BOOST_TEST(running.node->ready());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::gateway
