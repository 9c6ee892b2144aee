#ifndef CURRANTSPAR_IO_FRONT_ROUTES_HPP
#define CURRANTSPAR_IO_FRONT_ROUTES_HPP

#include <optional>
#include <string>
#include <string_view>

#include <microhttpd.h>
#include <tl/expected.hpp>

#include "currantspar/config/fleet.hpp"
#include "currantspar/core/request_events.hpp"
#include "currantspar/io/service_client.hpp"
#include "openai.hpp"

namespace currantspar::io {

/// What a caller asks for, by method and path.
enum class route_kind
{
    completions,
    chat_completions,
    models,
    plain,
};

/// A request's way, found from its head.
struct front_route
{
    route_kind kind = route_kind::models;
    const config::service_spec* service = nullptr; ///< plain services
    const config::organisation_spec* caller = nullptr;
};

/// Finds the route of a request and checks its API key, or tells what is wrong with its head. Thread safe.
[[nodiscard]] tl::expected<front_route, openai::api_error>
find_route(const config::fleet& fleet, MHD_Connection* connection, std::string_view method,
           std::string_view path, std::size_t max_body_bytes);

/// A model service by its name or by its model's, among those the caller may use; null when there is none.
/// Thread safe.
[[nodiscard]] const config::service_spec* find_model_service(const config::fleet& fleet,
                                                             const config::organisation_spec& caller,
                                                             const std::string& model);

/// The request as it is passed on to a backend server. Thread safe.
[[nodiscard]] call_ptr make_call(MHD_Connection* connection, const std::string& method,
                                 const std::string& uri, std::string body, const front_route& route,
                                 const request_id& id);

/// Returns an error of kind `invalid` when a request can't be passed on as it is. Thread safe.
[[nodiscard]] result<void> check_call(const call_body& call);

/// The event that tells the core of a call. Thread safe.
[[nodiscard]] core::call_arrived make_call_arrived(MHD_Connection* connection, const std::string& path,
                                                   const call_body& call, const front_route& route,
                                                   const request_id& id);

/// A header of the request, or an empty text. Thread safe.
[[nodiscard]] std::string request_header(MHD_Connection* connection, const char* name);

} // namespace currantspar::io

#endif
