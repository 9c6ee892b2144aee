#include "currantspar/io/http_client.hpp"

#include <future>

#include <boost/test/unit_test.hpp>

#include "currantspar/io/clock.hpp"
#include "test_socket.hpp"
#include "whole_answer.hpp"

namespace currantspar::io {

namespace {

using namespace std::chrono_literals;

const std::string short_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Runs a request and waits for its end.
whole_answer run(http_client& client, http_request request)
{
    std::promise<whole_answer> ended;
    auto answer = ended.get_future();
    client.start(std::move(request),
                 collect_answer(1U << 20U, [&](const whole_answer& got) { ended.set_value(got); }));
    return answer.get();
}

http_request to(const scripted_server& server, const std::string& method)
{
    http_request request;
    request.method = method;
    request.url = "http://" + server.address() + "/";
    request.idle_limit = 300ms;
    if (method == "POST") {
        request.body = std::make_shared<const std::string>();
    }
    return request;
}

void answer_once(int socket)
{
    scripted_server::read_head(socket);
    scripted_server::write(socket, short_answer);
}

/// Takes a second request on the same connection and closes without an answer.
void answer_then_drop(int socket)
{
    answer_once(socket);
    scripted_server::read_head(socket);
}

BOOST_AUTO_TEST_SUITE(http_client_faults)

BOOST_AUTO_TEST_CASE(refused_connection_is_not_written)
{
    http_client client;
    http_request request;
    request.method = "POST";
    request.url = "http://127.0.0.1:" + std::to_string(free_port()) + "/";
    BOOST_CHECK(run(client, request).end.how == transfer_result::not_written);
}

BOOST_AUTO_TEST_CASE(silence_ends_at_the_idle_limit)
{
    http_client client;
    const scripted_server server({});
    const instant begin = monotonic_now();
    BOOST_CHECK(run(client, to(server, "POST")).end.how == transfer_result::silent);
    BOOST_CHECK(monotonic_now() - begin >= 300ms);
}

BOOST_AUTO_TEST_CASE(answer_that_stops_before_its_length_is_broken)
{
    http_client client;
    const scripted_server server({[](int socket) {
        scripted_server::read_head(socket);
        scripted_server::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    }});
    BOOST_CHECK(run(client, to(server, "GET")).end.how == transfer_result::broken);
}

BOOST_AUTO_TEST_CASE(answer_without_length_or_end_marker_is_not_whole)
{
    http_client client;
    const scripted_server server({[](int socket) {
        scripted_server::read_head(socket);
        scripted_server::write(socket, "HTTP/1.1 200 OK\r\n\r\nmaybe all");
    }});
    BOOST_CHECK(run(client, to(server, "GET")).end.how == transfer_result::broken);
}

/// Guards against an engine that stops in the middle of its answer's head and closes: libcurl calls that a
/// success.
BOOST_AUTO_TEST_CASE(answer_cut_off_anywhere_before_its_end_is_not_complete)
{
    const std::string whole = "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n\r\nbody";
    for (std::size_t length = 1; length < whole.size(); ++length) {
        scripted_server server({[&](int socket) {
            scripted_server::read_head(socket);
            scripted_server::write(socket, whole.substr(0, length));
        }});
        http_client client;
        const whole_answer got = run(client, to(server, "POST"));
        BOOST_TEST((got.end.how != transfer_result::complete), whole.substr(0, length));
    }
}

/// Guards against a status that means nothing and reaches a caller.
BOOST_AUTO_TEST_CASE(answer_without_a_valid_status_is_not_complete)
{
    for (const std::string line : {"HTTP/1.1 000 Zero",
                                   "HTTP/1.1 001 One",
                                   "HTTP/1.1 099 Ninety-nine",
                                   "HTTP/1.1 600 Beyond",
                                   "HTTP/1.1 700 Beyond",
                                   "HTTP/1.1 999 Beyond",
                                   "HTTP/1.1 2000 Four",
                                   "HTTP/1.1 0200 Four",
                                   "HTTP/1.1 20 Two",
                                   "HTTP/1.1  200 Spaces",
                                   "HTTP/1.1",
                                   "HTTP/1.1 ",
                                   "HTTP/1.1 abc Letters",
                                   "HTTP/1.1 2x0 Letters",
                                   "HTTP/1.1 -20 Sign",
                                   "HTTP/1.1 +200 Sign",
                                   "HTTP/1.1 100 Continue",
                                   "HTTP/1.1 101 Switched",
                                   "HTTP/1.1 199 Interim",
                                   "HTTP/2 200 OK",
                                   "HTTP/1.1 200.0 Fraction",
                                   "HTTP/1.1 0x1 Hex",
                                   "ICY 200 OK",
                                   "HTTP/9.9 200 OK"}) {
        const scripted_server server({[&](int socket) {
            scripted_server::read_head(socket);
            scripted_server::write(socket, line + "\r\nContent-Length: 4\r\n\r\nfake");
        }});
        http_client client;
        const whole_answer got = run(client, to(server, "POST"));
        BOOST_TEST((got.end.how == transfer_result::broken), line);
        BOOST_TEST(got.end.status == 0, line << " gave status " << got.end.status);
    }
}

/// Guards against a part of an answer that is taken for the whole: it has no length, and its connection ends
/// while the request is still being sent.
BOOST_AUTO_TEST_CASE(answer_without_length_cut_during_the_upload_is_not_complete)
{
    const std::string whole = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\npart of a body";
    for (std::size_t length = 0; length <= whole.size(); ++length) {
        const scripted_server server({[&](int socket) {
            scripted_server::read_head(socket);
            scripted_server::write(socket, whole.substr(0, length));
        }});
        http_client client;
        http_request request = to(server, "POST");
        request.body = std::make_shared<const std::string>(std::string(8388608, 'u'));
        BOOST_TEST((run(client, request).end.how == transfer_result::broken), whole.substr(0, length));
    }
}

/// Guards against a server that never sends a final answer.
/// Guards against headers of a server that act as other ones at a caller, or that disappear on the way.
BOOST_AUTO_TEST_CASE(answer_whose_headers_cannot_be_passed_on_is_broken)
{
    for (const std::string& header : {std::string("Transfer-Encoding : chunked"), std::string("X y: z"),
                                      std::string("Content-Type: a\rX: y"), std::string("X: a\x1b[2J")}) {
        http_client client;
        const scripted_server server({[&](int socket) {
            scripted_server::read_head(socket);
            scripted_server::write(socket,
                                   "HTTP/1.1 200 OK\r\n" + header + "\r\nContent-Length: 2\r\n\r\nok");
        }});
        const whole_answer answer = run(client, to(server, "POST"));
        BOOST_CHECK(answer.end.how == transfer_result::broken);
        BOOST_TEST(answer.end.reason.find("can't be passed on") != std::string::npos, answer.end.reason);
    }
}

/// Guards against values that become a second request: libcurl writes headers as they are.
BOOST_AUTO_TEST_CASE(request_that_would_be_more_than_one_is_not_written)
{
    http_client client;
    const scripted_server server({answer_once});
    const auto refused = [&](const http_request& request) {
        const whole_answer answer = run(client, request);
        BOOST_CHECK(answer.end.how == transfer_result::not_written);
        BOOST_TEST(answer.end.reason.find("can't be written") != std::string::npos, answer.end.reason);
    };
    for (const http_header& header :
         {http_header{"X", "a\r\nY: z"}, http_header{"X", "a\nb"}, http_header{"X\r\nY", "z"},
          http_header{"", "z"}, http_header{"X ", "z"}, http_header{"Content-Length", "9"},
          http_header{"transfer-encoding", "chunked"}}) {
        http_request request = to(server, "POST");
        request.headers = {header};
        refused(request);
    }
    http_request method = to(server, "GE T");
    refused(method);
    for (const char* path : {"a b", "a\r\nX: y", "a#b"}) {
        http_request request = to(server, "GET");
        request.url += path;
        refused(request);
    }
    BOOST_TEST(server.connections() == 0U);
}

BOOST_AUTO_TEST_CASE(interim_answers_without_end_are_not_complete)
{
    const scripted_server server({[](int socket) {
        scripted_server::read_head(socket);
        for (int count = 0; count < 100000; ++count) {
            scripted_server::write(socket, "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n");
        }
    }});
    http_client client;
    BOOST_TEST((run(client, to(server, "POST")).end.how != transfer_result::complete));
}

BOOST_AUTO_TEST_CASE(post_on_a_dead_pooled_connection_is_not_sent_again)
{
    http_client client;
    std::atomic<bool> sent_again{false};
    const scripted_server server(
        {answer_then_drop, [&](int socket) { sent_again = !scripted_server::read_head(socket).empty(); },
         answer_once});
    BOOST_CHECK(run(client, to(server, "GET")).end.how == transfer_result::complete);
    BOOST_CHECK(run(client, to(server, "POST")).end.how == transfer_result::broken);
    BOOST_CHECK(run(client, to(server, "GET")).end.how == transfer_result::complete);
    BOOST_TEST(server.connections() == 3U);
    BOOST_TEST(!sent_again);
}

BOOST_AUTO_TEST_CASE(get_on_a_dead_pooled_connection_is_sent_again)
{
    http_client client;
    const scripted_server server({answer_then_drop, answer_once});
    BOOST_CHECK(run(client, to(server, "GET")).end.how == transfer_result::complete);
    BOOST_CHECK(run(client, to(server, "GET")).end.how == transfer_result::complete);
    BOOST_TEST(server.connections() == 2U);
}

BOOST_AUTO_TEST_CASE(nothing_is_written_after_the_write_deadline)
{
    http_client client;
    std::atomic<bool> got_request{false};
    const scripted_server server(
        {[&](int socket) { got_request = !scripted_server::read_head(socket).empty(); }, answer_once});
    http_request request = to(server, "POST");
    request.write_deadline = monotonic_now() - 1ms;
    BOOST_CHECK(run(client, request).end.how == transfer_result::not_written);
    BOOST_CHECK(run(client, to(server, "GET")).end.how == transfer_result::complete);
    BOOST_TEST(!got_request);
}

BOOST_AUTO_TEST_CASE(cancelled_connection_is_closed_and_not_used_again)
{
    http_client client;
    std::promise<void> cancelled_closed;
    const scripted_server server({[&](int socket) {
                                      scripted_server::read_head(socket);
                                      scripted_server::read_head(socket); // returns when it is closed
                                      cancelled_closed.set_value();
                                  },
                                  answer_once});
    bool ended = false;
    const transfer_id id =
        client.start(to(server, "GET"), collect_answer(100, [&](const whole_answer&) { ended = true; }));
    std::this_thread::sleep_for(100ms);
    client.cancel(id);
    BOOST_CHECK(cancelled_closed.get_future().wait_for(5s) == std::future_status::ready);
    BOOST_CHECK(run(client, to(server, "GET")).end.how == transfer_result::complete);
    BOOST_TEST(server.connections() == 2U);
    BOOST_TEST(!ended);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace

} // namespace currantspar::io
