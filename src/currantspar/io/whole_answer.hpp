#ifndef CURRANTSPAR_IO_WHOLE_ANSWER_HPP
#define CURRANTSPAR_IO_WHOLE_ANSWER_HPP

#include <functional>
#include <string>

#include "currantspar/base/json.hpp"
#include "currantspar/io/http_client.hpp"

namespace currantspar::io {

/// A small answer that was read whole.
struct whole_answer
{
    transfer_end end;
    std::string body;

    /// True for a complete answer with status 200.
    [[nodiscard]] bool ok() const;
    /// The body as JSON; discarded when it isn't.
    [[nodiscard]] nlohmann::json json() const { return nlohmann::json::parse(body, nullptr, false); }
};

/// Collects an answer of bounded size and hands it over at its end.
[[nodiscard]] std::shared_ptr<http_handler> collect_answer(std::size_t most,
                                                           std::function<void(const whole_answer&)> done);

/// Reads a value out of JSON; nothing when it doesn't fit.
template <typename T>
[[nodiscard]] std::optional<T> read_json(const nlohmann::json& from)
{
    try {
        return from.get<T>();
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace currantspar::io

#endif
