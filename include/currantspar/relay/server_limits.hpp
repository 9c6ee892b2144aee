#ifndef CURRANTSPAR_RELAY_SERVER_LIMITS_HPP
#define CURRANTSPAR_RELAY_SERVER_LIMITS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "currantspar/relay/model.hpp"

namespace currantspar::relay {

/// What a server last said of the requests that it accepts; ages, so that it can be sent to other nodes.
struct limit_report
{
    backend_id server;
    std::int64_t server_started_ms = 0; ///< tells a server's incarnations apart
    std::optional<double> per_second;   ///< from all nodes together; nothing: it has no limit any more
    duration age{};                     ///< since it said so
};

/// A change of what this node believes about a server's limit, for the log.
struct limit_change
{
    backend_id server;
    std::optional<double> per_second; ///< nothing: it has no limit any more
    double own_share = 0;             ///< requests a second that this node may send
    std::string source;               ///< the peer that reported it; empty: this node
};

struct server_limits_options
{
    /// Nodes that share a limit, beyond one for each request a second: each may send one request early.
    double spare_nodes = 3;
    /// Sent to a server whose limit is lower, or nobody would hear when the limit ends. In requests a second.
    double min_rate = 0.25;
    /// A node that had nothing to send for a moment may send so much of its share later.
    duration max_saved = std::chrono::milliseconds(500);
    duration ended_retention =
        std::chrono::seconds(10); ///< how long older reports of an ended limit may arrive
    /// A limit is forgotten when no node has heard of its server for this long.
    duration max_silence = std::chrono::minutes(10);
    std::size_t max_reported = 64; ///< in one report
};

/// The limits that servers name in their responses, and this node's share of each.
///
/// A limit holds for all nodes together. The nodes that share it are the first few of all live nodes in an
/// order that rendezvous hashing makes the same everywhere without communication; each of them spaces its
/// requests evenly, and the others send none. So however many nodes there are, a span of t seconds brings a
/// server at most its limit for t + max_saved, and one request for each sharing node. Nodes report limits to
/// each other; the latest word of a server holds. Not thread safe.
class server_limits
{
public:
    explicit server_limits(server_limits_options options = {}) : options_(options) {}

    /// A response of `server` to a request that was sent at `sent` named this limit, or none.
    void on_response(const server_entry& server, std::optional<double> per_second, instant sent, instant now);
    /// A peer reported what `server` said. Repeated, late and reordered reports do no harm.
    void on_peer_report(const server_entry& server, const limit_report& report, const std::string& peer,
                        instant now);
    /// A server's entry was read in the store: its limit ends if the server has restarted.
    void on_entry(const server_entry& server);
    /// Sets the names of this node and of all live nodes, with or without this one.
    void set_nodes(const std::string& self, const std::vector<std::string>& nodes, instant now);

    /// Returns whether this node may send `server` a request now.
    [[nodiscard]] bool admits(const backend_id& server, instant now) const;
    /// Returns when this node may next send `server` a request; nothing: only other nodes may.
    [[nodiscard]] std::optional<instant> next_admission(const backend_id& server, instant now) const;
    /// This node sends `server` a request, for whatever reason.
    void on_sent(const backend_id& server, instant now);

    /// Returns what peers have to know: everything if `full`, otherwise what is new since the last call. What
    /// doesn't fit into a full report is in the next ones.
    [[nodiscard]] std::vector<limit_report> make_report(bool full, instant now);
    /// Returns the changes since the last call.
    [[nodiscard]] std::vector<limit_change> take_changes();
    /// Discards ended limits that no report can bring back any more, and those of servers that are silent.
    void on_tick(instant now);
    /// Returns the number of servers with a limit.
    [[nodiscard]] std::size_t size() const;

private:
    struct limit
    {
        std::int64_t started_ms = 0;
        std::optional<double> per_second;
        instant said{};
        bool shared = false;     ///< whether this node may send
        duration interval{};     ///< between two of this node's requests
        instant next{};          ///< when this node may send the next one
        bool is_reported = true; ///< whether the peers were told
    };

    /// Adopts what a server said at `said`, unless it has said something later. Returns whether it is another
    /// limit than before.
    bool adopt(const server_entry& server, std::optional<double> per_second, instant said,
               const std::string& source, instant now);
    void update_share(const backend_id& server, limit& state, instant now) const;
    [[nodiscard]] static limit_report report(const backend_id& server, limit& state, instant now);
    /// The number of live nodes that come before this one in the order of those that share the server's
    /// limit.
    [[nodiscard]] std::size_t rank(const backend_id& server) const;

    server_limits_options options_;
    std::uint64_t self_ = 0;
    std::vector<std::uint64_t> peers_; ///< hashes of their names
    std::map<backend_id, limit> limits_;
    std::vector<limit_change> changes_;
    backend_id last_reported_; ///< in a full report
};

} // namespace currantspar::relay

#endif
