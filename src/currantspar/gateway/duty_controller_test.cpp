#include "duty_controller.hpp"

#include <deque>
#include <mutex>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "test_node.hpp"

namespace currantspar::gateway {

namespace {

using std::chrono::milliseconds;

/// A store of one topic and an API for the calls under the lease, both behind one address. Thread safe.
class fake_platform
{
public:
    struct received_call
    {
        std::string holder;
        std::uint64_t token = 0;
        std::string window;
        instant at{};
    };

    test::scripted_response respond(const http_request& request)
    {
        const std::lock_guard lock(mutex_);
        requests_ += 1;
        if (request.target == "/call") {
            return respond_to_call(request);
        }
        if (store_down_) {
            return status(503);
        }
        return request.method == "POST" ? append(request) : list();
    }

    void append_as_other(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(mutex_);
        log_.emplace_back(key, value);
    }
    /// The next calls get these responses, then 200; 0: no response.
    void script_calls(std::deque<int> statuses)
    {
        const std::lock_guard lock(mutex_);
        statuses_ = std::move(statuses);
    }
    /// The next append is executed and gets no response.
    void lose_next_append_response()
    {
        const std::lock_guard lock(mutex_);
        lose_append_ = true;
    }
    void roll_back_to(std::size_t end)
    {
        const std::lock_guard lock(mutex_);
        log_.resize(end);
        era_ += 1;
    }
    void set_store_down(bool down)
    {
        const std::lock_guard lock(mutex_);
        store_down_ = down;
    }
    [[nodiscard]] std::vector<received_call> calls() const
    {
        const std::lock_guard lock(mutex_);
        return calls_;
    }
    [[nodiscard]] std::vector<std::pair<std::string, std::string>> log() const
    {
        const std::lock_guard lock(mutex_);
        return log_;
    }
    [[nodiscard]] unsigned requests() const
    {
        const std::lock_guard lock(mutex_);
        return requests_;
    }

private:
    [[nodiscard]] test::scripted_response status(int code, const std::string& body = "") const
    {
        return {"HTTP/1.1 " + std::to_string(code) + " X\r\nEra: " + std::to_string(era_) +
                "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
    }

    test::scripted_response respond_to_call(const http_request& request)
    {
        const auto field = [&](std::string_view name) {
            const std::string* value = find_field(request.fields, name);
            return value == nullptr ? std::string() : *value;
        };
        calls_.push_back(
            {field("Holder"), std::stoull(field("Token")), field("Window"), io::suspend_aware_now()});
        if (statuses_.empty()) {
            return status(200);
        }
        const int code = statuses_.front();
        statuses_.pop_front();
        if (code == 0) {
            test::scripted_response held;
            held.hold = true;
            return held;
        }
        return status(code);
    }

    test::scripted_response append(const http_request& request)
    {
        std::istringstream in(request.body);
        std::size_t expected = 0;
        std::string key;
        std::string value;
        in >> expected >> key >> value;
        if (expected != log_.size()) {
            return status(409);
        }
        log_.emplace_back(key, value);
        if (std::exchange(lose_append_, false)) {
            test::scripted_response lost;
            lost.hold = true;
            return lost;
        }
        return status(200, std::to_string(log_.size() - 1));
    }

    /// `END`, then lines of `OFFSET KEY VALUE`: the newest record of each key.
    [[nodiscard]] test::scripted_response list() const
    {
        std::map<std::string, std::size_t> newest;
        for (std::size_t offset = 0; offset < log_.size(); ++offset) {
            newest[log_[offset].first] = offset;
        }
        std::string body = std::to_string(log_.size());
        for (const auto& [key, offset] : newest) {
            body.append("\n").append(std::to_string(offset)).append(" ");
            body.append(key).append(" ").append(log_[offset].second);
        }
        return status(200, body);
    }

    mutable std::mutex mutex_;
    std::vector<std::pair<std::string, std::string>> log_;
    std::vector<received_call> calls_;
    std::deque<int> statuses_;
    std::uint64_t era_ = 0;
    unsigned requests_ = 0;
    bool lose_append_ = false;
    bool store_down_ = false;
};

class duty_protocol : public test::fake_protocol
{
public:
    result<std::string> encode_listing(shared_topic, const std::string&) const override
    {
        return write_request({"GET", "/list", {{"Host", "store"}}, {}});
    }
    result<listing_page> decode_listing(const http_response& response) const override
    {
        if (response.status != 200) {
            return fail(error_kind::unavailable, "status " + std::to_string(response.status));
        }
        listing_page page;
        std::istringstream in(response.body);
        in >> page.end;
        keyed_record record;
        std::string value;
        while (in >> record.offset >> record.key >> value) {
            record.value = value;
            page.records.push_back(record);
        }
        return page;
    }
    result<std::string> encode_conditional_append(shared_topic, const std::string& key,
                                                  const std::string& value, std::uint64_t end) const override
    {
        return write_request(
            {"POST", "/append", {{"Host", "store"}}, std::to_string(end) + " " + key + " " + value});
    }
    result<std::uint64_t> decode_append(const http_response& response) const override
    {
        if (response.status == 409) {
            return fail(error_kind::conflict, "the end has changed");
        }
        if (response.status != 200) {
            return fail(error_kind::unavailable, "status " + std::to_string(response.status));
        }
        return std::stoull(response.body);
    }
    result<std::string> encode_usage(const relay::usage_report& report,
                                     const duty_holder& holder) const override
    {
        return encode_call(std::to_string(report.window), holder);
    }
    result<std::string> encode_capacity_order(const relay::capacity_order& order,
                                              const duty_holder& holder) const override
    {
        return encode_call(order.service.str(), holder);
    }
    relay::duty_outcome decode_duty_response(const http_response& response) const override
    {
        return response.status == 200   ? relay::duty_outcome::accepted
               : response.status == 409 ? relay::duty_outcome::conflict
                                        : relay::duty_outcome::unavailable;
    }

private:
    static result<std::string> encode_call(const std::string& window, const duty_holder& holder)
    {
        return write_request({"POST",
                              "/call",
                              {{"Host", "api"},
                               {"Holder", holder.node},
                               {"Token", std::to_string(holder.token)},
                               {"Window", window}},
                              {}});
    }
};

/// Records each window and reports it; windows that a test adds.
class fake_duty : public relay::duty
{
public:
    [[nodiscard]] bool pending(instant) const override { return !todo.empty(); }
    void on_records(const std::vector<relay::duty_record>& records, instant) override
    {
        listings += 1;
        recorded.clear();
        for (const relay::duty_record& each : records) {
            recorded.insert(each.key);
        }
    }
    [[nodiscard]] std::optional<relay::duty_step> next(instant) override
    {
        if (todo.empty()) {
            return std::nullopt;
        }
        const std::string key = "usage-" + std::to_string(todo.front());
        if (!orders && !recorded.contains(key)) {
            return relay::duty_step(relay::duty_record{key, "v"});
        }
        if (orders) {
            return relay::duty_step(
                relay::duty_call(relay::capacity_order{service_id("s"), data_centre_id("a"), false, 1}));
        }
        return relay::duty_step(relay::duty_call(relay::usage_report{todo.front(), {}}));
    }
    void on_recorded(const relay::duty_record& record, instant) override { recorded.insert(record.key); }
    void on_called(const relay::duty_call&, relay::duty_outcome outcome, instant) override
    {
        outcomes.push_back(outcome);
        if (outcome == relay::duty_outcome::accepted || orders) {
            todo.pop_front();
        }
    }
    void on_lost(instant) override { lost += 1; }

