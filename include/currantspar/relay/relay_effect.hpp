#ifndef CURRANTSPAR_RELAY_RELAY_EFFECT_HPP
#define CURRANTSPAR_RELAY_RELAY_EFFECT_HPP

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "currantspar/relay/model.hpp"

namespace currantspar::relay {

/// The part of a request that an attempt executes.
enum class attempt_stage
{
    full_request, ///< prefill and decode, or a plain call
    prefill_only, ///< prefill and export the KV cache for another engine
    decode_only,  ///< decode from a KV cache that another engine has exported
};

/// Send a request to a server.
struct start_attempt
{
    attempt_id attempt;
    request_number request;
    std::string request_id; ///< the caller's identifier of the request, echoed by the server
    bool stream = false;    ///< a successful response is an event stream
    bool resumable = false; ///< the stream may go on at another server, from the id of its last event
    backend_id server;
    server_address address;
    attempt_stage stage = attempt_stage::full_request;
    kv_handle handle;               ///< with decode_only: at `handle_address`
    server_address handle_address;  ///< with decode_only
    duration time_left{};           ///< until the caller's deadline
    unsigned priority = 0;          ///< 0 is the highest
    event_id resume_after;          ///< the last event that the caller received; empty: stream from the start
    organisation_id organisation{}; ///< of the caller; empty: none is known
};

/// Cancel an attempt: close its connection and discard what arrives.
struct cancel_attempt
{
    attempt_id attempt;
};

/// Forward the head of the attempt's response and all its events to the caller as they arrive.
struct open_response
{
    request_number request;
    attempt_id attempt;
    bool with_head = true; ///< false: the caller received the head of an earlier attempt
};

/// The caller's stream is complete.
struct end_response
{
    request_number request;
};

/// The response can't be completed: close the caller's connection so that the response is seen to be
/// truncated.
struct abort_response
{
    request_number request;
};

/// Forward the attempt's complete response to the caller.
struct deliver_response
{
    request_number request;
    attempt_id attempt;
};

/// Send an error response that the relay itself generates.
struct reply
{
    request_number request;
    int status = 503;
    duration retry_after{}; ///< 0: no header
    std::string reason;
};

/// Free an exported KV cache that no decode engine will fetch.
struct free_kv_cache
{
    server_address address; ///< of the engine that holds it
    kv_handle handle;
};

/// Open a connection to a server and close it again; relay_core::on_probed gets the result.
struct probe_server
{
    backend_id server;
    server_address address;
};

/// Log a decision about a request, or about a server if `request_id` is empty.
struct log_decision
{
    std::string event;
    std::string request_id;
    std::vector<std::pair<std::string, std::string>> fields;
};

/// An action that the caller of relay_core must carry out.
using relay_effect = std::variant<start_attempt, cancel_attempt, open_response, end_response, abort_response,
                                  deliver_response, reply, free_kv_cache, probe_server, log_decision>;

using relay_effects = std::vector<relay_effect>;

} // namespace currantspar::relay

#endif
