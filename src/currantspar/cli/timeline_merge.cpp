#include "timeline_merge.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace currantspar::cli {

namespace {

/// One node's entries on their way into the joined line.
class source
{
public:
    explicit source(const node::timeline_part& part) : part_(part) {}

    [[nodiscard]] bool empty() const { return next_ == part_.entries.size(); }
    [[nodiscard]] const node::placed_entry& head() const { return part_.entries[next_]; }
    [[nodiscard]] const node::timeline_part& part() const { return part_; }
    void advance() { ++next_; }

    /// True when every entry made before message `counter` was taken.
    [[nodiscard]] bool past_message(std::uint64_t counter) const { return empty() || head().sent >= counter; }

    /// The sequence number of the last entry that precedes the log record at `applied`.
    [[nodiscard]] std::uint64_t before_record(log_offset applied) const
    {
        std::uint64_t last = 0;
        for (const node::append_mark& mark : part_.appends) {
            if (mark.first <= applied) {
                last = std::max(last, mark.after);
            }
        }
        return last;
    }

    /// True when every entry made before the records up to `applied` was taken.
    [[nodiscard]] bool past_record(log_offset applied) const
    {
        return empty() || head().entry.sequence > before_record(applied);
    }

private:
    const node::timeline_part& part_;
    std::size_t next_ = 0;
};

class joiner
{
public:
    explicit joiner(const std::vector<node::timeline_part>& parts)
    {
        for (const node::timeline_part& part : parts) {
            by_node_[part.node] = sources_.size();
            sources_.emplace_back(part);
        }
    }

    std::vector<joined_entry> run()
    {
        std::vector<joined_entry> joined;
        while (const auto chosen = choose()) {
            source& from = sources_[*chosen];
            const bool follows = last_ == chosen || (last_ && follows_last(from));
            joined.push_back({from.part().node, from.head().entry, !joined.empty() && !follows});
            last_ = chosen;
            last_entry_ = from.head();
            from.advance();
        }
        return joined;
    }

private:
    /// The source whose head comes next; nothing when all are empty.
    [[nodiscard]] std::optional<std::size_t> choose() const
    {
        std::optional<std::size_t> ready;
        std::optional<std::size_t> any;
        for (std::size_t i = 0; i < sources_.size(); ++i) {
            if (sources_[i].empty()) {
                continue;
            }
            any = earlier(any, i);
            if (is_ready(i)) {
                ready = earlier(ready, i);
            }
        }
        return ready ? ready : any; // nothing is ready only when nodes contradict each other
    }

    [[nodiscard]] std::optional<std::size_t> earlier(std::optional<std::size_t> one, std::size_t other) const
    {
        if (!one || sources_[other].head().entry.wall < sources_[*one].head().entry.wall) {
            return other;
        }
        return one;
    }

    [[nodiscard]] bool is_ready(std::size_t index) const
    {
        const node::placed_entry& head = sources_[index].head();
        for (const node::heard_message& message : head.heard) {
            const source* from = find(message);
            if (from != nullptr && !from->past_message(message.counter)) {
                return false;
            }
        }
        for (std::size_t i = 0; i < sources_.size(); ++i) {
            if (i != index && !sources_[i].past_record(head.applied)) {
                return false;
            }
        }
        return true;
    }

    /// The sender of a message, if it is still the same process.
    [[nodiscard]] const source* find(const node::heard_message& message) const
    {
        const auto found = by_node_.find(message.from);
        if (found == by_node_.end() || sources_[found->second].part().process != message.process) {
            return nullptr;
        }
        return &sources_[found->second];
    }

    /// True when the head is known to come after the entry taken last, which is another node's.
    [[nodiscard]] bool follows_last(const source& from) const
    {
        const source& last = sources_[*last_];
        const bool by_message = std::any_of(
            from.head().heard.begin(), from.head().heard.end(), [&](const node::heard_message& message) {
                return find(message) == &last && last_entry_.sent < message.counter;
            });
        return by_message || last_entry_.entry.sequence <= last.before_record(from.head().applied);
    }

    std::vector<source> sources_;
    std::map<node_id, std::size_t> by_node_;
    std::optional<std::size_t> last_;
    node::placed_entry last_entry_;
};

void add_gaps(const node::timeline_part& part, std::uint64_t after, std::vector<timeline_gap>& gaps)
{
    if (part.first_kept > after + 1) {
        const std::uint64_t dropped = part.first_kept - after - 1;
        gaps.push_back({part.node.str(), std::to_string(dropped) + " older entries were dropped"});
    }
    if (part.cut) {
        gaps.push_back({part.node.str(), "more entries match; the oldest are left out"});
    }
}

} // namespace

joined_timeline join(const std::vector<node::timeline_part>& parts, const std::vector<std::uint64_t>& after)
{
    joined_timeline out;
    out.entries = joiner(parts).run();
    for (std::size_t i = 0; i < parts.size(); ++i) {
        add_gaps(parts[i], i < after.size() ? after[i] : 0, out.gaps);
    }
    return out;
}

} // namespace currantspar::cli
