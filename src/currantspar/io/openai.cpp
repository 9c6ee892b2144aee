#include "openai.hpp"

#include <algorithm>
#include <array>

#include "currantspar/base/json.hpp"

namespace currantspar::io::openai {

namespace {

using nlohmann::json;

constexpr std::uint32_t default_max_tokens = 256;
constexpr std::uint32_t most_max_tokens = 1U << 20U;
constexpr int status_unauthorized = 401;
constexpr int status_forbidden = 403;
constexpr int status_too_many_requests = 429;
constexpr int first_server_error = 500;

tl::unexpected<api_error> wrong(std::string parameter, std::string message)
{
    api_error error;
    error.code = "invalid_value";
    error.parameter = std::move(parameter);
    error.message = std::move(message);
    return tl::unexpected<api_error>(std::move(error));
}

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

const char* error_type(int status)
{
    if (status == status_unauthorized || status == status_forbidden) {
        return "authentication_error";
    }
    if (status == status_too_many_requests) {
        return "rate_limit_error";
    }
    return status >= first_server_error ? "server_error" : "invalid_request_error";
}

/// The text of a message's content: a string, or a list of text parts.
tl::expected<std::string, api_error> content_text(const json& content)
{
    if (content.is_string()) {
        return content.get<std::string>();
    }
    if (!content.is_array()) {
        return wrong("messages", "a message's content must be a string or a list of text parts");
    }
    std::string text;
    for (const json& part : content) {
        const bool fits = part.is_object() && part.value("type", json()) == "text" && part.contains("text") &&
                          part["text"].is_string();
        if (!fits) {
            return wrong("messages", "content parts must be of type 'text'");
        }
        text += part["text"].get_ref<const std::string&>();
    }
    return text;
}

tl::expected<std::string, api_error> chat_prompt(const json& body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        return wrong("messages", "'messages' must be a list with at least one message");
    }
    std::string prompt;
    for (const json& message : *messages) {
        const bool fits = message.is_object() && message.contains("role") && message["role"].is_string() &&
                          message.contains("content");
        if (!fits) {
            return wrong("messages", "each message must be an object with 'role' and 'content'");
        }
        const auto text = content_text(message["content"]);
        if (!text) {
            return tl::unexpected<api_error>(text.error());
        }
        prompt.append(message["role"].get_ref<const std::string&>()).append(": ").append(*text).append("\n");
    }
    return prompt;
}

tl::expected<std::string, api_error> completion_prompt(const json& body)
{
    const auto prompt = body.find("prompt");
    if (prompt == body.end() || !prompt->is_string() || prompt->get_ref<const std::string&>().empty()) {
        return wrong("prompt", "'prompt' must be a string that is not empty");
    }
    return prompt->get<std::string>();
}

tl::expected<std::uint32_t, api_error> max_tokens(const json& body)
{
    for (const char* const name : {"max_completion_tokens", "max_tokens"}) {
        const auto found = body.find(name);
        if (found == body.end() || found->is_null()) {
            continue;
        }
        const bool fits = found->is_number_unsigned() && found->get<std::uint64_t>() >= 1 &&
                          found->get<std::uint64_t>() <= most_max_tokens;
        if (!fits) {
            return wrong(name, "must be a whole number from 1 to " + std::to_string(most_max_tokens));
        }
        return found->get<std::uint32_t>();
    }
    return default_max_tokens;
}

json choice(const answer_context& context, const std::string& text, bool first, const json& finish_reason)
{
    json out = {{"index", 0}, {"finish_reason", finish_reason}};
    if (context.style == answer_style::completion) {
        out["text"] = text;
        return out;
    }
    out["delta"] = json::object();
    if (first) {
        out["delta"]["role"] = "assistant";
    }
    if (!text.empty()) {
        out["delta"]["content"] = text;
    }
    return out;
}

json envelope(const answer_context& context, const char* chat_object, json choices)
{
    const bool chat = context.style == answer_style::chat;
    return {{"id", (chat ? "chatcmpl-" : "cmpl-") + context.id},
            {"object", chat ? chat_object : "text_completion"},
            {"created", context.created},
            {"model", context.model},
            {"choices", std::move(choices)}};
}

std::string sse(const std::string& event_id, const std::string& data)
{
    const std::string id_line = event_id.empty() ? "" : "id: " + event_id + "\n";
    return id_line + "data: " + data + "\n\n";
}

std::string join(const std::vector<std::string>& tokens)
{
    std::string text;
    for (const std::string& token : tokens) {
        text += token;
    }
    return text;
}

} // namespace

