#include "peer_codec.hpp"

#include <algorithm>

#include <kj/debug.h>

namespace currantspar::io {

namespace {

using agreement::record_body;

std::string text(capnp::Text::Reader in)
{
    return {in.cStr(), in.size()};
}

capnp::Text::Reader text(const std::string& in)
{
    return {in.c_str(), in.size()};
}

unsigned size_of(std::size_t count)
{
    return static_cast<unsigned>(count);
}

/// More entries than any list of a message has. Without it a few bytes can stand for millions of empty
/// entries.
constexpr unsigned list_entries_most = 16384;

/// The same list; throws kj::Exception when it is too long.
template <typename List>
List of_allowed_length(List list)
{
    KJ_REQUIRE(list.size() <= list_entries_most, "a list of a peer message is too long");
    return list;
}

/// An enumerator by its number; the fallback for numbers that this binary doesn't know.
template <typename Enum>
Enum enumerator(std::uint8_t number, Enum last, Enum fallback)
{
    return number <= static_cast<std::uint8_t>(last) ? static_cast<Enum>(number) : fallback;
}

void write(wire::Summary::Builder out, const core::node_summary& in)
{
    out.setDataCentre(text(in.data_centre.str()));
    out.setRevision(in.current.value());
    out.setApplied(in.applied.value());
    out.setStateHash(in.state_hash);
    out.setHashedAt(in.hashed_at.value());
    out.setStopping(in.stopping);
    out.setVersion(text(in.version));
}

core::node_summary read(wire::Summary::Reader in)
{
    core::node_summary out;
    out.data_centre = data_centre_id(text(in.getDataCentre()));
    out.current = revision(in.getRevision());
    out.applied = log_offset(in.getApplied());
    out.state_hash = in.getStateHash();
    out.hashed_at = log_offset(in.getHashedAt());
    out.stopping = in.getStopping();
    out.version = text(in.getVersion());
    return out;
}

void write(wire::Pool::Builder out, const pool_id& in)
{
    out.setService(text(in.service.str()));
    out.setDataCentre(text(in.data_centre.str()));
}

pool_id read(wire::Pool::Reader in)
{
    return {service_id(text(in.getService())), data_centre_id(text(in.getDataCentre()))};
}

void write(wire::Report::Builder out, const policy::engine_report& in, duration age)
{
    out.setEngine(text(in.engine.str()));
    out.setTakenAtUs(in.taken_at.time_since_epoch().count());
    out.setCondition(static_cast<std::uint8_t>(in.condition));
    out.setRole(static_cast<std::uint8_t>(in.role));
    auto load = out.initLoad();
    load.setModel(text(in.load.model));
    load.setAdapter(text(in.load.adapter));
    load.setVersion(text(in.load.version));
    out.setRunning(in.running);
    out.setQueued(in.queued);
    out.setPrefillTokensLeft(in.prefill_tokens_left);
    out.setPiecesUsed(in.pieces_used);
    out.setPiecesTotal(in.pieces_total);
    out.setPrefillTokensTotal(in.prefill_tokens_total);
    out.setDecodeTokensTotal(in.decode_tokens_total);
    out.setAgeUs(age.count());
}

policy::engine_report read(wire::Report::Reader in)
{
    using policy::engine_condition;
    policy::engine_report out;
    out.engine = engine_id(text(in.getEngine()));
    out.taken_at = engine_time(duration(in.getTakenAtUs()));
    out.condition = enumerator(in.getCondition(), engine_condition::unknown, engine_condition::unknown);
    out.role = enumerator(in.getRole(), config::engine_role::decode, config::engine_role::mixed);
    out.load.model = text(in.getLoad().getModel());
    out.load.adapter = text(in.getLoad().getAdapter());
    out.load.version = text(in.getLoad().getVersion());
    out.running = in.getRunning();
    out.queued = in.getQueued();
    out.prefill_tokens_left = in.getPrefillTokensLeft();
    out.pieces_used = in.getPiecesUsed();
    out.pieces_total = in.getPiecesTotal();
    out.prefill_tokens_total = in.getPrefillTokensTotal();
    out.decode_tokens_total = in.getDecodeTokensTotal();
    return out;
}

void write_records(wire::Records::Builder out, const std::vector<record_body>& in)
{
    auto list = out.initRecords(size_of(in.size()));
    for (unsigned index = 0; index < list.size(); ++index) {
        const std::string bytes = agreement::encode_record(in[index]);
        list.set(index, {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()});
    }
}

/// The records of one kind of a list; nothing when one can't be read.
template <typename Record>
std::optional<std::vector<Record>> read_records(wire::Records::Reader in, bool skip_others)
{
    std::vector<Record> out;
    for (const capnp::Data::Reader bytes : of_allowed_length(in.getRecords())) {
        const std::string_view view(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
        auto body = agreement::decode_record(view);
        if (!body) {
            return std::nullopt;
        }
        if (auto* const record = std::get_if<Record>(&*body)) {
            out.push_back(std::move(*record));
        } else if (!skip_others) {
            return std::nullopt;
        }
    }
    return out;
}

void write(wire::CacheEvents::Builder out, const policy::cache_event_batch& in)
{
    out.setEngine(text(in.engine.str()));
    out.setFirstSequence(in.first_sequence);
    auto pieces = out.initPieces(size_of(in.changes.size()));
    auto cached = out.initCached(size_of(in.changes.size()));
    for (unsigned index = 0; index < pieces.size(); ++index) {
        pieces.set(index, in.changes[index].piece);
        cached.set(index, in.changes[index].cached);
    }
}

policy::cache_event_batch read(wire::CacheEvents::Reader in)
{
    policy::cache_event_batch out;
    out.engine = engine_id(text(in.getEngine()));
    out.first_sequence = in.getFirstSequence();
    const unsigned count =
        std::min(of_allowed_length(in.getPieces()).size(), of_allowed_length(in.getCached()).size());
    for (unsigned index = 0; index < count; ++index) {
        out.changes.push_back({in.getPieces()[index], in.getCached()[index]});
    }
    return out;
}

/// Writes each kind of message.
class writer
{
public:
    explicit writer(wire::Message::Builder out) : out_(out) {}

    void operator()(const core::probe& in)
    {
        auto probe = out_.initProbe();
        probe.setSequence(in.sequence);
        probe.setTarget(text(in.target.str()));
        write(probe.initSender(), in.sender);
    }
    void operator()(const core::probe_answer& in)
    {
        auto answer = out_.initProbeAnswer();
        answer.setSequence(in.sequence);
        answer.setTarget(text(in.target.str()));
        answer.setAlive(in.alive);
        write(answer.initSender(), in.sender);
    }
    void operator()(const core::pool_routing_view& in)
    {
        auto view = out_.initRoutingView();
        write(view.initPool(), in.pool);
        view.setFence(in.held.value());
        view.setVersion(in.version);
        view.setValidForUs(in.valid_for.count());
        auto closed = view.initClosed(size_of(in.closed.size()));
        for (unsigned index = 0; index < closed.size(); ++index) {
            closed.set(index, text(in.closed[index].str()));
        }
    }
    void operator()(const core::routing_view_ack& in)
    {
        auto ack = out_.initRoutingViewAck();
        write(ack.initPool(), in.pool);
        ack.setFence(in.held.value());
        ack.setVersion(in.version);
    }
    void operator()(const core::load_digest& in)
    {
        auto digest = out_.initDigest();
        auto reports = digest.initReports(size_of(in.reports.size()));
        for (unsigned index = 0; index < reports.size(); ++index) {
            const duration age = index < in.report_ages.size() ? in.report_ages[index] : duration(0);
            write(reports[index], in.reports[index], age);
        }
        auto events = digest.initCacheEvents(size_of(in.cache_events.size()));
        for (unsigned index = 0; index < events.size(); ++index) {
            write(events[index], in.cache_events[index]);
        }
        write_work(digest, in.work);
    }
    void operator()(const core::checkpoint_request&) { out_.setCheckpointRequest(); }
    void operator()(const core::checkpoint_answer& in)
    {
        write_records(out_.initCheckpointAnswer(), {in.parts.begin(), in.parts.end()});
    }
    void operator()(const core::key_relay& in)
    {
        std::vector<record_body> records(in.keys.begin(), in.keys.end());
        records.insert(records.end(), in.outcomes.begin(), in.outcomes.end());
        write_records(out_.initKeyRelay(), records);
    }

private:
    static void write_work(wire::Digest::Builder digest, const policy::work_digest& in)
    {
        digest.setNode(text(in.node.str()));
        auto engines = digest.initEngines(size_of(in.engines.size()));
        for (unsigned index = 0; index < engines.size(); ++index) {
            engines[index].setEngine(text(in.engines[index].engine.str()));
            engines[index].setRunning(in.engines[index].running);
            engines[index].setPrefillTokens(in.engines[index].prefill_tokens);
            engines[index].setPieces(in.engines[index].pieces);
            engines[index].setPrefilling(in.engines[index].prefilling);
        }
        auto services = digest.initServices(size_of(in.services.size()));
        for (unsigned index = 0; index < services.size(); ++index) {
            services[index].setService(text(in.services[index].service.str()));
            services[index].setRequestsPerSecond(in.services[index].requests_per_second);
            services[index].setPrefillTokensPerSecond(in.services[index].prefill_tokens_per_second);
            services[index].setDecodeTokensPerSecond(in.services[index].decode_tokens_per_second);
        }
        digest.setPartial(in.partial);
        auto organisations = digest.initOrganisations(size_of(in.organisations.size()));
        for (unsigned index = 0; index < organisations.size(); ++index) {
            organisations[index].setOrganisation(text(in.organisations[index].organisation.str()));
            organisations[index].setRequestsPerSecond(in.organisations[index].requests_per_second);
            organisations[index].setConcurrent(in.organisations[index].concurrent);
        }
    }

    wire::Message::Builder out_;
};

core::pool_routing_view read(wire::RoutingView::Reader in)
{
    core::pool_routing_view out;
    out.pool = read(in.getPool());
    out.held = fence(in.getFence());
    out.version = in.getVersion();
    out.valid_for = duration(in.getValidForUs());
    for (const capnp::Text::Reader engine : of_allowed_length(in.getClosed())) {
        out.closed.emplace_back(text(engine));
    }
    return out;
}

core::load_digest read(wire::Digest::Reader in)
{
    core::load_digest out;
    for (const wire::Report::Reader report : of_allowed_length(in.getReports())) {
        out.reports.push_back(read(report));
        out.report_ages.emplace_back(report.getAgeUs());
    }
    for (const wire::CacheEvents::Reader events : of_allowed_length(in.getCacheEvents())) {
        out.cache_events.push_back(read(events));
    }
    out.work.node = node_id(text(in.getNode()));
    for (const wire::SentWork::Reader sent : of_allowed_length(in.getEngines())) {
        out.work.engines.push_back({engine_id(text(sent.getEngine())), sent.getRunning(),
                                    sent.getPrefillTokens(), sent.getPieces(), sent.getPrefilling()});
    }
    for (const wire::Demand::Reader demand : of_allowed_length(in.getServices())) {
        out.work.services.push_back({service_id(text(demand.getService())), demand.getRequestsPerSecond(),
                                     demand.getPrefillTokensPerSecond(), demand.getDecodeTokensPerSecond()});
    }
    out.work.partial = in.getPartial();
    for (const wire::Usage::Reader usage : of_allowed_length(in.getOrganisations())) {
        out.work.organisations.push_back({organisation_id(text(usage.getOrganisation())),
                                          usage.getRequestsPerSecond(), usage.getConcurrent()});
    }
    return out;
}

std::optional<core::peer_message> read_key_relay(wire::Records::Reader in)
{
    auto keys = read_records<agreement::key_record>(in, true);
    auto outcomes = read_records<agreement::key_outcome_record>(in, true);
    if (!keys || !outcomes) {
        return std::nullopt;
    }
    return core::key_relay{std::move(*keys), std::move(*outcomes)};
}

std::optional<core::peer_message> read_checkpoint(wire::Records::Reader in)
{
    auto parts = read_records<agreement::checkpoint_record>(in, false);
    if (!parts) {
        return std::nullopt;
    }
    return core::checkpoint_answer{std::move(*parts)};
}

std::optional<core::peer_message> read_body(wire::Message::Reader in)
{
    switch (in.which()) {
    case wire::Message::PROBE: {
        const auto probe = in.getProbe();
        return core::probe{probe.getSequence(), node_id(text(probe.getTarget())), read(probe.getSender())};
    }
    case wire::Message::PROBE_ANSWER: {
        const auto answer = in.getProbeAnswer();
        return core::probe_answer{answer.getSequence(), node_id(text(answer.getTarget())), answer.getAlive(),
                                  read(answer.getSender())};
    }
    case wire::Message::ROUTING_VIEW:
        return read(in.getRoutingView());
    case wire::Message::ROUTING_VIEW_ACK: {
        const auto ack = in.getRoutingViewAck();
        return core::routing_view_ack{read(ack.getPool()), fence(ack.getFence()), ack.getVersion()};
    }
    case wire::Message::DIGEST:
        return read(in.getDigest());
    case wire::Message::CHECKPOINT_REQUEST:
        return core::checkpoint_request{};
    case wire::Message::CHECKPOINT_ANSWER:
        return read_checkpoint(in.getCheckpointAnswer());
    case wire::Message::KEY_RELAY:
        return read_key_relay(in.getKeyRelay());
    }
    return std::nullopt;
}

} // namespace

void write_message(wire::Message::Builder out, const node_id& from, incarnation process,
                   const core::send_peer& message)
{
    out.setFrom(text(from.str()));
    out.setProcess(process.value());
    out.setCounter(message.counter);
    std::visit(writer(out), message.message);
}

std::optional<core::peer_received> read_message(wire::Message::Reader in)
{
    auto body = read_body(in);
    if (!body) {
        return std::nullopt;
    }
    core::peer_received received;
    received.from = node_id(text(in.getFrom()));
    received.process = incarnation(in.getProcess());
    received.counter = in.getCounter();
    received.message = std::move(*body);
    return received;
}

} // namespace currantspar::io
