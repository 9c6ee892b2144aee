#include <boost/test/unit_test.hpp>

#include "currantspar/gateway/message_reader.hpp"

// Where a message's body ends must never be a guess: what stands in a body would run as a request.

namespace currantspar::gateway {

namespace {

/// A request in another one's body, as long as the lengths of the table say.
const std::string inner = "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

std::string with_fields(const std::string& fields)
{
    return "POST /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

/// Head fields under which the end of the body can't be known for sure; each must be refused.
std::vector<std::string> unusable_framings()
{
    std::vector<std::string> out;
    for (const char* coding : {"identity",
                               "gzip",
                               "deflate",
                               "compress",
                               "xchunked",
                               "chunkedx",
                               "x-chunked",
                               "chunked, identity",
                               "chunked, gzip",
                               "chunked,chunked",
                               "chunked, chunked",
                               "gzip, chunked",
                               "identity, chunked",
                               "gzip, identity",
                               "chunked;",
                               "chunked;q=1",
                               "chunked; q=1",
                               "\"chunked\"",
                               "\"chunked",
                               "'chunked'",
                               "chunked,",
                               ", chunked",
                               ",chunked",
                               "chun ked",
                               "chunked identity",
                               "trailers",
                               "0",
                               "null",
                               "(chunked)",
                               "chunked/1"}) {
        out.push_back("Transfer-Encoding: " + std::string(coding) + "\r\n");
    }
    for (const char* fields : {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                               "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
                               "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
                               "transfer-encoding: identity\r\nTRANSFER-ENCODING: chunked\r\n",
                               "Transfer-Encoding:\r\n",
                               "Transfer-Encoding: \r\n",
                               "Transfer-Encoding : chunked\r\n",
                               "Transfer-Encoding\t: chunked\r\n",
                               " Transfer-Encoding: chunked\r\n",
                               "X: y\r\n Transfer-Encoding: chunked\r\n",
                               "Transfer-Encoding: chunked\n",
                               "Transfer-Encoding: chunked\r",
                               "Transfer-Encoding: \vchunked\r\n",
                               "Transfer-Encoding: chunked\r\nContent-Length: 52\r\n",
                               "Content-Length: 52\r\nTransfer-Encoding: chunked\r\n",
                               "Content-Length: 52\r\nTransfer-Encoding: identity\r\n",
                               "Content-Length: 52\r\nContent-Length: 52\r\n",
                               "Content-Length: 52\r\nContent-Length: 0\r\n",
                               "Content-Length: 52, 52\r\n",
                               "Content-Length: 52,0\r\n",
                               "Content-Length: +52\r\n",
                               "Content-Length: -52\r\n",
                               "Content-Length: 0x34\r\n",
                               "Content-Length: 5 2\r\n",
                               "Content-Length: 52.0\r\n",
                               "Content-Length: 5e1\r\n",
                               "Content-Length: \"52\"\r\n",
                               "Content-Length: 52;\r\n",
                               "Content-Length: abc\r\n",
                               "Content-Length:\r\n",
                               "Content-Length : 52\r\n",
                               " Content-Length: 52\r\n",
                               "Content-Length: 99999999999999999999999\r\n",
                               "Content-Length: 18446744073709551616\r\n",
                               "X: y\r\n\tContent-Length: 52\r\n",
                               "no colon\r\n",
                               ": no name\r\n",
                               "X y: z\r\n",
                               "X: a\rb\r\n",
                               "X: a\nb\r\n",
                               "Host: other\r\n"}) {
        out.emplace_back(fields);
    }
    return out;
}

/// Bodies in chunks whose sizes or ends are unusable.
const char* const unusable_chunks[] = {
    "0x5\r\nabcde\r\n0\r\n\r\n", "-5\r\nabcde\r\n0\r\n\r\n",
    "+5\r\nabcde\r\n0\r\n\r\n",  " 5\r\nabcde\r\n0\r\n\r\n",
    "5\nabcde\r\n0\r\n\r\n",     "5\rabcde\r\n0\r\n\r\n",
    "g\r\nabcde\r\n0\r\n\r\n",   "\r\nabcde\r\n0\r\n\r\n",
    "5\r\nabcdef\r\n0\r\n\r\n",  "5\r\nabcd\r\n0\r\n\r\n",
    "5\r\nabcde0\r\n\r\n",       "ffffffffffffffffff\r\nabcde\r\n0\r\n\r\n",
    "5\r\nabcde\n0\r\n\r\n",     "fffffffffffffff0\r\nabcde\r\n0\r\n\r\n",
};

read_progress read_byte_by_byte(const std::string& text)
{
    request_reader reader({});
    std::string bytes;
    read_progress progress = read_progress::incomplete;
    for (const char each : text) {
        bytes.push_back(each);
        progress = reader.read(bytes);
        if (progress != read_progress::incomplete) {
            break;
        }
    }
    return progress;
}

} // namespace

BOOST_AUTO_TEST_SUITE(framing_tests)

/// Guards against a body whose end is a guess: its bytes ran as a second request that nobody had sent
/// (review/3).
BOOST_AUTO_TEST_CASE(a_request_whose_body_has_no_usable_framing_is_malformed)
{
    const std::vector<std::string> framings = unusable_framings();
    BOOST_TEST(framings.size() >= 60U);
    for (const std::string& fields : framings) {
        std::string bytes = with_fields(fields) + inner;
        request_reader reader({});
        const read_progress progress = reader.read(bytes);
        BOOST_TEST((progress != read_progress::complete && progress != read_progress::incomplete), fields);
        BOOST_TEST((read_byte_by_byte(with_fields(fields) + inner) != read_progress::complete), fields);
    }
    for (const char* chunks : unusable_chunks) {
        std::string bytes = with_fields("Transfer-Encoding: chunked\r\n") + chunks + inner;
        request_reader reader({});
        BOOST_TEST((reader.read(bytes) != read_progress::complete), chunks);
    }
}

BOOST_AUTO_TEST_CASE(a_request_whose_body_has_one_framing_is_read_to_its_end)
{
    const std::string chunked = "34\r\n" + inner + "\r\n0\r\n\r\n";
    const std::string chunk_with_extension = "034;a=b\r\n" + inner + "\r\n000\r\n\r\n";
    BOOST_REQUIRE(inner.size() == 0x34U);
    const std::pair<std::string, std::string> sound[] = {
        {"Content-Length: 52\r\n", inner},
        {"content-length:52\r\n", inner},
        {"Content-Length: \t52 \r\n", inner},
        {"Content-Length: 0052\r\n", inner},
        {"Transfer-Encoding: chunked\r\n", chunked},
        {"transfer-encoding:CHUNKED\r\n", chunked},
        {"Transfer-Encoding: \tchunked \r\n", chunk_with_extension},
    };
    for (const auto& [fields, body] : sound) {
        std::string bytes = with_fields(fields) + body + "GET /next";
        request_reader reader({});
        BOOST_TEST((reader.read(bytes) == read_progress::complete), fields);
        BOOST_TEST(bytes == "GET /next", fields);
        const http_request request = reader.take();
        BOOST_TEST(request.body == inner, fields);
        // What is forwarded reads back as what was parsed.
        std::string forwarded = write_request(request).value();
        request_reader next({});
        BOOST_TEST((next.read(forwarded) == read_progress::complete), fields);
        BOOST_TEST(forwarded.empty());
        const http_request read_back = next.take();
        BOOST_TEST(read_back.target == request.target);
        BOOST_TEST(read_back.body == request.body);
    }
}

/// Guards against a trailer's fields that are forwarded as fields of the head.
BOOST_AUTO_TEST_CASE(fields_of_a_trailer_are_no_fields_of_the_head)
{
    std::string bytes = with_fields("X-Kind: a\r\nTransfer-Encoding: chunked\r\n") +
                        "1\r\nx\r\n0\r\nX-Kind: b\r\nX-More: c\r\n\r\n";
    request_reader reader({});
    BOOST_REQUIRE((reader.read(bytes) == read_progress::complete));
    const http_request request = reader.take();
    BOOST_TEST(*find_field(request.fields, "X-Kind") == "a");
    BOOST_TEST(find_field(request.fields, "X-More") == nullptr);
    BOOST_TEST(request.fields.size() == 3U);
}

/// Guards against a response whose coding is dropped while its body stays encoded.
BOOST_AUTO_TEST_CASE(a_response_with_an_unknown_transfer_coding_is_malformed)
{
    for (const char* coding :
         {"gzip", "identity", "gzip, chunked", "chunked, chunked", "xchunked", "\"chunked\""}) {
        std::string bytes =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string(coding) + "\r\n\r\n1\r\nx\r\n0\r\n\r\n";
        response_reader reader({65536, 65536});
        BOOST_TEST((reader.read_head(bytes) == read_progress::malformed), coding);
    }
}

/// Guards against values that end their line in a head, or add a field to it: one peer's bytes became another
/// message (review/7).
BOOST_AUTO_TEST_CASE(a_head_that_would_be_more_than_one_message_is_an_error)
{
    const std::string unsound[] = {"a\r\nX: y", "a\nb", "a\rb", std::string("a\0b", 3), "a\x01", "a\x7f"};
    for (const std::string& text : unsound) {
        BOOST_TEST(!write_request({"GET", "/", {{"Host", text}}, {}}).has_value());
        BOOST_TEST(!write_request({"GET", "/", {{text, "a"}}, {}}).has_value());
        BOOST_TEST(!write_request({"GET", "/" + text, {}, {}}).has_value());
        BOOST_TEST(!write_request({text, "/", {}, {}}).has_value());
        BOOST_TEST(!write_response_head({200, {{"X", text}}, 0}).has_value());
        BOOST_TEST(!write_response_head({200, {{text, "a"}}, 0}).has_value());
    }
    for (const char* name : {"", "A B", "A:", "Transfer-Encoding ", "\xc3\xbc"}) {
        BOOST_TEST(!write_request({"GET", "/", {{name, "a"}}, {}}).has_value(), name);
    }
    for (const char* target : {"", "/a b", "/a\t"}) {
        BOOST_TEST(!write_request({"GET", target, {}, {}}).has_value(), target);
    }
    BOOST_TEST(write_request({"GET", "/a?b#c%20\xc3\xbc", {{"X", "a\tb \xff"}}, {}}).has_value());
}

/// Guards against a head whose framing says something else than what follows it.
BOOST_AUTO_TEST_CASE(a_response_head_has_the_one_framing_of_its_body)
{
    const http_fields own = {{"Content-Length", "9"}, {"Transfer-Encoding", "chunked"}, {"X", "y"}};
    BOOST_TEST(write_response_head({200, own, 4}).value() ==
               "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 4\r\n\r\n");
    BOOST_TEST(write_response_head({200, own, std::nullopt, true}).value() ==
               "HTTP/1.1 200 OK\r\nX: y\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n");
    BOOST_TEST(write_response_head({204, own, 0}).value() == "HTTP/1.1 204 No Content\r\nX: y\r\n\r\n");
    BOOST_TEST(write_response_head({200, own, 4, false, true}).value() == "HTTP/1.1 200 OK\r\nX: y\r\n\r\n");
    BOOST_TEST(!write_response_head({204, {}, 1}).has_value());
    BOOST_TEST(!write_response_head({304, {}, std::nullopt}).has_value());
    for (const int status : {0, 100, 199, 600, -1}) {
        BOOST_TEST(!write_response_head({status, {}, 0}).has_value());
    }
}

/// Guards against a response to HEAD that waits for a body until its deadline.
BOOST_AUTO_TEST_CASE(a_response_to_head_ends_with_its_head)
{
    response_reader reader({65536, 65536}, true);
    std::string bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nextra";
    BOOST_TEST((reader.read(bytes) == read_progress::complete));
    BOOST_TEST(bytes == "extra");
    BOOST_TEST(reader.keep_alive());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::gateway
