#ifndef CURRANTSPAR_RELAY_API_KEYS_HPP
#define CURRANTSPAR_RELAY_API_KEYS_HPP

#include <memory>
#include <string_view>
#include <vector>

#include "currantspar/relay/model.hpp"

namespace currantspar::relay {

/// The API keys of one version of the configuration, indexed by their hashes. A key that two organisations
/// have belongs to the first of them. Thread safe after construction.
class api_keys
{
public:
    /// No configuration is known: no key is required and none is known.
    api_keys() = default;
    /// Builds the index, which is done once for each version. Precondition: `config` isn't null.
    explicit api_keys(std::shared_ptr<const relay_config> config);

    /// Returns whether requests on routes that aren't public need a known key.
    [[nodiscard]] bool required() const
    {
        return config_ != nullptr && (config_->requires_keys || !config_->organisations.empty());
    }
    /// Returns the organisation that a key belongs to, or null; it stays valid while its configuration is
    /// referenced.
    [[nodiscard]] const organisation_spec* find(std::string_view key_hash) const;

private:
    struct entry
    {
        std::string_view hash;
        const organisation_spec* organisation;
    };

    std::shared_ptr<const relay_config> config_; ///< keeps the entries valid
    std::vector<entry> entries_;                 ///< ordered by the first bytes of the hash
};

} // namespace currantspar::relay

#endif
