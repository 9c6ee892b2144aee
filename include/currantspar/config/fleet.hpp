#ifndef CURRANTSPAR_CONFIG_FLEET_HPP
#define CURRANTSPAR_CONFIG_FLEET_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "currantspar/base/ids.hpp"
#include "currantspar/base/json.hpp"
#include "currantspar/base/time.hpp"

namespace currantspar::config {

/// What an engine works on: prompts, answers, or both.
enum class engine_role
{
    mixed,
    prefill,
    decode,
};

/// What an engine has loaded.
struct engine_load
{
    std::string model;
    std::string adapter; ///< empty: none
    std::string version;

    friend bool operator==(const engine_load&, const engine_load&) = default;
};

/// A model engine as the operators' text lists it.
struct engine_spec
{
    engine_id id;
    std::string address; ///< `IP:port`
    data_centre_id data_centre;
    bool checks_fence = false;             ///< the engine refuses orders with an old fencing number
    bool drained = false;                  ///< operators want no new work here
    std::optional<engine_role> fixed_role; ///< set: the role policy leaves this engine alone
};

/// A backend server of a plain service as the operators' text lists it.
struct backend_spec
{
    backend_id id;
    std::string address; ///< `IP:port`
    data_centre_id data_centre;
    bool drained = false;
};

/// How the role policy of a service weighs its two aims.
struct role_policy_options
{
    double change_cost_weight = 1.0;       ///< how many times its own cost a role change must gain
    unsigned max_simultaneous_changes = 1; ///< per pool
    duration role_change_time = std::chrono::seconds(6); ///< how long an engine is away
    bool adaptive = true;                                ///< false: roles stay as they are
};

/// What a service promises its callers.
struct service_targets
{
    duration first_token = std::chrono::milliseconds(630);
    duration between_tokens = std::chrono::milliseconds(30);
    duration deadline = std::chrono::seconds(120); ///< from arrival to the end of the answer
};

enum class service_kind
{
    model, ///< answered by model engines
    plain, ///< passed through to backend servers
};

/// A set of plain calls that may not be repeated.
struct call_rule
{
    std::string method;      ///< `POST`; `*` is any
    std::string path_prefix; ///< below the service's path
    bool may_repeat = false;
    bool require_key = false; ///< refuse calls without an Idempotency-Key
};

/// One service of the operators' text.
struct service_spec
{
    service_id id;
    service_kind kind = service_kind::model;
    engine_load load;                   ///< model services
    std::vector<engine_spec> engines;   ///< model services
    std::string path;                   ///< plain services: the path prefix callers use
    std::vector<backend_spec> backends; ///< plain services
    std::vector<call_rule> calls;       ///< plain services; the first rule that matches counts
    std::vector<service_id> depends_on;
    bool depends_on_log = false; ///< some of its calls need the platform's log
    unsigned priority = 1;       ///< 0 is served first
    service_targets targets;
    role_policy_options roles;
    std::uint32_t max_queued = 256;    ///< requests waiting at one node
    std::uint32_t piece_tokens = 2000; ///< tokens in one piece of engine memory
};

/// Limits of one organisation over all nodes.
struct organisation_limits
{
    double requests_per_second = 50;
    std::uint32_t concurrent_requests = 200;
    double share = 1.0; ///< weight in fair sharing
};

/// An organisation that calls.
struct organisation_spec
{
    organisation_id id;
    std::vector<std::string> key_hashes; ///< SHA-256 of salt and API key, hexadecimal
    organisation_limits limits;
    std::vector<service_id> services; ///< empty: all
};

/// The whole operators' text, checked.
struct fleet
{
    std::string name;
    std::string key_salt; ///< joined before each API key when hashing
    std::vector<data_centre_id> data_centres;
    std::map<std::pair<data_centre_id, data_centre_id>, duration> delays; ///< one way
    std::vector<service_spec> services;
    std::vector<organisation_spec> organisations;
    duration key_window = std::chrono::hours(24); ///< how long an Idempotency-Key is remembered

    /// The service of that name, or null. Thread safe.
    [[nodiscard]] const service_spec* find_service(const service_id& id) const;
    /// The organisation whose key hashes to `key_hash`, or null. Thread safe.
    [[nodiscard]] const organisation_spec* find_organisation(const std::string& key_hash) const;
    /// The delay one way between two data centres; 0 within one. Thread safe.
    [[nodiscard]] duration delay(const data_centre_id& from, const data_centre_id& to) const;
};

using fleet_ptr = std::shared_ptr<const fleet>;

NLOHMANN_JSON_SERIALIZE_ENUM(engine_role, {{engine_role::mixed, "mixed"},
                                           {engine_role::prefill, "prefill"},
                                           {engine_role::decode, "decode"}})
NLOHMANN_JSON_SERIALIZE_ENUM(service_kind, {{service_kind::model, "model"}, {service_kind::plain, "plain"}})
CURRANTSPAR_JSON(engine_load, model, adapter, version)

} // namespace currantspar::config

#endif