    std::deque<std::uint64_t> todo;
    bool orders = false; ///< orders capacity instead
    std::set<std::string> recorded;
    std::vector<relay::duty_outcome> outcomes;
    unsigned listings = 0;
    unsigned lost = 0;
};

server_pool_options pool_options()
{
    server_pool_options options;
    options.responses_have_ids = false;
    return options;
}

/// A node's controller with one duty.
struct node_under_test
{
    node_under_test(ACE_Reactor& reactor, const wire_protocol& wire, const gateway_settings& settings)
        : pool(reactor, pool_options()), controller(pool, wire, settings, options())
    {
        controller.add(duty);
    }
    static duty_controller_options options()
    {
        duty_controller_options options;
        options.settle_time = {};
        options.store_timeout = milliseconds(300);
        options.call_timeout = milliseconds(300);
        return options;
    }

    server_pool pool;
    fake_duty duty;
    duty_controller controller;
};

/// A request whose authority ends while its connection is established.
class expired_request : public exchange_sink
{
public:
    [[nodiscard]] bool may_be_written() const override { return false; }
    bool response_head(int, const http_fields&) override { return true; }
    void response_body(std::string_view) override {}
    void response_complete() override {}
    void request_failed(bool was_written, const std::string&) override
    {
        failed = true;
        written = was_written;
    }

