#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include "bench/support/deployment.hpp"
#include "bench/support/results.hpp"
#include "bench/support/virtual_fleet.hpp"
#include "currantspar/base/hash.hpp"
#include "currantspar/io/peer_codec.hpp"

namespace {

using namespace currantspar;
using namespace currantspar::bench;

constexpr double edits_per_day = 12000;
constexpr double seconds_per_day = 86400;
/// On the wire beside a message: RPC frame, TCP and IP headers, and the acknowledgement.
constexpr double message_overhead_bytes = 120;
constexpr double exchange_overhead_bytes = 400; ///< of one HTTP question and its answer
constexpr double report_bytes = 320;            ///< of a report or state as the engine answers it
constexpr std::uint64_t sampled_every = 16;     ///< messages of a kind for each one that is encoded

struct bench_options
{
    unsigned nodes = 14;
    unsigned seconds = 60;
    unsigned outage = 0; ///< seconds without the log, in the middle
    std::uint64_t seed = 1;
};

/// Average size of one kind of message, from samples.
struct kind_size
{
    std::uint64_t count = 0;
    std::uint64_t sampled = 0;
    double sampled_bytes = 0;

    [[nodiscard]] double bytes() const
    {
        const double average = sampled == 0 ? 0 : sampled_bytes / static_cast<double>(sampled);
        return static_cast<double>(count) * (average + message_overhead_bytes);
    }
};

double encoded_bytes(const core::send_peer& message)
{
    capnp::MallocMessageBuilder builder;
    io::write_message(builder.initRoot<io::wire::Message>(), message.to, incarnation(1), message);
    return static_cast<double>(capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word));
}

