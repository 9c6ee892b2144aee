#include "currantspar/io/engine_streams.hpp"

#include <condition_variable>
#include <deque>
#include <future>
#include <mutex>

#include <boost/test/unit_test.hpp>

#include "currantspar/io/test_socket.hpp"

namespace {

using namespace currantspar;
using namespace currantspar::io;

/// Reads a whole request; empty when the connection closed.
std::string read_request(int socket)
{
    const std::string head = scripted_server::read_head(socket);
    const std::string name = "Content-Length: ";
    const std::size_t at = head.find(name);
    std::string body(at == std::string::npos ? 0 : std::stoul(head.substr(at + name.size())), ' ');
    if (!body.empty()) {
        ::recv(socket, body.data(), body.size(), MSG_WAITALL);
    }
    return head + body;
}

std::string with_length(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string exported(const std::string& handle)
{
    return with_length("200 OK", "event: exported\ndata: {\"handle\":\"" + handle + "\"}\n\n");
}

/// Gives `first` to the first request; then, before each further response of the same connection, `first`
/// once more. A request on a new connection gets `later` at once.
std::vector<scripted_server::script> repeating(const std::string& first, const std::string& later)
{
    return {[first, later](int socket) {
                read_request(socket);
                scripted_server::write(socket, first);
                while (!read_request(socket).empty()) {
                    scripted_server::write(socket, first + later);
                }
            },
            [later](int socket) {
                read_request(socket);
                scripted_server::write(socket, later);
            }};
}

/// Keeps the events that end attempts.
class collected_ends
{
public:
    void add(const core::event_body& body)
    {
        if (const auto* ended = std::get_if<core::attempt_ended>(&body)) {
            ended_.push(*ended);
        } else if (const auto* moved = std::get_if<core::kv_moved>(&body)) {
            moved_.push(*moved);
        }
    }
    core::attempt_ended next_ended() { return ended_.pop(); }
    core::kv_moved next_moved() { return moved_.pop(); }

private:
    template <typename Value>
    class queue
    {
    public:
        void push(Value value)
        {
            const std::lock_guard lock(mutex_);
            values_.push_back(std::move(value));
            changed_.notify_one();
        }
        Value pop()
        {
            std::unique_lock lock(mutex_);
            BOOST_REQUIRE(
                changed_.wait_for(lock, std::chrono::seconds(5), [this] { return !values_.empty(); }));
            Value value = std::move(values_.front());
            values_.pop_front();
            return value;
        }

    private:
        std::mutex mutex_;
        std::condition_variable changed_;
        std::deque<Value> values_;
    };

    queue<core::attempt_ended> ended_;
    queue<core::kv_moved> moved_;
};

template <typename Start>
Start start_at(const scripted_server& engine, std::uint64_t attempt)
{
    Start start;
    start.attempt = attempt_id(attempt);
    start.engine_request = engine_request_id("r" + std::to_string(attempt));
    start.address = engine.address();
    start.idle_limit = std::chrono::seconds(5);
    return start;
}

prompt_ptr some_prompt()
{
    return std::make_shared<const prompt_body>(prompt_body{"prompt", 10});
}

BOOST_AUTO_TEST_SUITE(engine_streams_to_engines)

BOOST_AUTO_TEST_CASE(a_prefill_after_a_break_carries_the_tokens_so_far)
{
    std::promise<std::string> received;
    scripted_server engine({[&](int socket) {
        const std::string request = read_request(socket);
        received.set_value(request.substr(request.find("\r\n\r\n") + 4));
    }});
    http_client client;
    const auto streams = make_http_engine_streams(client, [](const core::event_body&) {});
    core::start_prefill start;
    start.address = engine.address();
    start.idle_limit = std::chrono::seconds(5);
    start.from_position = 2;
    start.prefix = {"a", "b"};
    streams->start(start, std::make_shared<const prompt_body>(prompt_body{"prompt", 10}));
    const nlohmann::json body = nlohmann::json::parse(received.get_future().get());
    BOOST_TEST(body.at("from_position") == 2);
    BOOST_TEST(body.at("prefix") == nlohmann::json({"a", "b"}));
    BOOST_TEST(body.at("prefill_only") == true);
}

/// Guards against "not run" for a request that runs: an engine's refusal names no request, so a copy of it on
/// a kept connection looks like the refusal of the next one.
BOOST_AUTO_TEST_CASE(a_copy_of_a_refusal_is_not_taken_for_the_response_to_the_next_request)
{
    const std::string end = "event: end\ndata: {\"request\":\"r2\",\"total\":0}\n\n";
    scripted_server engine(repeating(with_length("503 Unavailable", "{}"), with_length("200 OK", end)));
    collected_ends ends;
    http_client client;
    const auto streams =
        make_http_engine_streams(client, [&](const core::event_body& body) { ends.add(body); });
    streams->start(start_at<core::start_generation>(engine, 1), some_prompt());
    BOOST_CHECK(ends.next_ended().how == core::attempt_result::refused);
    streams->start(start_at<core::start_generation>(engine, 2), some_prompt());
    BOOST_CHECK(ends.next_ended().how == core::attempt_result::complete);
}

/// Guards against a request that goes on from another request's KV cache.
BOOST_AUTO_TEST_CASE(a_copy_of_a_prefill_response_is_not_taken_for_the_next_one)
{
    scripted_server engine(repeating(exported("h1"), exported("h2")));
    collected_ends ends;
    http_client client;
    const auto streams =
        make_http_engine_streams(client, [&](const core::event_body& body) { ends.add(body); });
    streams->start(start_at<core::start_prefill>(engine, 1), some_prompt());
    BOOST_TEST(ends.next_moved().handle.str() == "h1");
    streams->start(start_at<core::start_prefill>(engine, 2), some_prompt());
    BOOST_TEST(ends.next_moved().handle.str() == "h2");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
