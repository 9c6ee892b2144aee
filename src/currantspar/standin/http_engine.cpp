#include "currantspar/standin/http_engine.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "currantspar/policy/prompt.hpp"
#include "currantspar/standin/http_platform.hpp"

namespace currantspar::standin {

namespace {

using nlohmann::json;

constexpr int status_no_content = 204;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;
constexpr std::uint32_t default_output_tokens = 32;
const std::string request_path = "/v1/requests/";
const std::string stream_suffix = "/stream";

http_response plain(int status, const json& body)
{
    http_response response;
    response.status = status;
    response.body = body.dump();
    return response;
}

http_response without_answer(http_response::how kind)
{
    http_response response;
    response.kind = kind;
    return response;
}

std::string sse(const char* kind, const json& data)
{
    std::string text;
    if (kind != nullptr) {
        text = std::string("event: ") + kind + "\n";
    }
    return text + "data: " + data.dump() + "\n\n";
}

engine_work read_work(const json& body, std::uint32_t piece_tokens)
{
    engine_work work;
    work.request = body.at("request").get<engine_request_id>();
    work.prompt = body.at("prompt").get<std::string>();
    work.prompt_tokens = policy::count_tokens(work.prompt);
    work.prefix_pieces = policy::prefix_pieces(work.prompt, piece_tokens);
    work.output_tokens = body.value("max_tokens", default_output_tokens);
    work.from_position = body.value("from_position", 0U);
    work.priority = body.value("priority", 1U);
    work.prefill_only = body.value("prefill_only", false);
    work.kv_imported = !body.value("kv_handle", std::string()).empty();
    return work;
}

} // namespace

http_engine::http_engine(engine_model_options options)
    : model_(std::move(options)), server_([this](const http_request& request) { return answer(request); }),
      pump_([this] { run(); })
{}

http_engine::~http_engine()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    pump_.join();
    server_.stop();
}

http_response http_engine::answer(const http_request& request)
{
    const std::lock_guard lock(mutex_);
    if (model_.down(steady_now())) {
        return without_answer(http_response::how::close);
    }
    try {
        if (request.method == "POST" && request.path == "/v1/completions") {
            return start(request);
        }
        if (request.method == "POST" && request.path == "/orders") {
            return order(request);
        }
        return control(request);
    } catch (const json::exception& fault) {
        return plain(status_bad_request, {{"error", fault.what()}});
    }
}

http_response http_engine::control(const http_request& request)
{
    const instant now = steady_now();
    if (request.path == "/report") {
        return plain(200, model_.report(now));
    }
    if (request.path == "/state") {
        return plain(200, model_.state(now));
    }
    if (request.path == "/cache_events") {
        const auto from = request.query.find("from");
        const std::uint64_t sequence = from == request.query.end() ? 0 : std::stoull(from->second);
        return plain(200, model_.cache_events(sequence, now));
    }
    if (!request.path.starts_with(request_path)) {
        return plain(status_not_found, {{"error", "unknown path"}});
    }
    std::string name = request.path.substr(request_path.size());
    if (request.method == "DELETE") {
        model_.cancel(engine_request_id(name), now);
        changed_.notify_all();
        http_response response;
        response.status = status_no_content;
        return response;
    }
    if (!name.ends_with(stream_suffix)) {
        return plain(status_not_found, {{"error", "unknown path"}});
    }
    name.resize(name.size() - stream_suffix.size());
    const auto from = request.query.find("from");
    const std::uint32_t position =
        from == request.query.end() ? 0 : static_cast<std::uint32_t>(std::stoul(from->second));
    return resume(engine_request_id(name), position);
}

http_response http_engine::start(const http_request& request)
{
    const instant now = steady_now();
    const engine_work work = read_work(json::parse(request.body), model_.options().piece_tokens);
    const work_answer taken = model_.submit(work, now);
    if (taken != work_answer::accepted) {
        return plain(status_unavailable, {{"error", taken == work_answer::refused_full ? "full" : "closed"}});
    }
    return stream_for(work.request);
}

