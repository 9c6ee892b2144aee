#include <boost/test/unit_test.hpp>

#include "currantspar/io/caller_front.hpp"
#include "currantspar/io/clock.hpp"
#include "test_installation.hpp"

namespace currantspar::node {

namespace {

using namespace std::chrono_literals;

/// An installation whose node takes small bodies only, and a stream that must come through whole whatever
/// else happens there.
class with_neighbour
{
public:
    with_neighbour() : installation(make_options()), neighbour(installation.node().caller_port())
    {
        neighbour.write(
            installation.request("POST", "/v1/completions",
                                 R"({"model":"chat","prompt":"neighbour","max_tokens":60,"stream":true})"));
        neighbour.read_until("data: ");
    }
    with_neighbour(const with_neighbour&) = delete;
    with_neighbour& operator=(const with_neighbour&) = delete;
    ~with_neighbour()
    {
        const std::string answer = neighbour.read_all();
        BOOST_CHECK_MESSAGE(answer.find("data: [DONE]") != std::string::npos, "the neighbour was harmed");
    }

    [[nodiscard]] std::string send(const std::string& bytes) const
    {
        raw_caller caller(installation.node().caller_port());
        caller.write(bytes);
        return caller.read_all();
    }
    [[nodiscard]] std::string post(const std::string& body, const std::string& path = "/v1/completions") const
    {
        return installation.call("POST", path, body);
    }

