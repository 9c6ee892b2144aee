#include "currantspar/io/engine_control.hpp"

#include "whole_answer.hpp"

namespace currantspar::io {

namespace {

constexpr std::size_t answer_bytes_most = 4U << 20U;

http_request get(const std::string& address, const std::string& path, duration limit)
{
    http_request http;
    http.url = "http://" + address + path;
    http.idle_limit = limit;
    return http;
}

core::order_answered to_answered(const core::send_order& request, const whole_answer& answer)
{
    core::order_answered answered;
    answered.engine = request.engine;
    answered.order = request.order;
    answered.late = answer.end.late;
    answered.answer = core::order_answer::unknown;
    const nlohmann::json body = answer.json();
    if (answer.end.how == transfer_result::not_written) {
        answered.answer = core::order_answer::not_sent;
    } else if (answer.end.how == transfer_result::complete && body.is_object() && body.contains("answer")) {
        answered.answer = body["answer"].get<core::order_answer>();
        const bool known = nlohmann::json(answered.answer) == body["answer"];
        answered.answer = known ? answered.answer : core::order_answer::unknown;
    }
    return answered;
}

class http_engine_control : public engine_control
{
public:
    http_engine_control(http_client& client, engine_control_options options, event_sink sink)
        : client_(client), options_(options), sink_(std::move(sink))
    {}

    void read(const core::read_report& request) override
    {
        client_.start(
            get(request.address, "/report", options_.answer_limit),
            collect_answer(answer_bytes_most, [sink = sink_, id = request.engine](const auto& answer) {
                auto report = answer.ok() ? read_json<policy::engine_report>(answer.json()) : std::nullopt;
                if (report && report->engine == id) {
                    sink(core::report_received{std::move(*report)});
                } else {
                    sink(core::report_failed{id, answer.end.reason});
                }
            }));
    }

    void read(const core::read_cache_events& request) override
    {
        const std::string path = "/cache_events?from=" + std::to_string(request.from_sequence);
        client_.start(
            get(request.address, path, options_.answer_limit),
            collect_answer(answer_bytes_most, [sink = sink_, id = request.engine](const auto& answer) {
                auto batch = answer.ok() ? read_json<policy::cache_event_batch>(answer.json()) : std::nullopt;
                if (batch && batch->engine == id) {
                    sink(core::cache_events_received{std::move(*batch)});
                }
            }));
    }

    void read(const core::read_engine_state& request) override
    {
        client_.start(
            get(request.address, "/state", options_.answer_limit),
            collect_answer(answer_bytes_most, [sink = sink_, id = request.engine](const auto& answer) {
                auto state = answer.ok() ? read_json<core::engine_state>(answer.json()) : std::nullopt;
                if (state && state->engine == id) {
                    sink(core::engine_state_read{std::move(*state)});
                } else {
                    sink(core::engine_state_failed{id, answer.end.reason});
                }
            }));
    }

    void send(const core::send_order& request) override
    {
        http_request http;
        http.method = "POST";
        http.url = "http://" + request.address + "/orders";
        http.headers = {{"Content-Type", "application/json"}};
        http.body = std::make_shared<const std::string>(
            nlohmann::json{{"order", request.order}, {"fence", request.held}, {"goal", request.goal}}.dump());
        http.idle_limit = options_.answer_limit;
        http.new_connection = true; // a pooled connection could send the order twice
        http.write_deadline = request.deadline;
        client_.start(std::move(http),
                      collect_answer(answer_bytes_most, [sink = sink_, request](const auto& answer) {
                          sink(to_answered(request, answer));
                      }));
    }

private:
    http_client& client_;
    const engine_control_options options_;
    const event_sink sink_;
};

} // namespace

std::unique_ptr<engine_control> make_http_engine_control(http_client& client, engine_control_options options,
                                                         event_sink sink)
{
    return std::make_unique<http_engine_control>(client, options, std::move(sink));
}

} // namespace currantspar::io
