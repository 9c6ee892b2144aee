#include "store_reader.hpp"

#include <boost/test/unit_test.hpp>

#include "currantspar/base/test_wire_text.hpp"
#include "test_node.hpp"

namespace currantspar::gateway {

namespace {

/// Each read of the servers finds that the first server has written its entry.
class written_protocol : public test::fake_protocol
{
public:
    result<record_batch> decode_read(const http_response& response, std::uint64_t from) const override
    {
        if (response.body != "written") {
            return fake_protocol::decode_read(response, from);
        }
        return record_batch{{{from, servers.front().id.str(), "s"}}, from + 1, false};
    }
};

test::scripted_response store_response(const http_request& request)
{
    if (request.target != "/read/1") {
        return test::running_node::store_response(request);
    }
    return {"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nwritten"};
}

server_pool_options store_pool_options()
{
    server_pool_options options;
    options.responses_have_ids = false;
    return options;
}

/// A reader of a scripted store that knows one server.
struct running_reader
{
    running_reader()
    {
        relay::server_entry entry;
        entry.id = server;
        entry.service = service_id("desk");
        entry.address = test_address("127.0.0.1:9");
        wire.servers.push_back(entry);
        auto config = std::make_shared<relay::relay_config>();
        config->version = 1;
        wire.config = config;
        settings.peer_address = "127.0.0.2:9";
        settings.data_centre = data_centre_id("a");
        reader = std::make_unique<store_reader>(pool, wire, core, peers, settings,
                                                [](const relay::server_entry&) {});
        reader->open(store.address());
    }

    /// Runs the reader until `done` returns true; returns false after five seconds.
    bool run_until(const std::function<bool()>& done)
    {
        const instant end = io::monotonic_now() + std::chrono::seconds(5);
        while (!done()) {
            const instant now = io::monotonic_now();
            if (now > end) {
                return false;
            }
            if (has_peer) {
                load_digest digest{"127.0.0.1:9", 1, false, {}, {}, 0, settings.data_centre, {}};
                digest.servers = relay::directory_update{0, 1, {}, std::chrono::milliseconds(1)};
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

    /// Returns whether a server is used again that announced its shutdown over a minute ago.
    bool returns()
    {
        BOOST_REQUIRE(run_until([&] { return core.directory().is_open(server); }));
        // Soon after the store comes into reach the directory isn't sure.
        const instant sure_at = io::monotonic_now() + std::chrono::milliseconds(2500);
        run_until([&] { return io::monotonic_now() > sure_at; });
        const auto announce = [&] {
            core.directory().on_leaving(server, io::monotonic_now() - std::chrono::seconds(61));
        };
        announce();
        BOOST_TEST(!core.directory().is_open(server));
        return run_until([&] {
            if (core.directory().is_open(server)) {
                return true;
            }
            announce(); // a busy machine that stops this test for a second would start the time over
            return false;
        });
    }

    const backend_id server{"server-1"};
    ACE_Reactor reactor{new ACE_Dev_Poll_Reactor, true};
    test::scripted_server store{store_response};
    written_protocol wire;
    gateway_settings settings;
    server_pool pool{reactor, store_pool_options()};
    relay::relay_core core{relay::relay_options{}};
    peer_link peers{reactor, {}, [](const load_digest&) {}};
    std::unique_ptr<store_reader> reader;
    bool has_peer = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(store_reader_tests)

BOOST_AUTO_TEST_CASE(a_server_that_goes_on_writing_its_entry_is_used_again_after_its_announced_shutdown)
{
    running_reader node;
    BOOST_TEST(node.returns());
}

/// Guards against a server that stays closed at all nodes but the one that reads the store for them.
BOOST_AUTO_TEST_CASE(a_node_that_relies_on_a_peer_looks_itself_whether_a_server_has_stayed)
{
    running_reader node;
    node.has_peer = true;
    BOOST_REQUIRE(node.run_until([&] { return !node.reader->reading(); }));
    BOOST_TEST(node.returns());
    BOOST_TEST(!node.reader->reading());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::gateway
