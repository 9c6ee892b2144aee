#ifndef CURRANTSPAR_RELAY_READER_SELECTION_HPP
#define CURRANTSPAR_RELAY_READER_SELECTION_HPP

#include <set>
#include <string>

#include "currantspar/base/ids.hpp"
#include "currantspar/base/time.hpp"

namespace currantspar::relay {

struct reader_selection_options
{
    duration max_age = std::chrono::milliseconds(1100); ///< older knowledge of the store isn't relied on
    duration step = std::chrono::milliseconds(60);      ///< by which each further node waits longer
    unsigned max_steps = 5;
};

/// Decides whether this node reads the shared store itself or relies on what another node of its data centre
/// reads: the first one in an order that all nodes agree on. There is no election: a node that hears nothing
/// fresh from the nodes before it reads by itself, whatever the reason. Times are of a clock that goes on
/// while the machine is suspended, so that a node that wakes up doesn't rely on what it knew. Not thread
/// safe.
class reader_selection
{
public:
    explicit reader_selection(std::string self, data_centre_id data_centre,
                              reader_selection_options options = {});

    /// A node was heard.
    void on_node(const std::string& node, const data_centre_id& data_centre);
    /// A node told what it had read from the store, as it was `age` ago, and this node took it over. True:
    /// the node comes before this one, which may rely on it.
    bool on_update(const std::string& node, duration age, instant now);
    /// True when this node must read the store itself.
    [[nodiscard]] bool should_read(instant now) const;

private:
    std::string self_;
    data_centre_id data_centre_;
    reader_selection_options options_;
    std::set<std::string> predecessors_; ///< nodes of this data centre that come before this one
    instant last_update_at_{};           ///< the time of the store that the newest statement tells of
    bool told_ = false;
};

} // namespace currantspar::relay

#endif
