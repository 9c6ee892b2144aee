#ifndef CURRANTSPAR_GATEWAY_GATEWAY_ATTEMPT_HPP
#define CURRANTSPAR_GATEWAY_GATEWAY_ATTEMPT_HPP

#include <string>
#include <string_view>

#include "currantspar/gateway/event_splitter.hpp"
#include "gateway_node.hpp"

namespace currantspar::gateway {

/// One attempt at a server and the state of its response.
class gateway_node::attempt : public exchange_sink
{
public:
    attempt(gateway_node& node, const relay::start_attempt& effect)
        : node_(node), number(effect.attempt), request(effect.request), stage(effect.stage),
          request_id(effect.request_id), expects_stream(effect.stream), resumable(effect.resumable)
    {}

    void connection_kept(std::size_t earlier_requests) override { earlier_requests_ = earlier_requests; }
    void request_written() override { node_.core_.on_written(number); }

    bool response_head(int status, const http_fields& head) override;
    [[nodiscard]] std::size_t max_body_bytes() const override;
    void response_body(std::string_view bytes) override { node_.on_body(*this, bytes); }
    void response_complete() override { node_.on_complete(*this); }
    void request_failed(bool written, const std::string& detail) override
    {
        node_.on_failed(*this, written, detail);
    }

    /// True when the response may belong to an earlier request on the connection.
    [[nodiscard]] bool is_ambiguous() const { return earlier_requests_ > 0 && decoded.request_id.empty(); }

    /// The status of the response and where it was read, for the log.
    [[nodiscard]] std::string describe_response() const;
    /// Why the head alone rules the response out; empty when it doesn't.
    [[nodiscard]] std::string rejection() const;
    /// True when the body isn't needed, because the request is answered otherwise or sent again.
    [[nodiscard]] bool drops_body() const;
    /// The memory of what is kept until the response, or an event of it, is complete.
    [[nodiscard]] std::size_t buffered_bytes() const { return body.capacity() + events.buffered_bytes(); }

    /// True for a success status that the server verifiably sent in response to this request.
    [[nodiscard]] bool is_verified_success() const;

private:
    gateway_node& node_;
    std::size_t earlier_requests_ = 0; ///< on the connection of this attempt

public:
    attempt_id number;
    relay::request_number request;
    relay::attempt_stage stage;
    std::string request_id;
    bool expects_stream;
    bool resumable; ///< the stream may go on at another server
    bool streaming = false;
    bool usage_counted = false; ///< its run counts in the usage of its organisation
    exchange_id exchange = 0;
    relay::response_info decoded;
    http_fields fields;
    std::string body{};            ///< of a response that isn't a stream
    std::size_t counted_bytes = 0; ///< of this response, in the node's total
    event_splitter events;
};

} // namespace currantspar::gateway

#endif
