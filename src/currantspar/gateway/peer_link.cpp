#include "currantspar/gateway/peer_link.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstring>
#include <iterator>

#include <ace/Reactor.h>

#include "currantspar/io/address.hpp"
#include "currantspar/io/clock.hpp"
#include "currantspar/io/log.hpp"

namespace currantspar::gateway {

namespace {

/// The time of this start: it grows from one start of a node to the next unless its wall clock is set back.
std::uint64_t new_incarnation()
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(1, io::wall_now().time_since_epoch().count()));
}

/// Larger digests are split: nodes of earlier releases receive no more at once.
constexpr std::size_t max_digest_bytes = 16384;
/// The largest datagram that UDP over IPv4 carries, for a digest that can't be split.
constexpr std::size_t max_datagram_bytes = 65507;
/// Datagrams that one event reads; the rest follows after the other events.
constexpr int max_datagrams = 64;

} // namespace

peer_link::peer_link(ACE_Reactor& reactor, peer_link_options options, digest_handler received)
    : reactor_(reactor), options_(options), received_(std::move(received))
{}

peer_link::~peer_link()
{
    if (socket_.get_handle() != ACE_INVALID_HANDLE) {
        reactor_.remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
        socket_.close();
    }
}

result<void> peer_link::open(const std::string& address, const data_centre_id& data_centre)
{
    const auto parsed = io::parse_address(address);
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    const ACE_INET_Addr local(parsed->port, parsed->host.c_str());
    if (socket_.open(local, PF_INET, 0, 1) != 0) {
        return fail(error_kind::unavailable, "can't receive at " + address + ": " + std::strerror(errno));
    }
    socket_.enable(ACE_NONBLOCK);
    self_ = address;
    incarnation_ = new_incarnation();
    data_centre_ = data_centre;
    if (reactor_.register_handler(this, ACE_Event_Handler::READ_MASK) != 0) {
        return fail(error_kind::internal, "the reactor rejected the socket at " + address);
    }
    return {};
}

void peer_link::add_peer(const std::string& address, instant now)
{
    if (address == self_ || peers_.contains(address)) {
        return;
    }
    if (const auto parsed = io::parse_address(address); parsed) {
        peers_.emplace(address, peer{ACE_INET_Addr(parsed->port, parsed->host.c_str()), now, 0, 0, now});
    }
}

void peer_link::send_digest(relay::engine_choice& work, relay::segment_quarantine& quarantine,
                            relay::server_limits& limits, std::uint64_t configuration,
                            std::optional<relay::directory_update> servers, instant now)
{
    const relay::engine_loads& own = work.own_work();
    load_digest digest{self_,
                       0,
                       now >= full_due_,
                       {},
                       work.take_new_segments(),
                       configuration,
                       data_centre_,
                       std::move(servers),
                       {},
                       quarantine.make_report(now >= full_due_, now),
                       limits.make_report(now >= full_due_, now)};
    if (digest.full) {
        full_due_ = now + options_.full_period;
        remove_inactive_peers(now);
        if (reported_window_) {
            digest.wall_clock = io::wall_now();
            digest.reported_window = *reported_window_;
        }
        digest.speeds = work.own_speeds();
        // A full digest replaces what the peers know, so engines without load need no entry.
        std::copy_if(
            own.begin(), own.end(), std::inserter(digest.engines, digest.engines.end()),
            [](const auto& entry) { return entry.second.running > 0 || entry.second.prefill_ms > 0; });
    } else {
        const bool is_urgent = add_changes(own, digest);
        if (may_wait(digest, is_urgent, now)) {
            flush_remote_if_due(now);
            return;
        }
    }
    release_due_.reset();
    const bool load_only = !digest.full && tells_load_only(digest);
    for (const auto& [engine, load] : digest.engines) {
        sent_loads_[engine] = load;
    }
    digest.store_era = digest.servers ? digest.servers->era : 0;
    sent_configuration_ = configuration;
    // Only a sent digest delays the next one, so a change after an idle period is sent at once.
    delta_due_ = now + digest_period();
    digest.incarnation = incarnation_;
    if (load_only) {
        send_load(std::move(digest), now);
        return;
    }
    // What was kept is older than this digest and must not arrive after it.
    flush_remote(now);
    send_to_peers(std::move(digest), audience::all);
}

bool peer_link::tells_load_only(const load_digest& digest) const
{
    return !digest.servers && digest.quarantine.empty() && digest.limits.empty() &&
           digest.configuration == sent_configuration_;
}

bool peer_link::is_remote(const peer& known) const
{
    return !known.data_centre.empty() && known.data_centre != data_centre_;
}

void peer_link::send_load(load_digest digest, instant now)
{
    if (!remote_pending_) {
        remote_pending_ = digest;
    } else {
        for (const auto& [engine, load] : digest.engines) {
            remote_pending_->engines[engine] = load;
        }
        remote_pending_->segments.insert(remote_pending_->segments.end(), digest.segments.begin(),
                                         digest.segments.end());
    }
    send_to_peers(std::move(digest), audience::local);
    flush_remote_if_due(now);
}

void peer_link::flush_remote_if_due(instant now)
{
    if (now >= remote_due_) {
        flush_remote(now);
    }
}

void peer_link::flush_remote(instant now)
{
    if (!remote_pending_) {
        return;
    }
    remote_due_ = now + remote_digest_period();
    load_digest pending = std::move(*remote_pending_);
    remote_pending_.reset();
    send_to_peers(std::move(pending), audience::remote);
}

