#include "currantspar/gateway/message_reader.hpp"

#include <boost/test/unit_test.hpp>

#include "currantspar/base/test_wire_text.hpp"
#include "currantspar/gateway/event_splitter.hpp"
#include "currantspar/gateway/peer_link.hpp"

namespace currantspar::gateway {

namespace {

read_progress read_request(std::string bytes, reader_limits limits = {})
{
    request_reader reader(limits);
    return reader.read(bytes);
}

} // namespace

BOOST_AUTO_TEST_SUITE(message_tests)

BOOST_AUTO_TEST_CASE(a_request_is_parsed_byte_by_byte)
{
    const std::string text =
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    request_reader reader({});
    std::string bytes;
    for (std::size_t index = 0; index < text.size(); ++index) {
        bytes.push_back(text[index]);
        const read_progress progress = reader.read(bytes);
        BOOST_TEST(
            (progress == (index + 1 == text.size() ? read_progress::complete : read_progress::incomplete)));
    }
    const http_request request = reader.take();
    BOOST_TEST(request.method == "POST");
    BOOST_TEST(request.target == "/a");
    BOOST_TEST(request.body == "abc");
}

/// Guards against heads without an end whose parsed fields take memory that nothing counts.
BOOST_AUTO_TEST_CASE(the_fields_of_a_partly_received_head_are_counted)
{
    constexpr std::size_t fields = 2500;
    constexpr std::size_t min_bytes_per_field = 80; // in Beast's list of fields
    request_reader reader({});
    std::string bytes = "GET / HTTP/1.1\r\nHost: h\r\n";
    for (std::size_t count = 0; count < fields; ++count) {
        bytes += "X:y\r\n";
    }
    BOOST_TEST((reader.read(bytes) == read_progress::incomplete));
    BOOST_TEST(!reader.head_done());
    BOOST_TEST(reader.allocated_bytes() + bytes.capacity() >= fields * min_bytes_per_field);
}

BOOST_AUTO_TEST_CASE(bytes_after_a_request_are_left_for_the_next_one)
{
    std::string bytes = "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    request_reader reader({});
    BOOST_TEST((reader.read(bytes) == read_progress::complete));
    BOOST_TEST(bytes == "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(ambiguous_requests_are_malformed)
{
    const std::string host = "Host: h\r\n";
    const char* cases[] = {
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc",
        "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "X-A: 1\r\n folded\r\n\r\n",
        "X-A: 1\r\n\tfolded\r\n\r\n",
        "X-A : 1\r\n\r\n",
        "Content-Length: -1\r\n\r\n",
        "Host: other\r\n\r\n",
        "no colon\r\n\r\n",
    };
    for (const char* fields : cases) {
        BOOST_TEST((read_request("POST /a HTTP/1.1\r\n" + host + fields) == read_progress::malformed),
                   fields);
    }
    BOOST_TEST((read_request("GET /a HTTP/1.1\r\n\r\n") == read_progress::malformed));
    BOOST_TEST((read_request("GET /a HTTP/1.0\r\nHost: h\r\n\r\n") == read_progress::malformed));
    BOOST_TEST((read_request("nonsense\r\n\r\n") == read_progress::malformed));
}

BOOST_AUTO_TEST_CASE(oversized_requests_are_distinguished_from_malformed_ones)
{
    const reader_limits small{256, 10};
    BOOST_TEST((read_request("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(400, 'x') + "\r\n\r\n",
                             small) == read_progress::head_too_large));
    BOOST_TEST((read_request("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n", small) ==
                read_progress::body_too_large));
}

/// Reads `start` and then letters until the reader stops; returns the bytes read, at most a megabyte.
template <typename Reader>
std::size_t bytes_until_refused(Reader& reader, std::string bytes)
{
    constexpr std::size_t most = 1048576;
    constexpr std::size_t step = 4096;
    std::size_t read = bytes.size();
    while (reader.read(bytes) == read_progress::incomplete && read < most) {
        bytes.append(step, 'x');
        read += step;
    }
    return read;
}

BOOST_AUTO_TEST_CASE(parts_of_a_message_that_never_end_are_refused)
{
    const reader_limits limits{16384, 4194304};
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    for (const std::string& start : {std::string("5;"), std::string("0\r\n"), std::string("0\r\nX: ")}) {
        response_reader response(limits);
        BOOST_TEST(bytes_until_refused(response, "HTTP/1.1 200 OK\r\n" + chunked + start) < 32768U);
        request_reader request(limits);
        BOOST_TEST(bytes_until_refused(request, "POST /a HTTP/1.1\r\nHost: h\r\n" + chunked + start) <
                   32768U);
    }
    response_reader head(limits);
    BOOST_TEST(bytes_until_refused(head, "HTTP/1.1 200 OK\r\nX: ") < 32768U);
    response_reader interim(limits);
    std::string many;
    for (int index = 0; index < 100; ++index) {
        many += "HTTP/1.1 102 Processing\r\n\r\n";
    }
    BOOST_TEST((interim.read(many) == read_progress::malformed));
}

BOOST_AUTO_TEST_CASE(a_response_without_length_ends_with_its_connection)
{
    response_reader reader({65536, 65536});
    std::string bytes = "HTTP/1.1 200 OK\r\n\r\npart";
    BOOST_TEST((reader.read(bytes) == read_progress::incomplete));
    BOOST_TEST(!reader.keep_alive());
    BOOST_TEST(reader.take_body() == "part");
    BOOST_TEST(reader.end_of_connection());
}

BOOST_AUTO_TEST_CASE(a_truncated_response_is_not_complete)
{
    response_reader reader({65536, 65536});
    std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart";
    BOOST_TEST((reader.read(bytes) == read_progress::incomplete));
    BOOST_TEST(!reader.end_of_connection());
    response_reader chunked({65536, 65536});
    bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";
    BOOST_TEST((chunked.read(bytes) == read_progress::incomplete));
    BOOST_TEST(!chunked.end_of_connection());
}

/// Guards against a server that stops in the middle of its response's head and closes: callers of other
/// systems got a 200 with an empty body, framed as whole.
BOOST_AUTO_TEST_CASE(a_response_cut_off_anywhere_before_its_end_is_never_complete)
{
    const std::string fields = "Id: a\r\nProof: p\r\nContent-Type: text/plain\r\n";
    const std::string no_length_head = "HTTP/1.1 200 OK\r\n" + fields + "\r\n";
    const std::string responses[] = {
        "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + fields + "\r\n",
        "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-T: t\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 204 No Content\r\n" + fields + "\r\n",
        no_length_head,
    };
    for (const std::string& whole : responses) {
        for (std::size_t length = 0; length < whole.size(); ++length) {
            response_reader reader({65536, 65536});
            std::string bytes = whole.substr(0, length);
            BOOST_TEST((reader.read(bytes) == read_progress::incomplete), whole.substr(0, length));
            BOOST_TEST(!reader.end_of_connection(), whole.substr(0, length));
        }
    }
    response_reader reader({65536, 65536});
    std::string bytes = no_length_head;
    BOOST_TEST((reader.read(bytes) == read_progress::incomplete));
    BOOST_TEST(reader.end_of_connection());
}

BOOST_AUTO_TEST_CASE(interim_responses_are_skipped_and_extra_bytes_left)
{
    response_reader reader({65536, 65536});
    std::string bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\nextra";
    BOOST_TEST((reader.read(bytes) == read_progress::complete));
    BOOST_TEST(reader.status() == 204);
    BOOST_TEST(bytes == "extra");
}

BOOST_AUTO_TEST_CASE(only_complete_events_are_returned)
{
    event_splitter events;
    BOOST_TEST(events.push("id: 1\nda").empty());
    BOOST_TEST(events.push("ta: x\n\nid: 2\n") == "id: 1\ndata: x\n\n");
    BOOST_TEST(events.last_id()->str() == "1");
    BOOST_TEST(!events.at_event_end());
    BOOST_TEST(events.push("data: y\n\n") == "id: 2\ndata: y\n\n");
    BOOST_TEST(events.last_id()->str() == "2");
    BOOST_TEST(events.at_event_end());
}

/// Guards against event ids that end a line of the request that resumes their stream, and against sound ones
/// that are changed.
BOOST_AUTO_TEST_CASE(the_last_id_is_one_that_a_server_can_be_sent)
{
    const auto last_id = [](const std::string& line) {
        event_splitter events;
        static_cast<void>(events.push("id: 1\ndata: x\n\n" + line + "\ndata: y\n\n"));
        return events.last_id();
    };
    BOOST_TEST(last_id("id: 2")->str() == "2");
    BOOST_TEST(last_id("id:a b/\xc3\xbc \r")->str() == "a b/\xc3\xbc");
    BOOST_TEST(last_id("id: 2\rretry: 5")->str() == "2");
    BOOST_TEST(last_id("data: no id")->str() == "1");
    BOOST_TEST(last_id("id:")->empty());
    BOOST_TEST(!last_id(std::string("id: a\0b", 7)).has_value());
    BOOST_TEST(!last_id("id: a\x1b[2J").has_value());
    BOOST_TEST(!last_id("id: a\tb").has_value());
    BOOST_TEST(!last_id("id: " + std::string(100000, '1')).has_value());
}

/// Guards against values of other nodes that would reach servers, the cloud API or the log.
BOOST_AUTO_TEST_CASE(a_digest_with_a_value_that_cannot_be_passed_on_is_refused)
{
    for (const std::string& text : {std::string("a\r\nX: y"), std::string("a\xff"), std::string("a\x1b")}) {
        load_digest with_removal{"10.0.0.1:7380", 5, true, {}, {}, 8, data_centre_id("a"), {}};
        with_removal.servers = relay::directory_update{
            7, 8, {{7, backend_id(text), std::nullopt}}, std::chrono::milliseconds(4)};
        BOOST_TEST(!decode_digest(encode_digest(with_removal)).has_value());
        load_digest with_usage{"10.0.0.1:7380", 5, true, {}, {}, 8, data_centre_id("a"), {}};
        with_usage.usage = {{1, organisation_id(text), 2}};
        BOOST_TEST(!decode_digest(encode_digest(with_usage)).has_value());
    }
}

BOOST_AUTO_TEST_CASE(fields_are_found_whatever_their_case)
{
    const http_fields fields = {{"Keep-Alive", "timeout=5"}, {"connection", "close, X-A"}};
    BOOST_TEST(*find_field(fields, "keep-alive") == "timeout=5");
    BOOST_TEST(find_field(fields, "other") == nullptr);
    BOOST_TEST(has_token(fields, "Connection", "x-a"));
    BOOST_TEST(!has_token(fields, "Connection", "x"));
}

BOOST_AUTO_TEST_CASE(only_four_statuses_promise_that_a_request_has_not_run)
{
    for (const int status : {408, 421, 429, 503}) {
        BOOST_TEST(promises_not_run(status));
    }
    for (const int status : {200, 400, 404, 409, 500, 502, 504}) {
        BOOST_TEST(!promises_not_run(status));
    }
}

BOOST_AUTO_TEST_CASE(digests_round_trip_and_garbage_is_rejected)
{
    load_digest digest{"10.0.0.1:7380",     5, true, {{17, {120, 3, 51000}}}, {{17, 99}}, 8,
                       data_centre_id("a"), {}};
    relay::server_entry engine;
    engine.id = backend_id("e1");
    engine.service = service_id("llm");
    engine.address = test_address("10.0.0.9:80");
    engine.data_centre = data_centre_id("b");
    engine.slots = 64;
    engine.draining = true;
    engine.role = config::engine_role::decode;
    engine.started_ms = 1234567890123;
    digest.servers = relay::directory_update{
        7, 12, {{8, engine.id, engine}, {9, backend_id("e2"), std::nullopt}}, std::chrono::milliseconds(40)};
    digest.quarantine.lost.push_back({"r1",
                                      engine.id,
                                      engine.started_ms,
                                      std::chrono::milliseconds(150),
                                      std::chrono::milliseconds(2),
                                      {99, 100}});
    digest.quarantine.completed = {{99, std::chrono::milliseconds(30)}};
    digest.quarantine.quarantined = {{100, 2, std::chrono::seconds(70), std::chrono::seconds(480)}};
    digest.speeds = {{service_id("llm"), {1.5, 20}}};
    digest.limits = {{engine.id, engine.started_ms, 5.1, std::chrono::milliseconds(20)},
                     {backend_id("e2"), 3, std::nullopt, std::chrono::milliseconds(30)}};
    digest.incarnation = 1234567890456;
    const auto read = decode_digest(encode_digest(digest));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->data_centre.str() == "a");
    BOOST_REQUIRE(read->servers.has_value());
    BOOST_TEST(read->servers->from == 7U);
    BOOST_TEST(read->servers->to == 12U);
    BOOST_TEST((read->servers->age == std::chrono::milliseconds(40)));
    BOOST_REQUIRE(read->servers->changes.size() == 2U);
    BOOST_TEST((read->servers->changes[0].entry == engine));
    BOOST_TEST(!read->servers->changes[1].entry.has_value());
    BOOST_TEST(read->sender == digest.sender);
    BOOST_TEST(read->full);
    BOOST_TEST(read->incarnation == digest.incarnation);
    BOOST_TEST(read->engines.at(17).tokens == 51000);
    BOOST_TEST(read->segments.at(0).segment == 99U);
    BOOST_TEST(read->configuration == 8U);
    BOOST_REQUIRE(read->limits.size() == 2U);
    BOOST_TEST((read->limits[0].server == engine.id));
    BOOST_TEST(read->limits[0].server_started_ms == engine.started_ms);
    BOOST_TEST(read->limits[0].per_second.value_or(0) == 5.1);
    BOOST_TEST((read->limits[0].age == std::chrono::milliseconds(20)));
    BOOST_TEST(!read->limits[1].per_second.has_value());
    BOOST_TEST(read->speeds.at(service_id("llm")).log_factor == 1.5);
    BOOST_TEST(read->speeds.at(service_id("llm")).weight == 20.0);
    BOOST_REQUIRE(read->quarantine.lost.size() == 1U);
    const relay::lost_request& lost = read->quarantine.lost[0];
    BOOST_TEST(lost.request_id == "r1");
    BOOST_TEST((lost.engine == engine.id));
    BOOST_TEST(lost.engine_started_ms == engine.started_ms);
    BOOST_TEST((lost.since_sent == std::chrono::milliseconds(150)));
    BOOST_TEST((lost.since_crash == std::chrono::milliseconds(2)));
    BOOST_TEST((lost.segments == std::vector<relay::segment_id>{99, 100}));
    BOOST_TEST((read->quarantine.completed.at(99) == std::chrono::milliseconds(30)));
    BOOST_REQUIRE(read->quarantine.quarantined.size() == 1U);
    BOOST_TEST(read->quarantine.quarantined[0].segment == 100U);
    BOOST_TEST(read->quarantine.quarantined[0].trials == 2U);
    BOOST_TEST((read->quarantine.quarantined[0].age == std::chrono::seconds(70)));
    BOOST_TEST((read->quarantine.quarantined[0].remaining == std::chrono::seconds(480)));
    BOOST_TEST(!decode_digest("").has_value());
    for (std::size_t length = 1; length < 24; ++length) {
        static_cast<void>(decode_digest(std::string(length, '\xff')));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::gateway
