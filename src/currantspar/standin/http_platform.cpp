#include "currantspar/standin/http_platform.hpp"

#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

namespace currantspar::standin {

namespace {

using nlohmann::json;

constexpr std::size_t most_records = 1000;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_too_many_requests = 429;

http_response plain(int status, const json& body)
{
    http_response response;
    response.status = status;
    response.body = body.dump();
    return response;
}

http_response bad_request(const std::string& why)
{
    return plain(status_bad_request, {{"error", why}});
}

http_response held()
{
    http_response response;
    response.kind = http_response::how::hold;
    return response;
}

http_response closed()
{
    http_response response;
    response.kind = http_response::how::close;
    return response;
}

/// Models that several servers share are guarded together.
std::mutex& service_mutex()
{
    static std::mutex mutex;
    return mutex;
}

std::uint64_t number(const std::map<std::string, std::string>& query, const std::string& name,
                     std::uint64_t otherwise)
{
    const auto found = query.find(name);
    if (found == query.end()) {
        return otherwise;
    }
    try {
        return std::stoull(found->second);
    } catch (const std::exception&) {
        return otherwise;
    }
}

} // namespace

instant steady_now()
{
    static const auto begin = std::chrono::steady_clock::now();
    const auto passed = std::chrono::steady_clock::now() - begin;
    return instant(std::chrono::duration_cast<duration>(passed) + std::chrono::seconds(1));
}

http_log::http_log(log_model_options options)
    : model_(options), server_([this](const http_request& request) { return answer(request); })
{}

http_response http_log::answer(const http_request& request)
{
    const std::lock_guard lock(mutex_);
    if (request.method == "POST" && request.path == "/log/append") {
        return append(request);
    }
    if (request.method == "GET" && request.path == "/log/read") {
        return read(request);
    }
    return plain(status_not_found, {{"error", "unknown path"}});
}

http_response http_log::append(const http_request& request)
{
    try {
        const auto records = json::parse(request.body).at("records").get<std::vector<std::string>>();
        const append_result result = model_.append(records, steady_now());
        if (result.answer == log_answer::no_answer) {
            return held();
        }
        if (result.answer == log_answer::refused) {
            return plain(status_too_many_requests, {{"error", "refused"}});
        }
        return plain(200, {{"first", result.first}});
    } catch (const json::exception& fault) {
        return bad_request(fault.what());
    }
}

http_response http_log::read(const http_request& request)
{
    const log_offset from(number(request.query, "from", 1));
    const std::size_t most = std::min<std::size_t>(most_records, number(request.query, "most", most_records));
    const read_result result = model_.read(from, most, steady_now());
    if (result.answer != log_answer::ok) {
        return held();
    }
    json entries = json::array();
    for (const log_entry& entry : result.entries) {
        entries.push_back({{"offset", entry.offset}, {"bytes", entry.bytes}});
    }
    return plain(200,
                 {{"first_retained", result.first_retained}, {"head", result.head}, {"entries", entries}});
}

void http_log::set_outage(bool out)
{
    const std::lock_guard lock(mutex_);
    model_.set_outage(out);
}

void http_log::lose_answers(unsigned count)
{
    const std::lock_guard lock(mutex_);
    model_.lose_answers(count);
}

std::uint64_t http_log::appends()
{
    const std::lock_guard lock(mutex_);
    return model_.appends();
}

log_offset http_log::head()
{
    const std::lock_guard lock(mutex_);
    return model_.read(log_offset(1), 0, steady_now()).head;
}

http_vm_list::http_vm_list(duration lag)
    : model_(lag), server_([this](const http_request& request) {
          const std::lock_guard lock(mutex_);
          const auto shown = model_.read(steady_now());
          if (request.path != "/vms") {
              return plain(status_not_found, {{"error", "unknown path"}});
          }
          return shown ? plain(200, {{"vms", *shown}}) : held();
      })
{}

void http_vm_list::set(std::vector<core::vm_entry> vms)
{
    const std::lock_guard lock(mutex_);
    model_.set(std::move(vms), steady_now());
}

void http_vm_list::set_outage(bool out)
{
    const std::lock_guard lock(mutex_);
    model_.set_outage(out);
}

http_service::http_service(std::shared_ptr<service_model> model)
    : model_(std::move(model)), server_([this](const http_request& request) { return answer(request); })
{}

http_response http_service::answer(const http_request& request)
{
    std::uint64_t executions = 0;
    {
        const std::lock_guard lock(service_mutex());
        executions = model_->execute(request.tag);
    }
    if (silent_) {
        return held();
    }
    if (answers_to_lose_ > 0) {
        answers_to_lose_ -= 1;
        return closed();
    }
    return plain(200, {{"tag", request.tag},
                       {"executions", executions},
                       {"method", request.method},
                       {"path", request.path},
                       {"body_bytes", request.body.size()}});
}

std::uint64_t http_service::executions(const std::string& tag)
{
    const std::lock_guard lock(service_mutex());
    return model_->executions(tag);
}

} // namespace currantspar::standin
