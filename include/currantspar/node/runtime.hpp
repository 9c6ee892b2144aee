#ifndef CURRANTSPAR_NODE_RUNTIME_HPP
#define CURRANTSPAR_NODE_RUNTIME_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "currantspar/base/result.hpp"
#include "currantspar/config/settings.hpp"
#include "currantspar/core/state.hpp"
#include "currantspar/io/admin_server.hpp"

namespace currantspar::node {

/// How a node runs, beside its settings.
struct runtime_options
{
    bool handle_signals = false; ///< SIGTERM and SIGINT stop the node; only one node of a process may
    duration tick = std::chrono::milliseconds(10);
    std::map<std::string, io::admin_page> pages;     ///< more pages, or others, on the admin port
    std::function<void(core::core_options&)> adjust; ///< last word on the core's options
    bool observe = true; ///< false: neither time line nor metrics, to measure their cost
};

/// One node: the core, its adapters and the loop that joins them. Several may live in one process.
class runtime
{
public:
    explicit runtime(config::node_settings settings, runtime_options options = {});
    runtime(const runtime&) = delete;
    runtime& operator=(const runtime&) = delete;
    ~runtime();

    /// Opens the ports. To be called once, before run.
    result<void> open();
    /// Runs the node on the calling thread until it has stopped; returns the process's exit code.
    int run();

    /// Asks for a graceful stop: everything in flight is finished first. Thread safe.
    void stop();
    /// Ends the node at once and logs what that cut. Thread safe.
    void stop_now();

    /// Runs a question on the node's own thread and waits for its answer; an error of kind `unavailable` when
    /// the node isn't running. Thread safe, but not from the node's own thread.
    [[nodiscard]] result<std::string> ask(std::function<std::string(const core::node_state&)> question);

    [[nodiscard]] std::uint16_t caller_port() const;
    [[nodiscard]] std::uint16_t admin_port() const;

private:
    class loop;
    std::unique_ptr<loop> loop_;
};

/// Runs one node until SIGTERM or SIGINT has stopped it; returns the process's exit code: 0 after a graceful
/// stop, 1 when a port can't be opened, 3 when a second signal cut work.
int serve(const config::node_settings& settings, runtime_options options = {});

} // namespace currantspar::node

#endif
