#include "front_routes.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include <strings.h>

#include "currantspar/base/hash.hpp"
#include "currantspar/base/wire_text.hpp"

namespace currantspar::io {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_forbidden = 403;
constexpr int status_not_found = 404;
constexpr int status_method_not_allowed = 405;
constexpr int status_too_large = 413;
constexpr std::size_t idempotency_key_most = 255;

tl::unexpected<openai::api_error> refuse(int status, std::string code, std::string message)
{
    openai::api_error error;
    error.status = status;
    error.code = std::move(code);
    error.message = std::move(message);
    return tl::unexpected<openai::api_error>(std::move(error));
}

struct fixed_route
{
    std::string_view path;
    std::string_view method;
    route_kind kind;
};

constexpr std::array<fixed_route, 3> fixed_routes = {{
    {"/v1/completions", "POST", route_kind::completions},
    {"/v1/chat/completions", "POST", route_kind::chat_completions},
    {"/v1/models", "GET", route_kind::models},
}};

bool is_below(std::string_view path, const std::string& prefix)
{
    const bool whole_part =
        path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
    return !prefix.empty() && path.starts_with(prefix) && whole_part;
}

const config::service_spec* find_plain_service(const config::fleet& fleet, std::string_view path)
{
    const config::service_spec* best = nullptr;
    for (const config::service_spec& service : fleet.services) {
        const bool fits = service.kind == config::service_kind::plain && is_below(path, service.path);
        if (fits && (best == nullptr || service.path.size() > best->path.size())) {
            best = &service;
        }
    }
    return best;
}

bool may_use(const config::organisation_spec& caller, const service_id& service)
{
    return caller.services.empty() ||
           std::find(caller.services.begin(), caller.services.end(), service) != caller.services.end();
}

/// Dot segments would let a call pass under another call's rule.
bool has_dot_segment(std::string_view path)
{
    while (!path.empty()) {
        const std::size_t end = std::min(path.find('/'), path.size());
        const std::string_view part = path.substr(0, end);
        if (part == "." || part == "..") {
            return true;
        }
        path.remove_prefix(std::min(end + 1, path.size()));
    }
    return false;
}

const config::organisation_spec* authenticate(const config::fleet& fleet, MHD_Connection* connection)
{
    const std::string authorization = request_header(connection, "Authorization");
    constexpr std::string_view scheme = "Bearer ";
    if (strncasecmp(authorization.c_str(), scheme.data(), scheme.size()) != 0) {
        return nullptr;
    }
    return fleet.find_organisation(sha256_hex(fleet.key_salt + authorization.substr(scheme.size())));
}

std::optional<openai::api_error> check_length(MHD_Connection* connection, std::size_t most)
{
    const std::string declared = request_header(connection, "Content-Length");
    std::uint64_t length = 0;
    const char* const end = declared.data() + declared.size();
    const auto [stop, problem] = std::from_chars(declared.data(), end, length);
    if (!declared.empty() && problem == std::errc() && stop == end && length > most) {
        return refuse(status_too_large, "body_too_large",
                      "the body has more than " + std::to_string(most) + " bytes")
            .value();
    }
    return std::nullopt;
}

tl::expected<front_route, openai::api_error> match(const config::fleet& fleet, std::string_view method,
                                                   std::string_view path)
{
    front_route route;
    const auto fixed = std::find_if(fixed_routes.begin(), fixed_routes.end(),
                                    [&](const fixed_route& candidate) { return candidate.path == path; });
    if (fixed != fixed_routes.end()) {
        if (fixed->method != method) {
            return refuse(status_method_not_allowed, "method_not_allowed",
                          "use " + std::string(fixed->method) + " here");
        }
        route.kind = fixed->kind;
        return route;
    }
    route.kind = route_kind::plain;
    route.service = find_plain_service(fleet, path);
    if (route.service == nullptr) {
        return refuse(status_not_found, "not_found", "there is nothing under this path");
    }
    if (has_dot_segment(path)) {
        return refuse(status_bad_request, "invalid_path", "the path has '.' or '..' segments");
    }
    return route;
}

/// Headers of one connection only, and those that name or authenticate the caller to this system alone.
bool passes_on(const char* name)
{
    static constexpr std::array<const char*, 13> held = {"connection",
                                                         "keep-alive",
                                                         "transfer-encoding",
                                                         "upgrade",
                                                         "content-length",
                                                         "host",
                                                         "authorization",
                                                         "expect",
                                                         "te",
                                                         "trailer",
                                                         "proxy-authorization",
                                                         "proxy-connection",
                                                         "proxy-authenticate"};
    return std::none_of(held.begin(), held.end(),
                        [&](const char* other) { return strcasecmp(name, other) == 0; });
}

MHD_Result collect_header(void* to, MHD_ValueKind, const char* name, const char* value)
{
    if (passes_on(name)) {
        static_cast<std::vector<http_header>*>(to)->push_back({name, value == nullptr ? "" : value});
    }
    return MHD_YES;
}

} // namespace