tl::expected<model_request, api_error> parse_request(answer_style style, std::string_view body)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        api_error error;
        error.code = "invalid_json";
        error.message = "the body is not a JSON object";
        return tl::unexpected<api_error>(std::move(error));
    }
    model_request request;
    request.style = style;
    const auto model = parsed.find("model");
    if (model == parsed.end() || !model->is_string()) {
        return wrong("model", "'model' must be a string");
    }
    request.model = model->get<std::string>();
    auto prompt = style == answer_style::chat ? chat_prompt(parsed) : completion_prompt(parsed);
    if (!prompt) {
        return tl::unexpected<api_error>(prompt.error());
    }
    request.prompt = std::move(*prompt);
    const auto most = max_tokens(parsed);
    if (!most) {
        return tl::unexpected<api_error>(most.error());
    }
    request.max_tokens = *most;
    const json stream = parsed.value("stream", json(false));
    if (!stream.is_boolean() && !stream.is_null()) {
        return wrong("stream", "'stream' must be true or false");
    }
    request.stream = stream.is_boolean() && stream.get<bool>();
    if (parsed.value("n", json(1)) != 1) {
        return wrong("n", "only one answer per request is supported");
    }
    return request;
}

std::string token_event(const answer_context& context, const core::reply_tokens& tokens)
{
    json choices = json::array({choice(context, join(tokens.tokens), tokens.position == 0, nullptr)});
    return sse(tokens.event_id, dump(envelope(context, "chat.completion.chunk", std::move(choices))));
}

std::string end_events(const answer_context& context, const core::reply_end& end)
{
    json choices = json::array({choice(context, "", end.total_tokens == 0, end.finish_reason)});
    json last = envelope(context, "chat.completion.chunk", std::move(choices));
    last["usage"] = {{"prompt_tokens", context.prompt_tokens},
                     {"completion_tokens", end.total_tokens},
                     {"total_tokens", context.prompt_tokens + end.total_tokens}};
    return sse("", dump(last)) + "data: [DONE]\n\n";
}

std::string error_event(const api_error& error)
{
    return "event: error\ndata: " + error_body(error) + "\n\n";
}

std::string whole_body(const answer_context& context, const std::string& text, const core::reply_end& end)
{
    json choice = {{"index", 0}, {"finish_reason", end.finish_reason}};
    if (context.style == answer_style::chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    json body = envelope(context, "chat.completion", json::array({std::move(choice)}));
    body["usage"] = {{"prompt_tokens", context.prompt_tokens},
                     {"completion_tokens", end.total_tokens},
                     {"total_tokens", context.prompt_tokens + end.total_tokens}};
    return dump(body) + "\n";
}

std::string error_body(const api_error& error)
{
    const json parameter = error.parameter.empty() ? json(nullptr) : json(error.parameter);
    const json body = {{"message", error.message},
                       {"type", error_type(error.status)},
                       {"param", parameter},
                       {"code", error.code},
                       {"outcome", outcome_name(error.outcome)}};
    return dump({{"error", body}});
}

std::string models_body(const config::fleet& fleet, const config::organisation_spec& caller)
{
    json models = json::array();
    for (const config::service_spec& service : fleet.services) {
        const bool allowed = caller.services.empty() ||
                             std::count(caller.services.begin(), caller.services.end(), service.id) > 0;
        if (service.kind == config::service_kind::model && allowed) {
            models.push_back(
                {{"id", service.id}, {"object", "model"}, {"created", 0}, {"owned_by", fleet.name}});
        }
    }
    return dump({{"object", "list"}, {"data", std::move(models)}}) + "\n";
}

std::string_view outcome_name(core::request_outcome outcome)
{
    static constexpr std::array<std::string_view, 3> names = {"answered", "not_run", "unknown"};
    return names[static_cast<std::size_t>(outcome)];
}

} // namespace currantspar::io::openai
