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
    suspect, ///< didn't answer a probe, nor probes through others
    gone,    ///< off the list, or suspect for too long
};

/// What this node knows of another one.
struct member
{
    data_centre_id data_centre;
    member_health health = member_health::alive;
    bool listed = false;     ///< in the platform's list
    bool leaving = false;    ///< says so itself, or the list does
    incarnation process;     ///< last heard from
    instant last_received{}; ///< when the last message came
    instant suspected{};
    node_summary summary;
    instant listed_since{};
    instant probe_failed{}; ///< when a probe, direct and through others, got no answer last
};

/// The nodes of the installation as this node sees them; never the basis of an agreement.
struct membership_state
{
    std::map<node_id, member> members; ///< without this node
    instant list_due{};
    instant list_read{};
    bool list_open = false;
    instant probe_due{};
    std::uint64_t probe_sequence = 0;
    node_id probed; ///< waiting for this node's answer
    instant probe_sent{};
    bool probed_indirectly = false;
    instant self_listed{}; ///< since when the list has shown this node; 0: it doesn't
    instant review_due{};
};

namespace membership {

void on_vm_list(step_context& context, const vm_list_read& incoming);
void on_vm_list_failed(step_context& context, const vm_list_failed& incoming);
void on_probe(step_context& context, const peer_received& from, const probe& message);
void on_probe_answer(step_context& context, const peer_received& from, const probe_answer& message);
/// Notes that a node was heard from; called for every message.
void on_message(step_context& context, const peer_received& from);
void on_unreachable(step_context& context, const peer_unreachable& incoming);
void on_tick(step_context& context);

/// This node's own summary, as sent with probes.
[[nodiscard]] node_summary summary(const node_state& state);
/// True while the platform's list was read lately.
[[nodiscard]] bool list_is_current(const node_state& state, instant now);
/// How many live nodes come before this one in an order that `turn` makes random; 0: none.
[[nodiscard]] std::size_t rank(const node_state& state, const std::string& topic);
/// The same among the live nodes of this node's data centre.
[[nodiscard]] std::size_t rank_in_data_centre(const node_state& state, const std::string& topic);
/// The nodes that are alive or suspect, without this one.
[[nodiscard]] std::vector<node_id> live_members(const node_state& state);

} // namespace membership
} // namespace currantspar::core

#endif
