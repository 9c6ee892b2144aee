#include "currantspar/relay/directory_changelog.hpp"

#include <algorithm>

namespace currantspar::relay {

void directory_changelog::on_listed(const std::vector<server_entry>& entries, std::uint64_t end)
{
    listed_ = true;
    known_.clear();
    for (const server_entry& entry : entries) {
        known_.emplace(entry.id, entry);
    }
    changes_.clear();
    complete_from_ = end;
    next_ = end;
}

bool directory_changelog::on_record(const directory_change& record)
{
    if (record.offset < next_) {
        return false;
    }
    next_ = record.offset + 1;
    const auto found = known_.find(record.id);
    const bool same =
        record.entry ? found != known_.end() && found->second == *record.entry : found == known_.end();
    if (same) {
        return false;
    }
    if (record.entry) {
        known_.insert_or_assign(record.id, *record.entry);
    } else {
        known_.erase(found);
    }
    changes_.push_back({record, 0});
    return true;
}

void directory_changelog::on_position(std::uint64_t next)
{
    next_ = std::max(next_, next);
}

std::optional<std::vector<directory_change>> directory_changelog::apply_update(const directory_update& update)
{
    if (!listed_ || next_ < update.from) {
        return std::nullopt;
    }
    std::vector<directory_change> new_changes;
    for (const directory_change& change : update.changes) {
        if (on_record(change)) {
            new_changes.push_back(change);
        }
    }
    on_position(update.to);
    return new_changes;
}

bool directory_changelog::has_unsent_changes() const
{
    return std::any_of(changes_.begin(), changes_.end(),
                       [](const recent_change& each) { return each.times_sent == 0; });
}

directory_update directory_changelog::make_update()
{
    while (!changes_.empty() && (changes_.front().times_sent >= options_.sends_per_change ||
                                 changes_.size() > options_.max_changes)) {
        complete_from_ = changes_.front().change.offset + 1;
        changes_.pop_front();
    }
    directory_update result;
    result.from = complete_from_;
    result.to = next_;
    for (recent_change& each : changes_) {
        each.times_sent += 1;
        result.changes.push_back(each.change);
    }
    return result;
}

} // namespace currantspar::relay