std::string request_header(MHD_Connection* connection, const char* name)
{
    const char* const value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
    return value == nullptr ? std::string() : std::string(value);
}

tl::expected<front_route, openai::api_error> find_route(const config::fleet& fleet,
                                                        MHD_Connection* connection, std::string_view method,
                                                        std::string_view path, std::size_t max_body_bytes)
{
    const config::organisation_spec* const caller = authenticate(fleet, connection);
    if (caller == nullptr) {
        return refuse(status_unauthorized, "invalid_api_key",
                      "give a known API key as 'Authorization: Bearer KEY'");
    }
    auto route = match(fleet, method, path);
    if (!route) {
        return route;
    }
    route->caller = caller;
    if (route->service != nullptr && !may_use(*caller, route->service->id)) {
        return refuse(status_forbidden, "service_not_allowed", "this API key may not use the service");
    }
    if (request_header(connection, "Idempotency-Key").size() > idempotency_key_most) {
        return refuse(status_bad_request, "invalid_idempotency_key",
                      "the Idempotency-Key has more than " + std::to_string(idempotency_key_most) +
                          " characters");
    }
    if (auto too_large = check_length(connection, max_body_bytes)) {
        return tl::unexpected<openai::api_error>(std::move(*too_large));
    }
    return route;
}

const config::service_spec* find_model_service(const config::fleet& fleet,
                                               const config::organisation_spec& caller,
                                               const std::string& model)
{
    const config::service_spec* by_model = nullptr;
    for (const config::service_spec& service : fleet.services) {
        if (service.kind != config::service_kind::model || !may_use(caller, service.id)) {
            continue;
        }
        if (service.id.str() == model) {
            return &service;
        }
        if (service.load.model == model && by_model == nullptr) {
            by_model = &service;
        }
    }
    return by_model;
}

call_ptr make_call(MHD_Connection* connection, const std::string& method, const std::string& uri,
                   std::string body, const front_route& route, const request_id& id)
{
    auto call = std::make_shared<call_body>();
    call->method = method;
    call->path = uri;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &collect_header, &call->headers);
    call->headers.push_back({"Currantspar-Organisation", route.caller->id.str()});
    call->headers.push_back({"Currantspar-Request", id.str()});
    const bool has_body = !body.empty() || !request_header(connection, "Content-Length").empty() ||
                          !request_header(connection, "Transfer-Encoding").empty();
    if (has_body) {
        call->body = std::make_shared<const std::string>(std::move(body));
    }
    return call;
}

result<void> check_call(const call_body& call)
{
    if (!call.path.starts_with('/')) {
        return fail(error_kind::invalid, "the target isn't a path: " + escaped_excerpt(call.path));
    }
    http_request request;
    request.method = call.method;
    request.url = call.path;
    request.headers = call.headers;
    return check_request(request);
}

core::call_arrived make_call_arrived(MHD_Connection* connection, const std::string& path,
                                     const call_body& call, const front_route& route, const request_id& id)
{
    core::call_arrived arrived;
    arrived.request = id;
    arrived.organisation = route.caller->id;
    arrived.service = route.service->id;
    arrived.method = call.method;
    arrived.path = path.substr(std::min(path.size(), route.service->path.size()));
    arrived.idempotency_key = request_header(connection, "Idempotency-Key");
    if (!arrived.idempotency_key.empty()) {
        const std::uint64_t head = fast_hash(call.method + "\n" + call.path);
        arrived.request_digest = call.body ? fast_hash(*call.body, head) : head;
    }
    return arrived;
}

} // namespace currantspar::io
