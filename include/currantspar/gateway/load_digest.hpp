#ifndef CURRANTSPAR_GATEWAY_LOAD_DIGEST_HPP
#define CURRANTSPAR_GATEWAY_LOAD_DIGEST_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "currantspar/base/result.hpp"
#include "currantspar/relay/directory_changelog.hpp"
#include "currantspar/relay/engine_choice.hpp"
#include "currantspar/relay/segment_quarantine.hpp"
#include "currantspar/relay/server_limits.hpp"
#include "currantspar/relay/usage_counter.hpp"

namespace currantspar::gateway {

/// Requests of one organisation that servers began for one process in one usage window, so far.
using window_usage = relay::usage_count;

/// A decoded digest: what one node announces to its peers. split_off_half() divides each of its lists.
struct load_digest
{
    std::string sender; ///< the node's peer address
    std::uint64_t sequence = 0;
    bool full = false; ///< the sender's entire load; otherwise only what changed
    relay::engine_loads engines;
    std::vector<relay::cached_segment> segments;        ///< prefilled recently for the sender
    std::uint64_t configuration = 0;                    ///< version in force at the sender; 0: none
    data_centre_id data_centre;                         ///< of the sender
    std::optional<relay::directory_update> servers;     ///< present when the sender reads the shared store
    std::map<service_id, relay::speed_report> speeds{}; ///< of engines, as measured by the sender
    relay::quarantine_report quarantine{};              ///< crashes of engines, and who must not run
    std::vector<relay::limit_report> limits{};          ///< that servers named
    /// Of the sender's process: a later start has a greater one, and its sequence begins anew; 0: unknown.
    std::uint64_t incarnation = 0;
    std::optional<wall_time> wall_clock{};    ///< the sender's time of day
    std::uint64_t store_era = 0;              ///< that `servers` is of
    std::uint64_t reported_window = 0;        ///< usage windows up to this one were reported; 0: none
    std::vector<window_usage> usage{};        ///< to the collectors of usage only
    std::map<service_id, double> demand_ms{}; ///< server time a second, to the collectors only
};

/// Serializes a digest. Thread safe.
[[nodiscard]] std::string encode_digest(const load_digest& digest);
/// Parses a digest; an error of kind `invalid` when the bytes hold none. Thread safe.
[[nodiscard]] result<load_digest> decode_digest(std::string_view bytes);
/// Moves the latter half of what a digest lists into a second one, which isn't full and is to be sent after
/// it: a receiver of both knows the same as one of the whole, and one of either knows nothing false. Returns
/// nothing when the digest lists fewer than two items. Thread safe.
[[nodiscard]] std::optional<load_digest> split_off_half(load_digest& digest);

} // namespace currantspar::gateway

#endif
