#ifndef CURRANTSPAR_IO_ADMIN_SERVER_HPP
#define CURRANTSPAR_IO_ADMIN_SERVER_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "currantspar/base/result.hpp"

namespace currantspar::io {

/// What a page is asked for.
struct admin_query
{
    std::map<std::string, std::string> arguments; ///< of the query

    /// An argument, or the fallback. Thread safe.
    [[nodiscard]] std::string argument(const std::string& name, const std::string& fallback = {}) const;
};

struct admin_answer
{
    int status = 200;
    std::string content_type = "application/json";
    std::string body;
};

/// Makes one page. It is called on the server's thread.
using admin_page = std::function<admin_answer(const admin_query&)>;

/// Serves the node's own pages, such as `/healthz`, by GET.
class admin_server
{
public:
    /// Precondition: the pages are thread safe and outlive nothing that they refer to.
    explicit admin_server(std::map<std::string, admin_page> pages);
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;
    ~admin_server();

    /// Begins to serve on `IP:port`; port 0 takes a free one. To be called once.
    result<void> open(const std::string& address);
    [[nodiscard]] std::uint16_t port() const;

private:
    class server;
    std::unique_ptr<server> server_;
};

} // namespace currantspar::io

#endif
