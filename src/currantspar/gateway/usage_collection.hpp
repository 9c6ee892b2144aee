#ifndef CURRANTSPAR_GATEWAY_USAGE_COLLECTION_HPP
#define CURRANTSPAR_GATEWAY_USAGE_COLLECTION_HPP

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "currantspar/gateway/load_digest.hpp"
#include "currantspar/gateway/wire_protocol.hpp"
#include "currantspar/relay/usage_counter.hpp"
#include "currantspar/relay/usage_duty.hpp"
#include "currantspar/relay/usage_ledger.hpp"
#include "currantspar/relay/wall_clock_estimate.hpp"

namespace currantspar::gateway {

/// Counts the requests that servers began for this node, sends the counts to the collectors (the two nodes
/// with the lowest peer addresses among those heard lately), and adds up those that other nodes sent. All
/// instants are of the clock that counts while the machine is suspended. Not thread safe.
class usage_collection
{
public:
    /// Sends counts to the named nodes; they may be lost.
    using usage_sender = std::function<void(const std::vector<std::string>& collectors,
                                            const std::vector<window_usage>& counts)>;

    /// `address`: of this node for its peers; empty: it has none.
    usage_collection(const duty_settings& settings, std::string address, usage_sender send);

    /// Returns whether usage is reported in this deployment; if it isn't, nothing here has an effect.
    [[nodiscard]] bool enabled() const { return enabled_; }
    /// Returns what the holder of the duties does to report usage.
    [[nodiscard]] relay::usage_duty& duty() { return duty_; }

    /// A server began to run a request of this organisation.
    void on_begun(const organisation_id& organisation, instant now);
    void on_digest(const load_digest& digest, instant now);
    /// A response of the store named its era.
    void on_store_era(std::uint64_t era, instant now);
    /// Returns whether update() has something to do.
    [[nodiscard]] bool due(instant now) const;
    /// Chooses the collectors and sends what they don't know. `recent_peers`: the addresses of the other
    /// nodes that were heard of lately; `organisations_exist`: in the configuration in force.
    void update(const std::vector<std::string>& recent_peers, bool organisations_exist, wall_time wall,
                instant now);
    /// The process stops: counts are sent at once from now on.
    void stop(instant now);

private:
    struct collector
    {
        std::string address;
        std::uint64_t incarnation = 0;    ///< 0: unknown
        unsigned complete_sends_left = 0; ///< number of further sends of all retained counts
    };

    void choose_collectors(const std::vector<std::string>& recent_peers, instant now);
    /// Returns whether far fewer nodes are heard than a short time ago, as by a node that is cut off.
    [[nodiscard]] bool is_isolated(std::size_t nodes, instant now);
    void send_counts(instant now);
    void count_own(const std::vector<window_usage>& counts);
    [[nodiscard]] bool collects() const { return collecting_since_.has_value(); }

    bool enabled_;
    duration window_;
    std::string address_;
    usage_sender send_;
    relay::wall_clock_estimate clock_;
    relay::usage_counter counter_;
    relay::usage_ledger ledger_;
    relay::usage_duty duty_;
    std::vector<collector> collectors_; ///< other nodes
    std::optional<instant> collecting_since_;
    std::size_t most_nodes_ = 0; ///< that were heard lately
    std::optional<instant> few_nodes_since_;
    std::optional<std::uint64_t> store_era_; ///< the highest that is known
    bool era_began_ = false;                 ///< and the duty must be told so at the next update
    std::optional<instant> first_update_;
    bool stopping_ = false;
    instant update_due_{};
    instant send_due_{};
};

} // namespace currantspar::gateway

#endif
