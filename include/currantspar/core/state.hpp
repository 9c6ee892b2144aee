#ifndef CURRANTSPAR_CORE_STATE_HPP
#define CURRANTSPAR_CORE_STATE_HPP

#include <cstdint>
#include <map>
#include <set>

#include "currantspar/base/random.hpp"
#include "currantspar/core/admission.hpp"
#include "currantspar/core/authority.hpp"
#include "currantspar/core/backends.hpp"
#include "currantspar/core/configuration.hpp"
#include "currantspar/core/keyed_calls.hpp"
#include "currantspar/core/ledger.hpp"
#include "currantspar/core/lifecycle.hpp"
#include "currantspar/core/log_writer.hpp"
#include "currantspar/core/membership.hpp"
#include "currantspar/core/options.hpp"
#include "currantspar/core/orders.hpp"
#include "currantspar/core/reports.hpp"
#include "currantspar/core/requests.hpp"
#include "currantspar/core/roles.hpp"
#include "currantspar/core/routing.hpp"

namespace currantspar::core {

/// Complete state of a node's core. Each module owns one member and is the only one to change it.
struct node_state
{
    explicit node_state(core_options opts)
        : options(std::move(opts)), random(options.seed), configuration(options),
          routing(policy::dispatcher_options{options.self, options.data_centre})
    {}

    core_options options;
    random_generator random;
    std::uint64_t timeline_sequence = 0;
    std::uint64_t peer_counter = 0;

    configuration_state configuration;
    log_writer_state log_writer;
    membership_state membership;
    authority_state authority;
    order_state orders;
    report_state reports;
    request_state requests;
    keyed_call_state keyed_calls;
    routing_state routing;
    admission_state admission;
    backend_state backends;
    role_state roles;
    ledger_state ledger;
    lifecycle_state lifecycle;
};

} // namespace currantspar::core

#endif
