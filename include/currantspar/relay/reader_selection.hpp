#ifndef CURRANTSPAR_RELAY_READER_SELECTION_HPP
#define CURRANTSPAR_RELAY_READER_SELECTION_HPP

#include <set>
#include <string>

#include "currantspar/base/ids.hpp"
#include "currantspar/base/time.hpp"

namespace currantspar::relay {

struct reader_selection_options
{
    duration max_age =
        std::chrono::milliseconds(1100);           ///< maximum age of the store data that a node relies on
    duration step = std::chrono::milliseconds(60); ///< additional delay per rank
    unsigned max_steps = 5;
};

/// Decides whether this node reads the shared store itself or relies on the updates of another node of its
/// data centre: the first one in an order that all nodes agree on. There is no election: a node that receives
/// no recent update from a node that precedes it reads the store itself, whatever the reason. Times are of a
/// clock that counts while the machine is suspended, so that a node does not rely on old data after it
/// resumes. Not thread safe.
class reader_selection
{
public:
    explicit reader_selection(std::string self, data_centre_id data_centre,
                              reader_selection_options options = {});

    /// A message from a node arrived.
    void on_node(const std::string& node, const data_centre_id& data_centre);
    /// This node applied a directory update whose data was read from the store `age` ago. True: the sender
    /// precedes this node, which may rely on it.
    bool on_update(const std::string& node, duration age, instant now);
    /// Returns whether this node must read the store itself.
    [[nodiscard]] bool should_read(instant now) const;

private:
    std::string self_;
    data_centre_id data_centre_;
    reader_selection_options options_;
    std::set<std::string> predecessors_; ///< nodes of this data centre that precede this one
    instant last_update_at_{};           ///< when the data of the newest update was read
    bool has_update_ = false;
};

} // namespace currantspar::relay

#endif
