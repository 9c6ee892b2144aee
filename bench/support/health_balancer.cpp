#include "bench/support/health_balancer.hpp"

#include <vector>

#include "currantspar/io/test_socket.hpp"
#include "currantspar/standin/http_platform.hpp"

namespace currantspar::bench {

namespace {

constexpr std::chrono::milliseconds check_every{100};
constexpr std::chrono::milliseconds check_limit{250};
constexpr int status_ok = 200;

bool answers_ready(std::uint16_t admin_port)
{
    io::raw_caller caller(admin_port);
    caller.write("GET /readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
    return io::status_of(caller.read_all(check_limit)) == status_ok;
}

} // namespace

health_balancer::health_balancer() : thread_([this] { run(); }) {}

health_balancer::~health_balancer()
{
    stopping_ = true;
    thread_.join();
}

void health_balancer::add(std::uint16_t caller_port, std::uint16_t admin_port)
{
    const std::lock_guard lock(mutex_);
    members_[caller_port] = {admin_port, false};
}

void health_balancer::remove(std::uint16_t caller_port)
{
    const std::lock_guard lock(mutex_);
    members_.erase(caller_port);
}

std::uint16_t health_balancer::choose(std::uint16_t but)
{
    const std::lock_guard lock(mutex_);
    std::vector<std::uint16_t> ready;
    for (const auto& [port, node] : members_) {
        if (node.ready && port != but) {
            ready.push_back(port);
        }
    }
    if (ready.empty()) {
        const auto last = members_.find(but);
        return last != members_.end() && last->second.ready ? but : 0;
    }
    return ready[turn_++ % ready.size()];
}

bool health_balancer::ready(std::uint16_t caller_port)
{
    const std::lock_guard lock(mutex_);
    const auto found = members_.find(caller_port);
    return found != members_.end() && found->second.ready;
}

void health_balancer::disturb(std::uint16_t caller_port)
{
    const std::lock_guard lock(mutex_);
    disturbances_[caller_port] = {true, standin::steady_now()};
}

void health_balancer::recovered(std::uint16_t caller_port)
{
    const std::lock_guard lock(mutex_);
    disturbances_[caller_port] = {false, standin::steady_now()};
}

bool health_balancer::disturbed_since(std::uint16_t caller_port, instant since)
{
    const std::lock_guard lock(mutex_);
    const auto found = disturbances_.find(caller_port);
    return found != disturbances_.end() && (found->second.lasting || found->second.last >= since);
}

void health_balancer::run()
{
    while (!stopping_) {
        check_all();
        std::this_thread::sleep_for(check_every);
    }
}

void health_balancer::check_all()
{
    std::map<std::uint16_t, member> members;
    {
        const std::lock_guard lock(mutex_);
        members = members_;
    }
    for (const auto& [caller_port, node] : members) {
        const bool ready = answers_ready(node.admin_port);
        const std::lock_guard lock(mutex_);
        const auto found = members_.find(caller_port);
        if (found != members_.end()) {
            found->second.ready = ready;
        }
    }
}

} // namespace currantspar::bench
