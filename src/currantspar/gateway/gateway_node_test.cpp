#include "gateway_node.hpp"

#include <boost/test/unit_test.hpp>

#include "currantspar/base/test_wire_text.hpp"
#include "test_node.hpp"

namespace currantspar::gateway {

namespace {

using test::scripted_response;
using test::scripted_server;

using test::echo;
using test::ends_with;
using test::fake_protocol;
using test::id_of;
using test::make_response;
using test::make_route;
using test::request;
using test::running_node;

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_node_tests)

BOOST_AUTO_TEST_CASE(a_request_is_forwarded_and_its_response_returned)
{
    running_node run({echo});
    const std::string received = run.call(request("POST", "/once/1", "a", "hello"), ends_with("echo hello"));
    BOOST_TEST(received.starts_with("HTTP/1.1 200 OK\r\n"));
    BOOST_TEST(received.find("Proof: p\r\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_order)
{
    running_node run({echo});
    const std::string received =
        run.call(request("POST", "/once/1", "a", "one") + request("POST", "/once/2", "b", "two"),
                 ends_with("echo two"));
    BOOST_TEST(received.find("echo one") < received.find("echo two"));
    BOOST_TEST(run.servers[0]->requests() == 2U);
}

BOOST_AUTO_TEST_CASE(an_unsigned_or_truncated_response_is_not_a_success)
{
    for (const std::string& invalid_response :
         {make_response("a", "body", ""),
          std::string("HTTP/1.1 200 OK\r\nId: a\r\nProof: p\r\nContent-Length: 9\r\n\r\nbody"),
          std::string("nonsense\r\n\r\n"),
          make_response("a", "body", "Proof: p\r\nContent-Encoding: gzip\r\n").substr(0, 30)}) {
        running_node run({[invalid_response](const http_request&) {
            return scripted_response{invalid_response, true};
        }});
        const std::string received = run.call(request("POST", "/once/1", "a"), ends_with("\r\n\r\n"));
        BOOST_TEST(received.starts_with("HTTP/1.1 502"), invalid_response);
        BOOST_TEST(run.servers[0]->requests() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(an_at_most_once_request_is_not_retried_after_a_reset)
{
    const auto reset = [](const http_request&) { return scripted_response{"", true, true}; };
    running_node run({reset, reset});
    const std::string received = run.call(request("POST", "/once/1", "a"), ends_with("\r\n\r\n"));
    BOOST_TEST(received.starts_with("HTTP/1.1 502"));
    BOOST_TEST(run.servers[0]->requests() + run.servers[1]->requests() == 1U);
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_is_retried_at_another_server_after_a_reset)
{
    std::atomic<unsigned> calls = 0;
    const auto first_resets = [&calls](const http_request& from) {
        return calls++ == 0 ? scripted_response{"", true, true} : echo(from);
    };
    running_node run({first_resets, first_resets});
    const std::string received = run.call(request("GET", "/read/1", "a"), ends_with("echo "));
    BOOST_TEST(received.starts_with("HTTP/1.1 200"));
    BOOST_TEST(calls.load() == 2U);
}

BOOST_AUTO_TEST_CASE(an_unsolicited_response_reaches_no_caller)
{
    running_node run({[](const http_request& from) {
        return scripted_response{make_response(id_of(from), "mine") + make_response("other", "stray")};
    }});
    for (int round = 0; round < 3; ++round) {
        const std::string received = run.call(request("POST", "/once/1", "a"), ends_with("mine"));
        BOOST_TEST(received.find("stray") == std::string::npos);
        BOOST_TEST(received.find("mine") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(a_late_response_to_another_request_is_skipped)
{
    running_node run({[](const http_request& from) {
        return scripted_response{make_response("other", "stray") + make_response(id_of(from), "mine")};
    }});
    const std::string received = run.call(request("POST", "/once/1", "a"), ends_with("mine"));
    BOOST_TEST(received.starts_with("HTTP/1.1 200"));
    BOOST_TEST(received.find("stray") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(events_are_forwarded_and_a_complete_stream_is_terminated)
{
    running_node run({[](const http_request& from) {
        return scripted_response{"HTTP/1.1 200 OK\r\nId: " + id_of(from) +
                                 "\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n"
                                 "f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n"};
    }});
    const std::string received = run.call(request("POST", "/stream/1", "a"), ends_with("0\r\n\r\n"));
    BOOST_TEST(received.find("id: 1\ndata: x\n\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_broken_stream_does_not_look_complete)
{
    running_node run({[](const http_request& from) {
        return scripted_response{"HTTP/1.1 200 OK\r\nId: " + id_of(from) +
                                     "\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n"
                                     "f\r\nid: 1\ndata: x\n\n\r\n9\r\nid: 2\ndat\r\n",
                                 true, true};
    }});
    const std::string received = run.call(request("POST", "/stream/1", "a"), ends_with("0\r\n\r\n"));
    BOOST_TEST(!received.ends_with("0\r\n\r\n"));
    BOOST_TEST(received.find("id: 2") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_disconnected_caller_frees_the_server_within_half_a_second)
{
    running_node run({[](const http_request&) { return scripted_response{"", false, false, true}; }});
    test::raw_caller caller(run.wire.settings.caller_address, request("GET", "/read/1", "a"));
    BOOST_TEST(run.run_until([&] { return run.servers[0]->requests() == 1; }));
    const instant left = io::monotonic_now();
    caller.disconnect();
    BOOST_TEST(run.run_until([&] { return run.servers[0]->closed_while_held() == 1; }));
    BOOST_TEST((io::monotonic_now() - left < std::chrono::milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(a_malformed_request_is_rejected_and_others_are_unaffected)
{
    running_node run({echo});
    const std::string both = "POST /once/1 HTTP/1.1\r\nHost: shop\r\nId: a\r\nContent-Length: 3\r\n"
                             "Transfer-Encoding: chunked\r\n\r\nabc";
    BOOST_TEST(run.call(both, ends_with("\r\n\r\n")).starts_with("HTTP/1.1 400"));
    const std::string large =
        "GET /read/1 HTTP/1.1\r\nHost: shop\r\nX: " + std::string(70000, 'x') + "\r\n\r\n";
    BOOST_TEST(run.call(large, ends_with("\r\n\r\n")).starts_with("HTTP/1.1 431"));
    BOOST_TEST(run.call(request("POST", "/once/1", "b", "fine"), ends_with("echo fine"))
                   .starts_with("HTTP/1.1 200"));
    BOOST_TEST(run.servers[0]->requests() == 1U);
}

/// Guards against waiting for a held read: one that the store held missed a record that was appended while
/// the store was slow.
BOOST_AUTO_TEST_CASE(a_configuration_announced_by_a_peer_is_read_at_once)
{
    std::atomic<unsigned> reads = 0;
    running_node run({echo}, [&reads](const http_request& request) {
        if (request.target == "/read/0") {
            reads += 1;
            return scripted_response{"", false, false, true};
        }
        return running_node::store_response(request);
    });
    run.run_past_startup();
    const unsigned before = reads;
    const instant announced_at = io::monotonic_now();
    test::send_datagram(
        run.wire.settings.peer_address,
        encode_digest(load_digest{"127.0.0.1:9", 1, true, {}, {}, 5, data_centre_id("b"), {}}));
    BOOST_TEST(run.run_until([&] { return reads.load() > before; }));
    BOOST_TEST((io::monotonic_now() - announced_at < std::chrono::milliseconds(500)));
}

/// Guards against a configuration that comes into force too late: with two thousand routes on slow links, the
/// digests of a hundred peers that already had the new version restarted the download each time.
BOOST_AUTO_TEST_CASE(a_slow_configuration_download_is_not_restarted)
{
    std::atomic<unsigned> reads = 0;
    std::atomic<bool> changed = false;
    running_node run({echo}, [&](const http_request& request) {
        if (request.target != "/read/0") {
            return running_node::store_response(request);
        }
        reads += changed ? 1 : 0;
        return changed ? scripted_response{"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\nbegin", false,
                                           false, true}
                       : scripted_response{"", false, false, true};
    });
    run.run_past_startup();
    changed = true;
    const instant started_at = io::monotonic_now();
    std::uint64_t sequence = 0;
    run.run_until([&] {
        sequence += 1;
        test::send_datagram(
            run.wire.settings.peer_address,
            encode_digest(load_digest{"127.0.0.1:9", sequence, true, {}, {}, 5, data_centre_id("b"), {}}));
        return io::monotonic_now() - started_at > std::chrono::milliseconds(900);
    });
    BOOST_TEST(reads.load() == 1U);
}

/// Guards against overloading the store: with a hundred nodes, only one node of a data centre may read it. A
/// node that receives updates from that reader doesn't read the store, applies the reader's changes, and
/// reads again when the reader stops responding.
BOOST_AUTO_TEST_CASE(a_node_relies_on_the_reader_of_its_data_centre_until_it_stops_responding)
{
    std::atomic<unsigned> reads = 0;
    running_node run({echo, echo}, [&reads](const http_request& request) {
        reads += request.target == "/read/1" ? 1 : 0;
        return running_node::store_response(request);
    });
    std::uint64_t sequence = 0;
    const auto send_updates_for = [&](std::chrono::milliseconds span, std::uint64_t to,
                                      const std::vector<relay::directory_change>& changes) {
        const instant started_at = io::monotonic_now();
        run.run_until([&] {
            sequence += 1;
            load_digest digest{"127.0.0.1:1", sequence, true, {}, {}, 1, run.wire.settings.data_centre, {}};
            digest.servers = relay::directory_update{0, to, changes, std::chrono::milliseconds(10)};
            test::send_datagram(run.wire.settings.peer_address, encode_digest(digest));
            return io::monotonic_now() - started_at > span;
        });
    };
    send_updates_for(std::chrono::milliseconds(1300), 3, {});
    const unsigned before = reads;
    send_updates_for(std::chrono::milliseconds(1200), 3, {});
    BOOST_TEST(reads.load() == before);
    send_updates_for(std::chrono::milliseconds(100), 5, {{3, backend_id("server-1"), std::nullopt}});
    BOOST_TEST(
        run.call(request("POST", "/once/1", "a", "x"), ends_with("echo x")).starts_with("HTTP/1.1 200"));
    BOOST_TEST(run.servers[0]->requests() == 0U);
    BOOST_TEST(run.servers[1]->requests() == 1U);
    BOOST_TEST(run.run_until([&] { return reads.load() > before; }));
}

/// Guards against a held read that outlasts the store's outage: the node must start a new read when the store
/// fails and another when it recovers.
BOOST_AUTO_TEST_CASE(a_held_read_is_restarted_when_the_store_fails_and_when_it_recovers)
{
    std::atomic<unsigned> reads = 0;
    std::atomic<bool> out = false;
    running_node run({echo}, [&](const http_request& request) {
        if (request.target == "/read/0") {
            reads += 1;
            return scripted_response{"", false, false, true};
        }
        if (out && request.target == "/read/1") {
            return scripted_response{"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"};
        }
        return running_node::store_response(request);
    });
    run.run_past_startup();
    unsigned before = reads;
    out = true;
    BOOST_TEST(run.run_until([&] { return reads.load() > before; }));
    run.run_past_startup();
    before = reads;
    out = false;
    BOOST_TEST(run.run_until([&] { return reads.load() > before; }));
}

/// Adds twelve decode engines and no prefill engine, so that the node has to claim the lease and order role
/// changes.
void add_engines(fake_protocol& wire)
{
    auto config = std::make_shared<relay::relay_config>(*wire.config);
    relay::relayed_service service;
    service.id = service_id("model");
    service.engines = relay::engine_traits{64, 450000, 163840, 1600000.0, std::chrono::seconds(5)};
    config->services.push_back(service);
    wire.config = config;
    for (int index = 1; index <= 12; ++index) {
        relay::server_entry engine;
        engine.id = backend_id("engine-" + std::to_string(index));
        engine.service = service.id;
        engine.address = test_address("127.0.0.1:9");
        engine.slots = 6;
        engine.role = config::engine_role::decode;
        wire.servers.push_back(engine);
    }
}

/// Guards against a node that, after a reload with another store address, keeps its lease in the old store.
BOOST_AUTO_TEST_CASE(a_node_reads_its_lease_from_the_new_store_after_a_reload)
{
    std::atomic<unsigned> lease_reads = 0;
    scripted_server other([&lease_reads](const http_request& request) {
        lease_reads += request.target == "/newest/3" ? 1 : 0;
        return running_node::store_response(request);
    });
    running_node run({echo}, running_node::store_response, add_engines);
    gateway_settings new_settings = run.wire.settings;
    new_settings.store_address = other.address();
    run.node->reload(new_settings);
    BOOST_TEST(run.run_until([&] { return lease_reads.load() > 0; }));
}

/// A request on a kept connection, seconds after the stop signal, could be cut when the process ends.
BOOST_AUTO_TEST_CASE(a_request_late_in_a_stop_is_refused_as_not_run)
{
    running_node run({echo});
    run.node->stop(io::monotonic_now() - std::chrono::milliseconds(3500));
    const std::string received = run.call(request("POST", "/once/1", "a", "hello"), ends_with("\r\n\r\n"));
    BOOST_TEST(received.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(received.find("Connection: close") != std::string::npos);
    BOOST_TEST(run.servers.front()->requests() == 0U);
}

/// A node that serves nobody for seconds must show in its metrics, or such a hang can't be told from slow
/// servers.
BOOST_AUTO_TEST_CASE(the_delay_of_ticks_is_among_the_metrics)
{
    running_node run({echo}, running_node::store_response,
                     [](fake_protocol& wire) { wire.settings.metrics_address = test::free_address(); });
    run.node->on_tick_delay(std::chrono::seconds(5));
    auto scrape =
        std::async(std::launch::async, test::exchange, run.wire.settings.metrics_address,
                   std::string("GET /metrics HTTP/1.1\r\nHost: n\r\n\r\n"), [](const std::string& received) {
                       return received.find("gateway_tick_delay_seconds_sum 5\n") != std::string::npos;
                   });
    BOOST_TEST(
        run.run_until([&] { return scrape.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }));
    BOOST_TEST(scrape.get().find("gateway_tick_delay_seconds_sum 5\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_stopping_node_is_not_ready_but_still_serves_requests)
{
    running_node run({echo});
    const auto probe = [&] {
        auto caller =
            std::async(std::launch::async, test::exchange, run.wire.settings.ready_address,
                       std::string("GET /ready HTTP/1.1\r\nHost: n\r\n\r\n"), ends_with("\r\n\r\n"));
        BOOST_TEST(run.run_until(
            [&] { return caller.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }));
        return caller.get();
    };
    BOOST_TEST(probe().starts_with("HTTP/1.1 200"));
    run.node->stop(io::monotonic_now());
    BOOST_TEST(probe().starts_with("HTTP/1.1 503"));
    const std::string received = run.call(request("POST", "/once/1", "a", "late"), ends_with("echo late"));
    BOOST_TEST(received.starts_with("HTTP/1.1 200"));
    BOOST_TEST(received.find("Connection: close") != std::string::npos);
}

/// Guards against a server that writes an earlier refusal once more, without an id, where the response to the
/// next request on the connection is due: that request has run, so it must not be called not run or run
/// again.
BOOST_AUTO_TEST_CASE(a_repeated_refusal_on_a_kept_connection_is_not_taken_for_the_next_request)
{
    const std::string refusal = "HTTP/1.1 503 Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    std::atomic<unsigned> runs = 0;
    const auto refuses_again = [&](const http_request& from) {
        if (id_of(from) == "refused") {
            return scripted_response{refusal};
        }
        runs += 1;
        return scripted_response{refusal + make_response(id_of(from), "ran")};
    };
    running_node run({refuses_again, refuses_again});
    const std::string first = run.call(request("POST", "/once/1", "refused"), ends_with("\r\n\r\n"));
    BOOST_TEST(first.starts_with("HTTP/1.1 503"));
    BOOST_TEST(run.servers[0]->requests() + run.servers[1]->requests() == 2U);
    const std::string second = run.call(request("POST", "/once/2", "b"), ends_with("\r\n\r\n"));
    BOOST_TEST(second.starts_with("HTTP/1.1 502"));
    BOOST_TEST(runs.load() == 1U);
}

/// Guards against a stream that ends with its connection before its first event and then looks complete.
BOOST_AUTO_TEST_CASE(a_stream_that_ends_before_its_first_event_is_not_complete)
{
    const auto empty = [](const http_request& from) {
        return scripted_response{"HTTP/1.1 200 OK\r\nId: " + id_of(from) + "\r\nProof: p\r\n\r\n", true};
    };
    running_node run({empty});
    const std::string received = run.call(request("POST", "/stream/1", "a"), ends_with("0\r\n\r\n"));
    BOOST_TEST(received.starts_with("HTTP/1.1 200"));
    BOOST_TEST(!received.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::gateway
