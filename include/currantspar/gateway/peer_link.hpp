#ifndef CURRANTSPAR_GATEWAY_PEER_LINK_HPP
#define CURRANTSPAR_GATEWAY_PEER_LINK_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <ace/SOCK_Dgram.h>

#include "currantspar/base/result.hpp"
#include "currantspar/base/time.hpp"
#include "currantspar/gateway/load_digest.hpp"

namespace currantspar::gateway {

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

    /// Begins to receive at `IP:port`; digests name `data_centre` as this node's.
    [[nodiscard]] result<void> open(const std::string& address, const data_centre_id& data_centre);
    /// Digests go to this node from now on.
    void add_peer(const std::string& address, instant now);
    /// True when a digest may be sent again.
    [[nodiscard]] bool due(instant now) const { return !self_.empty() && now >= news_due_; }
    /// Sends what has changed since the last digest, if anything. Precondition: due().
    void tell(relay::engine_choice& work, std::uint64_t configuration,
              std::optional<relay::directory_update> servers, instant now);
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
    data_centre_id data_centre_;
    std::map<std::string, peer> peers_;
    relay::engine_loads told_;
    std::uint64_t told_configuration_ = 0;
    std::uint64_t sequence_ = 0;
    instant news_due_{};
    instant whole_due_{};
};

} // namespace currantspar::gateway

#endif
