#include "bench/support/loopback_fleet.hpp"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "currantspar/agreement/record.hpp"
#include "currantspar/base/hash.hpp"
#include "currantspar/io/test_socket.hpp"

namespace currantspar::bench {

namespace {

constexpr const char* data_centre = "dc-a";
constexpr const char* model = "bench-model";
constexpr const char* salt = "salt-";
constexpr std::chrono::milliseconds poll_every{20};
constexpr std::chrono::milliseconds kill_limit{2000};

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string make_directory()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "currantspar-bench-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("can't make a temporary directory");
    }
    return pattern;
}

std::string engine_name(std::size_t index)
{
    return "engine-" + std::to_string(index + 1);
}

} // namespace

loopback_fleet::loopback_fleet(loopback_fleet_options options)
    : options_(std::move(options)), directory_(make_directory())
{
    for (std::size_t index = 0; index < options_.engines; ++index) {
        standin::engine_model_options engine;
        engine.id = engine_id(engine_name(index));
        engine.goal.load.model = model;
        engine.decode_step = options_.decode_step;
        engines_.push_back(std::make_unique<standin::http_engine>(engine));
    }
    for (unsigned place = 0; place < options_.nodes; ++place) {
        nodes_.push_back(make_node());
        start(nodes_.back());
    }
    tell_vms();
}

loopback_fleet::~loopback_fleet()
{
    nodes_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

loopback_fleet::node loopback_fleet::make_node()
{
    node made;
    made.caller_port = io::free_port();
    made.admin_port = io::free_port();
    made.name = loopback(io::free_port());
    made.settings_file = directory_ + "/node-" + std::to_string(++started_) + ".json";
    const nlohmann::json settings = {
        {"data_centre", data_centre},
        {"caller_address", loopback(made.caller_port)},
        {"admin_address", loopback(made.admin_port)},
        {"peer_address", made.name},
        {"log_address", log_.address()},
        {"vm_list_address", vm_list_.address()},
        {"balancer_drain", std::to_string(options_.balancer_drain.count()) + "us"}};
    std::ofstream(made.settings_file) << settings.dump(2) << "\n";
    return made;
}

void loopback_fleet::start(node& made)
{
    made.process = std::make_unique<child_process>(
        std::vector<std::string>{options_.program, "serve", made.settings_file}, output_file());
    balancer_.add(made.caller_port, made.admin_port);
}

void loopback_fleet::tell_vms(const node* also)
{
    std::vector<core::vm_entry> vms;
    for (const node& one : nodes_) {
        vms.push_back({node_id(one.name), data_centre_id(data_centre), one.leaving});
    }
    if (also != nullptr) {
        vms.push_back({node_id(also->name), data_centre_id(data_centre), false});
    }
    vm_list_.set(vms);
}

std::string loopback_fleet::text() const
{
    nlohmann::json engines = nlohmann::json::array();
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        engines.push_back({{"name", engine_name(index)},
                           {"address", engines_[index]->address()},
                           {"data_centre", data_centre},
                           {"checks_fence", true}});
    }
    const nlohmann::json chat = {{"name", "chat"}, {"load", {{"model", model}}}, {"engines", engines}};
    const nlohmann::json orders = {
        {"name", "orders"},
        {"kind", "plain"},
        {"path", "/orders"},
        {"depends_on", {{"log", true}}},
        {"calls", {{{"method", "GET"}, {"may_repeat", true}}, {{"method", "POST"}}}},
        {"backends",
         {{{"name", "orders-1"}, {"address", service_.address()}, {"data_centre", data_centre}}}}};
    const nlohmann::json caller = {
        {"name", "bench"},
        {"key_hashes", {sha256_hex(std::string(salt) + key)}},
        {"limits", {{"requests_per_second", 100000}, {"concurrent_requests", 100000}}}};
    return nlohmann::json{{"name", "bench"},
                          {"key_salt", salt},
                          {"data_centres", {data_centre}},
                          {"services", {chat, orders}},
                          {"organisations", {caller}}}
        .dump();
}

void loopback_fleet::publish()
{
    agreement::publish_record record;
    record.id = publish_id("bench");
    record.author = "bench";
    record.text = text();
    const std::string body = nlohmann::json{{"records", {agreement::encode_record(record)}}}.dump();
    const std::string& address = log_.address();
    io::raw_caller caller(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
    caller.write("POST /log/append HTTP/1.1\r\nHost: log\r\nConnection: close\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body);
    caller.read_all();
}

bool loopback_fleet::wait_ready(const node& one, std::chrono::milliseconds limit)
{
    for (std::chrono::milliseconds waited{0}; waited < limit; waited += poll_every) {
        if (balancer_.ready(one.caller_port)) {
            return true;
        }
        std::this_thread::sleep_for(poll_every);
    }
    return false;
}

bool loopback_fleet::wait_ready(std::chrono::milliseconds limit)
{
    publish();
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const node& one) { return wait_ready(one, limit); });
}

void loopback_fleet::kill_node(std::size_t place)
{
    node& one = nodes_.at(place);
    balancer_.disturb(one.caller_port);
    one.process->signal(SIGKILL);
    static_cast<void>(one.process->wait(kill_limit));
}

void loopback_fleet::restart_node(std::size_t place)
{
    node& one = nodes_.at(place);
    start(one);
    balancer_.recovered(one.caller_port);
}

void loopback_fleet::pause_node(std::size_t place)
{
    balancer_.disturb(nodes_.at(place).caller_port);
    nodes_.at(place).process->signal(SIGSTOP);
}

void loopback_fleet::continue_node(std::size_t place)
{
    nodes_.at(place).process->signal(SIGCONT);
    balancer_.recovered(nodes_.at(place).caller_port);
}

bool loopback_fleet::replace_node(std::size_t place, std::chrono::milliseconds limit)
{
    node fresh = make_node();
    start(fresh);
    tell_vms(&fresh);
    const bool ready = wait_ready(fresh, limit);
    node& old = nodes_.at(place);
    old.leaving = true;
    tell_vms(&fresh);
    old.process->signal(SIGTERM);
    const std::optional<int> code = old.process->wait(limit);
    balancer_.remove(old.caller_port);
    old = std::move(fresh);
    tell_vms();
    return ready && code == 0;
}

} // namespace currantspar::bench
