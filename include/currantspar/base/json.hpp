#ifndef CURRANTSPAR_BASE_JSON_HPP
#define CURRANTSPAR_BASE_JSON_HPP

#include <chrono>
#include <memory>
#include <optional>

#include <nlohmann/json.hpp>

#include "currantspar/base/time.hpp"

/// Makes a struct readable and writable as a JSON object; missing members keep their defaults.
#define CURRANTSPAR_JSON(type, ...) NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(type, __VA_ARGS__)

/// Makes a struct without members an empty JSON object.
#define CURRANTSPAR_JSON_EMPTY(type)                                                                         \
    inline void to_json(nlohmann::json& out, const type&)                                                    \
    {                                                                                                        \
        out = nlohmann::json::object();                                                                      \
    }                                                                                                        \
    inline void from_json(const nlohmann::json&, type&) {}

namespace nlohmann {

template <typename Rep, typename Period>
struct adl_serializer<std::chrono::duration<Rep, Period>>
{
    static void to_json(json& out, const std::chrono::duration<Rep, Period>& value) { out = value.count(); }
    static void from_json(const json& in, std::chrono::duration<Rep, Period>& value)
    {
        value = std::chrono::duration<Rep, Period>(in.get<Rep>());
    }
};

template <typename Clock, typename Duration>
struct adl_serializer<std::chrono::time_point<Clock, Duration>>
{
    using point = std::chrono::time_point<Clock, Duration>;
    static void to_json(json& out, const point& value) { out = value.time_since_epoch().count(); }
    static void from_json(const json& in, point& value)
    {
        value = point(Duration(in.get<typename Duration::rep>()));
    }
};

template <typename T>
struct adl_serializer<std::optional<T>>
{
    static void to_json(json& out, const std::optional<T>& value)
    {
        out = value ? json(*value) : json(nullptr);
    }
    static void from_json(const json& in, std::optional<T>& value)
    {
        value = in.is_null() ? std::nullopt : std::optional<T>(in.get<T>());
    }
};

} // namespace nlohmann

#endif
