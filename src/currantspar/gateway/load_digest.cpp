#include "currantspar/gateway/load_digest.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include "load.capnp.h"

namespace currantspar::gateway {

namespace {

constexpr std::size_t traversal_words = 16384;
constexpr unsigned role_count = 3;
/// Stands for the limit of a server that has none any more.
constexpr double no_limit = -1;

std::uint32_t to_milliseconds(duration value)
{
    return static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(value).count()));
}

void write_change(const relay::directory_change& change, wire::ServerChange::Builder out)
{
    out.setOffset(change.offset);
    out.setId(change.id.str());
    out.setRemoved(!change.entry);
    if (!change.entry) {
        return;
    }
    const relay::server_entry& entry = *change.entry;
    out.setService(entry.service.str());
    out.setAddress(entry.address.str());
    out.setDataCentre(entry.data_centre.str());
    out.setSlots(entry.slots);
    out.setDraining(entry.draining);
    out.setRole(entry.role ? static_cast<std::uint8_t>(1 + static_cast<unsigned>(*entry.role)) : 0);
    out.setStarted(entry.started_ms);
    out.setReclaimable(entry.reclaimable);
}

/// Decodes a name that goes on to servers, the shared store or the log.
template <typename Name>
Name read_name(capnp::Text::Reader in)
{
    auto name = parse_name<Name>(std::string(in.begin(), in.end()));
    KJ_REQUIRE(name.has_value(), name.error().message);
    return std::move(*name);
}

/// The same where there may be none.
template <typename Name>
Name read_optional_name(capnp::Text::Reader in)
{
    return in.size() == 0 ? Name() : read_name<Name>(in);
}

backend_id read_server_id(capnp::Text::Reader in)
{
    auto id = parse_server_id(std::string(in.begin(), in.end()));
    KJ_REQUIRE(id.has_value(), id.error().message);
    return std::move(*id);
}

server_address read_address(capnp::Text::Reader in)
{
    auto address = server_address::parse(std::string(in.begin(), in.end()));
    KJ_REQUIRE(address.has_value(), address.error().message);
    return std::move(*address);
}

relay::directory_change read_change(wire::ServerChange::Reader in)
{
    relay::directory_change change;
    change.offset = in.getOffset();
    change.id = read_server_id(in.getId());
    if (in.getRemoved()) {
        return change;
    }
    relay::server_entry entry;
    entry.id = change.id;
    entry.service = read_optional_name<service_id>(in.getService());
    entry.address = read_address(in.getAddress());
    entry.data_centre = read_optional_name<data_centre_id>(in.getDataCentre());
    entry.slots = in.getSlots();
    entry.draining = in.getDraining();
    const unsigned role = in.getRole();
    if (role > 0 && role <= role_count) {
        entry.role = static_cast<config::engine_role>(role - 1);
    }
    entry.started_ms = in.getStarted();
    entry.reclaimable = in.getReclaimable();
    change.entry = std::move(entry);
    return change;
}

void write_directory_update(const relay::directory_update& update, wire::ServersStatement::Builder out)
{
    out.setFrom(update.from);
    out.setTo(update.to);
    out.setAgeMs(to_milliseconds(update.age));
    auto changes = out.initChanges(static_cast<unsigned>(update.changes.size()));
    for (unsigned index = 0; index < changes.size(); ++index) {
        write_change(update.changes[index], changes[index]);
    }
}

relay::directory_update read_directory_update(wire::ServersStatement::Reader in)
{
    relay::directory_update update;
    update.from = in.getFrom();
    update.to = in.getTo();
    update.age = std::chrono::milliseconds(in.getAgeMs());
    for (const auto change : in.getChanges()) {
        update.changes.push_back(read_change(change));
    }
    return update;
}

template <typename List>
void write_unless_empty(const List& list, wire::LoadDigest::Builder root,
                        void (*write)(const List&, wire::LoadDigest::Builder))
{
    if (!list.empty()) {
        write(list, root);
    }
}

