#include "currantspar/io/vm_list_client.hpp"

#include "whole_answer.hpp"

namespace currantspar::io {

namespace {

constexpr std::size_t answer_bytes_most = 4U << 20U;

class http_vm_list_client : public vm_list_client
{
public:
    http_vm_list_client(http_client& client, vm_list_client_options options, event_sink sink)
        : client_(client), options_(std::move(options)), sink_(std::move(sink))
    {}

    void read() override
    {
        http_request http;
        http.url = "http://" + options_.address + "/vms";
        http.idle_limit = options_.answer_limit;
        client_.start(std::move(http), collect_answer(answer_bytes_most, [sink = sink_](const auto& answer) {
                          auto list =
                              answer.ok() ? read_json<core::vm_list_read>(answer.json()) : std::nullopt;
                          if (list) {
                              sink(std::move(*list));
                          } else {
                              sink(core::vm_list_failed{answer.end.reason});
                          }
                      }));
    }

private:
    http_client& client_;
    const vm_list_client_options options_;
    const event_sink sink_;
};

} // namespace

std::unique_ptr<vm_list_client> make_http_vm_list_client(http_client& client, vm_list_client_options options,
                                                         event_sink sink)
{
    return std::make_unique<http_vm_list_client>(client, std::move(options), std::move(sink));
}

} // namespace currantspar::io
