#ifndef CURRANTSPAR_IO_VM_LIST_CLIENT_HPP
#define CURRANTSPAR_IO_VM_LIST_CLIENT_HPP

#include <memory>
#include <string>

#include "currantspar/io/event_sink.hpp"
#include "currantspar/io/http_client.hpp"

namespace currantspar::io {

/// The platform's list of VMs. Answers come as events.
class vm_list_client
{
public:
    vm_list_client() = default;
    vm_list_client(const vm_list_client&) = delete;
    vm_list_client& operator=(const vm_list_client&) = delete;
    virtual ~vm_list_client() = default;

    /// Answered by vm_list_read or vm_list_failed. Thread safe.
    virtual void read() = 0;
};

struct vm_list_client_options
{
    std::string address; ///< `IP:port`
    duration answer_limit = std::chrono::seconds(3);
};

/// A VM list client over HTTP. Precondition: `client` outlives it.
[[nodiscard]] std::unique_ptr<vm_list_client>
make_http_vm_list_client(http_client& client, vm_list_client_options options, event_sink sink);

} // namespace currantspar::io

#endif
