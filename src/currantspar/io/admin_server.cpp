#include "currantspar/io/admin_server.hpp"

#include <string_view>
#include <utility>

#include <microhttpd.h>
#include <netinet/in.h>

#include "currantspar/io/address.hpp"

namespace currantspar::io {

namespace {

constexpr unsigned idle_seconds = 10;
constexpr unsigned connections_most = 64;

MHD_Result collect_argument(void* to, MHD_ValueKind, const char* name, const char* value)
{
    static_cast<admin_query*>(to)->arguments[name] = value == nullptr ? "" : value;
    return MHD_YES;
}

MHD_Result queue(MHD_Connection* connection, const admin_answer& answer)
{
    MHD_Response* const response = MHD_create_response_from_buffer(
        answer.body.size(), const_cast<char*>(answer.body.data()), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", answer.content_type.c_str());
    const MHD_Result queued = MHD_queue_response(connection, static_cast<unsigned>(answer.status), response);
    MHD_destroy_response(response);
    return queued;
}

admin_answer plain_text(int status, std::string text)
{
    return {status, "text/plain", std::move(text)};
}

} // namespace

std::string admin_query::argument(const std::string& name, const std::string& fallback) const
{
    const auto found = arguments.find(name);
    return found == arguments.end() ? fallback : found->second;
}

class admin_server::server
{
public:
    explicit server(std::map<std::string, admin_page> pages) : pages_(std::move(pages)) {}
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    ~server()
    {
        if (daemon_ != nullptr) {
            MHD_stop_daemon(daemon_);
        }
    }

    result<void> open(const std::string& text)
    {
        const auto address = parse_address(text);
        if (!address) {
            return tl::unexpected<error>(address.error());
        }
        const sockaddr_in native = to_sockaddr(*address);
        daemon_ = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD, 0, nullptr, nullptr, &server::on_access,
                                   this, MHD_OPTION_SOCK_ADDR, &native, MHD_OPTION_CONNECTION_LIMIT,
                                   connections_most, MHD_OPTION_CONNECTION_TIMEOUT, idle_seconds,
                                   MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
        if (daemon_ == nullptr) {
            return fail(error_kind::unavailable, "can't listen for operators on " + text);
        }
        return {};
    }

    [[nodiscard]] std::uint16_t port() const
    {
        const MHD_DaemonInfo* const info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
        return info == nullptr ? 0 : info->port;
    }

private:
    static MHD_Result on_access(void* self, MHD_Connection* connection, const char* url, const char* method,
                                const char*, const char*, std::size_t* size, void**)
    {
        const auto& owner = *static_cast<server*>(self);
        *size = 0;
        return queue(connection, owner.answer(connection, method, url));
    }

    [[nodiscard]] admin_answer answer(MHD_Connection* connection, std::string_view method,
                                      const std::string& url) const
    {
        if (method != "GET") {
            return plain_text(MHD_HTTP_METHOD_NOT_ALLOWED, "use GET here\n");
        }
        const auto page = pages_.find(url);
        if (page == pages_.end()) {
            return plain_text(MHD_HTTP_NOT_FOUND, "there is no such page\n");
        }
        admin_query query;
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collect_argument, &query);
        return page->second(query);
    }

    const std::map<std::string, admin_page> pages_;
    MHD_Daemon* daemon_ = nullptr;
};

admin_server::admin_server(std::map<std::string, admin_page> pages)
    : server_(std::make_unique<server>(std::move(pages)))
{}

admin_server::~admin_server() = default;

result<void> admin_server::open(const std::string& address)
{
    return server_->open(address);
}

std::uint16_t admin_server::port() const
{
    return server_->port();
}

} // namespace currantspar::io