double cpu_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double resident_bytes()
{
    std::ifstream statm("/proc/self/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

deployment place_for(unsigned nodes)
{
    deployment place{"control", {}, std::chrono::milliseconds(1), {}};
    const unsigned data_centres = nodes > 50 ? 9 : 4;
    const unsigned models = std::max(1U, nodes * 10 / 340);
    for (unsigned index = 0; index < data_centres; ++index) {
        place.data_centres.push_back("dc-" + std::to_string(index));
    }
    for (unsigned index = 0; index < models; ++index) {
        place.models.push_back("model-" + std::to_string(index));
    }
    place.engines = nodes * 2700 / 340 / models;
    return place;
}

/// One run: warms up, measures a window, and prints.
class control_run
{
public:
    explicit control_run(const bench_options& options)
        : options_(options), text_(place_for(options.nodes)), memory_before_(resident_bytes()),
          fleet_(fleet_options())
    {
        fleet_.on_effect = [this](const virtual_node&, const core::effect& effect) { on_effect(effect); };
    }

    int run();

private:
    virtual_fleet_options fleet_options();
    void on_effect(const core::effect& effect);
    void on_accepted(const core::timeline_entry& entry);
    void edit();
    void edit_until(instant end);
    [[nodiscard]] double wire_bytes() const;

    bench_options options_;
    editable_text text_;
    std::string current_text_;
    double memory_before_;
    std::unordered_map<std::uint64_t, config::fleet_ptr> fleets_; ///< shared by all cores, by text
    virtual_fleet fleet_;
    std::map<std::size_t, kind_size> kinds_;
    std::uint64_t exchanges_ = 0;
    std::uint64_t reports_ = 0;
    std::uint64_t edits_ = 0;
    bool measuring_ = false;
    std::map<revision, instant> published_;
    std::vector<double> in_force_s_;
};

virtual_fleet_options control_run::fleet_options()
{
    virtual_fleet_options fleet;
    fleet.seed = options_.seed;
    fleet.nodes = options_.nodes;
    fleet.text = text_.text();
    fleet.tick = std::chrono::milliseconds(50);
    fleet.log.record_limit = 4U << 20U;
    fleet.engine.report_every = std::chrono::seconds(1);
    fleet.core.fleet_parser = [this](const std::string& text, unsigned schema) {
        const std::uint64_t key = fast_hash(text);
        const auto known = fleets_.find(key);
        if (known != fleets_.end()) {
            return config::checked<config::fleet_ptr>(known->second);
        }
        auto read = agreement::parse_fleet_document(text, schema);
        if (read) {
            fleets_[key] = *read;
        }
        return read;
    };
    current_text_ = fleet.text;
    return fleet;
}

void control_run::on_accepted(const core::timeline_entry& entry)
{
    const auto published = published_.find(entry.in_force);
    if (published != published_.end()) {
        in_force_s_.push_back(to_seconds(fleet_.now() - published->second));
    }
}

void control_run::on_effect(const core::effect& effect)
{
    if (const auto* entry = std::get_if<core::add_timeline>(&effect)) {
        if (entry->entry.kind == "configuration.accepted") {
            on_accepted(entry->entry);
        }
        return;
    }
    if (!measuring_) {
        return;
    }
    if (const auto* message = std::get_if<core::send_peer>(&effect)) {
        kind_size& kind = kinds_[message->message.index()];
        if (kind.count++ % sampled_every == 0) {
            kind.sampled += 1;
            kind.sampled_bytes += encoded_bytes(*message);
        }
        return;
    }
    const bool report = std::holds_alternative<core::read_report>(effect) ||
                        std::holds_alternative<core::read_engine_state>(effect);
    const bool exchange = report || std::holds_alternative<core::read_log>(effect) ||
                          std::holds_alternative<core::append_records>(effect) ||
                          std::holds_alternative<core::read_vm_list>(effect) ||
                          std::holds_alternative<core::read_cache_events>(effect);
    exchanges_ += exchange ? 1U : 0U;
    reports_ += report ? 1U : 0U;
}

void control_run::edit()
{
    // Drains change nothing that needs orders, so the edits alone are measured.
    text_.set_drained(fleet_.random().below(text_.engines()), edits_ % 2 == 0);
    const std::string text = text_.text();
    const revision base = published_.empty() ? revision(1) : published_.rbegin()->first;
    const publish_id id("edit-" + std::to_string(++edits_));
    const auto record = agreement::make_publish(id, base, current_text_, text, "operator");
    const standin::append_result done = fleet_.log().append({agreement::encode_record(record)}, fleet_.now());
    if (done.answer == standin::log_answer::ok) {
        published_[revision(done.first.value())] = fleet_.now();
        current_text_ = text;
    }
}

void control_run::edit_until(instant end)
{
    fleet_.after(from_seconds(seconds_per_day / edits_per_day), [this, end] {
        if (fleet_.now() < end) {
            edit();
            edit_until(end);
        }
    });
}

/// What all nodes sent and received, without the log's records.
double control_run::wire_bytes() const
{
    double sent = 0;
    for (const auto& [kind, size] : kinds_) {
        sent += size.bytes();
    }
    // A message between nodes counts at both.
    return sent * 2 + static_cast<double>(exchanges_) * exchange_overhead_bytes +
           static_cast<double>(reports_) * report_bytes;
}

int control_run::run()
{
    fleet_.run_for(std::chrono::seconds(25));
    const instant end = fleet_.now() + std::chrono::seconds(options_.seconds + options_.outage);
    edit_until(end);
    const std::uint64_t appends = fleet_.log().appends();
    const std::uint64_t log_bytes = fleet_.log().bytes();
    const double cpu = cpu_seconds();
    measuring_ = true;
    if (options_.outage > 0) {
        fleet_.log().set_outage(true);
        fleet_.run_for(std::chrono::seconds(options_.outage));
        fleet_.log().set_outage(false);
    }
    const std::uint64_t appends_at_return = fleet_.log().appends();
    fleet_.run_for(std::chrono::seconds(10));
    const double appends_after_outage = static_cast<double>(fleet_.log().appends() - appends_at_return) / 10;
    fleet_.run_for(end - fleet_.now() + std::chrono::seconds(12));
    measuring_ = false;
    const double window = options_.seconds + options_.outage + 12.0;
    const double nodes = options_.nodes;
    const double records = static_cast<double>(fleet_.log().bytes() - log_bytes);
    const double appends_per_s = static_cast<double>(fleet_.log().appends() - appends) / window;
    const double bytes_per_s = (wire_bytes() / nodes + records) / window;
    const double cpu_share = (cpu_seconds() - cpu) / window / nodes;
    const double memory = (resident_bytes() - memory_before_) / nodes;
    const double in_force_p99 = percentile(in_force_s_, 0.99);
    const double expected = static_cast<double>(published_.size()) * nodes;
    const double reached = expected == 0 ? 1 : static_cast<double>(in_force_s_.size()) / expected;
    nlohmann::json messages;
    for (const auto& [kind, size] : kinds_) {
        messages[std::to_string(kind)] = {
            {"per_s_per_node", static_cast<double>(size.count) / window / nodes},
            {"bytes_per_s_per_node", size.bytes() / window / nodes}};
    }
    nlohmann::json out = {{"program", "bench_control"},
                          {"nodes", options_.nodes},
                          {"engines", text_.engines()},
                          {"text_bytes", current_text_.size()},
                          {"window_s", window},
                          {"outage_s", options_.outage},
                          {"edits", published_.size()},
                          {"appends_per_s", appends_per_s},
                          {"appends_per_s_after_outage", appends_after_outage},
                          {"log_bytes_per_s", records / window},
                          {"bytes_per_s_per_node", bytes_per_s},
                          {"sent_by_kind", messages},
                          {"cpu_share_per_node", cpu_share},
                          {"memory_bytes_per_node", memory},
                          {"in_force_p50_s", percentile(in_force_s_, 0.5)},
                          {"in_force_p99_s", in_force_p99},
                          {"in_force_max_s", percentile(in_force_s_, 1.0)},
                          {"in_force_share", reached}};
    out["targets"] = {target("appends_per_s", 200, appends_per_s, appends_per_s <= 200),
                      target("bytes_per_s_per_node", 24000, bytes_per_s, bytes_per_s <= 24000),
                      target("cpu_share_per_node", 0.013, cpu_share, cpu_share <= 0.013),
                      target("memory_bytes_per_node", 256e6, memory, memory <= 256e6),
                      target("in_force_p99_s", 11, in_force_p99, in_force_p99 <= 11),
                      target("in_force_share", 1, reached, reached >= 1)};
    std::cout << out.dump(1) << '\n';
    const bool all = std::all_of(out["targets"].begin(), out["targets"].end(),
                                 [](const nlohmann::json& entry) { return entry.at("met").get<bool>(); });
    return all ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv)
{
    constexpr int wrong_usage = 2;
    bench_options options;
    try {
        TCLAP::CmdLine line("Measures the cost of control in virtual time.", ' ', "1");
        TCLAP::ValueArg<unsigned> nodes("", "nodes", "nodes", false, 14, "N", line);
        TCLAP::ValueArg<unsigned> seconds("", "seconds", "virtual seconds measured", false, 60, "N", line);
        TCLAP::ValueArg<unsigned> outage("", "outage-seconds", "seconds without the log", false, 0, "N",
                                         line);
        TCLAP::ValueArg<std::uint64_t> seed("", "first-seed", "seed", false, 1, "K", line);
        line.setExceptionHandling(false);
        line.parse(argc, argv);
        options = {nodes.getValue(), seconds.getValue(), outage.getValue(), seed.getValue()};
    } catch (const TCLAP::ArgException& fault) {
        std::cerr << fault.error() << '\n';
        return wrong_usage;
    } catch (const TCLAP::ExitException& end) {
        return end.getExitStatus() == 0 ? EXIT_SUCCESS : wrong_usage;
    }
    if (options.nodes == 0 || options.seconds == 0) {
        std::cerr << "--nodes and --seconds must be positive\n";
        return wrong_usage;
    }
    return control_run(options).run();
}
