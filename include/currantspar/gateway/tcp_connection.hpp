#ifndef CURRANTSPAR_GATEWAY_TCP_CONNECTION_HPP
#define CURRANTSPAR_GATEWAY_TCP_CONNECTION_HPP

#include <string>
#include <string_view>

#include <ace/Event_Handler.h>
#include <ace/SOCK_Stream.h>

#include "currantspar/base/time.hpp"
#include "currantspar/io/address.hpp"

namespace currantspar::gateway {

/// A TCP connection that one reactor drives without blocking. Not thread safe.
class tcp_connection : public ACE_Event_Handler
{
public:
    tcp_connection(const tcp_connection&) = delete;
    tcp_connection& operator=(const tcp_connection&) = delete;
    ~tcp_connection() override;

    [[nodiscard]] bool is_open() const { return stream_.get_handle() != ACE_INVALID_HANDLE; }
    /// Bytes handed to write() that the kernel hasn't taken yet.
    [[nodiscard]] std::size_t unsent() const { return out_.size() - out_sent_; }

    ACE_HANDLE get_handle() const override { return stream_.get_handle(); }
    int handle_input(ACE_HANDLE) override;
    int handle_output(ACE_HANDLE) override;
    int handle_close(ACE_HANDLE, ACE_Reactor_Mask) override { return 0; }

protected:
    explicit tcp_connection(ACE_Reactor& reactor);

    /// Takes over an accepted connection; false: the reactor couldn't take it.
    bool adopt(ACE_SOCK_Stream& accepted);
    /// Begins to connect; on_connected or on_closed follows. False: it failed at once.
    bool connect(const io::socket_address& address);
    /// Sends or queues bytes. Nothing is sent before the connection is there.
    void write(std::string_view bytes);
    /// Closes without calling on_closed. With `reset` the peer is told by a reset.
    void close(bool reset = false);

    virtual void on_connected() {}
    /// Bytes of this connection were taken by the kernel.
    virtual void on_sent() {}
    virtual void on_bytes(std::string_view bytes) = 0;
    /// The peer closed (`reset` false) or the connection broke. The connection is closed already.
    virtual void on_closed(bool reset) = 0;

private:
    void set_options();
    bool flush();
    void set_write_interest(bool wanted);
    void handle_disconnect(bool reset);

    ACE_Reactor& reactor_;
    ACE_SOCK_Stream stream_;
    std::string out_;
    std::size_t out_sent_ = 0;
    bool connecting_ = false;
    bool write_interest_ = false;
};

} // namespace currantspar::gateway

#endif
