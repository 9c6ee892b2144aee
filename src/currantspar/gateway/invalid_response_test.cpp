#include <mutex>
#include <set>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include "test_node.hpp"

namespace currantspar::gateway {

namespace {

using namespace test;

/// Status lines without a valid final status.
const std::vector<std::string> invalid_status_lines = {"HTTP/1.1 000 Zero",
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
                                                       "HTTP/9.9 200 OK"};

std::string invalid_response(const std::string& line, const std::string& id, bool with_length)
{
    return line + "\r\nId: " + id + "\r\nProof: p\r\n" + (with_length ? "Content-Length: 4\r\n" : "") +
           "\r\nfake";
}

int status_of(const std::string& response)
{
    const bool fits = response.starts_with("HTTP/1.1 ") && response.size() > 12 && response[12] == ' ';
    return fits ? std::stoi(response.substr(9, 3)) : 0;
}

/// Keeps the outcome of an exchange.
class recording_sink : public exchange_sink
{
public:
    bool response_head(int status, const http_fields&) override
    {
        heads.push_back(status);
        return true;
    }
    void response_body(std::string_view) override {}
    void response_complete() override { complete = true; }
    void request_failed(bool, const std::string& detail) override { failed = detail; }

    [[nodiscard]] bool ended() const { return complete || failed; }

    std::vector<int> heads;
    bool complete = false;
    std::optional<std::string> failed;
};

/// A request larger than the kernel takes at once, on its way to a peer that doesn't read it.
struct blocked_upload
{
    explicit blocked_upload(std::size_t bytes = 16777216)
    {
        pool.start(peer.address(),
                   {write_request({"POST", "/", {{"Id", "a"}}, std::string(bytes, 'u')}).value(), "a"}, sink,
                   io::monotonic_now());
        peer.accept();
        run(10);
    }

    void run(int rounds)
    {
        for (int round = 0; round < rounds && !sink.ended(); ++round) {
            ACE_Time_Value wait(0, 2000);
            reactor.handle_events(wait);
        }
    }

    ACE_Reactor reactor{new ACE_Dev_Poll_Reactor, true};
    raw_peer peer;
    recording_sink sink;
    server_pool pool{reactor, {}};
};

const std::string early_response = "HTTP/1.1 200 OK\r\nId: a\r\nProof: p\r\n\r\npart of a body";

} // namespace

BOOST_AUTO_TEST_SUITE(invalid_response_tests)

/// Guards against a status line that means nothing and reaches the caller: it got status 000.
BOOST_DATA_TEST_CASE(a_status_line_without_a_valid_status_is_not_forwarded,
                     boost::unit_test::data::make(invalid_status_lines) *
                         boost::unit_test::data::make({true, false}),
                     line, with_length)
{
    running_node running({[&](const http_request& from) {
        return scripted_response{invalid_response(line, id_of(from), with_length), true};
    }});
    const std::string response =
        running.call(request("POST", "/once/x", "a"), [](const std::string& received) {
            return received.find("\r\n\r\n") != std::string::npos;
        });
    BOOST_TEST(status_of(response) >= 400);
    BOOST_TEST(status_of(response) <= 599);
    BOOST_TEST(!promises_not_run(status_of(response)));
    BOOST_TEST(response.find("fake") == std::string::npos);
    // It may have run, so it isn't sent again.
    BOOST_TEST(running.servers[0]->requests() == 1U);
}

/// The same for the shared store: each of its topics is first read with such a response.
BOOST_DATA_TEST_CASE(a_store_response_without_a_valid_status_is_not_used,
                     boost::unit_test::data::make(invalid_status_lines), line)
{
    std::mutex mutex;
    std::set<std::string> asked;
    std::atomic<unsigned> invalid = 0;
    running_node running({echo}, [&](const http_request& from) {
        const std::lock_guard lock(mutex);
        if (asked.insert(from.target).second) {
            invalid += 1;
            return scripted_response{line + "\r\nContent-Length: 13\r\n\r\nconfiguration", true};
        }
        return running_node::store_response(from);
    });
    BOOST_TEST(invalid >= 2U);
    const std::string response =
        running.call(request("POST", "/once/x", "a", "body"), ends_with("echo body"));
    BOOST_TEST(status_of(response) == 200);
}

/// Guards against a server that never sends a final response.
BOOST_AUTO_TEST_CASE(interim_responses_without_end_fail_the_attempt)
{
    for (const char* interim : {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n",
                                "HTTP/1.1 000 Zero\r\n\r\n"}) {
        running_node running({[&](const http_request&) {
            scripted_response response;
            response.endless = interim;
            return response;
        }});
        const std::string response =
            running.call(request("POST", "/once/x", "a"), [](const std::string& received) {
                return received.find("\r\n\r\n") != std::string::npos;
            });
        BOOST_TEST(status_of(response) == 502);
        BOOST_TEST(running.servers[0]->requests() == 1U);
    }
}

/// Guards against a part of a response that is taken for the whole: it has no length, and its connection is
/// reset while the request is still being written.
BOOST_AUTO_TEST_CASE(a_response_cut_by_a_reset_during_the_upload_is_not_complete)
{
    for (std::size_t sent = 0; sent <= early_response.size(); ++sent) {
        for (const bool read_before : {false, true}) {
            blocked_upload upload;
            upload.peer.send(early_response.substr(0, sent));
            if (read_before) {
                upload.run(3);
            }
            upload.peer.reset();
            upload.run(500);
            BOOST_TEST(!upload.sink.complete, "complete after " << sent << " bytes");
            BOOST_TEST(upload.sink.failed.has_value());
        }
    }
}

/// The same for a server that ends its side in order first: the reset follows once more of the request
/// arrives, and may be found after the end.
BOOST_AUTO_TEST_CASE(a_response_that_ends_during_the_upload_is_not_complete)
{
    for (std::size_t sent = 0; sent <= early_response.size(); ++sent) {
        for (const bool with_reset : {false, true}) {
            blocked_upload upload;
            upload.peer.send(early_response.substr(0, sent));
            upload.peer.shut_down_sending();
            if (with_reset) {
                upload.peer.reset();
            }
            upload.run(500);
            BOOST_TEST(!upload.sink.complete, "complete after " << sent << " bytes");
            BOOST_TEST(upload.sink.failed.has_value());
        }
    }
}

/// A response of known length is complete whatever becomes of the upload.
BOOST_AUTO_TEST_CASE(a_response_with_a_length_is_complete_during_the_upload)
{
    blocked_upload upload;
    upload.peer.send(make_response("a", "whole"));
    upload.peer.shut_down_sending();
    upload.run(500);
    BOOST_TEST(upload.sink.complete);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::gateway
