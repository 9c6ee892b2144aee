#include "inbound_peers.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include <kj/debug.h>
#include <sys/socket.h>

#include "currantspar/io/clock.hpp"
#include "currantspar/io/log.hpp"

namespace currantspar::io {

namespace {

/// Smaller reads need no share of the memory for unfinished messages.
constexpr std::size_t small_read_bytes = 65536;
/// Of the kernel, for each connection.
constexpr int receive_buffer_bytes = 65536;

kj::Duration to_kj(duration value)
{
    return value.count() * kj::MICROSECONDS;
}

kj::Exception refusal(kj::StringPtr reason)
{
    return KJ_EXCEPTION(OVERLOADED, reason);
}

} // namespace

class inbound_peers::stream final : public kj::AsyncIoStream
{
public:
    stream(inbound_peers& owner, kj::Own<kj::AsyncIoStream> inner)
        : owner_(owner), inner_(kj::mv(inner)), end_(kj::newPromiseAndFulfiller<void>()),
          ended_(end_.promise.fork()), used_at_(monotonic_now())
    {}
    ~stream() { owner_.streams_.erase(this); }

    [[nodiscard]] bool has_spoken() const { return has_spoken_; }
    [[nodiscard]] instant used_at() const { return used_at_; }
    /// Fails the reads from now on, which ends the connection.
    void end() { end_.fulfiller->fulfill(); }

    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes, std::size_t max_bytes) override
    {
        if (min_bytes > owner_.limits_.message_bytes) {
            return refusal("the message is too large");
        }
        auto refused = ended_.addBranch().then(
            []() -> kj::Promise<std::size_t> { return refusal("the connection's place is needed"); });
        return when_written()
            .then([this, buffer, min_bytes, max_bytes] { return read_limited(buffer, min_bytes, max_bytes); })
            .exclusiveJoin(kj::mv(refused));
    }

    kj::Promise<void> write(const void* buffer, std::size_t size) override
    {
        return limited(inner_->write(buffer, size));
    }
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        return limited(inner_->write(pieces));
    }
    kj::Promise<void> whenWriteDisconnected() override { return inner_->whenWriteDisconnected(); }
    void shutdownWrite() override { inner_->shutdownWrite(); }
    void abortRead() override { inner_->abortRead(); }

private:
    kj::Promise<std::size_t> read_limited(void* buffer, std::size_t min_bytes, std::size_t max_bytes)
    {
        const std::size_t share = min_bytes > small_read_bytes ? min_bytes : 0;
        if (owner_.unfinished_bytes_ + share > owner_.limits_.unfinished_bytes) {
            return refusal("too many unfinished messages");
        }
        auto reading = inner_->tryRead(buffer, min_bytes, max_bytes);
        if (share > 0) {
            owner_.unfinished_bytes_ += share;
            reading = owner_.timer_.timeoutAfter(to_kj(owner_.limits_.transfer_time), kj::mv(reading))
                          .attach(kj::defer([this, share] { owner_.unfinished_bytes_ -= share; }));
        }
        return reading.then([this](std::size_t count) {
            has_spoken_ = has_spoken_ || count > 0;
            used_at_ = monotonic_now();
            return count;
        });
    }

    kj::Promise<void> limited(kj::Promise<void> writing)
    {
        writes_ += 1;
        return owner_.timer_.timeoutAfter(to_kj(owner_.limits_.transfer_time), kj::mv(writing))
            .attach(kj::defer([this] {
                writes_ -= 1;
                if (writes_ == 0) {
                    go_on_reading();
                }
            }));
    }

    /// Resolves once no response waits to be written.
    kj::Promise<void> when_written()
    {
        if (writes_ == 0) {
            return kj::READY_NOW;
        }
        auto written = kj::newPromiseAndFulfiller<void>();
        written_ = kj::mv(written.fulfiller);
        return kj::mv(written.promise);
    }

    void go_on_reading()
    {
        KJ_IF_MAYBE (waiting, written_) {
            (*waiting)->fulfill();
            written_ = nullptr;
        }
    }

    inbound_peers& owner_;
    kj::Own<kj::AsyncIoStream> inner_;
    kj::PromiseFulfillerPair<void> end_;
    kj::ForkedPromise<void> ended_;
    kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> written_; ///< of a read that waits
    std::size_t writes_ = 0;
    bool has_spoken_ = false;
    instant used_at_;
};

inbound_peers::inbound_peers(const inbound_limits& limits, kj::Timer& timer) : limits_(limits), timer_(timer)
{}

kj::Own<kj::AsyncIoStream> inbound_peers::admit(kj::Own<kj::AsyncIoStream> accepted)
{
    accepted->setsockopt(SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
    if (streams_.size() >= limits_.connections) {
        end_least_used();
    }
    auto admitted = kj::heap<stream>(*this, kj::mv(accepted));
    streams_.insert(admitted.get());
    return admitted;
}

void inbound_peers::end_least_used()
{
    const auto least =
        std::min_element(streams_.begin(), streams_.end(), [](const stream* left, const stream* right) {
            return std::pair(left->has_spoken(), left->used_at()) <
                   std::pair(right->has_spoken(), right->used_at());
        });
    stream& ended = **least;
    streams_.erase(least);
    ended.end();
    if (const auto count = ended_lines_.on_event(monotonic_now())) {
        log_event(log_level::warning, "peer_connection_ended",
                  {{"reason", "connections"}, {"count", std::to_string(*count)}});
    }
}

} // namespace currantspar::io
