#include "currantspar/relay/server_directory.hpp"

#include <algorithm>
#include <utility>

namespace currantspar::relay {

entry_change server_directory::put(const server_entry& entry, instant now)
{
    missing_.erase(entry.id);
    on_incarnation(entry, now);
    const auto [position, added] = entries_.try_emplace(entry.id, entry);
    if (added) {
        removed_.erase(entry.id);
        rebuild();
        return entry.draining ? entry_change::closed : entry_change::added;
    }
    if (position->second == entry) {
        return entry_change::none;
    }
    const bool closes = entry.draining && !position->second.draining;
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
    erase(id, now);
    rebuild();
    return entry_change::closed;
}

void server_directory::erase(const backend_id& id, instant now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    removed_.insert_or_assign(id, removed_entry{found->second.started_ms, now});
    entries_.erase(found);
    if (const auto leaving = leaving_.find(id); leaving != leaving_.end()) {
        leaving->second.last_evidence = now;
    }
}

void server_directory::on_incarnation(const server_entry& entry, instant now)
{
    const auto paused = paused_.find(entry.id);
    if (paused != paused_.end() && paused->second.started_ms != entry.started_ms) {
        ended_.push_back({statement_end::kind::pause, entry.id, "restarted", now - paused->second.began});
        paused_.erase(paused);
    }
    const auto leaving = leaving_.find(entry.id);
    if (leaving == leaving_.end()) {
        return;
    }
    if (leaving->second.started_ms != entry.started_ms) {
        end(leaving, "restarted", now);
    } else if (entry.draining || !entries_.contains(entry.id)) {
        leaving->second.last_evidence = now;
    }
}

std::optional<std::int64_t> server_directory::started_ms(const backend_id& id) const
{
    if (const server_entry* entry = find(id)) {
        return entry->started_ms;
    }
    const auto removed = removed_.find(id);
    return removed == removed_.end() ? std::nullopt : std::optional(removed->second.started_ms);
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

bool server_directory::on_leaving(const backend_id& id, instant now)
{
    const auto started = started_ms(id);
    if (!started) {
        return false;
    }
    const auto [known, is_new] = leaving_.try_emplace(id, announcement{*started, now, now});
    known->second.last_evidence = now;
    if (is_new) {
        rebuild();
    }
    return is_new;
}

bool server_directory::on_pause(const backend_id& id, instant until, instant now)
{
    const auto started = started_ms(id);
    if (!started) {
        return false;
    }
    const auto [known, is_new] = paused_.try_emplace(id, pause{*started, now, until});
    known->second.until = std::max(known->second.until, until);
    if (is_new) {
        rebuild();
    }
    return is_new;
}

std::vector<statement_end> server_directory::take_statement_ends()
{
    return std::exchange(ended_, {});
}

std::optional<instant> server_directory::first_pause_end(const service_id& service) const
{
    std::optional<instant> first;
    for (const auto& [id, asked] : paused_) {
        const server_entry* entry = find(id);
        const bool returns = entry != nullptr && !entry->draining && !leaving_.contains(id);
        if (returns && entry->service == service && (!first || asked.until < *first)) {
            first = asked.until;
        }
    }
    return first;
}

bool server_directory::is_open(const backend_id& id) const
{
    const server_entry* entry = find(id);
    return entry != nullptr && !entry->draining && !leaving_.contains(id) && !paused_.contains(id);
}

void server_directory::on_tick(instant now)
{
    end_pauses(now);
    end_announcements(now);
    last_tick_ = now;
    std::erase_if(removed_,
                  [&](const auto& each) { return now - each.second.at > options_.leaving_retention; });
    if (missing_.empty() || retaining(now)) {
        return;
    }
    for (const backend_id& id : missing_) {
        erase(id, now);
    }
    missing_.clear();
    rebuild();
}

void server_directory::end_pauses(instant now)
{
    const std::size_t ends = std::erase_if(paused_, [&](const auto& each) {
        const auto& [id, asked] = each;
        if (now < asked.until) {
            return false;
        }
        ended_.push_back({statement_end::kind::pause, id, "over", now - asked.began});
        return true;
    });
    if (ends > 0) {
        rebuild();
    }
}

void server_directory::end_announcements(instant now)
{
    const bool uncertain = unobserved(now);
    for (auto it = leaving_.begin(); it != leaving_.end();) {
        const auto leaving = it++;
        const server_entry* entry = find(leaving->first);
        if (uncertain || (entry != nullptr && entry->draining)) {
            leaving->second.last_evidence = now;
        } else if (entry == nullptr && now - leaving->second.last_evidence >= options_.leaving_retention) {
            end(leaving, "gone", now);
        }
    }
}

void server_directory::on_written(const server_entry& entry, instant now)
{
    const auto leaving = leaving_.find(entry.id);
    if (leaving == leaving_.end() || leaving->second.started_ms != entry.started_ms ||
        !entries_.contains(entry.id)) {
        return;
    }
    if (entry.draining || unobserved(now)) {
        leaving->second.last_evidence = now;
    } else if (now - leaving->second.last_evidence >= options_.leaving_retention) {
        end(leaving, "stayed", now);
        rebuild();
    }
}

bool server_directory::awaits_write(instant now) const
{
    return std::any_of(leaving_.begin(), leaving_.end(), [&](const auto& each) {
        return entries_.contains(each.first) && now - each.second.last_evidence >= options_.leaving_retention;
    });
}

void server_directory::end(std::map<backend_id, announcement>::iterator leaving, const char* reason,
                           instant now)
{
    ended_.push_back({statement_end::kind::leaving, leaving->first, reason, now - leaving->second.began});
    leaving_.erase(leaving);
}

bool server_directory::unobserved(instant now) const
{
    return retaining(now) || now - last_tick_ > options_.max_tick_gap;
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
