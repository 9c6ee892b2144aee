#include "currantspar/io/engine_streams.hpp"

#include <future>

#include <boost/test/unit_test.hpp>

#include "currantspar/io/test_socket.hpp"

namespace {

using namespace currantspar;
using namespace currantspar::io;

BOOST_AUTO_TEST_SUITE(engine_streams_to_engines)

BOOST_AUTO_TEST_CASE(a_prefill_after_a_break_carries_the_tokens_so_far)
{
    std::promise<std::string> received;
    scripted_server engine({[&](int socket) {
        const std::string head = scripted_server::read_head(socket);
        const std::string name = "Content-Length: ";
        std::string body(std::stoul(head.substr(head.find(name) + name.size())), ' ');
        ::recv(socket, body.data(), body.size(), MSG_WAITALL);
        received.set_value(body);
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

BOOST_AUTO_TEST_SUITE_END()

} // namespace
