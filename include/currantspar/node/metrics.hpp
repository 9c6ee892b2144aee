#ifndef CURRANTSPAR_NODE_METRICS_HPP
#define CURRANTSPAR_NODE_METRICS_HPP

#include <memory>
#include <string>

#include "currantspar/core/effect.hpp"
#include "currantspar/core/event.hpp"
#include "currantspar/node/status.hpp"

namespace currantspar::node {

/// The metrics of one node in the Prometheus text format. Labels are services, engines of the operators' text
/// and fixed words, never requests or organisations. Not thread safe.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Takes in one event and what the node did about it.
    void on_step(const core::event& happened, const core::effect_list& effects);
    /// Takes over the gauges and counters that a status carries.
    void on_status(const node_status& status, instant now);
    /// The text that `/metrics` serves.
    [[nodiscard]] std::string text() const;

private:
    class recorder;
    std::unique_ptr<recorder> recorder_;
};

} // namespace currantspar::node

#endif
