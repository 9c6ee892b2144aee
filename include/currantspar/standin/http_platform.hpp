#ifndef CURRANTSPAR_STANDIN_HTTP_PLATFORM_HPP
#define CURRANTSPAR_STANDIN_HTTP_PLATFORM_HPP

#include <atomic>
#include <mutex>
#include <string>

#include "currantspar/standin/http_server.hpp"
#include "currantspar/standin/log_model.hpp"
#include "currantspar/standin/service_model.hpp"
#include "currantspar/standin/vm_list_model.hpp"

namespace currantspar::standin {

/// The time since the program's start, as the stand-ins count it. Thread safe.
[[nodiscard]] instant steady_now();

/// The platform's log over HTTP, see docs/PLATFORM.md. Thread safe.
class http_log
{
public:
    explicit http_log(log_model_options options = {});

    [[nodiscard]] const std::string& address() const { return server_.address(); }
    /// During an outage connections are held and not answered.
    void set_outage(bool out);
    void lose_answers(unsigned count);
    [[nodiscard]] std::uint64_t appends();
    /// The offset that the next record gets.
    [[nodiscard]] log_offset head();

private:
    http_response answer(const http_request& request);
    http_response append(const http_request& request);
    http_response read(const http_request& request);

    std::mutex mutex_;
    log_model model_;
    http_server server_;
};

/// The platform's list of VMs over HTTP. Thread safe.
class http_vm_list
{
public:
    explicit http_vm_list(duration lag = std::chrono::milliseconds(500));

    [[nodiscard]] const std::string& address() const { return server_.address(); }
    void set(std::vector<core::vm_entry> vms);
    void set_outage(bool out);

private:
    std::mutex mutex_;
    vm_list_model model_;
    http_server server_;
};

/// One backend server of a plain service over HTTP; several may share a model. Thread safe.
class http_service
{
public:
    explicit http_service(std::shared_ptr<service_model> model = std::make_shared<service_model>());

    [[nodiscard]] const std::string& address() const { return server_.address(); }
    /// The next calls run, and then their connections close without an answer.
    void lose_answers(unsigned count) { answers_to_lose_ = count; }
    /// Calls run and are never answered.
    void set_silent(bool silent) { silent_ = silent; }
    [[nodiscard]] std::uint64_t executions(const std::string& tag);

private:
    http_response answer(const http_request& request);

    std::shared_ptr<service_model> model_;
    std::atomic<unsigned> answers_to_lose_ = 0;
    std::atomic<bool> silent_ = false;
    http_server server_;
};

} // namespace currantspar::standin

#endif
