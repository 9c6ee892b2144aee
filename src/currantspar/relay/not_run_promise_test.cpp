#include <map>
#include <random>

#include <boost/test/unit_test.hpp>

#include "currantspar/base/test_wire_text.hpp"
#include "test_relay.hpp"

namespace currantspar::relay {

namespace {

using test::at;

constexpr auto prefill = config::engine_role::prefill;
constexpr auto decode = config::engine_role::decode;

bool is_promise(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

/// Drives a relay core with random outcomes of attempts, and keeps what the servers know: which requests may
/// have run. Holds the core's replies and attempts against that.
class random_day
{
public:
    explicit random_day(unsigned seed) : random_(seed), core_(options(seed))
    {
        core_.on_config(test::make_config());
        for (const char* id : {"desk-1", "desk-2", "desk-3"}) {
            core_.directory().put(test::make_server(id, "desk"), at(0));
        }
        for (const char* id : {"reader-1", "reader-2"}) {
            core_.directory().put(test::make_server(id, "llm", prefill), at(0));
        }
        for (const char* id : {"decoder-1", "decoder-2", "decoder-3"}) {
            core_.directory().put(test::make_server(id, "llm", decode), at(0));
        }
    }

    void run(unsigned steps)
    {
        for (unsigned step = 0; step < steps; ++step) {
            now_ += std::chrono::milliseconds(below(60));
            take_step();
        }
        take(core_.end_all(now_));
        BOOST_TEST(attempts_.empty());
        BOOST_TEST(requests_.empty());
    }

    unsigned promises = 0; ///< replies that say "not run"
    unsigned repeats = 0;  ///< attempts beyond the first that may run the request

private:
    struct open_request
    {
        bool repeatable = false;
        unsigned may_have_run = 0; ///< attempts that were written, can run it and weren't refused
        unsigned sent = 0;
    };
    struct open_attempt
    {
        request_number request;
        attempt_stage stage = attempt_stage::full_request;
        bool stream = false;
        bool written = false;
        bool head = false;
    };

    static relay_options options(unsigned seed)
    {
        relay_options result;
        result.data_centre = data_centre_id("a");
        result.retries_reserve = 100000;
        result.seed = seed;
        return result;
    }

    unsigned below(unsigned most) { return std::uniform_int_distribution<unsigned>(0, most - 1)(random_); }

    void take_step()
    {
        const unsigned what = below(10);
        if (what < 3) {
            add_request();
        } else if (what == 3) {
            take(core_.on_tick(now_));
        } else if (what == 4 && below(10) == 0 && !requests_.empty()) {
            const request_number gone = pick(requests_)->first;
            requests_.erase(gone);
            take(core_.on_caller_disconnected(gone, "closed", now_));
        } else if (!attempts_.empty()) {
            advance(pick(attempts_)->first);
        }
    }

    template <typename Map>
    typename Map::iterator pick(Map& from)
    {
        return std::next(from.begin(), below(static_cast<unsigned>(from.size())));
    }

    void add_request()
    {
        const request_number number(++last_);
        const std::string id = "r" + std::to_string(last_);
        const unsigned kind = below(4);
        request_info info = kind == 0   ? test::make_call(id, "/once/1")
                            : kind == 1 ? test::make_call(id, "/read/1")
                                        : test::make_prompt(id, below(20), 2000, 300);
        if (kind == 3) {
            info.path = "/resume/1";
        }
        requests_[number].repeatable = kind == 1 || kind == 3;
        take(core_.on_request(number, std::move(info), now_));
    }

    void advance(attempt_id id)
    {
        open_attempt& each = attempts_.at(id);
        if (!each.written) {
            if (below(6) == 0) {
                end(id, attempt_failure::not_written);
                return;
            }
            each.written = true;
            const auto found = requests_.find(each.request);
            if (found != requests_.end() && each.stage != attempt_stage::prefill_only) {
                found->second.may_have_run += 1;
            }
            core_.on_written(id);
            return;
        }
        if (each.head) {
            advance_stream(id);
        } else if (const unsigned what = below(10); what < 4) {
            // A server that refuses has not run the request.
            const auto found = requests_.find(each.request);
            if (found != requests_.end() && each.stage != attempt_stage::prefill_only) {
                found->second.may_have_run -= 1;
            }
            end(id, attempt_failure::not_run);
        } else if (what < 6) {
            end(id, attempt_failure::lost);
        } else {
            answer(id);
        }
    }

    void advance_stream(attempt_id id)
    {
        const unsigned what = below(4);
        if (what == 0) {
            end(id, attempt_failure::lost);
        } else if (what == 1) {
            attempts_.erase(id);
            take(core_.on_stream_end(id, now_));
        } else {
            take(core_.on_events(id, test_event(std::to_string(++last_event_)), now_));
        }
    }

    void answer(attempt_id id)
    {
        open_attempt& each = attempts_.at(id);
        if (each.stage == attempt_stage::prefill_only) {
            attempts_.erase(id);
            take(core_.on_prompt_prefilled(id, test_handle("h" + std::to_string(id.value())), now_));
        } else if (each.stream && below(4) > 0) {
            each.head = true;
            take(core_.on_stream_head(id, now_));
        } else {
            response_info response;
            response.status = below(2) == 0 ? 500 : 200;
            response.has_proof = true;
            attempts_.erase(id);
            take(core_.on_response(id, response, now_));
        }
    }

    void end(attempt_id id, attempt_failure how)
    {
        attempts_.erase(id);
        take(core_.on_failure(id, how, "test", now_));
    }

    void take(const relay_effects& effects)
    {
        for (const relay_effect& effect : effects) {
            std::visit([this](const auto& each) { apply(each); }, effect);
        }
    }

    void apply(const start_attempt& effect)
    {
        const auto found = requests_.find(effect.request);
        BOOST_REQUIRE(found != requests_.end());
        for (const auto& [id, each] : attempts_) {
            BOOST_TEST((each.request != effect.request));
        }
        if (effect.stage != attempt_stage::prefill_only) {
            BOOST_TEST((found->second.repeatable || found->second.may_have_run == 0));
            repeats += found->second.sent++ > 0 ? 1 : 0;
        }
        attempts_[effect.attempt] = {effect.request, effect.stage, effect.stream, false, false};
    }
    void apply(const cancel_attempt& effect) { attempts_.erase(effect.attempt); }
    void apply(const reply& effect)
    {
        const auto found = requests_.find(effect.request);
        BOOST_REQUIRE(found != requests_.end());
        if (is_promise(effect.status)) {
            BOOST_TEST(found->second.may_have_run == 0U);
            promises += 1;
        }
        finish(effect.request);
    }
    void apply(const end_response& effect) { finish(effect.request); }
    void apply(const abort_response& effect) { finish(effect.request); }
    void apply(const deliver_response& effect) { finish(effect.request); }
    template <typename Other>
    void apply(const Other&)
    {}

    void finish(request_number number)
    {
        BOOST_TEST(requests_.erase(number) == 1U);
        for (const auto& [id, each] : attempts_) {
            BOOST_TEST((each.request != number));
        }
    }

    std::mt19937 random_;
    relay_core core_;
    instant now_ = at(1);
    std::uint64_t last_ = 0;
    std::uint64_t last_event_ = 0;
    std::map<request_number, open_request> requests_;
    std::map<attempt_id, open_attempt> attempts_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(not_run_promise_tests)

/// Guards against "not run" for a request that a server may have run, an attempt after the reply, two
/// attempts at once, and a second run of a request that may run once.
BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_is_never_called_not_run)
{
    unsigned promises = 0;
    unsigned repeats = 0;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        random_day day(seed);
        day.run(3000);
        promises += day.promises;
        repeats += day.repeats;
    }
    BOOST_TEST(promises > 1000U);
    BOOST_TEST(repeats > 1000U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::relay