http_response http_engine::resume(const engine_request_id& request, std::uint32_t from)
{
    if (model_.resume(request, from, steady_now()) != work_answer::accepted) {
        return plain(status_not_found, {{"error", "unknown request"}});
    }
    return stream_for(request);
}

http_response http_engine::stream_for(const engine_request_id& request)
{
    open_stream open;
    open.body = std::make_shared<stream_body>();
    if (truncate_streams_ > 0) {
        truncate_streams_ -= 1;
        open.tokens_left = truncate_after_;
    }
    const engine_time at = model_.clock(steady_now());
    open.body->append(sse("accepted", {{"request", request}, {"at", at}}));
    http_response response;
    response.kind = http_response::how::stream;
    response.content_type = "text/event-stream";
    response.stream = open.body;
    streams_[request] = std::move(open);
    changed_.notify_all();
    return response;
}

http_response http_engine::order(const http_request& request)
{
    const json body = json::parse(request.body);
    const core::order_answer answer =
        model_.order(body.at("order").get<order_id>(), body.at("fence").get<fence>(),
                     body.at("goal").get<agreement::engine_goal>(), steady_now());
    changed_.notify_all();
    if (order_answers_to_lose_ > 0) {
        order_answers_to_lose_ -= 1;
        return without_answer(http_response::how::close);
    }
    return plain(answer == core::order_answer::accepted ? 200 : status_conflict, {{"answer", answer}});
}

void http_engine::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const instant next = model_.next_output();
        if (next == instant::max()) {
            changed_.wait(lock);
        } else {
            const duration wait = std::max(duration::zero(), next - steady_now());
            changed_.wait_for(lock, wait);
        }
        for (const engine_output& output : model_.advance(steady_now())) {
            give_out(output);
        }
    }
}

void http_engine::give_out(const engine_output& output)
{
    const auto found = streams_.find(output.request);
    if (found == streams_.end()) {
        return;
    }
    open_stream& open = found->second;
    const bool last = output.kind != engine_output::what::tokens;
    if (!open.silent) {
        if (output.kind == engine_output::what::tokens) {
            const json tokens = json::array({output.token});
            open.body->append(sse(
                nullptr, {{"request", output.request}, {"position", output.position}, {"tokens", tokens}}));
        } else if (output.kind == engine_output::what::exported) {
            open.body->append(sse("exported", {{"request", output.request}, {"handle", output.request}}));
        } else {
            open.body->append(
                sse("end",
                    {{"request", output.request}, {"total", output.position}, {"finish_reason", "length"}}));
        }
    }
    if (!last && open.tokens_left > 0 && --open.tokens_left == 0) {
        open.body->abort();
        streams_.erase(found);
        return;
    }
    if (last && !open.silent) {
        open.body->finish();
        streams_.erase(found);
    }
}

void http_engine::crash(duration down_for)
{
    const std::lock_guard lock(mutex_);
    model_.crash(steady_now(), down_for);
    for (const auto& [request, open] : streams_) {
        open.body->abort();
    }
    streams_.clear();
    changed_.notify_all();
}

void http_engine::pause(duration time)
{
    const std::lock_guard lock(mutex_);
    model_.pause(steady_now(), time);
    changed_.notify_all();
}

void http_engine::silence_streams()
{
    const std::lock_guard lock(mutex_);
    for (auto& [request, open] : streams_) {
        open.silent = true;
    }
}

void http_engine::truncate_next(unsigned streams, unsigned after_tokens)
{
    const std::lock_guard lock(mutex_);
    truncate_streams_ = streams;
    truncate_after_ = after_tokens;
}

void http_engine::lose_order_answers(unsigned count)
{
    const std::lock_guard lock(mutex_);
    order_answers_to_lose_ = count;
}

void http_engine::with_model(const std::function<void(engine_model&, instant)>& action)
{
    const std::lock_guard lock(mutex_);
    action(model_, steady_now());
    changed_.notify_all();
}

} // namespace currantspar::standin
