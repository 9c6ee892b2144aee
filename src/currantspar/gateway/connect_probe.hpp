#ifndef CURRANTSPAR_GATEWAY_CONNECT_PROBE_HPP
#define CURRANTSPAR_GATEWAY_CONNECT_PROBE_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <ace/Reactor.h>

#include "currantspar/base/time.hpp"
#include "currantspar/relay/relay_core.hpp"

namespace currantspar::gateway {

/// Opens connections only to learn whether a process listens at an address. Not thread safe.
class connect_probes
{
public:
    using result_handler = std::function<void(relay::probe_result)>;

    explicit connect_probes(ACE_Reactor& reactor);
    ~connect_probes();

    /// Connects to `IP:port`; `done` is called once, from the reactor or from on_tick(), never from here.
    void start(const std::string& address, result_handler done, instant now);
    /// Ends overdue probes and frees finished ones.
    void on_tick(instant now);

private:
    class probe;

    ACE_Reactor& reactor_;
    std::vector<std::unique_ptr<probe>> probes_;
};

} // namespace currantspar::gateway

#endif
