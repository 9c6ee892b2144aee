// Measures what one node adds to a streamed answer, against the same engine called directly, in one run: time
// to the first byte and time of each chunk with many streams open; the processor time of a token; and memory,
// idle and with streams held. The node runs in a process of its own, so that its time and memory are its own.

#include <csignal>
#include <fstream>
#include <future>
#include <iostream>
#include <sstream>

#include <sys/resource.h>
#include <sys/wait.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include "currantspar/base/hash.hpp"
#include "currantspar/io/test_socket.hpp"
#include "currantspar/node/runtime.hpp"
#include "currantspar/standin/http_platform.hpp"
#include "support/results.hpp"
#include "support/stamping_engine.hpp"
#include "support/stream_callers.hpp"

namespace {

using namespace currantspar;
using bench::percentile;
using bench::stream_samples;
using bench::target;

constexpr double added_p99_most_us = 1000;
constexpr double tokens_per_core_least = 3000;
constexpr double idle_most_mb = 64;
constexpr unsigned engine_count = 32; ///< enough batch places for all streams held
constexpr int exit_missed = 1;
constexpr int exit_usage = 2;

struct bench_options
{
    unsigned streams = 200;
    unsigned held = 1000;
    unsigned seconds = 5;
    unsigned pace_ms = 30;
};

/// A node's process. It waits for its settings on a pipe.
class node_process
{
public:
    /// Without `observe` the node keeps neither time line nor metrics.
    explicit node_process(bool observe)
    {
        int ends[2];
        if (pipe(ends) != 0) {
            std::abort();
        }
        pid_ = fork();
        if (pid_ == 0) {
            close(ends[1]);
            run(ends[0], observe);
        }
        close(ends[0]);
        pipe_ = ends[1];
    }
    node_process(const node_process&) = delete;
    node_process& operator=(const node_process&) = delete;
    ~node_process()
    {
        close(pipe_);
        kill(pid_, SIGTERM);
        kill(pid_, SIGINT);
        waitpid(pid_, nullptr, 0);
    }

    void begin(const std::string& log, const std::string& vm_list) const
    {
        const std::string line = log + " " + vm_list + " " + std::to_string(caller_port_) + " " +
                                 std::to_string(admin_port_) + "\n";
        if (write(pipe_, line.data(), line.size()) < 0) {
            std::abort();
        }
    }
    [[nodiscard]] std::uint16_t caller_port() const { return caller_port_; }
    [[nodiscard]] std::uint16_t admin_port() const { return admin_port_; }

    /// Processor time so far, in seconds.
    [[nodiscard]] double processor_seconds() const
    {
        std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
        std::string text;
        std::getline(stat, text);
        std::istringstream fields(text.substr(text.rfind(')') + 2));
        std::string skipped;
        for (int index = 0; index < 11; ++index) {
            fields >> skipped;
        }
        double user = 0;
        double system = 0;
        fields >> user >> system;
        return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    }
    /// Resident memory, in MB.
    [[nodiscard]] double resident_mb() const
    {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
        double pages = 0;
        file >> pages >> pages;
        return pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1U << 20U);
    }

private:
    [[noreturn]] static void run(int settings_pipe, bool observe)
    {
        std::string line;
        char letter = 0;
        while (read(settings_pipe, &letter, 1) == 1 && letter != '\n') {
            line += letter;
        }
        std::istringstream words(line);
        config::node_settings settings;
        std::string caller_port;
        std::string admin_port;
        words >> settings.log_address >> settings.vm_list_address >> caller_port >> admin_port;
        settings.data_centre = data_centre_id("dc-a");
        settings.caller_address = "127.0.0.1:" + caller_port;
        settings.admin_address = "127.0.0.1:" + admin_port;
        settings.peer_address = "127.0.0.1:" + std::to_string(io::free_port());
        settings.log_level = "warning";
        settings.max_connections = 16384;
        settings.balancer_drain = std::chrono::milliseconds(0);
        node::runtime_options options;
        options.observe = observe;
        _exit(node::serve(settings, options));
    }

    pid_t pid_ = -1;
    int pipe_ = -1;
    std::uint16_t caller_port_ = io::free_port();
    std::uint16_t admin_port_ = io::free_port();
};

std::string fleet_text(const bench::stamping_engine& engines)
{
    nlohmann::json specs = nlohmann::json::array();
    for (std::size_t index = 0; index < engines.count(); ++index) {
        specs.push_back(
            {{"name", engines.name(index)}, {"address", engines.address(index)}, {"data_centre", "dc-a"}});
    }
    const nlohmann::json service = {
        {"name", "chat"}, {"load", {{"model", "m"}}}, {"engines", specs}, {"max_queued", 65536}};
    const nlohmann::json caller = {
        {"name", "bench"},
        {"key_hashes", {sha256_hex("salt-key")}},
        {"limits", {{"requests_per_second", 1000000}, {"concurrent_requests", 1000000}}}};
    return nlohmann::json{{"name", "bench"},
                          {"key_salt", "salt-"},
                          {"data_centres", {"dc-a"}},
                          {"services", {service}},
                          {"organisations", {caller}}}
        .dump();
}