    bool failed = false;
    bool written = false;
};

/// Nodes that share a platform. The gap between two holders is shorter than in production; the term isn't.
struct running_nodes
{
    explicit running_nodes(std::size_t count, bool fencing_checked = false, bool with_api = true)
    {
        settings.store_address = server.address();
        settings.duties.address = with_api ? server.address() : std::string();
        settings.duties.lease_gap = milliseconds(500);
        settings.duties.fencing_checked = fencing_checked;
        settings.first_start = true;
        for (std::size_t index = 0; index < count; ++index) {
            add("node-" + std::to_string(index));
        }
    }
    fake_duty& add(const std::string& name)
    {
        settings.node = name;
        nodes.push_back(std::make_unique<node_under_test>(reactor, wire, settings));
        return nodes.back()->duty;
    }
    /// Runs the nodes until `done` returns true; returns false after `limit`.
    bool run_until(const std::function<bool()>& done, duration limit = std::chrono::seconds(8))
    {
        const instant started_at = io::monotonic_now();
        while (!done()) {
            const instant now = io::monotonic_now();
            if (now - started_at > limit) {
                return false;
            }
            std::size_t rank = 0;
            for (const auto& each : nodes) {
                if (each) {
                    each->pool.on_tick(now);
                    each->controller.on_tick(rank, now);
                    rank += 1;
                }
            }
            ACE_Time_Value wait(0, 5000);
            reactor.handle_events(wait);
        }
        return true;
    }
    void run_for(duration time)
    {
        run_until([] { return false; }, time);
    }
    fake_duty& duty(std::size_t index = 0) { return nodes.at(index)->duty; }

