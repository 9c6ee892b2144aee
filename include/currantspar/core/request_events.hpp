#ifndef CURRANTSPAR_CORE_REQUEST_EVENTS_HPP
#define CURRANTSPAR_CORE_REQUEST_EVENTS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "currantspar/base/ids.hpp"
#include "currantspar/base/json.hpp"
#include "currantspar/base/time.hpp"
#include "currantspar/base/wire_text.hpp"

namespace currantspar::core {

/// A caller's request to a model service, authenticated and parsed. The adapter keeps the body under
/// `request` until the request ends.
struct generate_arrived
{
    request_id request;
    organisation_id organisation;
    service_id service;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output = 0;
    std::vector<std::uint64_t> prefix_pieces;
    bool stream = false;
    engine_request_id engine_request; ///< secret from the adapter; each attempt's request id derives from it
};

/// A caller reconnected to a stream with `Last-Event-ID`. The core verifies `token`, see stream_token.hpp.
struct stream_resumed
{
    request_id request;
    organisation_id organisation;
    service_id service;
    std::string token;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output = 0;
    std::vector<std::uint64_t> prefix_pieces;
};

/// A caller's request to a plain service. The adapter keeps the body.
struct call_arrived
{
    request_id request;
    organisation_id organisation;
    service_id service;
    std::string method;
    std::string path;                 ///< below the service's path
    std::string idempotency_key;      ///< empty: none
    std::uint64_t request_digest = 0; ///< of method, path and body; only with a key
    bool body_replayable = true;      ///< the adapter holds the complete body and can send it again
};

/// The caller closed its connection before the response ended.
struct caller_gone
{
    request_id request;
};

/// The first byte of an attempt was written: it may run from now on.
struct attempt_written
{
    attempt_id attempt;
};

/// The engine accepted the attempt.
struct attempt_accepted
{
    attempt_id attempt;
    engine_time at{};
};

/// Tokens of a response arrived. `engine_request` is the request name that the engine returned; the core
/// compares it with that of the attempt.
struct attempt_tokens
{
    attempt_id attempt;
    engine_request_id engine_request;
    std::uint32_t position = 0; ///< of the first token, 0 is the first of the response
    std::vector<std::string> tokens;
};

enum class attempt_result
{
    complete,    ///< the end marker or the declared length was received
    not_written, ///< no byte was written: the attempt didn't run
    refused,     ///< the engine or backend server refused it before running: full, closed, unknown request
    broken,      ///< the response ended early or failed
    silent,      ///< nothing arrived within the idle limit
    wrong,       ///< the response belongs to another request or can't be parsed
};

/// An attempt ended.
struct attempt_ended
{
    attempt_id attempt;
    engine_request_id engine_request;
    attempt_result how = attempt_result::complete;
    std::uint32_t total_tokens = 0; ///< model services, when complete
    std::string finish_reason;      ///< model services: `stop` or `length`
    int status = 0;                 ///< HTTP status, 0: none was received
    std::string content_type;       ///< plain services with a key, for the recorded outcome
    std::string body;               ///< plain services with a key, up to the limit
    bool body_kept = true;
};

/// The response head of a plain service arrived; the adapter holds the body until forward_answer.
struct answer_head
{
    attempt_id attempt;
    int status = 0;
};

enum class kv_step
{
    exported,
    imported,
    failed,
};

/// A step of a request's KV cache transfer between engines ended.
struct kv_moved
{
    attempt_id attempt;
    kv_step step = kv_step::exported;
    currantspar::kv_handle handle; ///< of the exported KV cache; empty: none
};

NLOHMANN_JSON_SERIALIZE_ENUM(attempt_result, {{attempt_result::complete, "complete"},
                                              {attempt_result::not_written, "not_written"},
                                              {attempt_result::refused, "refused"},
                                              {attempt_result::broken, "broken"},
                                              {attempt_result::silent, "silent"},
                                              {attempt_result::wrong, "wrong"}})
NLOHMANN_JSON_SERIALIZE_ENUM(kv_step, {{kv_step::exported, "exported"},
                                       {kv_step::imported, "imported"},
                                       {kv_step::failed, "failed"}})
CURRANTSPAR_JSON(generate_arrived, request, organisation, service, prompt_tokens, max_output, prefix_pieces,
                 stream, engine_request)
CURRANTSPAR_JSON(stream_resumed, request, organisation, service, token, prompt_tokens, max_output,
                 prefix_pieces)
CURRANTSPAR_JSON(call_arrived, request, organisation, service, method, path, idempotency_key, request_digest,
                 body_replayable)
CURRANTSPAR_JSON(caller_gone, request)
CURRANTSPAR_JSON(attempt_written, attempt)
CURRANTSPAR_JSON(attempt_accepted, attempt, at)
CURRANTSPAR_JSON(attempt_tokens, attempt, engine_request, position, tokens)
CURRANTSPAR_JSON(attempt_ended, attempt, engine_request, how, total_tokens, finish_reason, status,
                 content_type, body, body_kept)
CURRANTSPAR_JSON(answer_head, attempt, status)
CURRANTSPAR_JSON(kv_moved, attempt, step, handle)

} // namespace currantspar::core

#endif
