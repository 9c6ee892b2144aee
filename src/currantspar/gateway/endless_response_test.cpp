#include <algorithm>
#include <fstream>

#include <boost/test/unit_test.hpp>
#include <unistd.h>

#include "currantspar/gateway/memory_plan.hpp"
#include "test_node.hpp"
#include "unary_call.hpp"

#ifdef __SANITIZE_ADDRESS__
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#endif

namespace currantspar::gateway {

namespace {

using test::echo;
using test::ends_with;
using test::id_of;
using test::make_response;
using test::request;
using test::running_node;
using test::scripted_response;

constexpr std::size_t megabyte = 1048576;
/// The body limit and what fits into the buffers of a loopback connection.
constexpr std::size_t max_sent_bytes = 24 * megabyte;
constexpr std::size_t unit_bytes = 65536;

std::string repeated(const std::string& unit)
{
    std::string out;
    while (out.size() < unit_bytes) {
        out += unit;
    }
    return out;
}

std::string chunked_response(const http_request& from, const std::string& rest)
{
    return "HTTP/1.1 200 OK\r\nProof: p\r\nTransfer-Encoding: chunked\r\nId: " + id_of(from) + "\r\n\r\n" +
           rest;
}

/// A response that begins with `start` and goes on with `endless` until the connection is closed.
struct endless_script
{
    std::string what;
    std::function<std::string(const http_request&)> start;
    std::string endless;
};

std::vector<endless_script> endless_scripts()
{
    const auto text = [](const std::string& bytes) { return [bytes](const http_request&) { return bytes; }; };
    const auto chunked = [](const std::string& rest) {
        return [rest](const http_request& from) { return chunked_response(from, rest); };
    };
    const std::string letters = repeated("x");
    const std::string fields = repeated("X-Field: value\r\n");
    return {
        {"no response at all", text("x"), letters},
        {"a head with one long line", text("HTTP/1.1 200 OK\r\nX-Field: "), letters},
        {"a head with many fields", text("HTTP/1.1 200 OK\r\n"), fields},
        {"interim responses", text(""), repeated("HTTP/1.1 102 Processing\r\n\r\n")},
        {"responses to other requests", text(""), repeated(make_response("other", "not for you"))},
        {"a chunk extension", chunked("5;"), letters},
        {"a trailer", chunked("0\r\n"), fields},
        {"a body beyond its limit", chunked("fffffff\r\n"), letters},
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(endless_response_tests)

/// A server in trouble sends bytes until its connection is closed. The request may have been executed, so its
/// caller is told that the outcome is unknown, long before the route's timeout of two seconds.
BOOST_AUTO_TEST_CASE(bytes_without_end_are_cut_off_and_others_are_served)
{
    for (const endless_script& script : endless_scripts()) {
        BOOST_TEST_CONTEXT(script.what)
        {
            running_node run({[&](const http_request& from) {
                if (from.target != "/once/bad") {
                    return echo(from);
                }
                scripted_response response{script.start(from)};
                response.endless = script.endless;
                return response;
            }});
            const instant began = io::monotonic_now();
            const std::string received = run.call(request("POST", "/once/bad", "a"), ends_with("\r\n\r\n"));
            BOOST_TEST(received.starts_with("HTTP/1.1 502 "));
            BOOST_TEST((io::monotonic_now() - began < std::chrono::milliseconds(1500)));
            BOOST_TEST(run.servers.front()->endless_bytes_sent() < max_sent_bytes);
            BOOST_TEST(run.call(request("POST", "/once/1", "b", "next"), ends_with("echo next"))
                           .starts_with("HTTP/1.1 200 "));
        }
    }
}

/// The memory that this process keeps: what is resident, or under AddressSanitizer, which holds freed memory
/// back, what is allocated.
std::size_t kept_bytes()
{
#ifdef __SANITIZE_ADDRESS__
    return __sanitizer_get_current_allocated_bytes();
#else
    std::ifstream statistics("/proc/self/statm");
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    statistics >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
#endif
}

/// Guards against a node that keeps what many servers send without end and runs out of memory: each response
/// was limited, but not all of them together.
BOOST_AUTO_TEST_CASE(bodies_without_end_from_many_servers_stay_within_one_budget)
{
    constexpr std::size_t callers = 24;
    configure_allocator(); // as in the program
    const auto endless = [](const http_request& from) {
        scripted_response response{"HTTP/1.1 200 OK\r\nProof: p\r\nId: " + id_of(from) + "\r\n\r\n"};
        response.endless = repeated("x");
        return response;
    };
    running_node run({endless, endless}, running_node::store_response,
                     [](test::fake_protocol& wire) { wire.settings.memory_bytes = 182000000; });
    const std::size_t before = kept_bytes();
    std::vector<std::future<std::string>> answers;
    for (std::size_t index = 0; index < callers; ++index) {
        answers.push_back(std::async(std::launch::async, test::exchange, run.wire.settings.caller_address,
                                     request("POST", "/once/bad", "a" + std::to_string(index)),
                                     ends_with("\r\n\r\n")));
    }
    std::size_t most = 0;
    BOOST_TEST(run.run_until([&] {
        most = std::max(most, kept_bytes());
        return std::all_of(answers.begin(), answers.end(), [](const auto& each) {
            return each.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
        });
    }));
    for (auto& each : answers) {
        BOOST_TEST(each.get().starts_with("HTTP/1.1 50"));
    }
    BOOST_TEST(most < before + 96 * megabyte);
}

/// Guards against a body that is read to its end, or for ever, although its head already rules it out.
BOOST_AUTO_TEST_CASE(a_success_without_a_signature_is_refused_at_its_head)
{
    running_node run({[](const http_request& from) {
        return scripted_response{"HTTP/1.1 200 OK\r\nId: " + id_of(from) + "\r\n\r\npart", false, false,
                                 true};
    }});
    const instant began = io::monotonic_now();
    const std::string received = run.call(request("POST", "/once/1", "a"), ends_with("\r\n\r\n"));
    BOOST_TEST(received.starts_with("HTTP/1.1 502 "));
    BOOST_TEST((io::monotonic_now() - began < std::chrono::seconds(1)));
}

/// Guards against a response to one of the node's own calls that never ends, which was kept up to the limit
/// for callers' responses at each server.
BOOST_AUTO_TEST_CASE(a_response_without_end_to_an_own_call_is_cut_off_early)
{
    test::scripted_server server([](const http_request&) {
        scripted_response response{"HTTP/1.1 200 OK\r\n\r\n"};
        response.endless = repeated("x");
        return response;
    });
    ACE_Reactor reactor(new ACE_Dev_Poll_Reactor, true);
    server_pool pool(reactor, {});
    unary_calls calls;
    std::optional<bool> answered;
    calls.start(
        pool, server.address(), write_request({"GET", "/status", {{"Host", "h"}}, {}}),
        std::chrono::seconds(5), [&](const http_response* response) { answered = response != nullptr; },
        io::monotonic_now());
    const instant began = io::monotonic_now();
    while (!answered && io::monotonic_now() - began < std::chrono::seconds(4)) {
        ACE_Time_Value wait(0, 5000);
        reactor.handle_events(wait);
    }
    BOOST_REQUIRE(answered.has_value());
    BOOST_TEST(!*answered);
    BOOST_TEST(server.endless_bytes_sent() < 12 * megabyte);
}

/// The event is never complete, so nothing of it is forwarded.
BOOST_AUTO_TEST_CASE(an_event_without_end_breaks_its_stream)
{
    running_node run({[](const http_request& from) {
        scripted_response response{
            chunked_response(from, write_chunk("id: 1\n\n") + "fffffff\r\nid: 2\ndata: ")};
        response.endless = repeated("x");
        return response;
    }});
    const instant began = io::monotonic_now();
    const std::string received = run.call(request("GET", "/stream/1", "a"), ends_with("\n0\r\n\r\n"));
    BOOST_TEST(received.starts_with("HTTP/1.1 200 "));
    BOOST_TEST(!received.ends_with("\n0\r\n\r\n"));
    BOOST_TEST(received.size() < 2048U);
    BOOST_TEST((io::monotonic_now() - began < std::chrono::milliseconds(1500)));
}

/// A long stream of small events is sound: only single events are limited.
BOOST_AUTO_TEST_CASE(a_stream_longer_than_the_body_limit_is_forwarded_whole)
{
    constexpr std::size_t events = 600;
    std::string body;
    for (std::size_t index = 0; index < events; ++index) {
        body += write_chunk("data: " + std::string(0x2000, 'y') + "\n\n");
    }
    running_node run({[&](const http_request& from) {
        return scripted_response{chunked_response(from, body + "0\r\n\r\n")};
    }});
    const std::string received = run.call(request("GET", "/stream/1", "a"), ends_with("\n0\r\n\r\n"));
    BOOST_TEST(received.size() > events * 0x2000);
    BOOST_TEST(received.ends_with("\n0\r\n\r\n"));
}

/// A byte now and then, comments and incomplete events are no progress: the route's timeout ends the stream.
BOOST_AUTO_TEST_CASE(a_stalled_stream_ends_at_the_timeout_of_its_route)
{
    running_node run({[](const http_request& from) {
        const std::string stalled = write_chunk("id: 1\n\n") + write_chunk("id:");
        return scripted_response{chunked_response(from, stalled), false, false, true};
    }});
    const instant began = io::monotonic_now();
    const std::string received = run.call(request("GET", "/stream/1", "a"), ends_with("\n0\r\n\r\n"));
    const auto took = io::monotonic_now() - began;
    BOOST_TEST(!received.ends_with("\n0\r\n\r\n"));
    BOOST_TEST((took > std::chrono::milliseconds(1900)));
    BOOST_TEST((took < std::chrono::milliseconds(2500)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::gateway
