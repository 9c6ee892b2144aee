#ifndef CURRANTSPAR_CORE_MEMBERSHIP_HPP
#define CURRANTSPAR_CORE_MEMBERSHIP_HPP

#include <map>
#include <vector>

#include "currantspar/core/event.hpp"

namespace currantspar::core {

struct node_state;
struct step_context;

enum class member_health
{
    alive,
    suspect, ///< answered neither a direct probe nor indirect probes
    gone,    ///< removed from the list, or suspect for too long
};

/// State of another node as observed by this one.
struct member
{
    data_centre_id data_centre;
    member_health health = member_health::alive;
    bool listed = false;     ///< present in the platform's VM list
    bool leaving = false;    ///< announced by the node itself or by the list
    incarnation process;     ///< process that sent the last message
    instant last_received{}; ///< when the last message was received
    instant suspected{};
    node_summary summary;
    instant listed_since{};
    instant probe_failed{}; ///< when direct and indirect probes last failed
};

/// The nodes of the installation as observed by this node. Agreement between nodes never relies on this view.
struct membership_state
{
    std::map<node_id, member> members; ///< excludes this node
    instant list_due{};
    instant list_read{};
    bool list_open = false;
    instant probe_due{};
    std::uint64_t probe_sequence = 0;
    node_id probed; ///< node whose probe response is pending
    instant probe_sent{};
    bool probed_indirectly = false;
    instant self_listed{}; ///< since when the list has contained this node; 0: it does not
    instant review_due{};
};

namespace membership {

void on_vm_list(step_context& context, const vm_list_read& incoming);
void on_vm_list_failed(step_context& context, const vm_list_failed& incoming);
void on_probe(step_context& context, const peer_received& from, const probe& message);
void on_probe_answer(step_context& context, const peer_received& from, const probe_answer& message);
/// Records that a message was received from a node; called for every message.
void on_message(step_context& context, const peer_received& from);
void on_unreachable(step_context& context, const peer_unreachable& incoming);
void on_tick(step_context& context);

/// This node's own summary, as sent with probes.
[[nodiscard]] node_summary summary(const node_state& state);
/// True when the platform's VM list was read within `list_valid_for`.
[[nodiscard]] bool list_is_current(const node_state& state, instant now);
/// Rank of this node among the live nodes, by rendezvous hashing of `topic`; 0 is the first.
[[nodiscard]] std::size_t rank(const node_state& state, const std::string& topic);
/// Rank of this node among the live nodes of its data centre.
[[nodiscard]] std::size_t rank_in_data_centre(const node_state& state, const std::string& topic);
/// The nodes that are alive or suspect, without this one.
[[nodiscard]] std::vector<node_id> live_members(const node_state& state);

} // namespace membership
} // namespace currantspar::core

#endif
