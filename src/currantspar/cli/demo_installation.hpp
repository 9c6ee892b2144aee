#ifndef CURRANTSPAR_CLI_DEMO_INSTALLATION_HPP
#define CURRANTSPAR_CLI_DEMO_INSTALLATION_HPP

#include <array>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "currantspar/node/runtime.hpp"
#include "currantspar/standin/http_engine.hpp"
#include "currantspar/standin/http_platform.hpp"

namespace currantspar::cli {

inline constexpr std::size_t demo_engines = 4;
inline constexpr std::size_t demo_backends = 2;
inline constexpr std::size_t demo_nodes = 3;
inline constexpr const char* demo_key = "demo-key";

/// Where the demo's engines and backend servers listen, `IP:port`.
struct demo_addresses
{
    std::array<std::string, demo_engines> engines;
    std::array<std::string, demo_backends> backends;
};

/// The operators' text of the demo; examples/demo.json is the same for its addresses. Thread safe.
[[nodiscard]] std::string demo_text(const demo_addresses& addresses);

/// Three nodes, four model engines, a plain service and the platform's log and VM list, all in this process
/// on free ports of the loopback interface.
class demo_installation
{
public:
    demo_installation();
    demo_installation(const demo_installation&) = delete;
    demo_installation& operator=(const demo_installation&) = delete;
    ~demo_installation();

    /// Opens the nodes' ports and runs each node on a thread of its own. To be called once.
    result<void> start();
    /// Stops the nodes gracefully and waits for them; true when all left with code 0.
    bool stop();

    [[nodiscard]] std::string text() const;
    [[nodiscard]] const std::string& log_address() const { return log_.address(); }
    [[nodiscard]] std::vector<std::string> caller_addresses() const;
    [[nodiscard]] std::vector<std::string> admin_addresses() const;
    /// How often the booking of that tag ran.
    [[nodiscard]] std::uint64_t executions(const std::string& tag);

private:
    standin::http_log log_;
    standin::http_vm_list vm_list_;
    std::vector<std::unique_ptr<standin::http_engine>> engines_;
    std::vector<std::unique_ptr<standin::http_service>> backends_;
    std::vector<std::unique_ptr<node::runtime>> nodes_;
    std::vector<std::thread> threads_;
    std::array<int, demo_nodes> exit_codes_{};
};

} // namespace currantspar::cli

#endif