    ACE_Reactor reactor{new ACE_Dev_Poll_Reactor, true};
    fake_platform platform;
    test::scripted_server server{[this](const http_request& request) { return platform.respond(request); }};
    duty_protocol wire;
    gateway_settings settings;
    std::vector<std::unique_ptr<node_under_test>> nodes;
};

} // namespace

BOOST_AUTO_TEST_SUITE(duty_controller_tests)

BOOST_AUTO_TEST_CASE(a_holder_records_each_step_before_its_call_and_renews_its_claim)
{
    running_nodes running(1);
    running.duty().todo = {7, 8};
    BOOST_REQUIRE(running.run_until([&] { return running.duty().todo.empty(); }));
    running.run_for(milliseconds(2600)); // the term ends
    running.duty().todo = {9};
    BOOST_REQUIRE(running.run_until([&] { return running.duty().todo.empty(); }, std::chrono::seconds(1)));
    const std::vector<std::pair<std::string, std::string>> expected{
        {"holder", "node-0"}, {"usage-7", "v"}, {"usage-8", "v"}, {"holder", "node-0"}, {"usage-9", "v"}};
    BOOST_TEST((running.platform.log() == expected));
    const auto calls = running.platform.calls();
    BOOST_REQUIRE(calls.size() == 3U);
    BOOST_TEST(calls[0].holder == "node-0");
    BOOST_TEST(calls[0].token == 1U);
    BOOST_TEST(calls[1].token == 1U);
    BOOST_TEST(calls[2].token == 4U);
    BOOST_TEST(running.duty().lost == 0U);
}

/// Guards against calls, each of which is billed, where there is nothing to do.
BOOST_AUTO_TEST_CASE(nothing_is_sent_without_an_api_or_without_work)
{
    running_nodes without_api(1, false, false);
    without_api.duty().todo = {7};
    without_api.run_for(milliseconds(300));
    BOOST_TEST(without_api.platform.requests() == 0U);
    running_nodes idle(2);
    idle.run_for(milliseconds(300));
    BOOST_TEST(idle.platform.requests() == 0U);
}

/// Guards against duties that stay undone when their holder ends, and against a successor that comes too
/// early.
BOOST_AUTO_TEST_CASE(another_node_takes_over_from_a_holder_that_was_killed)
{
    running_nodes running(2);
    running.duty(0).todo = {7};
    BOOST_REQUIRE(running.run_until([&] { return running.duty(0).todo.empty(); }));
    const instant last_call = running.platform.calls().back().at;
    running.nodes[0].reset();
    running.duty(1).todo = {8};
    BOOST_REQUIRE(running.run_until([&] { return running.duty(1).todo.empty(); }));
    const auto calls = running.platform.calls();
    BOOST_TEST(calls.back().holder == "node-1");
    BOOST_TEST(calls.back().token > calls.front().token);
    BOOST_TEST((calls.back().at - last_call >= milliseconds(3000)));
    BOOST_TEST((running.duty(1).recorded.contains("usage-7"))); // it knows what its predecessor recorded
}

/// Guards against a superseded holder that records or calls.
BOOST_AUTO_TEST_CASE(a_holder_whose_record_is_refused_makes_no_further_call)
{
    running_nodes running(1);
    running.duty().todo = {7};
    BOOST_REQUIRE(running.run_until([&] { return running.duty().todo.empty(); }));
    running.platform.append_as_other("holder", "other");
    running.duty().todo = {8};
    BOOST_REQUIRE(running.run_until([&] { return running.duty().lost == 1; }, std::chrono::seconds(2)));
    running.run_for(milliseconds(1000));
    BOOST_TEST(running.platform.calls().size() == 1U);
    // It claims again once the other claim has certainly ended.
    BOOST_REQUIRE(running.run_until([&] { return running.duty().todo.empty(); }));
    BOOST_TEST(running.platform.calls().back().token == 4U);
}

/// Guards against a record that is appended twice or given up because a response was lost.
BOOST_AUTO_TEST_CASE(an_append_without_a_response_is_looked_up)
{
    running_nodes running(1);
    running.duty().todo = {7};
    BOOST_REQUIRE(running.run_until([&] { return running.duty().todo.empty(); }));
    running.platform.lose_next_append_response();
    running.duty().todo = {8};
    BOOST_REQUIRE(running.run_until([&] { return running.duty().todo.empty(); }, std::chrono::seconds(2)));
    BOOST_TEST(running.platform.log().size() == 3U);
    BOOST_TEST(running.duty().lost == 0U);
    BOOST_TEST(running.duty().listings == 2U);
}

/// Guards against calls that repeat a token which the API has rejected.
BOOST_AUTO_TEST_CASE(a_token_that_the_api_rejects_isnt_used_again)
{
    running_nodes running(1, true);
    running.platform.script_calls({409});
    running.duty().todo = {7};
    BOOST_REQUIRE(running.run_until([&] { return running.duty().todo.empty(); }));
    const auto calls = running.platform.calls();
    BOOST_REQUIRE(calls.size() == 2U);
    BOOST_TEST(calls[1].token > calls[0].token);
    BOOST_TEST(running.duty().lost == 1U);
    BOOST_TEST((running.duty().outcomes == std::vector{relay::duty_outcome::accepted}));
}

/// Guards against a holder that gives up its lease whenever a data centre has no capacity.
BOOST_AUTO_TEST_CASE(a_rejected_order_under_the_newest_claim_is_a_lack_of_capacity)
{
    running_nodes running(1, true);
    running.platform.script_calls({409, 409});
    running.duty().orders = true;
    running.duty().todo = {1, 2, 3};
    BOOST_REQUIRE(running.run_until([&] { return running.duty().todo.empty(); }, std::chrono::seconds(2)));
    BOOST_TEST(running.duty().lost == 0U);
    BOOST_TEST(
        (running.duty().outcomes == std::vector{relay::duty_outcome::conflict, relay::duty_outcome::conflict,
                                                relay::duty_outcome::accepted}));
}

BOOST_AUTO_TEST_CASE(a_rejected_order_under_an_older_claim_ends_the_authority)
{
    running_nodes running(1, true);
    running.platform.script_calls({409});
    running.duty().orders = true;
    running.duty().todo = {1};
    // The other claim comes between the order and the look at the topic, because the API has seen it.
    BOOST_REQUIRE(running.run_until([&] { return running.platform.log().size() == 1; }));
    running.platform.append_as_other("holder", "other");
    BOOST_REQUIRE(running.run_until([&] { return running.duty().lost == 1; }, std::chrono::seconds(2)));
    BOOST_TEST(running.platform.calls().size() == 1U);
}

/// Guards against a holder that hammers an API in trouble.
BOOST_AUTO_TEST_CASE(a_call_that_is_rejected_for_now_or_unanswered_is_made_again_later)
{
    running_nodes running(1);
    running.platform.script_calls({429, 503, 0});
    running.duty().todo = {7};
    BOOST_REQUIRE(running.run_until([&] { return running.duty().todo.empty(); }));
    BOOST_TEST((running.duty().outcomes ==
                std::vector{relay::duty_outcome::unavailable, relay::duty_outcome::unavailable,
                            relay::duty_outcome::unanswered, relay::duty_outcome::accepted}));
    const auto calls = running.platform.calls();
    BOOST_REQUIRE(calls.size() == 4U);
    BOOST_TEST((calls[1].at - calls[0].at >= milliseconds(200)));
    BOOST_TEST((calls[2].at - calls[1].at >= milliseconds(400)));
    BOOST_TEST((calls[3].at - calls[2].at >= milliseconds(800)));
}

/// Guards against a node that is suspended between the check of its token and the write.
BOOST_AUTO_TEST_CASE(a_request_whose_authority_ended_before_the_write_isnt_sent)
{
    running_nodes running(1);
    expired_request request;
    running.nodes[0]->pool.start(running.server.address(), {"POST /call HTTP/1.1\r\n\r\n", {}}, request,
                                 io::monotonic_now());
    BOOST_REQUIRE(running.run_until([&] { return request.failed; }, std::chrono::seconds(1)));
    running.run_for(milliseconds(50));
    BOOST_TEST(!request.written);
    BOOST_TEST(running.platform.requests() == 0U);
}

/// Guards against calls above the rate that the API accepts.
BOOST_AUTO_TEST_CASE(calls_keep_to_the_allowed_rate)
{
    running_nodes running(0);
    running.settings.duties.calls_per_second = 5;
    fake_duty& duty = running.add("node-0");
    duty.orders = true;
    duty.todo = {1, 2, 3, 4};
    BOOST_REQUIRE(running.run_until([&] { return duty.todo.empty(); }));
    const auto calls = running.platform.calls();
    BOOST_TEST((calls.back().at - calls.front().at >= milliseconds(600)));
}

/// Guards against a holder that goes on under a claim which the store has lost, and against tokens that fall
/// with the offsets.
BOOST_AUTO_TEST_CASE(a_rollback_ends_the_authority_and_the_next_token_is_higher)
{
    running_nodes running(1);
    running.duty().todo = {7, 8};
    BOOST_REQUIRE(running.run_until([&] { return running.duty().todo.empty(); }));
    running.platform.roll_back_to(0);
    running.nodes[0]->controller.on_store_era(1);
    running.duty().todo = {9};
    running.run_for(milliseconds(2000));
    BOOST_TEST(running.duty().lost == 1U);
    BOOST_TEST(running.platform.calls().size() == 2U);
    BOOST_REQUIRE(running.run_until([&] { return running.duty().todo.empty(); }));
    BOOST_TEST(running.platform.calls().back().token == (1ULL << 32U) + 1);
}

/// Guards against a record of an earlier era that counts as recorded.
BOOST_AUTO_TEST_CASE(a_record_that_is_appended_after_an_unnoticed_rollback_doesnt_count)
{
    running_nodes running(1);
    running.duty().todo = {7};
    BOOST_REQUIRE(running.run_until([&] { return running.duty().todo.empty(); }));
    running.platform.roll_back_to(0);
    running.platform.append_as_other("holder", "other");
    running.platform.append_as_other("usage-7", "v");
    running.duty().todo = {8};
    BOOST_REQUIRE(running.run_until([&] { return running.duty().lost == 1; }, std::chrono::seconds(2)));
    BOOST_TEST(running.platform.calls().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::gateway
