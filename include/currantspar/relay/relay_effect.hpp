#ifndef CURRANTSPAR_RELAY_RELAY_EFFECT_HPP
#define CURRANTSPAR_RELAY_RELAY_EFFECT_HPP

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "currantspar/relay/model.hpp"

namespace currantspar::relay {

/// What an attempt asks a server to do.
enum class attempt_stage
{
    full_request, ///< run the request
    prefill_only, ///< only compute the prompt and keep it for another engine
    decode_only,  ///< run the request from a prompt that another engine has computed
};

/// Send a request to a server.
struct start_attempt
{
    attempt_id attempt;
    request_number request;
    std::string request_id; ///< the caller's name of the request, echoed by the server
    bool stream = false;    ///< a success is a stream of events
    backend_id server;
    std::string address;
    attempt_stage stage = attempt_stage::full_request;
    std::string handle;         ///< with decode_only: the computed prompt at `handle_address`
    std::string handle_address; ///< with decode_only
    duration time_left{};       ///< until the caller stops waiting
    unsigned priority = 0;      ///< 0 is served first
    std::string resume_after;   ///< id of the last event that the caller has; empty: from the start
};

/// Give an attempt up: its connection is closed and what it sends is dropped.
struct cancel_attempt
{
    attempt_id attempt;
};

/// Pass the head of the attempt's answer and all its events on to the caller, as they come.
struct open_response
{
    request_number request;
    attempt_id attempt;
    bool with_head = true; ///< false: the caller has the head of an earlier attempt
};

/// The stream that the caller gets is whole.
struct end_response
{
    request_number request;
};

/// The answer can't be finished: close the caller's connection so that it doesn't look whole.
struct abort_response
{
    request_number request;
};

/// Pass the attempt's whole answer on to the caller.
struct deliver_response
{
    request_number request;
    attempt_id attempt;
};

/// Answer the caller in the relay's own name.
struct reply
{
    request_number request;
    int status = 503;
    duration retry_after{}; ///< 0: not said
    std::string reason;
};

/// Free a computed prompt that no engine will take over.
struct free_kv_cache
{
    std::string address; ///< of the engine that computed it
    std::string handle;
};

/// A decision about a request, for the log.
struct log_decision
{
    std::string event;
    std::string request_id;
    std::vector<std::pair<std::string, std::string>> fields;
};

/// Everything that the relay can ask for.
using relay_effect = std::variant<start_attempt, cancel_attempt, open_response, end_response, abort_response,
                                  deliver_response, reply, free_kv_cache, log_decision>;

using relay_effects = std::vector<relay_effect>;

} // namespace currantspar::relay

#endif
