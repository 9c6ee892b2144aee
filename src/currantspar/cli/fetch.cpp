#include "fetch.hpp"

#include <array>
#include <cctype>
#include <future>

#include "currantspar/io/whole_answer.hpp"

namespace currantspar::cli {

namespace {

constexpr std::size_t answer_bytes_most = 256U << 20U;

using answer_future = std::future<io::whole_answer>;

/// An address copied from a browser or from `demo`'s lines has a scheme and a slash.
std::string without_scheme(std::string_view address)
{
    constexpr std::string_view scheme = "http://";
    if (address.starts_with(scheme)) {
        address.remove_prefix(scheme.size());
    }
    if (address.ends_with('/')) {
        address.remove_suffix(1);
    }
    return std::string(address);
}

answer_future start_get(io::http_client& client, const std::string& address, const std::string& path,
                        duration limit)
{
    const auto promise = std::make_shared<std::promise<io::whole_answer>>();
    io::http_request request;
    request.url = "http://" + without_scheme(address) + path;
    request.idle_limit = limit;
    request.new_connection = true;
    client.start(std::move(request),
                 io::collect_answer(answer_bytes_most, [promise](const io::whole_answer& answer) {
                     promise->set_value(answer);
                 }));
    return promise->get_future();
}

result<nlohmann::json> to_json_answer(const io::whole_answer& answer, const std::string& address,
                                      const std::string& path)
{
    if (answer.end.how != io::transfer_result::complete) {
        return fail(error_kind::unavailable, address + path + ": no answer" +
                                                 (answer.end.reason.empty() ? "" : ", " + answer.end.reason));
    }
    if (!answer.ok()) {
        return fail(error_kind::unavailable,
                    address + path + ": status " + std::to_string(answer.end.status) + " " + answer.body);
    }
    nlohmann::json body = answer.json();
    if (body.is_discarded()) {
        return fail(error_kind::unavailable, address + path + ": the answer isn't JSON");
    }
    return body;
}

result<node::node_status> to_status(const result<nlohmann::json>& body, const std::string& address)
{
    if (!body) {
        return tl::unexpected(body.error());
    }
    auto status = io::read_json<node::node_status>(*body);
    if (!status) {
        return fail(error_kind::unavailable, address + ": the status can't be read");
    }
    return std::move(*status);
}

} // namespace

result<nlohmann::json> fetch_json(io::http_client& client, const std::string& address,
                                  const std::string& path, duration limit)
{
    return to_json_answer(start_get(client, address, path, limit).get(), address, path);
}

std::vector<node_answer> fetch_statuses(io::http_client& client, const std::vector<std::string>& addresses)
{
    std::vector<answer_future> started;
    started.reserve(addresses.size());
    for (const std::string& address : addresses) {
        started.push_back(start_get(client, address, "/status", admin_limit));
    }
    std::vector<node_answer> answers;
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        const auto body = to_json_answer(started[i].get(), addresses[i], "/status");
        answers.push_back({addresses[i], to_status(body, addresses[i])});
    }
    return answers;
}

std::string url_encoded(const std::string& text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.') {
            out += c;
        } else {
            out += {'%', digits[byte >> 4U], digits[byte & 15U]};
        }
    }
    return out;
}

} // namespace currantspar::cli
