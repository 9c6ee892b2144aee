#ifndef CURRANTSPAR_BASE_IDS_HPP
#define CURRANTSPAR_BASE_IDS_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace currantspar {

/// A name of one kind of thing; names of different kinds don't mix.
template <typename Tag>
class name_of
{
public:
    name_of() = default;
    explicit name_of(std::string text) : text_(std::move(text)) {}

    [[nodiscard]] const std::string& str() const { return text_; }
    [[nodiscard]] bool empty() const { return text_.empty(); }

    friend auto operator<=>(const name_of&, const name_of&) = default;
    friend bool operator==(const name_of&, const name_of&) = default;
    friend void to_json(nlohmann::json& out, const name_of& value) { out = value.text_; }
    friend void from_json(const nlohmann::json& in, name_of& value) { in.get_to(value.text_); }

private:
    std::string text_;
};

/// A number of one kind; numbers of different kinds don't mix.
template <typename Tag>
class number_of
{
public:
    constexpr number_of() = default;
    constexpr explicit number_of(std::uint64_t value) : value_(value) {}

    [[nodiscard]] constexpr std::uint64_t value() const { return value_; }
    [[nodiscard]] constexpr number_of next() const { return number_of(value_ + 1); }

    friend constexpr auto operator<=>(const number_of&, const number_of&) = default;
    friend constexpr bool operator==(const number_of&, const number_of&) = default;
    friend void to_json(nlohmann::json& out, const number_of& value) { out = value.value_; }
    friend void from_json(const nlohmann::json& in, number_of& value) { in.get_to(value.value_); }

private:
    std::uint64_t value_ = 0;
};

/// A VM of currantspar: its peer address, `IP:port`.
using node_id = name_of<struct node_id_tag>;
/// One model engine, by its name in the operators' text.
using engine_id = name_of<struct engine_id_tag>;
/// One backend server of a plain service, by its name in the operators' text.
using backend_id = name_of<struct backend_id_tag>;
/// A service of the operators' text.
using service_id = name_of<struct service_id_tag>;
/// A data centre.
using data_centre_id = name_of<struct data_centre_id_tag>;
/// An organisation that calls.
using organisation_id = name_of<struct organisation_id_tag>;
/// A caller's request: 128 random bits in hexadecimal, made where the request arrives.
using request_id = name_of<struct request_id_tag>;
/// The name under which a request runs at an engine: 128 random bits in hexadecimal.
using engine_request_id = name_of<struct engine_request_id_tag>;
/// An operator's publish, chosen by the publishing client.
using publish_id = name_of<struct publish_id_tag>;
/// An idempotency key, already joined with its organisation and service.
using call_key = name_of<struct call_key_tag>;

/// A position in the platform's log.
using log_offset = number_of<struct log_offset_tag>;
/// A fencing number: the log offset of the claim that gave the authority.
using fence = number_of<struct fence_tag>;
/// A revision of the configuration: the log offset of its accepted publish record. 0 is none.
using revision = number_of<struct revision_tag>;
/// One start of a node's process: random, drawn at the start.
using incarnation = number_of<struct incarnation_tag>;
/// One attempt to run a request; unique within one process.
using attempt_id = number_of<struct attempt_id_tag>;
/// One batch of records handed to the log; unique within one process.
using append_id = number_of<struct append_id_tag>;

/// An order to an engine: the offset of its intent record in the log.
using order_id = number_of<struct order_id_tag>;

/// The engines of one service in one data centre.
struct pool_id
{
    service_id service;
    data_centre_id data_centre;

    friend auto operator<=>(const pool_id&, const pool_id&) = default;
    friend bool operator==(const pool_id&, const pool_id&) = default;
};

inline void to_json(nlohmann::json& out, const pool_id& value)
{
    out = nlohmann::json::array({value.service, value.data_centre});
}

inline void from_json(const nlohmann::json& in, pool_id& value)
{
    in.at(0).get_to(value.service);
    in.at(1).get_to(value.data_centre);
}

} // namespace currantspar

template <typename Tag>
struct std::hash<currantspar::name_of<Tag>>
{
    std::size_t operator()(const currantspar::name_of<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.str());
    }
};

template <typename Tag>
struct std::hash<currantspar::number_of<Tag>>
{
    std::size_t operator()(const currantspar::number_of<Tag>& id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value());
    }
};

#endif
