#ifndef CURRANTSPAR_RELAY_USAGE_DUTY_HPP
#define CURRANTSPAR_RELAY_USAGE_DUTY_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "currantspar/relay/duty.hpp"
#include "currantspar/relay/relay_effect.hpp"
#include "currantspar/relay/usage_ledger.hpp"
#include "currantspar/relay/wall_clock_estimate.hpp"

namespace currantspar::relay {

struct usage_duty_options
{
    duration window = std::chrono::seconds(5);
    duration deadline = std::chrono::seconds(10);  ///< from a window's end until its report is due
    duration completion = std::chrono::seconds(2); ///< from a window's end until all counts have arrived
    duration late = std::chrono::seconds(5);       ///< after its deadline, a window is dropped
    duration first_backoff = std::chrono::milliseconds(250);
    duration max_backoff = std::chrono::seconds(1);
};

/// Reports the usage of each window, oldest first. A window's counts are recorded in the shared store before
/// they are reported, and only recorded counts are reported, so all holders report the same counts of a
/// window. A recorded window that isn't known to be reported is reported again, which is harmless. A window
/// whose record can't be known is never reported: its record was replaced by that of a later window, or the
/// store may have lost it. Not thread safe.
class usage_duty : public duty
{
public:
    /// `ledger` and `clock` must outlive this object.
    usage_duty(usage_ledger& ledger, const wall_clock_estimate& clock, usage_duty_options options = {});

    /// Tells whether the configuration in force has organisations. Windows without any counts are reported
    /// from the first one that began after that.
    void set_organisations(bool exist, instant now);
    /// Tells whether the ledger receives the counts of all nodes; if it doesn't, only recorded windows are
    /// reported.
    void set_collecting(bool collecting) { collecting_ = collecting; }
    /// The store's era rose, or its first known era is above 0: the store may have lost records of windows
    /// that ended before, so these are reported only if this node knows their records.
    void on_era(instant now);
    /// A peer knows that all windows up to this one were reported.
    void on_reported(std::uint64_t window, instant now);

    [[nodiscard]] bool pending(instant now) const override;
    void on_records(const std::vector<duty_record>& records, instant now) override;
    [[nodiscard]] std::optional<duty_step> next(instant now) override;
    void on_recorded(const duty_record& record, instant now) override;
    void on_called(const duty_call& call, duty_outcome outcome, instant now) override;
    void on_lost(instant now) override;

    /// Returns the highest window that is known to be reported; 0: none.
    [[nodiscard]] std::uint64_t reported() const { return reported_; }
    /// Returns the number of windows that this node reported.
    [[nodiscard]] std::uint64_t reported_windows() const { return reported_windows_; }
    /// Returns the number of windows that this node dropped without a report while it was the holder.
    [[nodiscard]] std::uint64_t missed_windows() const { return missed_windows_; }
    /// Returns the decisions since the last call, for the log.
    [[nodiscard]] std::vector<log_decision> take_log() { return std::exchange(log_, {}); }

private:
    /// The newest record that is known of a key.
    struct known_record
    {
        std::uint64_t window = 0; ///< 0: none
        usage_ledger::counts counts;
        bool stored = false;      ///< in the store's current era
        bool conflicting = false; ///< two records of the window had different counts
    };

    static constexpr std::size_t record_keys = 16;

    [[nodiscard]] known_record& slot(std::uint64_t window) { return records_[window % record_keys]; }
    [[nodiscard]] const known_record& slot(std::uint64_t window) const
    {
        return records_[window % record_keys];
    }
    /// Adds a record to those that are known. Returns false when it isn't one of usage.
    bool remember(const duty_record& record);
    /// Returns the last window that ended at least `age` ago; nothing before the first one.
    [[nodiscard]] std::optional<std::uint64_t> last_ended(duration age, instant now) const;
    /// Returns the oldest unreported window from `lowest` to `last` that has a record, has counts, or is
    /// reported without counts.
    [[nodiscard]] std::optional<std::uint64_t> oldest_unreported(std::uint64_t lowest,
                                                                 std::uint64_t last) const;
    /// Returns the oldest window that can be reported now.
    [[nodiscard]] std::optional<std::uint64_t> due_window(instant now) const;
    [[nodiscard]] bool can_report(std::uint64_t window) const;
    /// Gives up the oldest windows if their deadline has long passed or their records can't be known.
    void drop_unreportable_windows(instant now);
    void drop(std::uint64_t first, std::uint64_t last, const char* reason);
    void advance_reported(std::uint64_t window);

    usage_ledger& ledger_;
    const wall_clock_estimate& clock_;
    usage_duty_options options_;
    std::array<known_record, record_keys> records_{};
    bool records_read_ = false; ///< since this node became the holder
    bool organisations_exist_ = false;
    bool collecting_ = false;
    std::uint64_t first_empty_window_ = 0; ///< reported although it has no counts
    std::uint64_t reported_ = 0;
    std::uint64_t dropped_ = 0;    ///< the last window that was given up
    std::uint64_t era_window_ = 0; ///< the last one that ended before the store's era began
    instant retry_at_{};
    duration backoff_;
    std::uint64_t reported_windows_ = 0;
    std::uint64_t missed_windows_ = 0;
    std::vector<log_decision> log_;
};

} // namespace currantspar::relay

#endif
