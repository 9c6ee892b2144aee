#include <boost/test/unit_test.hpp>

#include "test_node.hpp"

// Responses that end with their head, whatever their fields or their server's bytes say.

namespace currantspar::gateway {

namespace {

using test::ends_with;
using test::id_of;
using test::make_response;
using test::request;
using test::running_node;
using test::scripted_response;

} // namespace

BOOST_AUTO_TEST_SUITE(bodiless_response_tests)

/// Guards against a response to HEAD that waits for a body until the deadline, and against bytes behind its
/// head that the caller takes for the next response.
BOOST_AUTO_TEST_CASE(a_response_to_head_is_its_head_alone)
{
    for (const bool sends_body : {false, true}) {
        running_node run({[&](const http_request& from) {
            const std::string whole = make_response(id_of(from), "hello");
            return scripted_response{sends_body ? whole : whole.substr(0, whole.size() - 5)};
        }});
        const std::string both = request("HEAD", "/read/1", "a") + request("POST", "/none/1", "b");
        const std::string received = run.call(both, [](const std::string& text) {
            return text.find(" 404 ") != std::string::npos && text.ends_with("\r\n\r\n");
        });
        BOOST_TEST(received.starts_with("HTTP/1.1 200"));
        BOOST_TEST(received.find("hello") == std::string::npos);
        BOOST_TEST(received.find("\r\n\r\nHTTP/1.1 404") != std::string::npos);
    }
}

/// Guards against a stream that begins with a status without a body: its chunks would follow a head that
/// allows none.
BOOST_AUTO_TEST_CASE(a_stream_does_not_begin_with_a_status_without_a_body)
{
    running_node run({[](const http_request& from) {
        return scripted_response{"HTTP/1.1 204 No Content\r\nId: " + id_of(from) + "\r\nProof: p\r\n\r\n"};
    }});
    const std::string received = run.call(request("POST", "/stream/1", "a"), ends_with("\r\n\r\n"));
    BOOST_TEST(received.starts_with("HTTP/1.1 502"));
    BOOST_TEST(received.find("chunked") == std::string::npos);
}

/// A response without a body to a plain call is passed on, without a length.
BOOST_AUTO_TEST_CASE(a_plain_response_without_a_body_has_no_length)
{
    running_node run({[](const http_request& from) {
        return scripted_response{"HTTP/1.1 204 No Content\r\nId: " + id_of(from) + "\r\nProof: p\r\n\r\n"};
    }});
    const std::string received = run.call(request("POST", "/once/1", "a"), ends_with("\r\n\r\n"));
    BOOST_TEST(received.starts_with("HTTP/1.1 204"));
    BOOST_TEST(received.find("Content-Length") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::gateway
