#include "currantspar/io/peer_network.hpp"

#include <atomic>
#include <deque>
#include <future>
#include <map>
#include <mutex>
#include <thread>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "currantspar/io/address.hpp"
#include "currantspar/io/clock.hpp"
#include "inbound_peers.hpp"
#include "peer_codec.hpp"

namespace currantspar::io {

namespace {

constexpr int keepalive_idle_seconds = 5;
constexpr int keepalive_interval_seconds = 2;

/// Until the next accept after one that failed.
constexpr kj::Duration accept_pause = 100 * kj::MILLISECONDS;

kj::Duration to_kj(duration value)
{
    return value.count() * kj::MICROSECONDS;
}

void keep_alive(kj::AsyncIoStream& stream)
{
    const int on = 1;
    stream.setsockopt(SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    stream.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, &keepalive_idle_seconds, sizeof keepalive_idle_seconds);
    stream.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, &keepalive_interval_seconds,
                      sizeof keepalive_interval_seconds);
    stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/// Takes the messages that other nodes send.
class receiver final : public wire::Peer::Server
{
public:
    explicit receiver(event_sink sink) : sink_(std::move(sink)) {}

    kj::Promise<void> deliver(DeliverContext context) override
    {
        if (auto received = read_message(context.getParams().getMessage())) {
            sink_(std::move(*received));
        }
        return kj::READY_NOW;
    }

private:
    const event_sink sink_;
};

/// A connection to another node, with the client that speaks over it.
struct connection
{
    explicit connection(kj::Own<kj::AsyncIoStream> opened)
        : stream(kj::mv(opened)), client(*stream), peer(client.bootstrap().castAs<wire::Peer>())
    {}

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
    wire::Peer::Client peer;
};

/// What this node has to do with one other node.
struct link
{
    std::deque<core::send_peer> waiting;
    kj::Own<connection> open;
    bool dialling = false;
    std::uint64_t generation = 0; ///< counts connections, so that an old one's failure isn't the new one's
    std::size_t unanswered = 0;
    instant used{};
};

/// Everything that lives on the network's thread.
class peer_loop : private kj::TaskSet::ErrorHandler
{
public:
    peer_loop(const peer_network_options& options, event_sink sink, kj::AsyncIoContext& io)
        : options_(options), sink_(std::move(sink)), io_(io),
          inbound_({options.connections_most, options.message_bytes_most, options.unfinished_bytes_most,
                    options.answer_limit},
                   io.provider->getTimer()),
          server_(kj::heap<receiver>(sink_)), tasks_(*this)
    {}

    void listen(kj::Own<kj::ConnectionReceiver> listener)
    {
        listener_ = kj::mv(listener);
        tasks_.add(accept());
        tasks_.add(close_idle());
    }

    void send(core::send_peer message)
    {
        link& to = links_[message.to];
        const node_id node = message.to;
        if (to.waiting.size() + to.unanswered >= options_.queued_most) {
            sink_(core::peer_unreachable{node, "the queue is full"});
            return;
        }
        to.waiting.push_back(std::move(message));
        pump(node, to);
    }

private:
    void taskFailed(kj::Exception&&) override {}

    kj::Promise<void> accept()
    {
        // An accept that fails at once throws.
        return kj::evalNow([this] { return listener_->accept(); })
            .then([this](kj::Own<kj::AsyncIoStream>&& stream) {
                keep_alive(*stream);
                server_.accept(inbound_.admit(kj::mv(stream)));
            })
            .catch_([this](kj::Exception&&) {
                // For lack of a descriptor, or the connection is gone already.
                return io_.provider->getTimer().afterDelay(accept_pause);
            })
            .then([this] { return accept(); });
    }

    void pump(const node_id& node, link& to)
    {
        if (to.open.get() == nullptr) {
            dial(node, to);
            return;
        }
        while (!to.waiting.empty()) {
            deliver(node, to, to.waiting.front());
            to.waiting.pop_front();
        }
    }

    void dial(const node_id& node, link& to)
    {
        if (to.dialling) {
            return;
        }
        to.dialling = true;
        auto dialled = io_.provider->getNetwork()
                           .parseAddress(node.str())
                           .then([](kj::Own<kj::NetworkAddress>&& address) {
                               auto connected = address->connect();
                               return connected.attach(kj::mv(address));
                           });
        tasks_.add(io_.provider->getTimer()
                       .timeoutAfter(to_kj(options_.answer_limit), kj::mv(dialled))
                       .then(
                           [this, node](kj::Own<kj::AsyncIoStream>&& stream) {
                               link& opened = links_[node];
                               keep_alive(*stream);
                               opened.dialling = false;
                               opened.generation += 1;
                               opened.open = kj::heap<connection>(kj::mv(stream));
                               pump(node, opened);
                           },
                           [this, node](kj::Exception&& problem) {
                               link& failed = links_[node];
                               failed.dialling = false;
                               give_up(node, failed, problem);
                           }));
    }