void write_engines(const relay::engine_loads& engines, wire::LoadDigest::Builder root)
{
    auto out = root.initEngines(static_cast<unsigned>(engines.size()));
    unsigned index = 0;
    for (const auto& [engine, work] : engines) {
        auto entry = out[index++];
        entry.setEngine(engine);
        entry.setReadMs(static_cast<std::uint32_t>(std::max(0.0, std::round(work.prefill_ms))));
        entry.setRunning(static_cast<std::uint32_t>(std::max(0, work.running)));
        entry.setTokens(static_cast<std::uint64_t>(std::max<std::int64_t>(0, work.tokens)));
    }
}

void write_segments(const std::vector<relay::cached_segment>& segments, wire::LoadDigest::Builder root)
{
    auto out = root.initParts(static_cast<unsigned>(segments.size()));
    for (unsigned segment = 0; segment < out.size(); ++segment) {
        out[segment].setEngine(segments[segment].engine);
        out[segment].setPart(segments[segment].segment);
    }
}

void write_speeds(const std::map<service_id, relay::speed_report>& speeds, wire::LoadDigest::Builder root)
{
    auto out = root.initSpeeds(static_cast<unsigned>(speeds.size()));
    unsigned index = 0;
    for (const auto& [service, report] : speeds) {
        auto entry = out[index++];
        entry.setService(service.str());
        entry.setLogFactor(report.log_factor);
        entry.setWeight(report.weight);
    }
}

void write_quarantine(const relay::quarantine_report& report, wire::LoadDigest::Builder root)
{
    auto lost = root.initLost(static_cast<unsigned>(report.lost.size()));
    for (unsigned index = 0; index < lost.size(); ++index) {
        const relay::lost_request& from = report.lost[index];
        lost[index].setRequest(from.request_id);
        lost[index].setEngine(from.engine.str());
        lost[index].setEngineStarted(from.engine_started_ms);
        lost[index].setSentAgeMs(to_milliseconds(from.since_sent));
        lost[index].setCrashAgeMs(to_milliseconds(from.since_crash));
        auto segments = lost[index].initSegments(static_cast<unsigned>(from.segments.size()));
        for (unsigned segment = 0; segment < segments.size(); ++segment) {
            segments.set(segment, from.segments[segment]);
        }
    }
    auto completed = root.initCompleted(static_cast<unsigned>(report.completed.size()));
    unsigned next = 0;
    for (const auto& [segment, age] : report.completed) {
        completed[next].setSegment(segment);
        completed[next++].setAgeMs(to_milliseconds(age));
    }
    auto quarantined = root.initQuarantined(static_cast<unsigned>(report.quarantined.size()));
    for (unsigned index = 0; index < quarantined.size(); ++index) {
        const relay::quarantined_segment& from = report.quarantined[index];
        quarantined[index].setSegment(from.segment);
        quarantined[index].setTrials(static_cast<std::uint8_t>(from.trials));
        quarantined[index].setAgeMs(to_milliseconds(from.age));
        quarantined[index].setRemainingMs(to_milliseconds(from.remaining));
    }
}

void write_limits(const std::vector<relay::limit_report>& limits, wire::LoadDigest::Builder root)
{
    auto out = root.initLimits(static_cast<unsigned>(limits.size()));
    for (unsigned index = 0; index < out.size(); ++index) {
        const relay::limit_report& from = limits[index];
        out[index].setServer(from.server.str());
        out[index].setStarted(from.server_started_ms);
        out[index].setPerSecond(from.per_second.value_or(no_limit));
        out[index].setAgeMs(to_milliseconds(from.age));
    }
}

std::vector<relay::limit_report> read_limits(wire::LoadDigest::Reader root)
{
    std::vector<relay::limit_report> limits;
    for (const auto in : root.getLimits()) {
        const double per_second = in.getPerSecond();
        const bool is_limited = std::isfinite(per_second) && per_second >= 0;
        limits.push_back({read_server_id(in.getServer()), in.getStarted(),
                          is_limited ? std::optional(per_second) : std::nullopt,
                          std::chrono::milliseconds(in.getAgeMs())});
    }
    return limits;
}

