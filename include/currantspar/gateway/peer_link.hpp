#ifndef CURRANTSPAR_GATEWAY_PEER_LINK_HPP
#define CURRANTSPAR_GATEWAY_PEER_LINK_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <ace/SOCK_Dgram.h>

#include "currantspar/base/result.hpp"
#include "currantspar/base/time.hpp"
#include "currantspar/gateway/load_digest.hpp"
#include "currantspar/io/log_limiter.hpp"

namespace currantspar::gateway {

struct peer_link_options
{
    duration delta_period = std::chrono::milliseconds(4); ///< min time between delta digests
    duration delta_period_per_peer =
        std::chrono::microseconds(400); ///< min time between delta digests per known peer, if longer in total
    /// Min time between delta digests to other data centres that tell of load only, times the square of the
    /// number of known peers: so many pairs of nodes share the links between data centres.
    duration remote_period_per_pair{};
    duration full_period =
        std::chrono::seconds(1); ///< between full digests, which repair the loss of delta digests
    duration peer_timeout = std::chrono::seconds(8); ///< a peer without a digest for this long is removed
    /// A node without a digest for this long takes no part in what the nodes share: three full ones were
    /// lost.
    duration recent = std::chrono::milliseconds(3500);
    double min_change_ms = 8; ///< smaller changes of the pending prefill time aren't sent at once
    /// Ended requests alone wait for so many delta periods to be sent with something else: peers only
    /// overestimate the load meanwhile, and a digest of its own for each costs a third of all traffic.
    int release_delay_periods = 0;
    /// A peer whose wall clock was set back before it restarted is heard once its former process was silent
    /// for this long: a live one sends a full digest each full_period, and two of them may be lost.
    duration incarnation_timeout = std::chrono::seconds(3);
};

/// Announces this node's load at each engine to the other nodes, by datagrams that may be lost. Not thread
/// safe.
class peer_link : public ACE_Event_Handler
{
public:
    using digest_handler = std::function<void(const load_digest&)>;

    peer_link(ACE_Reactor& reactor, peer_link_options options, digest_handler received);
    ~peer_link() override;

    /// Starts receiving at `IP:port`; sent digests name `data_centre` as this node's.
    [[nodiscard]] result<void> open(const std::string& address, const data_centre_id& data_centre);
    /// Adds a node that digests are sent to.
    void add_peer(const std::string& address, instant now);
    /// True when the minimum time since the last digest has passed.
    [[nodiscard]] bool due(instant now) const { return !self_.empty() && now >= delta_due_; }
    /// Sends a full digest when one is due, otherwise what has changed since the last digest, if anything.
    /// Precondition: due().
    void send_digest(relay::engine_choice& work, relay::segment_quarantine& quarantine,
                     relay::server_limits& limits, std::uint64_t configuration,
                     std::optional<relay::directory_update> servers, instant now);
    /// Sends a digest to those of the known peers that are named, and to nobody else. What tells the sender
    /// and its state is filled in.
    void send_to(const std::vector<std::string>& addresses, load_digest digest);
    /// From now on, full digests tell this node's wall clock, and that all usage windows up to this one were
    /// reported.
    void announce_usage(std::uint64_t reported_window) { reported_window_ = reported_window; }
    /// The minimum time between two delta digests to the known peers.
    [[nodiscard]] duration digest_period() const;
    /// The same for peers in other data centres.
    [[nodiscard]] duration remote_digest_period() const;
    /// How old the view of the peers' load is on average.
    [[nodiscard]] duration view_lag() const;
    /// The number of live nodes, including this one.
    [[nodiscard]] std::size_t live_nodes() const { return peers_.size() + 1; }
    /// The addresses of the other nodes that were heard of lately; sooner without a node that has ended than
    /// live_nodes().
    [[nodiscard]] std::vector<std::string> recent_peers(instant now) const;
    /// The number of live nodes before this one in the order of peer addresses, which is the same on all
    /// nodes.
    [[nodiscard]] std::size_t rank() const;

    ACE_HANDLE get_handle() const override { return socket_.get_handle(); }
    int handle_input(ACE_HANDLE) override;
    int handle_close(ACE_HANDLE, ACE_Reactor_Mask) override { return 0; }

private:
    struct peer
    {
        ACE_INET_Addr address;
        instant last_received{};
        std::uint64_t incarnation = 0; ///< 0: unknown
        std::uint64_t sequence = 0;    ///< of the last digest that counted
        instant last_counted{};
        data_centre_id data_centre{}; ///< empty: unknown
    };

    /// Which peers a digest goes to.
    enum class audience
    {
        all,
        local,  ///< of this data centre, and those of which none is known
        remote, ///< of other data centres
    };

    void receive(std::string_view bytes);
    /// Adds the loads that have changed since they were sent; returns whether peers must learn of them at
    /// once.
    bool add_changes(const relay::engine_loads& own, load_digest& digest) const;
    /// Returns whether a digest tells of engines' load and cached segments only.
    [[nodiscard]] bool tells_load_only(const load_digest& digest) const;
    /// Returns whether a digest tells of nothing that can't wait any longer.
    [[nodiscard]] bool may_wait(const load_digest& digest, bool is_urgent, instant now);
    /// Returns whether a digest is older than what is known of its sender.
    [[nodiscard]] bool is_outdated(const load_digest& digest, const peer& known, instant now) const;
    /// Sends a digest, in several datagrams if it is too large for one.
    void send(load_digest digest, const std::vector<const ACE_INET_Addr*>& receivers);
    void send_to_peers(load_digest digest, audience to);
    [[nodiscard]] bool is_remote(const peer& known) const;
    /// Sends what tells of load only to the peers of this data centre, and keeps it for the others until
    /// they are due.
    void send_load(load_digest digest, instant now);
    /// Sends what was kept for other data centres.
    void flush_remote(instant now);
    void flush_remote_if_due(instant now);
    void remove_inactive_peers(instant now);

    ACE_Reactor& reactor_;
    peer_link_options options_;
    digest_handler received_;
    ACE_SOCK_Dgram socket_;
    std::string self_;
    data_centre_id data_centre_;
    std::map<std::string, peer> peers_;
    relay::engine_loads sent_loads_;
    std::uint64_t sent_configuration_ = 0;
    std::optional<std::uint64_t> reported_window_; ///< empty: digests tell nothing of usage
    std::uint64_t incarnation_ = 0;
    std::uint64_t sequence_ = 0;
    instant delta_due_{};
    instant full_due_{};
    std::optional<load_digest> remote_pending_; ///< load that other data centres don't know yet
    instant remote_due_{};
    io::log_limiter unreadable_lines_;
    std::optional<instant> release_due_; ///< when ended requests are sent even if nothing else is
};

} // namespace currantspar::gateway

#endif
