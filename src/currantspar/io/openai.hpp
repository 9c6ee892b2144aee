#ifndef CURRANTSPAR_IO_OPENAI_HPP
#define CURRANTSPAR_IO_OPENAI_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "currantspar/config/fleet.hpp"
#include "currantspar/core/effect.hpp"

namespace currantspar::io::openai {

/// An error as callers see it.
struct api_error
{
    int status = 400;
    std::string code;      ///< machine-readable, such as `invalid_api_key`
    std::string message;   ///< for people
    std::string parameter; ///< the member of the body that is wrong; empty: none
    core::request_outcome outcome = core::request_outcome::not_run;
    duration retry_after{}; ///< 0: not said
};

/// Which of the two interfaces a request came by.
enum class answer_style
{
    completion,
    chat,
};

/// A request to a model service.
struct model_request
{
    answer_style style = answer_style::completion;
    std::string model;
    std::string prompt;
    std::uint32_t max_tokens = 0;
    bool stream = false;
};

/// What all parts of one answer have in common.
struct answer_context
{
    answer_style style = answer_style::completion;
    std::string id;
    std::string model;
    std::int64_t created = 0; ///< seconds of the wall clock
    std::uint32_t prompt_tokens = 0;
};

/// Reads the body of `/v1/completions` or `/v1/chat/completions`. Thread safe.
[[nodiscard]] tl::expected<model_request, api_error> parse_request(answer_style style, std::string_view body);

/// One server-sent event with some tokens. Thread safe.
[[nodiscard]] std::string token_event(const answer_context& context, const core::reply_tokens& tokens);
/// The events that end a streamed answer. Thread safe.
[[nodiscard]] std::string end_events(const answer_context& context, const core::reply_end& end);
/// The event that ends a streamed answer which failed in the middle. Thread safe.
[[nodiscard]] std::string error_event(const api_error& error);
/// The body of a whole answer. Thread safe.
[[nodiscard]] std::string whole_body(const answer_context& context, const std::string& text,
                                     const core::reply_end& end);
/// The body of an error. Thread safe.
[[nodiscard]] std::string error_body(const api_error& error);
/// The body of `/v1/models`: the model services that the organisation may use. Thread safe.
[[nodiscard]] std::string models_body(const config::fleet& fleet, const config::organisation_spec& caller);

/// `answered`, `not_run` or `unknown`. Thread safe.
[[nodiscard]] std::string_view outcome_name(core::request_outcome outcome);

} // namespace currantspar::io::openai

#endif