relay::quarantine_report read_quarantine(wire::LoadDigest::Reader root)
{
    using std::chrono::milliseconds;
    relay::quarantine_report report;
    for (const auto in : root.getLost()) {
        relay::lost_request lost{
            in.getRequest().cStr(),          read_server_id(in.getEngine()),   in.getEngineStarted(),
            milliseconds(in.getSentAgeMs()), milliseconds(in.getCrashAgeMs()), {}};
        for (const std::uint64_t segment : in.getSegments()) {
            lost.segments.push_back(segment);
        }
        report.lost.push_back(std::move(lost));
    }
    for (const auto in : root.getCompleted()) {
        report.completed.emplace(in.getSegment(), milliseconds(in.getAgeMs()));
    }
    for (const auto in : root.getQuarantined()) {
        report.quarantined.push_back({in.getSegment(), in.getTrials(), milliseconds(in.getAgeMs()),
                                      milliseconds(in.getRemainingMs())});
    }
    return report;
}

void write_usage(const load_digest& digest, wire::LoadDigest::Builder root)
{
    auto usage = root.initUsage(static_cast<unsigned>(digest.usage.size()));
    for (unsigned index = 0; index < usage.size(); ++index) {
        usage[index].setWindow(digest.usage[index].window);
        usage[index].setOrganisation(digest.usage[index].organisation.str());
        usage[index].setRequests(digest.usage[index].requests);
    }
    auto demand = root.initDemand(static_cast<unsigned>(digest.demand_ms.size()));
    unsigned next = 0;
    for (const auto& [service, work] : digest.demand_ms) {
        demand[next].setService(service.str());
        demand[next++].setWork(work);
    }
}

void read_usage(wire::LoadDigest::Reader root, load_digest& digest)
{
    for (const auto in : root.getUsage()) {
        digest.usage.push_back(
            {in.getWindow(), read_name<organisation_id>(in.getOrganisation()), in.getRequests()});
    }
    for (const auto in : root.getDemand()) {
        if (std::isfinite(in.getWork()) && in.getWork() >= 0) {
            digest.demand_ms[read_optional_name<service_id>(in.getService())] = in.getWork();
        }
    }
}

/// Moves all items but the first `kept` to `to`, and takes those that stay off `kept`.
template <typename List>
void move_rest(List& from, List& to, std::size_t& kept)
{
    const std::size_t staying = std::min(kept, from.size());
    const auto rest = std::next(from.begin(), static_cast<std::ptrdiff_t>(staying));
    std::move(rest, from.end(), std::inserter(to, to.end()));
    from.erase(rest, from.end());
    kept -= staying;
}

/// The same for an update's changes: each part covers the offsets from its first change on.
void move_rest(std::optional<relay::directory_update>& from, std::optional<relay::directory_update>& to,
               std::size_t& kept)
{
    if (!from) {
        return;
    }
    relay::directory_update rest{0, from->to, {}, from->age};
    move_rest(from->changes, rest.changes, kept);
    if (!rest.changes.empty()) {
        rest.from = rest.changes.front().offset;
        from->to = rest.from;
        to = std::move(rest);
    }
}

std::size_t item_count(const load_digest& digest)
{
    const relay::quarantine_report& report = digest.quarantine;
    return (digest.servers ? digest.servers->changes.size() : 0) + digest.engines.size() +
           digest.segments.size() + digest.speeds.size() + report.lost.size() + report.completed.size() +
           report.quarantined.size() + digest.limits.size() + digest.usage.size() + digest.demand_ms.size();
}

} // namespace

