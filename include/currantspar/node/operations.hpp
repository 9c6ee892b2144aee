#ifndef CURRANTSPAR_NODE_OPERATIONS_HPP
#define CURRANTSPAR_NODE_OPERATIONS_HPP

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

#include "currantspar/io/admin_server.hpp"
#include "currantspar/node/metrics.hpp"
#include "currantspar/node/status.hpp"
#include "currantspar/node/timeline_store.hpp"

namespace currantspar::node {

struct operations_options
{
    std::size_t timeline_entries = 65536;
    duration status_wait = std::chrono::seconds(2); ///< how long an answer waits for the node's loop
    bool observe = true; ///< false: neither time line nor metrics, to measure their cost
};

/// What the admin port shows of a node: `/`, `/healthz`, `/readyz`, `/status`, `/metrics` and `/timeline`.
/// The node's loop reports every step; any thread may ask.
class operations
{
public:
    explicit operations(operations_options options = {});

    /// Takes in one run of the reducer. To be called on the thread that owns the state, after each event; a
    /// tick a few times a second keeps answers fresh. Thread safe against answer().
    void on_step(const core::node_state& state, const core::event& happened,
                 const core::effect_list& effects);

    /// The pages by their paths. A page waits for the node's loop at most `status_wait`, so it must not be
    /// asked on that loop. Thread safe; the pages refer to this object.
    [[nodiscard]] std::map<std::string, io::admin_page> pages();

private:
    io::admin_answer health_page(const io::admin_query& query);
    io::admin_answer ready_page(const io::admin_query& query);
    io::admin_answer status_json(const io::admin_query& query);
    io::admin_answer status_page(const io::admin_query& query);
    io::admin_answer metrics_page(const io::admin_query& query);
    io::admin_answer timeline_page(const io::admin_query& query);
    bool wait_for_status(std::unique_lock<std::mutex>& lock);

    const operations_options options_;
    std::mutex mutex_;
    std::condition_variable refreshed_;
    bool wanted_ = false;
    std::uint64_t refreshes_ = 0;
    node_id node_;
    incarnation process_;
    bool ready_ = false;
    alarm_details alarms_;
    node_status status_;
    timeline_store timeline_;
    metrics metrics_;
};

/// Reads a filter from the query of `/timeline`; an error of kind `invalid` names the value. Thread safe.
[[nodiscard]] result<timeline_filter> read_filter(const std::map<std::string, std::string>& query);

/// The status as a page that refreshes itself, plain HTML. Thread safe.
[[nodiscard]] std::string render_page(const node_status& status);

} // namespace currantspar::node

#endif
