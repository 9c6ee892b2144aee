#ifndef CURRANTSPAR_GATEWAY_QUESTION_SERVER_HPP
#define CURRANTSPAR_GATEWAY_QUESTION_SERVER_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "currantspar/gateway/caller_connection.hpp"
#include "listener.hpp"

namespace currantspar::gateway {

/// Answers requests that a function can answer at once: the load balancer's question and the metrics.
/// Not thread safe.
class question_server : public caller_sink
{
public:
    using handler = std::function<http_answer(const http_request&)>;

    question_server(ACE_Reactor& reactor, handler answer);
    ~question_server() override;

    /// Begins to listen at `IP:port`.
    [[nodiscard]] result<void> open(const std::string& address) { return listener_.open(address); }
    /// Frees connections that were closed.
    void on_tick() { closed_.clear(); }

private:
    void accept(ACE_SOCK_Stream& accepted);
    void request_arrived(caller_connection& from, http_request request) override;
    void request_malformed(int) override {}
    void connection_closed(caller_connection& closed) override;

    ACE_Reactor& reactor_;
    handler answer_;
    listener listener_;
    std::map<caller_connection*, std::unique_ptr<caller_connection>> connections_;
    std::vector<std::unique_ptr<caller_connection>> closed_;
};

} // namespace currantspar::gateway

#endif