    test_installation installation;
    raw_caller neighbour;

private:
    static test_installation_options make_options()
    {
        test_installation_options options;
        options.settings.max_body_bytes = 4096;
        options.engine.decode_step = 10ms;
        return options;
    }
};

BOOST_FIXTURE_TEST_SUITE(bad_input, with_neighbour)

BOOST_AUTO_TEST_CASE(malformed_heads)
{
    BOOST_TEST(status_of(send("GET /v1/models\r\n\r\n")) == 400);
    BOOST_TEST(status_of(send("GET /v1/models HTTP/1.1 x\r\n\r\n")) == 400);
    BOOST_TEST(status_of(send("GET /v1/models HTTP/1.1\r\nno colon\r\n\r\n")) == 400);
    BOOST_TEST(status_of(send("POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n")) ==
               400);
    BOOST_TEST(status_of(send("GET /v1/models HTTP/9.9\r\n\r\n")) == 505);
    BOOST_TEST(status_of(send("\x01\x02 \x03 \x04\r\n\r\n")) == 400);
    // The server library closes on a request line of a single word instead of answering it.
    raw_caller one_word(installation.node().caller_port());
    one_word.write("nonsense\r\n\r\n");
    one_word.read_all(2s);
    BOOST_TEST(one_word.closed());
}

BOOST_AUTO_TEST_CASE(keys_that_are_missing_or_wrong)
{
    const std::string tail = "Host: test\r\nConnection: close\r\n";
    BOOST_TEST(status_of(send("GET /v1/models HTTP/1.1\r\n" + tail + "\r\n")) == 401);
    const std::string wrong = send("GET /v1/models HTTP/1.1\r\n" + tail + "Authorization: Bearer no\r\n\r\n");
    BOOST_TEST(status_of(wrong) == 401);
    BOOST_TEST(wrong.find("\"code\":\"invalid_api_key\"") != std::string::npos, wrong);
    BOOST_TEST(wrong.find("Currantspar-Outcome: not_run") != std::string::npos, wrong);
    BOOST_TEST(status_of(installation.call("GET", "/v1/models")) == 200);
}

BOOST_AUTO_TEST_CASE(paths_and_methods_that_do_not_exist)
{
    BOOST_TEST(status_of(installation.call("GET", "/nothing")) == 404);
    BOOST_TEST(status_of(installation.call("GET", "/v1/completions")) == 405);
    BOOST_TEST(status_of(installation.call("GET", "/orders/../v1")) == 400);
    BOOST_TEST(status_of(installation.call("GET", "/orders/%2e%2e/v1")) == 400);
}

/// Guards against heads that a backend server parses otherwise than this node does: a name that ends with a
/// space passed for another header than Transfer-Encoding here, and was forwarded as it is.
BOOST_AUTO_TEST_CASE(calls_that_cannot_be_passed_on_as_they_are)
{
    for (const std::string& headers :
         {std::string("Transfer-Encoding : chunked\r\n"), std::string("Content-Length : 5\r\n"),
          std::string("X y: z\r\n"), std::string("X\t: z\r\n"), std::string("X: a\x01\r\n"),
          std::string("X: a\x7f\r\n")}) {
        const std::string answer = installation.call("GET", "/orders/1", "", headers);
        BOOST_TEST(status_of(answer) == 400, headers);
    }
    BOOST_TEST(status_of(installation.call("GET", "/orders/1#x")) == 400);
    BOOST_TEST(status_of(installation.call("GET", "/orders/\x01")) == 400);
    BOOST_TEST(status_of(installation.call("GET", "%2Forders/1")) == 400);
    BOOST_TEST(status_of(installation.call("GET", "/orders/1", "", "X: a\tb \xc3\xbc\r\n")) == 200);
    BOOST_TEST(status_of(installation.call("GET", "/orders/1", "", "X:\r\n")) == 200);
}

BOOST_AUTO_TEST_CASE(bodies_that_are_not_what_is_asked_for)
{
    BOOST_TEST(status_of(post("{")) == 400);
    BOOST_TEST(status_of(post("[]")) == 400);
    BOOST_TEST(status_of(post(std::string(4000, '['))) == 400);
    BOOST_TEST(status_of(post("{\"model\":\"chat\",\"prompt\":\"\xff\"}")) == 400);
    BOOST_TEST(status_of(post(R"({"model":7,"prompt":"a"})")) == 400);
    BOOST_TEST(status_of(post(R"({"model":"chat","prompt":["a"]})")) == 400);
    BOOST_TEST(status_of(post(R"({"model":"chat","prompt":"a","max_tokens":-1})")) == 400);
    BOOST_TEST(status_of(post(R"({"model":"chat","prompt":"a","max_tokens":1e99})")) == 400);
    BOOST_TEST(status_of(post(R"({"model":"chat","prompt":"a","n":2})")) == 400);
    BOOST_TEST(status_of(post(R"({"model":"chat","messages":[]})", "/v1/chat/completions")) == 400);
    BOOST_TEST(status_of(post(R"({"model":"chat","messages":[{"role":"user","content":[1]}]})",
                              "/v1/chat/completions")) == 400);
    BOOST_TEST(status_of(post(R"({"model":"other","prompt":"a"})")) == 404);
}

BOOST_AUTO_TEST_CASE(bodies_that_are_too_large)
{
    BOOST_TEST(status_of(post(std::string(5000, 'x'))) == 413);
    raw_caller chunked(installation.node().caller_port());
    chunked.write("POST /v1/completions HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer test-key\r\n"
                  "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int chunk = 0; chunk < 10; ++chunk) {
        chunked.write("400\r\n" + std::string(1024, 'x') + "\r\n");
    }
    chunked.write("0\r\n\r\n");
    BOOST_TEST(status_of(chunked.read_all()) == 413);
}

BOOST_AUTO_TEST_CASE(heads_that_are_too_large)
{
    const std::string answer =
        installation.call("GET", "/v1/models", "", "X-Long: " + std::string(20000, 'h') + "\r\n");
    BOOST_TEST(status_of(answer) == 431, answer);
}

BOOST_AUTO_TEST_CASE(half_closed_caller_gets_its_whole_answer)
{
    raw_caller caller(installation.node().caller_port());
    caller.write(installation.request("POST", "/v1/completions",
                                      R"({"model":"chat","prompt":"half","max_tokens":5})"));
    caller.half_close();
    const std::string answer = caller.read_all();
    BOOST_TEST(status_of(answer) == 200, answer);
}

BOOST_AUTO_TEST_CASE(half_closed_caller_gets_its_whole_stream)
{
    raw_caller caller(installation.node().caller_port());
    caller.write(installation.request("POST", "/v1/completions",
                                      R"({"model":"chat","prompt":"half","max_tokens":60,"stream":true})"));
    caller.half_close();
    const std::string answer = caller.read_all();
    BOOST_TEST(answer.find("data: [DONE]") != std::string::npos, "answer: " + answer);
}

BOOST_AUTO_TEST_CASE(half_closed_caller_is_answered_beside_an_idle_connection)
{
    // The server library looks at the connection that has been idle longest before those that are resumed;
    // one that sends nothing keeps the caller below from being that one.
    const raw_caller idle(installation.node().caller_port());
    for (const bool stream : {false, true}) {
        raw_caller caller(installation.node().caller_port());
        caller.write(installation.request("POST", "/v1/completions",
                                          std::string(R"({"model":"chat","prompt":"half","max_tokens":5)") +
                                              (stream ? R"(,"stream":true})" : "}")));
        caller.half_close();
        const std::string answer = caller.read_all();
        BOOST_TEST(status_of(answer) == 200, "answer: " + answer);
        BOOST_TEST(answer.find(stream ? "data: [DONE]" : "\"usage\"") != std::string::npos,
                   "answer: " + answer);
    }
    raw_caller caller(installation.node().caller_port());
    caller.write(installation.request("GET", "/orders/1"));
    caller.half_close();
    const std::string answer = caller.read_all();
    BOOST_TEST(status_of(answer) == 200, "answer: " + answer);
}

BOOST_AUTO_TEST_CASE(callers_that_leave_at_any_point)
{
    const std::string whole =
        installation.request("POST", "/v1/completions", R"({"model":"chat","prompt":"x","stream":true})");
    for (std::size_t sent = 0; sent <= whole.size(); sent += 7) {
        raw_caller caller(installation.node().caller_port());
        caller.write(whole.substr(0, sent));
    }
    BOOST_TEST(status_of(installation.call("GET", "/v1/models")) == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(slow_senders)

std::unique_ptr<io::caller_front> open_front()
{
    io::caller_front_options options;
    options.address = "127.0.0.1:0";
    options.head_limit = 100ms;
    options.body_limit = 100ms;
    auto front = io::make_http_caller_front(options, [](core::event_body) {});
    BOOST_REQUIRE(front.has_value());
    config::fleet fleet;
    fleet.organisations.push_back({organisation_id("o"), {sha256_hex("key")}, {}, {}});
    (*front)->set_fleet(std::make_shared<const config::fleet>(fleet));
    return std::move(*front);
}

BOOST_AUTO_TEST_CASE(slow_body_is_answered_408_and_slow_head_is_closed)
{
    const auto front = open_front();
    raw_caller slow_head(front->port());
    raw_caller slow_body(front->port());
    slow_head.write("POST /v1/comp");
    slow_body.write("POST /v1/completions HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer key\r\n"
                    "Content-Length: 100\r\n\r\n{");
    for (int beat = 0; beat < 10; ++beat) {
        std::this_thread::sleep_for(30ms);
        slow_head.write("l");
        slow_body.write(" ");
        front->sweep(io::monotonic_now());
    }
    BOOST_TEST(status_of(slow_body.read_all(2s)) == 408);
    BOOST_TEST(slow_head.read_all(2s) == "");
    BOOST_TEST(slow_head.closed());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace

} // namespace currantspar::node