    void deliver(const node_id& node, link& to, const core::send_peer& message)
    {
        auto request = to.open->peer.deliverRequest();
        write_message(request.initMessage(), options_.self, options_.process, message);
        to.unanswered += 1;
        to.used = monotonic_now();
        tasks_.add(io_.provider->getTimer()
                       .timeoutAfter(to_kj(options_.answer_limit), request.send().ignoreResult())
                       .then([this, node, generation = to.generation] { answered(node, generation); },
                             [this, node, generation = to.generation](kj::Exception&& problem) {
                                 failed(node, generation, problem);
                             }));
    }

    void answered(const node_id& node, std::uint64_t generation)
    {
        link& to = links_[node];
        if (to.generation == generation && to.unanswered > 0) {
            to.unanswered -= 1;
        }
    }

    /// A message got no answer: the connection may have gone silent, so the next one gets a new one.
    void failed(const node_id& node, std::uint64_t generation, const kj::Exception& problem)
    {
        link& to = links_[node];
        if (to.generation == generation && to.open.get() != nullptr) {
            give_up(node, to, problem);
        }
    }

    void give_up(const node_id& node, link& to, const kj::Exception& problem)
    {
        to.waiting.clear();
        retire(to);
        sink_(core::peer_unreachable{node, problem.getDescription().cStr()});
    }

    /// Closes a connection, but not while one of its own promises is being run.
    void retire(link& to)
    {
        to.unanswered = 0;
        to.generation += 1;
        if (to.open.get() != nullptr) {
            tasks_.add(kj::evalLater([old = kj::mv(to.open)]() {}));
        }
    }

    kj::Promise<void> close_idle()
    {
        return io_.provider->getTimer().afterDelay(1 * kj::SECONDS).then([this]() {
            const instant now = monotonic_now();
            for (auto& [node, to] : links_) {
                const bool idle = to.open.get() != nullptr && to.unanswered == 0 && to.waiting.empty();
                if (idle && now - to.used > options_.idle_most) {
                    retire(to);
                }
            }
            std::erase_if(links_, [](const auto& entry) {
                return entry.second.open.get() == nullptr && !entry.second.dialling &&
                       entry.second.waiting.empty();
            });
            return close_idle();
        });
    }

    const peer_network_options& options_;
    const event_sink sink_;
    kj::AsyncIoContext& io_;
    inbound_peers inbound_; // outlives the connections of the server
    capnp::TwoPartyServer server_;
    kj::Own<kj::ConnectionReceiver> listener_;
    std::map<node_id, link> links_;
    kj::TaskSet tasks_;
};

class capnp_peer_network : public peer_network
{
public:
    capnp_peer_network(peer_network_options options, event_sink sink)
        : options_(std::move(options)), sink_(std::move(sink)), wake_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {}

    ~capnp_peer_network() override
    {
        stopping_ = true;
        eventfd_write(wake_, 1);
        if (thread_.joinable()) {
            thread_.join();
        }
        close(wake_);
    }

    result<void> open()
    {
        if (const auto address = parse_address(options_.self.str()); !address) {
            return tl::unexpected<error>(address.error());
        }
        std::promise<std::string> opened;
        auto problem = opened.get_future();
        thread_ = std::thread([this, &opened] { run(opened); });
        const std::string text = problem.get();
        if (!text.empty()) {
            return fail(error_kind::unavailable,
                        "can't listen for peers on " + options_.self.str() + ": " + text);
        }
        return {};
    }

    void send(const core::send_peer& message) override
    {
        {
            const std::lock_guard lock(mutex_);
            if (commands_.size() >= options_.queued_most * 4) {
                return; // the thread is stuck; probes will tell
            }
            commands_.push_back(message);
        }
        eventfd_write(wake_, 1);
    }

private:
    void run(std::promise<std::string>& opened)
    {
        auto io = kj::setupAsyncIo();
        peer_loop loop(options_, sink_, io);
        auto problem = kj::runCatchingExceptions([&]() {
            auto address = io.provider->getNetwork().parseAddress(options_.self.str()).wait(io.waitScope);
            loop.listen(address->listen());
        });
        KJ_IF_MAYBE (failure, problem) {
            opened.set_value(failure->getDescription().cStr());
            return;
        }
        opened.set_value({});
        kj::UnixEventPort::FdObserver observer(io.unixEventPort, wake_,
                                               kj::UnixEventPort::FdObserver::OBSERVE_READ);
        while (!stopping_) {
            observer.whenBecomesReadable().wait(io.waitScope);
            eventfd_t value = 0;
            eventfd_read(wake_, &value);
            for (core::send_peer& message : take_commands()) {
                loop.send(std::move(message));
            }
        }
    }

    std::vector<core::send_peer> take_commands()
    {
        const std::lock_guard lock(mutex_);
        return std::exchange(commands_, {});
    }

    const peer_network_options options_;
    const event_sink sink_;
    const int wake_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::vector<core::send_peer> commands_;
    std::thread thread_;
};

} // namespace

result<std::unique_ptr<peer_network>> make_capnp_peer_network(peer_network_options options, event_sink sink)
{
    auto network = std::make_unique<capnp_peer_network>(std::move(options), std::move(sink));
    if (auto opened = network->open(); !opened) {
        return tl::unexpected<error>(opened.error());
    }
    return network;
}

} // namespace currantspar::io
