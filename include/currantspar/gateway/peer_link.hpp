#ifndef CURRANTSPAR_GATEWAY_PEER_LINK_HPP
#define CURRANTSPAR_GATEWAY_PEER_LINK_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <ace/SOCK_Dgram.h>

#include "currantspar/base/result.hpp"
#include "currantspar/base/time.hpp"
#include "currantspar/relay/engine_choice.hpp"

namespace currantspar::gateway {

/// What one node tells the others about its work, decoded.
struct load_digest
{
    std::string sender; ///< the node's peer address
    std::uint64_t sequence = 0;
    bool whole = false; ///< all of the sender's work; otherwise only what changed
    relay::engine_loads engines;
    std::vector<relay::cached_part> parts; ///< read for the sender lately
    std::uint64_t configuration = 0;       ///< version in force at the sender; 0: none
};

/// The bytes of a digest. Thread safe.
[[nodiscard]] std::string encode_digest(const load_digest& digest);
/// Reads a digest; an error of kind `invalid` when the bytes hold none. Thread safe.
[[nodiscard]] result<load_digest> decode_digest(std::string_view bytes);

struct peer_link_options
{
    duration news_period = std::chrono::milliseconds(4); ///< least time between digests of what changed
    duration news_period_per_peer =
        std::chrono::microseconds(400);              ///< the same for each peer, when there are many
    duration whole_period = std::chrono::seconds(1); ///< between whole digests, which mend lost ones
    duration peer_timeout = std::chrono::seconds(8); ///< a peer that isn't heard for so long is left out
    double least_change_ms = 8;                      ///< smaller changes of the reading work wait
};

/// Tells the other nodes what work this one has at each engine, in datagrams that may be lost. Not thread
/// safe.
class peer_link : public ACE_Event_Handler
{
public:
    using digest_handler = std::function<void(const load_digest&)>;

    peer_link(ACE_Reactor& reactor, peer_link_options options, digest_handler received);
    ~peer_link() override;

    /// Begins to receive at `IP:port`.
    [[nodiscard]] result<void> open(const std::string& address);
    /// Digests go to this node from now on.
    void add_peer(const std::string& address, instant now);
    /// Sends what is due.
    void on_tick(relay::engine_choice& own, std::uint64_t configuration, instant now);
    /// Nodes heard lately, this one included.
    [[nodiscard]] std::size_t live_nodes() const { return peers_.size() + 1; }
    /// How many live nodes come before this one in the order that all nodes agree on.
    [[nodiscard]] std::size_t place() const;

    ACE_HANDLE get_handle() const override { return socket_.get_handle(); }
    int handle_input(ACE_HANDLE) override;
    int handle_close(ACE_HANDLE, ACE_Reactor_Mask) override { return 0; }

private:
    struct peer
    {
        ACE_INET_Addr address;
        instant heard{};
        std::uint64_t sequence = 0;
    };

    void receive(std::string_view bytes);
    void send(const load_digest& digest);
    void forget_silent(instant now);

    ACE_Reactor& reactor_;
    peer_link_options options_;
    digest_handler received_;
    ACE_SOCK_Dgram socket_;
    std::string self_;
    std::map<std::string, peer> peers_;
    relay::engine_loads told_;
    std::uint64_t told_configuration_ = 0;
    std::uint64_t sequence_ = 0;
    instant news_due_{};
    instant whole_due_{};
};

} // namespace currantspar::gateway

#endif
