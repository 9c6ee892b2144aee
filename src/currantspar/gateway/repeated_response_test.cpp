#include <atomic>
#include <string>

#include <boost/test/unit_test.hpp>

#include "test_node.hpp"

namespace currantspar::gateway {

using namespace test;

namespace {

/// A refusal that names the request which it refuses.
std::string make_refusal(const std::string& id)
{
    return "HTTP/1.1 503 Unavailable\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

/// Waits for the response to one request.
class waiting_sink : public exchange_sink
{
public:
    bool response_head(int, const http_fields&) override { return true; }
    void response_body(std::string_view) override {}
    void response_complete() override { complete = true; }
    void request_failed(bool, const std::string&) override { failed = true; }

    bool complete = false;
    bool failed = false;
};

/// A pool before one server that answers everything.
struct pool_of_one
{
    explicit pool_of_one(server_pool_options options = {}) : pool(reactor, options) {}

    /// Sends a request and waits for its response; returns the number of connections opened so far.
    std::uint64_t send(const std::string& id)
    {
        waiting_sink sink;
        pool.start(server.address(), {request("GET", "/read/1", id), id}, sink, io::monotonic_now());
        const instant began = io::monotonic_now();
        while (!sink.complete && !sink.failed && io::monotonic_now() - began < std::chrono::seconds(3)) {
            ACE_Time_Value wait(0, 5000);
            reactor.handle_events(wait);
        }
        BOOST_TEST(sink.complete);
        return pool.connects();
    }

    ACE_Reactor reactor{new ACE_Dev_Poll_Reactor, true};
    scripted_server server{echo};
    server_pool pool;
};

/// A server that refuses its first request, runs the others, and writes the refusal once more before the next
/// response on its connection.
scripted_server::handler make_refusing_once(std::atomic<unsigned>& runs)
{
    const auto refused = std::make_shared<std::atomic<bool>>(false);
    return [&runs, refused](const http_request& from) {
        if (!refused->exchange(true)) {
            scripted_response refusal{make_refusal(id_of(from))};
            refusal.before_next = refusal.bytes;
            return refusal;
        }
        runs += 1;
        return scripted_response{make_response(id_of(from), "ran")};
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(repeated_response_tests)

/// Guards against "not run" for a request that ran: the server refused it, got it once more on the same
/// connection, and wrote a copy of the refusal before the response. Both bear the same id.
BOOST_AUTO_TEST_CASE(a_copy_of_a_refusal_is_not_taken_for_the_response_to_the_repeated_request)
{
    std::atomic<unsigned> runs = 0;
    running_node run({make_refusing_once(runs)});
    const std::string first = run.call(request("POST", "/once/1", "a"), ends_with("\r\n\r\n"));
    BOOST_TEST(first.starts_with("HTTP/1.1 503"));
    const std::string second = run.call(request("POST", "/once/1", "a"), [](const std::string& received) {
        return received.ends_with("ran") || received.starts_with("HTTP/1.1 503");
    });
    BOOST_TEST(second.starts_with("HTTP/1.1 200"));
    BOOST_TEST(runs.load() == 1U);
}

/// Guards against a request that runs at two servers, because the first one's copy of an earlier refusal is
/// believed and the second one is asked.
BOOST_AUTO_TEST_CASE(a_copy_of_a_refusal_makes_no_request_run_at_two_servers)
{
    std::atomic<unsigned> runs = 0;
    running_node run({make_refusing_once(runs), make_refusing_once(runs)});
    const std::string first = run.call(request("POST", "/once/1", "a"), ends_with("\r\n\r\n"));
    BOOST_TEST(first.starts_with("HTTP/1.1 503"));
    const std::string second = run.call(request("POST", "/once/1", "a"), [](const std::string& received) {
        return received.ends_with("ran") || received.starts_with("HTTP/1.1 503");
    });
    BOOST_TEST(second.starts_with("HTTP/1.1 200"));
    BOOST_TEST(runs.load() == 1U);
}

/// Guards against an error of the first attempt that is written once more and taken for the response to the
/// second attempt at the same server.
BOOST_AUTO_TEST_CASE(a_copy_of_an_error_is_not_taken_for_the_response_to_the_retry)
{
    std::atomic<unsigned> arrivals = 0;
    running_node run({[&arrivals](const http_request& from) {
        if (arrivals++ == 0) {
            scripted_response error{"HTTP/1.1 500 Error\r\nId: " + id_of(from) +
                                    "\r\nContent-Length: 0\r\n\r\n"};
            error.before_next = error.bytes;
            return error;
        }
        return scripted_response{make_response(id_of(from), "ran")};
    }});
    const std::string received = run.call(request("GET", "/read/1", "a"), [](const std::string& so_far) {
        return so_far.ends_with("ran") || so_far.starts_with("HTTP/1.1 500");
    });
    BOOST_TEST(received.starts_with("HTTP/1.1 200"));
    BOOST_TEST(arrivals.load() == 2U);
}

/// Guards against the same without a caller that sends its request again: a server that restarted at its
/// address has two entries for a while, and the node sends the request on to the second one, to the same
/// address.
BOOST_AUTO_TEST_CASE(a_copy_of_a_refusal_for_the_entry_before_a_restart_is_not_taken_for_the_response)
{
    std::atomic<unsigned> runs = 0;
    running_node run({make_refusing_once(runs)}, running_node::store_response, [](fake_protocol& wire) {
        relay::server_entry restarted = wire.servers.front();
        restarted.id = backend_id("server-1-restarted");
        wire.servers.push_back(restarted);
    });
    const std::string received = run.call(request("POST", "/once/1", "a"), [](const std::string& so_far) {
        return so_far.ends_with("ran") || so_far.starts_with("HTTP/1.1 503");
    });
    BOOST_TEST(received.starts_with("HTTP/1.1 200"));
    BOOST_TEST(runs.load() == 1U);
}

/// Guards against a request that fails, though it ran, because a copy of the response to an own call without
/// an id, for example an order, is read on its connection.
BOOST_AUTO_TEST_CASE(a_copy_of_a_response_without_an_id_reaches_no_later_request)
{
    running_node run({[](const http_request& from) {
        scripted_response response{make_response(id_of(from), "ran")};
        if (id_of(from).empty()) {
            response.before_next = response.bytes;
        }
        return response;
    }});
    const std::string first = run.call(request("GET", "/read/1", ""), ends_with("ran"));
    BOOST_TEST(first.starts_with("HTTP/1.1 200"));
    const std::string second = run.call(request("POST", "/once/1", "a"), [](const std::string& received) {
        return received.ends_with("ran") || received.starts_with("HTTP/1.1 502");
    });
    BOOST_TEST(second.starts_with("HTTP/1.1 200"));
}

/// Guards against a request that is sent again where a response to its first sending can still arrive.
BOOST_AUTO_TEST_CASE(a_connection_carries_a_request_id_once)
{
    pool_of_one servers;
    BOOST_TEST(servers.send("a") == 1U);
    BOOST_TEST(servers.send("b") == 1U);
    BOOST_TEST(servers.send("a") == 2U);
    // Now "a" may take neither of the two, and others may take both.
    BOOST_TEST(servers.send("a") == 3U);
    BOOST_TEST(servers.send("c") == 3U);
}

/// Guards against an own call, for example an order, that takes another request's response for its own.
BOOST_AUTO_TEST_CASE(a_request_without_an_id_takes_a_new_connection)
{
    pool_of_one servers;
    BOOST_TEST(servers.send("a") == 1U);
    BOOST_TEST(servers.send("") == 2U);
    BOOST_TEST(servers.send("") == 3U);
    BOOST_TEST(servers.send("b") == 3U);
    BOOST_TEST(servers.send("a") == 4U);
}

/// Guards against memory that grows with the requests of a connection that never ends.
BOOST_AUTO_TEST_CASE(a_connection_is_closed_after_its_most_requests)
{
    server_pool_options options;
    options.max_requests_per_connection = 3;
    pool_of_one servers(options);
    for (const char* id : {"a", "b", "c"}) {
        BOOST_TEST(servers.send(id) == 1U);
    }
    BOOST_TEST(servers.send("d") == 2U);
}

/// The shared store's responses have no ids and come one for each request, so its connections are kept.
BOOST_AUTO_TEST_CASE(connections_to_a_peer_without_ids_are_kept)
{
    server_pool_options options;
    options.responses_have_ids = false;
    options.max_requests_per_connection = 1;
    pool_of_one store(options);
    BOOST_TEST(store.send("") == 1U);
    BOOST_TEST(store.send("") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::gateway
