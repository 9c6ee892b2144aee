#ifndef CURRANTSPAR_GATEWAY_STORE_WATCH_HPP
#define CURRANTSPAR_GATEWAY_STORE_WATCH_HPP

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "currantspar/gateway/server_connection.hpp"
#include "currantspar/gateway/wire_protocol.hpp"

namespace currantspar::gateway {

struct store_watch_options
{
    duration period{};             ///< between two reads; 0: the next read starts at once
    duration initial_delay{};      ///< before the first read
    duration post_listing_delay{}; ///< from a listing to the next read, when longer than `period`
    duration wait{};               ///< how long the store may hold a read until records arrive (long polling)
    /// Longest time without a byte of the response, beyond `wait`. A complete response may take longer, so
    /// that a large one arrives over a slow link.
    duration response_timeout = std::chrono::milliseconds(1100);
    duration initial_backoff = std::chrono::milliseconds(150);
    duration max_backoff = std::chrono::milliseconds(500);
};

/// Callbacks of a watch.
struct store_watch_handlers
{
    /// The latest record of each key, which replaces all records reported before.
    std::function<void(const std::vector<keyed_record>&, instant)> listed;
    /// Records appended since the last report, in order.
    std::function<void(const std::vector<keyed_record>&, instant)> changed;
    std::function<void(const std::string& reason, instant)>
        read_failed;                        ///< called once when reads begin to fail
    std::function<void(instant)> recovered; ///< reads succeed again, or for the first time
    /// A read succeeded; it reflects the topic at `read_started_at` or later. Called after the other
    /// callbacks.
    std::function<void(instant read_started_at)> read_completed = [](instant) {};
    /// A response named a higher era than the ones before: the store has lost records, and a listing follows.
    /// Called before the other callbacks for that response.
    std::function<void(std::uint64_t era, instant)> era_changed = [](std::uint64_t, instant) {};
};

/// Follows one topic of the shared store: lists its records, then polls for new ones, and lists again when
/// the store has compacted the next offset away or its era has risen. Responses of an earlier era are
/// dropped. Not thread safe.
class store_watch : private exchange_sink
{
public:
    store_watch(server_pool& pool, const wire_protocol& wire, std::string store, shared_topic topic,
                store_watch_options options, store_watch_handlers handlers);
    ~store_watch() override;

    /// Starts a read that is due, and cancels one that has timed out.
    void on_tick(instant now);
    /// Cancels the pending read and starts another, also while idle. For when the store is known to have
    /// failed, to have recovered, or to hold newer records.
    void restart(instant now);
    /// While idle, no read starts by itself, because a peer reads the topic for this node.
    void set_idle(bool idle) { idle_ = idle; }
    /// True while a response is arriving.
    [[nodiscard]] bool receiving() const { return exchange_ != 0 && response_.status != 0; }
    /// Requests one read, also while idle. A pending read serves the request; after a failed
    /// read, the next one waits for the backoff.
    void read_once(instant now);
    /// Requests one read at `due`, also while idle.
    void read_at(instant due);
    /// The store's era has risen, as known from elsewhere: cancels the pending read, and the next one lists
    /// the topic. Lower eras than the one known are ignored.
    void on_era(std::uint64_t era);
    /// A peer has sent what it read from the topic: cancels the pending read and counts the store as
    /// reachable.
    void on_peer_update(instant now);
    /// Skips records before `next`, which are known from another source.
    void advance(std::uint64_t next) { next_ = std::max(next_, next); }
    /// The offset of the next read. Meaningful after the first listing.
    [[nodiscard]] std::uint64_t next() const { return next_; }
    /// False while reads fail, and before the first success.
    [[nodiscard]] bool store_reachable() const { return store_reachable_; }
    /// The highest era seen; 0 before the first response.
    [[nodiscard]] std::uint64_t era() const { return era_.value_or(0); }

private:
    bool response_head(int status, const http_fields& fields) override;
    [[nodiscard]] std::size_t max_body_bytes() const override;
    void response_body(std::string_view bytes) override;
    void response_complete() override;
    void request_failed(bool written, const std::string& detail) override;

    void begin(instant now);
    void on_listing(instant now);
    void on_records(instant now);
    /// Returns whether the response can be used, considering its era.
    [[nodiscard]] bool check_era(instant now);
    void list_again();
    void succeeded(instant now);
    void failed(const std::string& reason, instant now);

    server_pool& pool_;
    const wire_protocol& wire_;
    std::string store_;
    shared_topic topic_;
    store_watch_options options_;
    store_watch_handlers handlers_;

    std::optional<std::uint64_t> era_; ///< the highest one seen
    bool listing_ = true;
    std::string after_key_;
    std::vector<keyed_record> pages_;
    std::uint64_t next_ = 0;
    std::uint64_t request_offset_ = 0; ///< offset that the pending read started from
    bool idle_ = false;
    bool read_requested_ = false;
    http_response response_;
    exchange_id exchange_ = 0;
    bool started_ = false;
    instant due_{};
    instant read_started_at_{};
    instant last_byte_at_{}; ///< when response bytes last arrived, or the read's start before that
    bool store_reachable_ = false;
    unsigned failures_ = 0;
};

} // namespace currantspar::gateway

#endif
