#include "currantspar/io/log_client.hpp"

#include "whole_answer.hpp"

namespace currantspar::io {

namespace {

constexpr std::size_t answer_bytes_most = 64U << 20U;
constexpr int status_too_many_requests = 429;

std::string reason_of(const whole_answer& answer)
{
    return answer.end.reason.empty() ? "status " + std::to_string(answer.end.status) : answer.end.reason;
}

std::optional<core::log_read> to_batch(const nlohmann::json& answer)
{
    if (!answer.is_object()) {
        return std::nullopt;
    }
    try {
        core::log_read read;
        answer.at("first_retained").get_to(read.batch.first_retained);
        answer.at("head").get_to(read.batch.head);
        for (const nlohmann::json& entry : answer.at("entries")) {
            const auto& bytes = entry.at("bytes").get_ref<const std::string&>();
            auto body = agreement::decode_record(bytes);
            // Bytes that nobody can read are kept as a record without effect, alike at every node.
            agreement::record_body kept =
                body ? std::move(*body) : agreement::record_body(agreement::unknown_record{"", bytes});
            read.batch.records.push_back({entry.at("offset").get<log_offset>(), std::move(kept)});
        }
        return read;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

core::append_finished to_finished(append_id append, const whole_answer& answer)
{
    core::append_finished finished;
    finished.append = append;
    finished.outcome = core::append_outcome::unknown;
    if (answer.end.how == transfer_result::not_written || answer.end.status == status_too_many_requests) {
        finished.outcome = core::append_outcome::refused;
        return finished;
    }
    const nlohmann::json body = answer.json();
    if (answer.ok() && body.is_object() && body.contains("first")) {
        finished.first = read_json<log_offset>(body["first"]).value_or(log_offset());
        finished.outcome = core::append_outcome::appended;
    }
    return finished;
}

class http_log_client : public log_client
{
public:
    http_log_client(http_client& client, log_client_options options, event_sink sink)
        : client_(client), options_(std::move(options)), sink_(std::move(sink))
    {}

    void read(const core::read_log& request) override
    {
        http_request http;
        http.url = "http://" + options_.address + "/log/read?from=" + std::to_string(request.from.value()) +
                   "&most=" + std::to_string(options_.read_most);
        http.idle_limit = options_.answer_limit;
        client_.start(std::move(http), collect_answer(answer_bytes_most, [sink = sink_](const auto& answer) {
                          auto batch = answer.ok() ? to_batch(answer.json()) : std::nullopt;
                          if (batch) {
                              sink(std::move(*batch));
                          } else {
                              sink(core::log_read_failed{reason_of(answer)});
                          }
                      }));
    }

    void append(const core::append_records& request) override
    {
        nlohmann::json records = nlohmann::json::array();
        for (const agreement::record_body& record : request.records) {
            records.push_back(agreement::encode_record(record));
        }
        http_request http;
        http.method = "POST";
        http.url = "http://" + options_.address + "/log/append";
        http.headers = {{"Content-Type", "application/json"}};
        http.body = std::make_shared<const std::string>(nlohmann::json{{"records", records}}.dump());
        http.idle_limit = options_.answer_limit;
        client_.start(std::move(http), collect_answer(answer_bytes_most, [sink = sink_, id = request.append](
                                                                             const auto& answer) {
                          sink(to_finished(id, answer));
                      }));
    }

private:
    http_client& client_;
    const log_client_options options_;
    const event_sink sink_;
};

} // namespace

std::unique_ptr<log_client> make_http_log_client(http_client& client, log_client_options options,
                                                 event_sink sink)
{
    return std::make_unique<http_log_client>(client, std::move(options), std::move(sink));
}

} // namespace currantspar::io
