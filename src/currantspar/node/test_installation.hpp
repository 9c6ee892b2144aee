#ifndef CURRANTSPAR_NODE_TEST_INSTALLATION_HPP
#define CURRANTSPAR_NODE_TEST_INSTALLATION_HPP

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "currantspar/base/hash.hpp"
#include "currantspar/io/test_socket.hpp"
#include "currantspar/node/runtime.hpp"
#include "currantspar/standin/http_engine.hpp"
#include "currantspar/standin/http_platform.hpp"

namespace currantspar::node {

using io::free_port;
using io::raw_caller;
using io::status_of;

struct test_installation_options
{
    unsigned nodes = 1;
    unsigned engines = 2;
    standin::engine_model_options engine; ///< `id` is filled in
    config::node_settings settings;       ///< addresses are filled in
    std::function<void(core::core_options&)> adjust;
    std::string key = "test-key";
};

/// Stand-ins for the platform, engines and a plain service, with nodes in front of them, all on the loopback
/// interface in one process. A text is published at the start.
class test_installation
{
public:
    test_installation() : test_installation(test_installation_options()) {}
    explicit test_installation(test_installation_options options) : options_(std::move(options))
    {
        for (unsigned index = 0; index < options_.engines; ++index) {
            standin::engine_model_options engine = options_.engine;
            engine.id = engine_id("engine-" + std::to_string(index));
            engines_.push_back(std::make_unique<standin::http_engine>(engine));
        }
        for (unsigned index = 0; index < options_.nodes; ++index) {
            start_node();
        }
        publish(revision(), text());
        wait_ready();
    }
    test_installation(const test_installation&) = delete;
    test_installation& operator=(const test_installation&) = delete;
    ~test_installation()
    {
        for (const auto& node : nodes_) {
            node->stop_now();
        }
        for (std::thread& thread : threads_) {
            thread.join();
        }
    }

    /// The operators' text for the stand-ins.
    [[nodiscard]] std::string text() const
    {
        nlohmann::json engines = nlohmann::json::array();
        for (std::size_t index = 0; index < engines_.size(); ++index) {
            engines.push_back({{"name", "engine-" + std::to_string(index)},
                               {"address", engines_[index]->address()},
                               {"data_centre", "dc-a"},
                               {"checks_fence", true}});
        }
        const nlohmann::json chat = {{"name", "chat"},
                                     {"load", {{"model", "test-model"}}},
                                     {"engines", engines},
                                     {"max_queued", 4096}};
        const nlohmann::json orders = {
            {"name", "orders"},
            {"kind", "plain"},
            {"path", "/orders"},
            {"calls", {{{"method", "GET"}, {"may_repeat", true}}, {{"method", "POST"}}}},
            {"backends", {{{"name", "orders-1"}, {"address", service_.address()}, {"data_centre", "dc-a"}}}}};
        const nlohmann::json caller = {
            {"name", "tester"},
            {"key_hashes", {sha256_hex("salt" + options_.key)}},
            {"limits", {{"requests_per_second", 100000}, {"concurrent_requests", 100000}}}};
        return nlohmann::json{{"name", "test"},
                              {"key_salt", "salt"},
                              {"data_centres", {"dc-a"}},
                              {"services", {chat, orders}},
                              {"organisations", {caller}}}
            .dump(2);
    }

    /// Appends a publish record to the log.
    void publish(revision base, const std::string& fleet_text)
    {
        agreement::publish_record record;
        record.id = publish_id(random_hex());
        record.base = base;
        record.author = "test";
        record.text = fleet_text;
        const std::string body = nlohmann::json{{"records", {agreement::encode_record(record)}}}.dump();
        const auto port =
            static_cast<std::uint16_t>(std::stoi(log_.address().substr(log_.address().find(':') + 1)));
        raw_caller caller(port);
        caller.write("POST /log/append HTTP/1.1\r\nHost: log\r\nConnection: close\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
        caller.read_all();
    }

    /// Waits until all nodes have a configuration; false when that takes too long.
    bool wait_ready()
    {
        for (unsigned tries = 0; tries < 500; ++tries) {
            if (all_ready()) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }

    /// The bytes of a request with the installation's API key.
    [[nodiscard]] std::string request(const std::string& method, const std::string& path,
                                      const std::string& body = {}, const std::string& headers = {}) const
    {
        return method + " " + path + " HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer " + options_.key +
               "\r\nConnection: close\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }
    /// Sends a request on a connection of its own and returns the whole answer.
    [[nodiscard]] std::string call(const std::string& method, const std::string& path,
                                   const std::string& body = {}, const std::string& headers = {}) const
    {
        raw_caller caller(node().caller_port());
        caller.write(request(method, path, body, headers));
        return caller.read_all();
    }

    [[nodiscard]] runtime& node(std::size_t index = 0) const { return *nodes_.at(index); }
    [[nodiscard]] std::thread& thread(std::size_t index = 0) { return threads_.at(index); }
    [[nodiscard]] standin::http_engine& engine(std::size_t index = 0) { return *engines_.at(index); }
    [[nodiscard]] standin::http_service& service() { return service_; }
    [[nodiscard]] standin::http_log& log() { return log_; }

private:
    void start_node()
    {
        config::node_settings settings = options_.settings;
        settings.data_centre = data_centre_id("dc-a");
        settings.caller_address = "127.0.0.1:0";
        settings.admin_address = "127.0.0.1:0";
        settings.peer_address = "127.0.0.1:" + std::to_string(free_port());
        settings.log_address = log_.address();
        settings.vm_list_address = vm_list_.address();
        settings.balancer_drain = std::chrono::milliseconds(100);
        runtime_options options;
        options.adjust = options_.adjust;
        vms_.push_back({node_id(settings.peer_address), settings.data_centre, false});
        vm_list_.set(vms_);
        nodes_.push_back(std::make_unique<runtime>(settings, options));
        const auto opened = nodes_.back()->open();
        if (!opened) {
            throw std::runtime_error(opened.error().message);
        }
        threads_.emplace_back([node = nodes_.back().get()] { node->run(); });
    }

    [[nodiscard]] bool all_ready()
    {
        for (const auto& node : nodes_) {
            const auto ready = node->ask([](const core::node_state& state) {
                return std::string(state.lifecycle.ready ? "yes" : "no");
            });
            if (!ready || *ready != "yes") {
                return false;
            }
        }
        return true;
    }

    const test_installation_options options_;
    standin::http_log log_;
    standin::http_vm_list vm_list_;
    standin::http_service service_;
    std::vector<std::unique_ptr<standin::http_engine>> engines_;
    std::vector<core::vm_entry> vms_;
    std::vector<std::unique_ptr<runtime>> nodes_;
    std::vector<std::thread> threads_;
};

} // namespace currantspar::node

#endif