bool peer_link::add_changes(const relay::engine_loads& own, load_digest& digest) const
{
    bool is_urgent = false;
    for (const auto& [engine, load] : own) {
        const auto found = sent_loads_.find(engine);
        const relay::engine_work before = found == sent_loads_.end() ? relay::engine_work{} : found->second;
        const bool same_prefill = std::abs(before.prefill_ms - load.prefill_ms) < options_.min_change_ms;
        if (same_prefill && before.running == load.running && found != sent_loads_.end()) {
            continue;
        }
        digest.engines.emplace(engine, load);
        is_urgent = is_urgent || !same_prefill || load.running > before.running;
    }
    return is_urgent;
}

bool peer_link::may_wait(const load_digest& digest, bool is_urgent, instant now)
{
    if (is_urgent || !digest.segments.empty() || !tells_load_only(digest)) {
        return false;
    }
    if (digest.engines.empty()) {
        return true;
    }
    if (!release_due_) {
        release_due_ = now + digest_period() * options_.release_delay_periods;
    }
    return now < *release_due_;
}

void peer_link::send_to(const std::vector<std::string>& addresses, load_digest digest)
{
    std::vector<const ACE_INET_Addr*> receivers;
    for (const std::string& address : addresses) {
        if (const auto known = peers_.find(address); known != peers_.end()) {
            receivers.push_back(&known->second.address);
        }
    }
    if (receivers.empty()) {
        return;
    }
    digest.sender = self_;
    digest.incarnation = incarnation_;
    digest.configuration = sent_configuration_;
    digest.data_centre = data_centre_;
    send(std::move(digest), receivers);
}

void peer_link::send_to_peers(load_digest digest, audience to)
{
    std::vector<const ACE_INET_Addr*> receivers;
    for (const auto& [address, known] : peers_) {
        if (to == audience::all || (to == audience::remote) == is_remote(known)) {
            receivers.push_back(&known.address);
        }
    }
    if (receivers.empty()) {
        return;
    }
    send(std::move(digest), receivers);
}

void peer_link::send(load_digest digest, const std::vector<const ACE_INET_Addr*>& receivers)
{
    digest.sequence = ++sequence_;
    const std::string bytes = encode_digest(digest);
    if (bytes.size() > max_digest_bytes) {
        if (auto rest = split_off_half(digest)) {
            send(std::move(digest), receivers);
            send(std::move(*rest), receivers);
            return;
        }
    }
    for (const ACE_INET_Addr* to : receivers) {
        // A datagram that can't be sent is treated like a lost one: the next digests repair it.
        static_cast<void>(socket_.send(bytes.data(), bytes.size(), *to));
    }
}

void peer_link::remove_inactive_peers(instant now)
{
    std::erase_if(
        peers_, [&](const auto& entry) { return now - entry.second.last_received > options_.peer_timeout; });
}

std::vector<std::string> peer_link::recent_peers(instant now) const
{
    std::vector<std::string> recent;
    for (const auto& [address, known] : peers_) {
        if (now - known.last_received <= options_.recent) {
            recent.push_back(address);
        }
    }
    return recent;
}

duration peer_link::digest_period() const
{
    return std::max(options_.delta_period,
                    options_.delta_period_per_peer * static_cast<std::int64_t>(peers_.size()));
}

duration peer_link::remote_digest_period() const
{
    const auto peers = static_cast<std::int64_t>(peers_.size());
    return std::max(digest_period(), options_.remote_period_per_pair * peers * peers);
}

duration peer_link::view_lag() const
{
    if (peers_.empty()) {
        return digest_period();
    }
    const auto remote = std::count_if(peers_.begin(), peers_.end(),
                                      [this](const auto& entry) { return is_remote(entry.second); });
    const auto all = static_cast<std::int64_t>(peers_.size());
    return (digest_period() * (all - remote) + remote_digest_period() * remote) / all;
}

std::size_t peer_link::rank() const
{
    return static_cast<std::size_t>(std::distance(peers_.begin(), peers_.lower_bound(self_)));
}

int peer_link::handle_input(ACE_HANDLE)
{
    static std::array<char, max_datagram_bytes> buffer;
    for (int count = 0; count < max_datagrams; ++count) {
        ACE_INET_Addr from;
        const ssize_t got = socket_.recv(buffer.data(), buffer.size(), from, MSG_DONTWAIT);
        if (got < 0) {
            break;
        }
        receive(std::string_view(buffer.data(), static_cast<std::size_t>(got)));
    }
    return 0;
}

void peer_link::receive(std::string_view bytes)
{
    const auto digest = decode_digest(bytes);
    const instant now = io::monotonic_now();
    if (!digest) {
        if (const auto count = unreadable_lines_.on_event(now)) {
            io::log_event(io::log_level::warning, "digest_unreadable",
                          {{"reason", digest.error().message}, {"count", std::to_string(*count)}});
        }
        return;
    }
    if (digest->sender.empty() || digest->sender == self_) {
        return;
    }
    add_peer(digest->sender, now);
    const auto found = peers_.find(digest->sender);
    if (found == peers_.end()) {
        return;
    }
    peer& known = found->second;
    known.last_received = now;
    known.data_centre = digest->data_centre;
    if (is_outdated(*digest, known, now)) {
        return;
    }
    known.incarnation = digest->incarnation;
    known.sequence = digest->sequence;
    known.last_counted = now;
    received_(*digest);
}

bool peer_link::is_outdated(const load_digest& digest, const peer& known, instant now) const
{
    const bool lower = digest.sequence < known.sequence;
    if (digest.incarnation == 0) {
        // Without an incarnation, a much lower sequence number tells a restart; a slightly lower one was
        // reordered.
        constexpr std::uint64_t reorder_window = 64;
        return lower && known.sequence - digest.sequence < reorder_window;
    }
    if (digest.incarnation < known.incarnation) {
        return now - known.last_counted <= options_.incarnation_timeout;
    }
    return digest.incarnation == known.incarnation && lower;
}

} // namespace currantspar::gateway
