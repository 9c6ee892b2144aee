#include <map>
#include <mutex>
#include <random>
#include <string>

#include <boost/test/unit_test.hpp>

#include "test_node.hpp"

namespace currantspar::gateway {

using namespace test;

namespace {

constexpr unsigned callers = 4;

/// Servers that refuse, fail, drop or run each request at random, and write every other response once more
/// before the next one of its connection. Thread safe.
class copying_servers
{
public:
    explicit copying_servers(unsigned seed) : random_(seed) {}

    scripted_server::handler make_handler()
    {
        return [this](const http_request& from) { return answer(id_of(from)); };
    }

    /// How often requests with this id have run.
    unsigned runs(const std::string& id)
    {
        const std::lock_guard lock(mutex_);
        return runs_[id];
    }

private:
    scripted_response answer(const std::string& id)
    {
        const std::lock_guard lock(mutex_);
        scripted_response response;
        const unsigned what = std::uniform_int_distribution<unsigned>(0, 9)(random_);
        if (what < 5) {
            response.bytes =
                "HTTP/1.1 503 Unavailable\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        } else {
            runs_[id] += 1;
            response.close = what == 5;
            response.bytes = what == 5   ? ""
                             : what == 6 ? "HTTP/1.1 500 Error\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n"
                                         : make_response(id, "ran " + id + ".");
        }
        if (!response.close && random_() % 2 == 0) {
            response.before_next = response.bytes;
        }
        return response;
    }

    std::mutex mutex_;
    std::mt19937 random_;
    std::map<std::string, unsigned> runs_;
};

/// Gives each server a second entry with the same address.
void add_entries(fake_protocol& wire)
{
    for (std::size_t index = wire.servers.size(); index-- > 0;) {
        relay::server_entry again = wire.servers[index];
        again.id = backend_id(again.id.str() + "-again");
        wire.servers.push_back(again);
    }
}

bool is_whole(const std::string& received)
{
    const bool has_head = received.find("\r\n\r\n") != std::string::npos;
    return has_head && (!received.starts_with("HTTP/1.1 200") || received.ends_with("."));
}

/// Sends requests that may run once, several at a time, and holds their responses against what has run.
class checked_callers
{
public:
    explicit checked_callers(copying_servers& servers)
        : servers_(servers),
          node_({servers.make_handler(), servers.make_handler()}, running_node::store_response, add_entries)
    {}

    void call_all(const std::vector<std::string>& ids)
    {
        std::vector<unsigned> before;
        std::vector<std::future<std::string>> calls;
        for (const std::string& id : ids) {
            before.push_back(servers_.runs(id));
            calls.push_back(std::async(std::launch::async, exchange, node_.wire.settings.caller_address,
                                       request("POST", "/once/1", id), is_whole));
        }
        for (std::size_t index = 0; index < ids.size(); ++index) {
            BOOST_TEST(node_.run_until(
                [&] { return calls[index].wait_for(std::chrono::seconds(0)) == std::future_status::ready; }));
            check(ids[index], calls[index].get(), servers_.runs(ids[index]) - before[index]);
        }
    }

    unsigned refused = 0;
    unsigned answered = 0;

private:
    void check(const std::string& id, const std::string& received, unsigned runs)
    {
        if (received.starts_with("HTTP/1.1 503")) {
            BOOST_TEST(runs == 0U);
            refused += 1;
        } else if (received.starts_with("HTTP/1.1 200")) {
            BOOST_TEST(runs == 1U);
            BOOST_TEST(received.ends_with("ran " + id + "."));
            answered += 1;
        } else {
            BOOST_TEST(runs <= 1U);
        }
    }

    copying_servers& servers_;
    running_node node_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(copied_responses_tests)

/// Guards against "not run" for a request that ran, a second run, and another request's response, whatever is
/// copied: each id comes three times, and each server has two entries.
BOOST_AUTO_TEST_CASE(copied_responses_break_no_promise)
{
    copying_servers servers(1);
    checked_callers calling(servers);
    for (unsigned round = 0; round < 60; ++round) {
        std::vector<std::string> ids;
        for (unsigned caller = 0; caller < callers; ++caller) {
            ids.push_back("r" + std::to_string(round / 3) + "-" + std::to_string(caller));
        }
        calling.call_all(ids);
    }
    BOOST_TEST(calling.refused > 10U);
    BOOST_TEST(calling.answered > 60U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::gateway
