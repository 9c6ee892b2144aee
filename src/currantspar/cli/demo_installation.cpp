#include "demo_installation.hpp"

#include "currantspar/base/hash.hpp"
#include "currantspar/io/reserved_port.hpp"

namespace currantspar::cli {

namespace {

constexpr const char* salt = "demo-salt";
constexpr const char* model = "demo-model";
constexpr const char* model_version = "1";
constexpr std::array<const char*, demo_nodes> node_data_centres{"dc-a", "dc-a", "dc-b"};

const char* engine_data_centre(std::size_t index)
{
    return index < demo_engines / 2 ? "dc-a" : "dc-b";
}

/// The last engine ignores fencing numbers.
bool engine_checks_fence(std::size_t index)
{
    return index + 1 < demo_engines;
}

std::string numbered(const char* name, std::size_t index)
{
    return std::string(name) + "-" + std::to_string(index + 1);
}

standin::engine_model_options engine_options(std::size_t index)
{
    standin::engine_model_options options;
    options.id = engine_id(numbered("engine", index));
    options.goal.load = {model, "", model_version};
    options.checks_fence = engine_checks_fence(index);
    return options;
}

} // namespace

std::string demo_text(const demo_addresses& addresses)
{
    nlohmann::ordered_json engines = nlohmann::ordered_json::array();
    for (std::size_t i = 0; i < demo_engines; ++i) {
        nlohmann::ordered_json engine{{"name", numbered("engine", i)},
                                      {"address", addresses.engines.at(i)},
                                      {"data_centre", engine_data_centre(i)}};
        if (engine_checks_fence(i)) {
            engine["checks_fence"] = true;
        }
        engines.push_back(std::move(engine));
    }
    nlohmann::ordered_json backends = nlohmann::ordered_json::array();
    for (std::size_t i = 0; i < demo_backends; ++i) {
        backends.push_back({{"name", numbered("orders", i)},
                            {"address", addresses.backends.at(i)},
                            {"data_centre", i == 0 ? "dc-a" : "dc-b"}});
    }
    const nlohmann::ordered_json chat{
        {"name", "chat"}, {"load", {{"model", model}, {"version", model_version}}}, {"engines", engines}};
    const nlohmann::ordered_json orders{
        {"name", "orders"},
        {"kind", "plain"},
        {"path", "/orders"},
        {"depends_on", {{"log", true}}},
        {"calls",
         {{{"method", "GET"}, {"may_repeat", true}},
          {{"method", "POST"}, {"path_prefix", "/bookings"}, {"require_key", true}}}},
        {"backends", backends}};
    const nlohmann::ordered_json organisation{{"name", "demo"},
                                              {"key_hashes", {sha256_hex(std::string(salt) + demo_key)}}};
    nlohmann::ordered_json delay;
    delay["between"] = {"dc-a", "dc-b"};
    delay["one_way"] = "1ms";
    nlohmann::ordered_json text;
    text["name"] = "demo";
    text["key_salt"] = salt;
    text["data_centres"] = {"dc-a", "dc-b"};
    text["delays"] = nlohmann::ordered_json::array({delay});
    text["services"] = nlohmann::ordered_json::array({chat, orders});
    text["organisations"] = nlohmann::ordered_json::array({organisation});
    return text.dump(2) + "\n";
}

demo_installation::demo_installation()
{
    for (std::size_t i = 0; i < demo_engines; ++i) {
        engines_.push_back(std::make_unique<standin::http_engine>(engine_options(i)));
    }
    const auto bookings = std::make_shared<standin::service_model>();
    for (std::size_t i = 0; i < demo_backends; ++i) {
        backends_.push_back(std::make_unique<standin::http_service>(bookings));
    }
}

demo_installation::~demo_installation()
{
    stop();
}

result<void> demo_installation::start()
{
    std::vector<core::vm_entry> vms;
    for (std::size_t i = 0; i < demo_nodes; ++i) {
        config::node_settings settings;
        settings.data_centre = data_centre_id(node_data_centres.at(i));
        settings.caller_address = "127.0.0.1:0";
        settings.admin_address = "127.0.0.1:0";
        // A node's name is its peer address and must be known before it starts.
        const io::reserved_port peer_port;
        settings.peer_address = "127.0.0.1:" + std::to_string(peer_port.port());
        settings.log_address = log_.address();
        settings.vm_list_address = vm_list_.address();
        settings.balancer_drain = std::chrono::milliseconds(200);
        auto made = std::make_unique<node::runtime>(settings);
        if (auto opened = made->open(); !opened) {
            return opened;
        }
        vms.push_back({node_id(settings.peer_address), settings.data_centre, false});
        nodes_.push_back(std::move(made));
    }
    vm_list_.set(vms);
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        threads_.emplace_back([this, i] { exit_codes_.at(i) = nodes_[i]->run(); });
    }
    return {};
}

bool demo_installation::stop()
{
    if (threads_.size() != nodes_.size()) {
        return false;
    }
    for (const auto& running : nodes_) {
        running->stop();
    }
    for (std::thread& thread : threads_) {
        thread.join();
    }
    const bool clean = exit_codes_ == std::array<int, demo_nodes>{};
    threads_.clear();
    nodes_.clear();
    return clean;
}

std::string demo_installation::text() const
{
    demo_addresses addresses;
    for (std::size_t i = 0; i < demo_engines; ++i) {
        addresses.engines.at(i) = engines_[i]->address();
    }
    for (std::size_t i = 0; i < demo_backends; ++i) {
        addresses.backends.at(i) = backends_[i]->address();
    }
    return demo_text(addresses);
}

std::vector<std::string> demo_installation::caller_addresses() const
{
    std::vector<std::string> addresses;
    for (const auto& running : nodes_) {
        addresses.push_back("127.0.0.1:" + std::to_string(running->caller_port()));
    }
    return addresses;
}

std::vector<std::string> demo_installation::admin_addresses() const
{
    std::vector<std::string> addresses;
    for (const auto& running : nodes_) {
        addresses.push_back("127.0.0.1:" + std::to_string(running->admin_port()));
    }
    return addresses;
}

std::uint64_t demo_installation::executions(const std::string& tag)
{
    return backends_.front()->executions(tag);
}

} // namespace currantspar::cli