std::optional<load_digest> split_off_half(load_digest& digest)
{
    std::size_t kept = item_count(digest) / 2;
    if (kept == 0) {
        return std::nullopt;
    }
    load_digest rest;
    rest.sender = digest.sender;
    rest.sequence = digest.sequence;
    rest.incarnation = digest.incarnation;
    rest.configuration = digest.configuration;
    rest.data_centre = digest.data_centre;
    rest.store_era = digest.store_era;
    move_rest(digest.servers, rest.servers, kept);
    move_rest(digest.engines, rest.engines, kept);
    move_rest(digest.segments, rest.segments, kept);
    move_rest(digest.speeds, rest.speeds, kept);
    move_rest(digest.quarantine.lost, rest.quarantine.lost, kept);
    move_rest(digest.quarantine.completed, rest.quarantine.completed, kept);
    move_rest(digest.quarantine.quarantined, rest.quarantine.quarantined, kept);
    move_rest(digest.limits, rest.limits, kept);
    move_rest(digest.usage, rest.usage, kept);
    move_rest(digest.demand_ms, rest.demand_ms, kept);
    return rest;
}

std::string encode_digest(const load_digest& digest)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::LoadDigest>();
    root.setSender(digest.sender);
    root.setSequence(digest.sequence);
    root.setIncarnation(digest.incarnation);
    root.setWhole(digest.full);
    root.setConfiguration(digest.configuration);
    root.setDataCentre(digest.data_centre.str());
    // A list that is left out takes no byte; with hundreds of nodes most bytes are those of small digests.
    write_unless_empty(digest.engines, root, write_engines);
    write_unless_empty(digest.segments, root, write_segments);
    write_unless_empty(digest.speeds, root, write_speeds);
    write_unless_empty(digest.quarantine, root, write_quarantine);
    write_unless_empty(digest.limits, root, write_limits);
    if (!digest.usage.empty() || !digest.demand_ms.empty()) {
        write_usage(digest, root);
    }
    root.setStoreEra(digest.store_era);
    root.setReportedWindow(digest.reported_window);
    if (digest.wall_clock) {
        root.setWallClock(digest.wall_clock->time_since_epoch().count());
    }
    if (digest.servers) {
        write_directory_update(*digest.servers, root.initServers());
    }
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return std::string(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
}

result<load_digest> decode_digest(std::string_view bytes)
{
    load_digest digest;
    const auto problem = kj::runCatchingExceptions([&] {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        capnp::ReaderOptions limits;
        limits.traversalLimitInWords = traversal_words;
        capnp::PackedMessageReader message(in, limits);
        const auto root = message.getRoot<wire::LoadDigest>();
        digest.sender = root.getSender().cStr();
        digest.sequence = root.getSequence();
        digest.incarnation = root.getIncarnation();
        digest.full = root.getWhole();
        digest.configuration = root.getConfiguration();
        digest.data_centre = read_optional_name<data_centre_id>(root.getDataCentre());
        for (const auto entry : root.getEngines()) {
            digest.engines[entry.getEngine()] = {static_cast<double>(entry.getReadMs()),
                                                 static_cast<std::int32_t>(entry.getRunning()),
                                                 static_cast<std::int64_t>(entry.getTokens())};
        }
        for (const auto segment : root.getParts()) {
            digest.segments.push_back({segment.getEngine(), segment.getPart()});
        }
        for (const auto entry : root.getSpeeds()) {
            digest.speeds[read_optional_name<service_id>(entry.getService())] = {entry.getLogFactor(),
                                                                                 entry.getWeight()};
        }
        digest.quarantine = read_quarantine(root);
        digest.limits = read_limits(root);
        read_usage(root, digest);
        digest.store_era = root.getStoreEra();
        digest.reported_window = root.getReportedWindow();
        if (root.getWallClock() > 0) {
            digest.wall_clock = wall_time(std::chrono::milliseconds(root.getWallClock()));
        }
        if (root.hasServers()) {
            digest.servers = read_directory_update(root.getServers());
        }
    });
    KJ_IF_MAYBE (exception, problem) {
        return fail(error_kind::invalid, exception->getDescription().cStr());
    }
    return digest;
}

} // namespace currantspar::gateway