std::string exchange(std::uint16_t port, const std::string& head, const std::string& body)
{
    io::raw_caller caller(port);
    caller.write(head + "Host: bench\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
                 "\r\n\r\n" + body);
    return caller.read_all();
}

void publish(const standin::http_log& log, const std::string& text)
{
    agreement::publish_record record;
    record.id = publish_id("bench");
    record.author = "bench";
    record.text = text;
    const std::string body = nlohmann::json{{"records", {agreement::encode_record(record)}}}.dump();
    const auto port = static_cast<std::uint16_t>(std::stoi(log.address().substr(10)));
    exchange(port, "POST /log/append HTTP/1.1\r\n", body);
}

bool wait_ready(const node_process& node)
{
    for (int tries = 0; tries < 500; ++tries) {
        if (io::status_of(exchange(node.admin_port(), "GET /readyz HTTP/1.1\r\n", "")) == 200) {
            return true;
        }
        usleep(20000);
    }
    return false;
}

std::string post(const std::string& headers, const std::string& body)
{
    return "POST /v1/completions HTTP/1.1\r\nHost: bench\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Everything that one run measures.
struct measurement
{
    stream_samples direct;
    stream_samples through;
    double idle_mb = 0;
    double held_mb = 0;
    double processor_seconds = 0;
    double observe_share = 0; ///< of a token's processor time that time line and metrics take
};

/// What one phase of streams through a node took.
struct phase
{
    stream_samples samples;
    double processor_seconds = 0;

    [[nodiscard]] double seconds_of_a_token() const
    {
        return processor_seconds / std::max(1.0, static_cast<double>(samples.tokens));
    }
};

phase run_through(const node_process& node, bench::stream_callers_options callers)
{
    callers.port = node.caller_port();
    phase out;
    const double before = node.processor_seconds();
    out.samples = bench::run_streams(callers);
    out.processor_seconds = node.processor_seconds() - before;
    return out;
}

/// The share of a token's processor time that time line and metrics take. Both nodes run at the same time, so
/// that the machine's other work meets them alike.
double observe_share(const node_process& node, const node_process& unobserved,
                     const bench::stream_callers_options& callers)
{
    auto other = std::async(std::launch::async, [&] { return run_through(unobserved, callers); });
    const phase observed = run_through(node, callers);
    return 1 - other.get().seconds_of_a_token() / observed.seconds_of_a_token();
}

measurement measure(const bench_options& options, const node_process& node, const node_process& unobserved,
                    bench::stamping_engine& engine)
{
    measurement out;
    usleep(500000);
    out.idle_mb = node.resident_mb();
    engine.set_pace(std::chrono::milliseconds(options.pace_ms));

    bench::stream_callers_options callers;
    callers.streams = options.streams;
    callers.stagger = std::chrono::milliseconds(5);
    callers.run_for = std::chrono::seconds(options.seconds);
    const std::string length = std::to_string(2 * options.seconds * 1000 / options.pace_ms / 5);
    callers.port = engine.port();
    callers.end_mark = "event: end";
    callers.request = post("", R"({"request":"direct","prompt":"bench","max_tokens":)" + length + "}");
    out.direct = bench::run_streams(callers);

    callers.end_mark = "[DONE]";
    callers.request = post("Authorization: Bearer key\r\n",
                           R"({"model":"chat","prompt":"bench","stream":true,"max_tokens":)" + length + "}");
    const phase through = run_through(node, callers);
    out.through = through.samples;
    out.processor_seconds = through.processor_seconds;
    out.observe_share = observe_share(node, unobserved, callers);

    engine.set_pace(std::chrono::seconds(1));
    callers.port = node.caller_port();
    callers.streams = options.held;
    callers.stagger = std::chrono::milliseconds(1);
    callers.when_open = [&] { out.held_mb = node.resident_mb(); };
    static_cast<void>(bench::run_streams(callers));
    return out;
}

nlohmann::ordered_json report(const bench_options& options, const measurement& out)
{
    const double direct_first = percentile(out.direct.first_byte_us, 0.99);
    const double through_first = percentile(out.through.first_byte_us, 0.99);
    const double direct_chunk = percentile(out.direct.chunk_us, 0.99);
    const double through_chunk = percentile(out.through.chunk_us, 0.99);
    const double direct_first_p50 = percentile(out.direct.first_byte_us, 0.5);
    const double through_first_p50 = percentile(out.through.first_byte_us, 0.5);
    const double direct_chunk_p50 = percentile(out.direct.chunk_us, 0.5);
    const double through_chunk_p50 = percentile(out.through.chunk_us, 0.5);
    const double added_first = through_first - direct_first;
    const double added_chunk = through_chunk - direct_chunk;
    const double per_core = static_cast<double>(out.through.tokens) / std::max(out.processor_seconds, 0.01);
    const double held_mb = std::max(out.held_mb - out.idle_mb, 0.01);
    nlohmann::ordered_json json;
    json["streams"] = options.streams;
    json["tokens"] = out.through.tokens;
    json["streams_whole"] = out.through.whole;
    json["offered_tokens_per_s"] = static_cast<double>(out.through.tokens) / options.seconds;
    json["first_byte_direct_p50_us"] = direct_first_p50;
    json["first_byte_direct_p99_us"] = direct_first;
    json["first_byte_through_p50_us"] = through_first_p50;
    json["first_byte_through_p99_us"] = through_first;
    json["first_byte_added_p50_us"] = through_first_p50 - direct_first_p50;
    json["first_byte_added_p99_us"] = added_first;
    json["first_byte_ratio_p50"] = through_first_p50 / std::max(direct_first_p50, 1.0);
    json["request_direct_p99_us"] = percentile(out.direct.request_us, 0.99);
    json["request_through_p99_us"] = percentile(out.through.request_us, 0.99);
    json["answer_direct_p99_us"] = percentile(out.direct.answer_us, 0.99);
    json["answer_through_p99_us"] = percentile(out.through.answer_us, 0.99);
    json["chunk_direct_p50_us"] = direct_chunk_p50;
    json["chunk_direct_p99_us"] = direct_chunk;
    json["chunk_through_p50_us"] = through_chunk_p50;
    json["chunk_through_p99_us"] = through_chunk;
    json["chunk_added_p50_us"] = through_chunk_p50 - direct_chunk_p50;
    json["chunk_added_p99_us"] = added_chunk;
    json["chunk_ratio_p50"] = through_chunk_p50 / std::max(direct_chunk_p50, 1.0);
    json["token_events_per_core_s"] = per_core;
    json["observe_cpu_share"] = out.observe_share;
    json["idle_memory_mb"] = out.idle_mb;
    json["held_streams"] = options.held;
    json["held_memory_mb"] = out.held_mb;
    json["streams_per_mb"] = out.held_mb > 0 ? options.held / held_mb : 0;
    json["targets"] = {
        target("first_byte_added_p99_us", added_p99_most_us, added_first, added_first < added_p99_most_us),
        target("chunk_added_p99_us", added_p99_most_us, added_chunk, added_chunk < added_p99_most_us),
        target("token_events_per_core_s", tokens_per_core_least, per_core, per_core >= tokens_per_core_least),
        target("idle_memory_mb", idle_most_mb, out.idle_mb, out.idle_mb < idle_most_mb)};
    return json;
}

bool all_met(const nlohmann::ordered_json& json)
{
    const auto& targets = json.at("targets");
    return std::all_of(targets.begin(), targets.end(), [](const auto& entry) { return entry.at("met"); });
}

void raise_descriptor_limit()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

int run(const bench_options& options)
{
    raise_descriptor_limit();
    const node_process node(true); // before any thread is started
    const node_process unobserved(false);
    standin::http_log log;
    standin::http_vm_list vm_list;
    bench::stamping_engine engine(engine_count);
    node.begin(log.address(), vm_list.address());
    unobserved.begin(log.address(), vm_list.address());
    publish(log, fleet_text(engine));
    if (!wait_ready(node) || !wait_ready(unobserved)) {
        std::cerr << "the node didn't become ready\n";
        return exit_missed;
    }
    const nlohmann::ordered_json json = report(options, measure(options, node, unobserved, engine));
    std::cout << json.dump(2) << "\n";
    return all_met(json) ? 0 : exit_missed;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine line("Measures the overhead of the path through one node.");
        line.setExceptionHandling(false);
        TCLAP::ValueArg<unsigned> streams("", "streams", "streams open at once", false, 200, "count", line);
        TCLAP::ValueArg<unsigned> held("", "held", "streams held for the memory figure", false, 1000, "count",
                                       line);
        TCLAP::ValueArg<unsigned> seconds("", "seconds", "length of each phase", false, 5, "seconds", line);
        TCLAP::ValueArg<unsigned> pace("", "pace", "time between a stream's tokens", false, 30,
                                       "milliseconds", line);
        line.parse(argc, argv);
        return run({streams.getValue(), held.getValue(), seconds.getValue(), pace.getValue()});
    } catch (const TCLAP::ArgException& problem) {
        std::cerr << problem.what() << "\n";
        return exit_usage;
    } catch (const TCLAP::ExitException& left) {
        return left.getExitStatus() == 0 ? 0 : exit_usage;
    }
}
