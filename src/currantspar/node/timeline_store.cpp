#include "currantspar/node/timeline_store.hpp"

#include <algorithm>
#include <iterator>

namespace currantspar::node {

namespace {

constexpr std::size_t append_marks_most = 4096;
constexpr std::size_t open_appends_most = 64;

void hear(std::map<node_id, heard_message>& heard, const heard_message& message)
{
    heard[message.from] = message;
}

std::vector<heard_message> take(std::map<node_id, heard_message>& heard)
{
    std::vector<heard_message> messages;
    messages.reserve(heard.size());
    for (const auto& [from, message] : heard) {
        messages.push_back(message);
    }
    heard.clear();
    return messages;
}

} // namespace

bool timeline_filter::matches(const core::timeline_entry& entry) const
{
    const bool revision_matches =
        in_force.value() == 0 || entry.in_force == in_force || entry.offset.value() == in_force.value();
    return entry.sequence > after && entry.wall >= since && (request.empty() || entry.request == request) &&
           (engine.empty() || entry.engine == engine) && (service.empty() || entry.service == service) &&
           revision_matches;
}

void timeline_store::on_step(const core::event& happened, const core::effect_list& effects,
                             log_offset applied)
{
    if (const auto* received = std::get_if<core::peer_received>(&happened.body)) {
        hear(heard_, {received->from, received->process, received->counter});
    } else if (const auto* finished = std::get_if<core::append_finished>(&happened.body)) {
        on_append_finished(*finished);
    }
    for (const core::effect& done : effects) {
        if (const auto* traced = std::get_if<core::add_timeline>(&done)) {
            add(traced->entry, applied);
        } else if (const auto* message = std::get_if<core::send_peer>(&done)) {
            sent_ = message->counter;
        } else if (const auto* append = std::get_if<core::append_records>(&done)) {
            appends_open_[append->append] = last_sequence_;
        }
    }
    if (appends_open_.size() > open_appends_most) {
        appends_open_.erase(appends_open_.begin());
    }
}

void timeline_store::on_append_finished(const core::append_finished& finished)
{
    const auto open = appends_open_.find(finished.append);
    if (open == appends_open_.end()) {
        return;
    }
    if (finished.outcome == core::append_outcome::appended) {
        appends_.push_back({open->second, finished.first});
    }
    appends_open_.erase(open);
    if (appends_.size() > append_marks_most) {
        appends_.pop_front();
    }
}

void timeline_store::add(const core::timeline_entry& entry, log_offset applied)
{
    last_sequence_ = entry.sequence;
    entries_.push_back({entry, sent_, applied, take(heard_)});
    if (entries_.size() > most_) {
        entries_.pop_front();
    }
}

timeline_part timeline_store::find(const timeline_filter& filter) const
{
    timeline_part part;
    if (entries_.empty()) {
        return part;
    }
    part.first_kept = entries_.front().entry.sequence;
    part.last = entries_.back().entry.sequence;
    part.appends.assign(appends_.begin(), appends_.end());
    std::map<node_id, heard_message> skipped; // heard by entries that are left out
    const auto first =
        std::partition_point(entries_.begin(), entries_.end(), [&](const placed_entry& placed) {
            return placed.entry.sequence <= filter.after;
        });
    for (auto placed = first; placed != entries_.end(); ++placed) {
        for (const heard_message& message : placed->heard) {
            hear(skipped, message);
        }
        if (filter.matches(placed->entry)) {
            part.entries.push_back({placed->entry, placed->sent, placed->applied, take(skipped)});
        }
    }
    if (part.entries.size() > filter.most) {
        part.cut = true;
        part.entries.erase(part.entries.begin(),
                           part.entries.end() - static_cast<std::ptrdiff_t>(filter.most));
    }
    return part;
}

} // namespace currantspar::node
