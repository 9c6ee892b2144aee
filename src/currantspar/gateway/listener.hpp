#ifndef CURRANTSPAR_GATEWAY_LISTENER_HPP
#define CURRANTSPAR_GATEWAY_LISTENER_HPP

#include <functional>

#include <ace/Event_Handler.h>
#include <ace/SOCK_Acceptor.h>

#include "currantspar/base/result.hpp"

namespace currantspar::gateway {

/// Accepts connections at one address. Not thread safe.
class listener : public ACE_Event_Handler
{
public:
    using accept_handler = std::function<void(ACE_SOCK_Stream&)>;

    listener(ACE_Reactor& reactor, accept_handler accepted);
    ~listener() override;

    /// Starts accepting at `IP:port`.
    [[nodiscard]] result<void> open(const std::string& address);
    void close();

    ACE_HANDLE get_handle() const override { return acceptor_.get_handle(); }
    int handle_input(ACE_HANDLE) override;
    int handle_close(ACE_HANDLE, ACE_Reactor_Mask) override { return 0; }

private:
    ACE_Reactor& reactor_;
    ACE_SOCK_Acceptor acceptor_;
    accept_handler accepted_;
};

} // namespace currantspar::gateway

#endif
