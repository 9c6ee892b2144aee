#ifndef CURRANTSPAR_GATEWAY_STORE_WATCH_HPP
#define CURRANTSPAR_GATEWAY_STORE_WATCH_HPP

#include <algorithm>
#include <functional>
#include <string>

#include "currantspar/gateway/server_connection.hpp"
#include "currantspar/gateway/wire_protocol.hpp"

namespace currantspar::gateway {

struct store_watch_options
{
    duration period{};             ///< between two reads; 0: the next read begins at once
    duration initial_delay{};      ///< before the first read
    duration post_listing_delay{}; ///< after a listing, before the next read, when longer than `period`
    duration wait{};               ///< how long the store may hold a read until records arrive
    /// Without a byte of the answer, beyond `wait`. A long answer on a slow link may take longer as a whole.
    duration response_timeout = std::chrono::milliseconds(1100);
    duration initial_backoff = std::chrono::milliseconds(150);
    duration max_backoff = std::chrono::milliseconds(500);
};

/// What a watch tells of its topic.
struct store_watch_handlers
{
    /// All newest records, in place of what was told before.
    std::function<void(const std::vector<keyed_record>&, instant)> listed;
    /// Records that came since, in their order.
    std::function<void(const std::vector<keyed_record>&, instant)> changed;
    std::function<void(const std::string& reason, instant)> read_failed; ///< reads fail
    std::function<void(instant)> recovered;                              ///< reads work again
    /// A read has ended well; it tells the topic as it was at `begun` or later. Called after the others.
    std::function<void(instant begun)> read_completed = [](instant) {};
};

/// Follows one topic of the shared store: lists its newest records, then reads on from there, and lists again
/// when the store has dropped what comes next. Not thread safe.
class store_watch : private exchange_sink
{
public:
    store_watch(server_pool& pool, const wire_protocol& wire, std::string store, shared_topic topic,
                store_watch_options options, store_watch_handlers handlers);
    ~store_watch() override;

    /// Begins a read that is due, and gives one up that is overdue.
    void on_tick(instant now);
    /// Gives up the read that is on its way and begins another, also while idle: the store was found to be
    /// lost or back, or to have something newer.
    void restart(instant now);
    /// While idle no read begins by itself: somebody else reads the topic.
    void set_idle(bool idle) { idle_ = idle; }
    /// True while the bytes of an answer arrive.
    [[nodiscard]] bool receiving() const { return exchange_ != 0 && response_.status != 0; }
    /// Begins one read now unless one is on its way; also while idle.
    void read_once(instant now);
    /// A peer's reading serves this node: the read on its way isn't needed, and the store is in touch through
    /// the peer.
    void on_peer_update(instant now);
    /// Records before `next` are known from elsewhere, so reads go on from there.
    void advance(std::uint64_t next) { next_ = std::max(next_, next); }
    /// Where the next read begins. Meaningful after the first listing.
    [[nodiscard]] std::uint64_t next() const { return next_; }
    /// False while reads fail, and before the first one.
    [[nodiscard]] bool store_reachable() const { return store_reachable_; }

private:
    bool response_head(int status, const http_fields& fields) override;
    void response_body(std::string_view bytes) override;
    void response_complete() override;
    void request_failed(bool written, const std::string& detail) override;

    void begin(instant now);
    void on_listing(instant now);
    void on_records(instant now);
    void succeeded(instant now);
    void failed(const std::string& reason, instant now);

    server_pool& pool_;
    const wire_protocol& wire_;
    std::string store_;
    shared_topic topic_;
    store_watch_options options_;
    store_watch_handlers handlers_;

    bool listing_ = true;
    std::string after_key_;
    std::vector<keyed_record> pages_;
    std::uint64_t next_ = 0;
    std::uint64_t request_offset_ = 0; ///< where the read on its way began
    bool idle_ = false;
    bool read_requested_ = false;
    http_response response_;
    exchange_id exchange_ = 0;
    bool started_ = false;
    instant due_{};
    instant read_started_at_{};
    instant
        last_byte_at_{}; ///< when bytes of the answer came last; before the first ones, when the read began
    bool store_reachable_ = false;
    unsigned failures_ = 0;
};

} // namespace currantspar::gateway

#endif
