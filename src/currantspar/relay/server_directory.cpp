#include "currantspar/relay/server_directory.hpp"

#include <algorithm>

namespace currantspar::relay {

entry_change server_directory::put(const server_entry& entry, instant)
{
    missing_.erase(entry.id);
    const auto [position, added] = entries_.try_emplace(entry.id, entry);
    if (added) {
        rebuild();
        return entry.draining ? entry_change::closed : entry_change::added;
    }
    if (position->second == entry) {
        return entry_change::none;
    }
    const bool closes = entry.draining && !position->second.draining;
    if (entry.started_ms != position->second.started_ms) {
        forget_responses(entry.id);
    }
    position->second = entry;
    rebuild();
    return closes ? entry_change::closed : entry_change::changed;
}

entry_change server_directory::remove(const backend_id& id, instant now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return entry_change::none;
    }
    if (retaining(now) && !found->second.draining) {
        missing_.insert(id);
        return entry_change::none;
    }
    missing_.erase(id);
    entries_.erase(found);
    forget_responses(id);
    rebuild();
    return entry_change::closed;
}

std::vector<directory_change> server_directory::changes_to(const std::vector<server_entry>& listed) const
{
    std::vector<directory_change> changes;
    changes.reserve(listed.size() + entries_.size());
    std::set<backend_id> present;
    for (const server_entry& entry : listed) {
        present.insert(entry.id);
        changes.push_back({0, entry.id, entry});
    }
    for (const auto& [id, entry] : entries_) {
        if (!present.contains(id)) {
            changes.push_back({0, id, std::nullopt});
        }
    }
    return changes;
}

entry_change server_directory::apply(const directory_change& change, instant now)
{
    return change.entry ? put(*change.entry, now) : remove(change.id, now);
}

void server_directory::on_store_lost(instant)
{
    store_lost_ = true;
}

void server_directory::on_store_recovered(instant now)
{
    store_lost_ = false;
    retain_until_ = now + options_.outage_retention;
}

bool server_directory::on_leaving(const backend_id& id)
{
    const bool is_new = entries_.contains(id) && leaving_.insert(id).second;
    if (is_new) {
        rebuild();
    }
    return is_new;
}

bool server_directory::on_pause(const backend_id& id, instant until)
{
    if (!entries_.contains(id)) {
        return false;
    }
    const auto [known, is_new] = paused_.try_emplace(id, until);
    known->second = std::max(known->second, until);
    if (is_new) {
        rebuild();
    }
    return is_new;
}

std::optional<instant> server_directory::first_pause_end(const service_id& service) const
{
    std::optional<instant> first;
    for (const auto& [id, until] : paused_) {
        const server_entry* entry = find(id);
        const bool returns = entry != nullptr && !entry->draining && !leaving_.contains(id);
        if (returns && entry->service == service && (!first || until < *first)) {
            first = until;
        }
    }
    return first;
}

bool server_directory::is_open(const backend_id& id) const
{
    const server_entry* entry = find(id);
    return entry != nullptr && !entry->draining && !leaving_.contains(id) && !paused_.contains(id);
}

void server_directory::forget_responses(const backend_id& id)
{
    leaving_.erase(id);
    paused_.erase(id);
}

void server_directory::on_tick(instant now)
{
    if (std::erase_if(paused_, [&](const auto& each) { return now >= each.second; }) > 0) {
        rebuild();
    }
    if (missing_.empty() || retaining(now)) {
        return;
    }
    for (const backend_id& id : missing_) {
        entries_.erase(id);
        forget_responses(id);
    }
    missing_.clear();
    rebuild();
}

bool server_directory::retaining(instant now) const
{
    return store_lost_ || now < retain_until_;
}

const std::vector<server_entry>& server_directory::open_servers(const service_id& service) const
{
    static const std::vector<server_entry> none;
    const auto found = open_.find(service);
    return found == open_.end() ? none : found->second;
}

const server_entry* server_directory::find(const backend_id& id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

void server_directory::rebuild()
{
    open_.clear();
    for (const auto& [id, entry] : entries_) {
        if (is_open(id)) {
            open_[entry.service].push_back(entry);
        }
    }
}

} // namespace currantspar::relay
