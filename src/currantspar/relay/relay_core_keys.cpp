#include "currantspar/relay/relay_core.hpp"

// The part of relay_core that decides by API keys.

namespace currantspar::relay {

namespace {

constexpr int status_unauthorised = 401;

} // namespace

void relay_core::refuse_key(request_number number, const request_info& info, const route_spec& route,
                            relay_effects& out)
{
    const char* reason = info.api_key_hash.empty() ? "missing_key" : "unknown_key";
    refusals_[{route.services.front().service, reason}] += 1;
    out.push_back(reply{number, status_unauthorised, {}, reason});
    log_key_refused(info, route, reason, out);
}

void relay_core::log_key_refused(const request_info& info, const route_spec& route, const char* reason,
                                 relay_effects& out) const
{
    // Neither the key nor its hash: whoever reads the log could test guesses against the hash.
    out.push_back(log_decision{
        "key_refused",
        info.id,
        {{"reason", reason}, {"route", route.name}, {"config_version", std::to_string(routes_.version())}}});
}

bool relay_core::is_revoked(const request& req) const
{
    if (req.organisation.str().empty() || !keys_.required() || keys_.find(req.info.api_key_hash) != nullptr) {
        return false;
    }
    // A public route would serve the request without its key.
    const route_lookup found = routes_.find(req.info.host, req.info.path);
    return !(found.route != nullptr ? *found.route : *req.route).is_public;
}

void relay_core::end_revoked(instant now, relay_effects& out)
{
    if (!std::exchange(revocation_due_, false)) {
        return;
    }
    constexpr const char* reason = "removed_key";
    for (auto it = requests_.begin(); it != requests_.end();) {
        const auto next = std::next(it);
        request& req = it->second;
        if (is_revoked(req)) {
            refusals_[{req.service, reason}] += 1;
            log_key_refused(req.info, *req.route, reason, out);
            abandon_current(req, out);
            if (req.streaming) {
                out.push_back(abort_response{it->first});
            } else {
                out.push_back(reply{it->first, status_unauthorised, {}, reason});
            }
            const bool unknown = req.streaming || req.may_have_run;
            finish(it, unknown ? core::request_outcome::unknown : core::request_outcome::not_run, reason, now,
                   out);
        }
        it = next;
    }
}

void relay_core::abandon_current(request& req, relay_effects& out)
{
    if (req.current.value() == 0) {
        return;
    }
    out.push_back(cancel_attempt{req.current});
    health_[req.service].on_cancelled(req.server);
    attempts_.erase(req.current);
}

} // namespace currantspar::relay
