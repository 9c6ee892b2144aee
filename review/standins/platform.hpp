#ifndef CURRANTSPAR_REVIEW_PLATFORM_HPP
#define CURRANTSPAR_REVIEW_PLATFORM_HPP

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <thread>

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "http.hpp"

/// The platform's store, its balancer, backend servers and the gateway processes, as the users' pages
/// describe them. Each stand-in serves every connection on a thread of its own; all are thread safe.
namespace review {

/// Accepts connections at a free loopback port and serves each on its own thread. The threads end with the
/// process.
class listener
{
public:
    void open(std::function<void(connection&)> serve, int window = 0)
    {
        handle_ = listen_on_loopback(port_, window);
        std::thread([handle = handle_, serve = std::move(serve)] {
            for (;;) {
                const int accepted = ::accept4(handle, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    return;
                }
                std::thread([accepted, serve] {
                    connection from(accepted);
                    serve(from);
                }).detach();
            }
        }).detach();
    }

    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    int handle_ = -1;
    std::uint16_t port_ = 0;
};

/// What was sent, answered and run, one line each.
class record
{
public:
    explicit record(const std::string& path) : out_(path), begun_(steady::now()) {}

    void add(const std::string& line)
    {
        const std::lock_guard lock(mutex_);
        const auto at = std::chrono::duration_cast<milliseconds>(steady::now() - begun_).count();
        out_ << at << " ms: " << line << '\n';
        out_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    steady::time_point begun_;
};

/// The log store: keyed topics with one partition, long reads and conditional appends.
class store
{
public:
    void open()
    {
        listener_.open([this](connection& from) { serve(from); });
    }

    [[nodiscard]] std::string address() const { return listener_.address(); }

    /// Appends a record; without a value the key is dropped.
    std::uint64_t put(const std::string& topic, const std::string& key, std::optional<std::string> value)
    {
        const std::lock_guard lock(mutex_);
        return put_locked(topic, key, std::move(value));
    }

private:
    struct entry
    {
        std::string key;
        std::optional<std::string> value;
    };

    std::uint64_t put_locked(const std::string& topic, const std::string& key,
                             std::optional<std::string> value)
    {
        topics_[topic].push_back({key, std::move(value)});
        changed_.notify_all();
        return topics_[topic].size() - 1;
    }

    static std::string big_endian(std::uint64_t value, unsigned bytes)
    {
        std::string out;
        for (unsigned place = bytes; place-- > 0;) {
            out.push_back(static_cast<char>((value >> (8 * place)) & 0xffU));
        }
        return out;
    }

    static std::string base64(const std::string& bytes)
    {
        constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t at = 0; at < bytes.size(); at += 3) {
            std::uint32_t bits = 0;
            for (std::size_t place = 0; place < 3; ++place) {
                const bool inside = at + place < bytes.size();
                bits = (bits << 8U) | (inside ? static_cast<unsigned char>(bytes[at + place]) : 0U);
            }
            for (unsigned place = 0; place < 4; ++place) {
                const bool inside = at + place <= bytes.size();
                out.push_back(inside ? digits[(bits >> (18 - 6 * place)) & 63U] : '=');
            }
        }
        return out;
    }

    static std::map<std::string, std::string> query_of(const std::string& target)
    {
        std::map<std::string, std::string> out;
        std::istringstream rest(target.substr(std::min(target.find('?') + 1, target.size())));
        for (std::string item; std::getline(rest, item, '&');) {
            out[item.substr(0, item.find('='))] = item.substr(item.find('=') + 1);
        }
        return out;
    }

    void serve(connection& from)
    {
        for (message asked;
             from.read(asked, steady::now() + std::chrono::minutes(5)) == read_end::complete;) {
            const std::string path = asked.target().substr(0, asked.target().find('?'));
            auto query = query_of(asked.target());
            const bool done = path == "/api/log-newest"   ? list(from, query["topic"])
                              : path == "/api/log-append" ? append(from, query, asked.body)
                                                          : read(from, query);
            if (!done) {
                return;
            }
        }
    }

    bool list(connection& to, const std::string& topic)
    {
        const std::lock_guard lock(mutex_);
        std::map<std::string, std::size_t> newest;
        const auto& records = topics_[topic];
        for (std::size_t offset = 0; offset < records.size(); ++offset) {
            newest[records[offset].key] = offset;
        }
        std::string items;
        for (const auto& [key, offset] : newest) {
            if (records[offset].value) {
                items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + key + "\",\"value\":\"" +
                         base64(*records[offset].value) + "\",\"offset\":" + std::to_string(offset) + "}";
            }
        }
        const std::string body = "{\"items\":[" + items +
                                 "],\"has_more\":false,\"end_offset\":" + std::to_string(records.size()) +
                                 "}";
        return to.send(write_message("HTTP/1.1 200 OK", {{"Content-Type", "application/json"}}, body));
    }

    bool append(connection& to, std::map<std::string, std::string>& query, const std::string& body)
    {
        const std::lock_guard lock(mutex_);
        const std::string& topic = query["topic"];
        const std::size_t end = topics_[topic].size();
        if (query.contains("at") && std::stoull(query["at"]) != end) {
            return to.send(write_message("HTTP/1.1 412 Precondition Failed", {},
                                         "{\"end_offset\":" + std::to_string(end) + "}"));
        }
        for (std::size_t at = 0; at + 5 <= body.size();) {
            std::size_t length = 0;
            for (std::size_t place = 0; place < 4; ++place) {
                length = (length << 8U) | static_cast<unsigned char>(body[at + place]);
            }
            const std::size_t key = static_cast<unsigned char>(body[at + 4]);
            const std::string value = body.substr(at + 5 + key, length - 1 - key);
            put_locked(topic, body.substr(at + 5, key),
                       value.empty() ? std::nullopt : std::optional<std::string>(value));
            at += 4 + length;
        }
        return to.send(write_message("HTTP/1.1 200 OK", {{"Content-Type", "application/json"}},
                                     "{\"offset\":" + std::to_string(end) +
                                         ",\"end_offset\":" + std::to_string(topics_[topic].size()) + "}"));
    }

    bool read(connection& to, std::map<std::string, std::string>& query)
    {
        const std::string topic = query["topic"];
        const std::size_t begin = std::stoull(query["from"]);
        const auto wait = milliseconds(query.contains("wait_ms") ? std::stoi(query["wait_ms"]) : 0);
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, wait, [&] { return topics_[topic].size() > begin; });
        const auto& records = topics_[topic];
        std::string body = big_endian(records.size(), 8) + big_endian(0, 8);
        for (std::size_t offset = begin; offset < records.size(); ++offset) {
            const entry& each = records[offset];
            const std::string payload =
                std::string(1, static_cast<char>(each.key.size())) + each.key + each.value.value_or("");
            body += big_endian(payload.size(), 4) + payload;
        }
        lock.unlock();
        return to.send(
            write_message("HTTP/1.1 200 OK", {{"Content-Type", "application/octet-stream"}}, body));
    }

    listener listener_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<entry>> topics_;
};

/// A backend server: announces itself in the store and answers requests. `stage` is empty for a plain
/// service.
class server
{
public:
    /// Answers a request that runs; false: the connection is over.
    using handler = std::function<bool(server&, connection&, const message&)>;

    server(store& platform, std::string id, std::string service, std::string stage, handler answer)
        : id_(std::move(id)), store_(platform), service_(std::move(service)), stage_(std::move(stage)),
          answer_(std::move(answer))
    {}

    void open()
    {
        born_ms_ =
            std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                .count();
        listener_.open([this](connection& from) { serve(from); }, window_);
        std::thread([this] {
            for (;;) {
                announce();
                std::this_thread::sleep_for(heartbeat);
            }
        }).detach();
    }

    [[nodiscard]] const std::string& id() const { return id_; }

    /// Answers requests when their head has arrived; the handler reads the body. The pages' links have small
    /// windows, so that a server that doesn't read blocks the writer. Precondition: not open yet.
    void answer_before_body(int window)
    {
        before_body_ = true;
        window_ = window;
    }

private:
    static constexpr milliseconds heartbeat{1200};

    void announce()
    {
        const std::lock_guard lock(mutex_);
        std::string entry = "{\"service\":\"" + service_ + "\",\"address\":\"" + listener_.address() +
                            "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\","
                            "\"cold_remaining_ms\":0,\"sequence\":" +
                            std::to_string(++beats_) + ",\"born\":" + std::to_string(born_ms_);
        if (!stage_.empty()) {
            entry +=
                ",\"stage\":\"" + stage_ + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";
        }
        store_.put("keyed.servers", id_, entry + "}");
    }

    bool refuse(connection& to, const std::string& request, const char* status)
    {
        return to.send(
            write_message(std::string("HTTP/1.1 ") + status,
                          {{"X-Attempt-Id", request}, {"X-Not-Executed", "1"}, {"X-Instance-Id", id_}}, ""));
    }

    bool take_order(connection& to, const std::string& body)
    {
        {
            const std::lock_guard lock(mutex_);
            stage_ = body.find("\"stage\":\"prefill\"") != std::string::npos ? "prefill" : "decode";
            orders_ += 1;
        }
        announce();
        return to.send(write_message("HTTP/1.1 202 Accepted", {}, ""));
    }

    bool report(connection& to)
    {
        const std::lock_guard lock(mutex_);
        return to.send(write_message(
            "HTTP/1.1 200 OK", {{"Content-Type", "application/json"}},
            "{\"stage\":\"" + stage_ +
                "\",\"models\":[],\"busy\":false,\"sequence\":" + std::to_string(orders_) + "}"));
    }

    bool read_prompt(connection& to, const std::string& request)
    {
        const std::string handle = id_ + "-" + std::to_string(++handles_);
        return to.send(write_message(
            "HTTP/1.1 200 OK", {{"X-Attempt-Id", request}, {"Content-Type", "application/json"}},
            "{\"kv_handle\":\"" + handle + "\",\"token_count\":1000,\"version\":1}"));
    }

    bool reply(connection& to, const message& asked)
    {
        const std::string request = field(asked.head, "X-Attempt-Id");
        const std::string target = field(asked.head, "X-Target-Instance");
        if (!target.empty() && target != id_) {
            return refuse(to, request, "421 Misdirected Request");
        }
        if (asked.target() == "/api/report") {
            return report(to);
        }
        if (asked.target() == "/api/order") {
            return take_order(to, asked.body);
        }
        if (asked.target().starts_with("/api/kv-handle/")) {
            return to.send(write_message("HTTP/1.1 200 OK", {}, ""));
        }
        const bool prefill = field(asked.head, "X-Serving-Stage") == "prefill";
        const bool is_prefill_engine = [&] {
            const std::lock_guard lock(mutex_);
            return stage_ == "prefill";
        }();
        if (prefill != is_prefill_engine) {
            return refuse(to, request, "421 Misdirected Request");
        }
        return prefill ? read_prompt(to, request) : answer_(*this, to, asked);
    }

    void serve(connection& from)
    {
        for (message asked; next(from, asked) == read_end::complete;) {
            if (!reply(from, asked)) {
                return;
            }
        }
    }

    read_end next(connection& from, message& into) const
    {
        const auto deadline = steady::now() + std::chrono::minutes(5);
        return before_body_ ? from.read_head(into, deadline) : from.read(into, deadline);
    }

    std::string id_;
    store& store_;
    bool before_body_ = false;
    int window_ = 0;
    std::string service_;
    std::string stage_;
    handler answer_;
    listener listener_;
    std::mutex mutex_;
    std::int64_t born_ms_ = 0;
    unsigned beats_ = 0;
    unsigned orders_ = 0;
    std::atomic<unsigned> handles_ = 0;
};

/// The command of the deploy file that runs a gateway, split at spaces.
inline std::vector<std::string> deploy_command()
{
    std::ifstream file("deploy/system.toml");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("run = \"")) {
            std::istringstream words(line.substr(7, line.rfind('"') - 7));
            std::vector<std::string> out;
            for (std::string word; words >> word;) {
                out.push_back(word);
            }
            return out;
        }
    }
    return {};
}

/// One gateway process, which ends with the thread that started it. Signals go to this process only.
class node
{
public:
    /// `folder` is a temporary one for settings and logs.
    node(const store& platform, const std::string& name, const std::string& folder)
        : name_(name), folder_(folder), front_(free_port()), ready_(free_port()), peer_(free_port()),
          metrics_(free_port())
    {
        std::ofstream(folder + "/" + name + ".conf")
            << "node_name=" << name << "\nrole=gateway\nmachine_class=edge\nserves=edge\nip=127.0.0.1\n"
            << "zone=zone-a\nregion=region\nzones.zone-a=region\n"
            << "listeners_map.frontend=127.0.0.1:" << front_ << "\nlisteners_map.ready=127.0.0.1:" << ready_
            << "\ninternal_port_range=" << peer_ << "," << metrics_
            << "\nbootstrap=true\nlimits.memory_mb=182\nlimits.max_fds=2870\nheartbeat_ms=1200\n"
            << "bounds.contact_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n"
            << "bounds.config_apply_ms=2000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n"
            << "bounds.budget_slack=108\nbounds.lease_ms=3000\nbounds.fencing_required=true\n"
            << "platform.address=" << platform.address() << "\nplatform.form=log\n";
    }
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node() { kill(); }

    void start()
    {
        const std::vector<std::string> command = deploy_command();
        const std::string setting = "CURRANTSPAR_NODE_FILE=" + folder_ + "/" + name_ + ".conf";
        const std::string log = folder_ + "/" + name_ + ".log";
        process_ = ::fork();
        if (process_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            std::vector<char*> words;
            for (const std::string& word : command) {
                words.push_back(const_cast<char*>(word.c_str()));
            }
            words.push_back(nullptr);
            char* environment[] = {const_cast<char*>(setting.c_str()), nullptr};
            ::execve(words.front(), words.data(), environment);
            ::_exit(127);
        }
    }

    void signal(int number) const
    {
        if (process_ > 0) {
            ::kill(process_, number);
        }
    }

    void kill()
    {
        if (process_ > 0) {
            signal(SIGCONT);
            signal(SIGKILL);
            ::waitpid(process_, nullptr, 0);
            process_ = -1;
        }
    }

    /// Returns whether the process still runs.
    [[nodiscard]] bool runs()
    {
        if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_) {
            process_ = -1;
        }
        return process_ > 0;
    }

    /// Asks for its readiness; false also when no answer comes within a second.
    [[nodiscard]] bool is_ready() const
    {
        const int handle = connect_to(ready_);
        if (handle < 0) {
            return false;
        }
        connection probe(handle);
        message answer;
        return probe.send("GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n") &&
               probe.read(answer, steady::now() + std::chrono::seconds(1)) == read_end::complete &&
               answer.status() == 200;
    }

    [[nodiscard]] std::uint16_t front() const { return front_; }
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] pid_t process() const { return process_; }

private:
    std::string name_;
    std::string folder_;
    std::uint16_t front_;
    std::uint16_t ready_;
    std::uint16_t peer_;
    std::uint16_t metrics_;
    pid_t process_ = -1;
};

/// Asks each node once a second whether it is ready and gives new channels to those that are: a node is out
/// after two misses, until it answers 200 again. When fewer than half are in, all nodes get channels.
class balancer
{
public:
    balancer(std::vector<std::unique_ptr<node>>& nodes, record& notes) : nodes_(nodes), notes_(notes)
    {
        misses_.assign(nodes.size(), 2);
    }

    void open()
    {
        for (std::size_t place = 0; place < nodes_.size(); ++place) {
            std::thread([this, place] {
                for (;;) {
                    const auto begun = steady::now();
                    note(place, nodes_[place]->is_ready());
                    std::this_thread::sleep_until(begun + std::chrono::seconds(1));
                }
            }).detach();
        }
    }

    [[nodiscard]] bool all_in()
    {
        const std::lock_guard lock(mutex_);
        return std::all_of(misses_.begin(), misses_.end(), [](unsigned each) { return each < 2; });
    }

    /// Returns the place of the node that a new channel goes to; `draw` is any number.
    [[nodiscard]] std::size_t choose(std::size_t draw)
    {
        const std::lock_guard lock(mutex_);
        std::vector<std::size_t> in;
        for (std::size_t place = 0; place < misses_.size(); ++place) {
            if (misses_[place] < 2) {
                in.push_back(place);
            }
        }
        return 2 * in.size() < misses_.size() ? draw % misses_.size() : in[draw % in.size()];
    }

private:
    void note(std::size_t place, bool is_ready)
    {
        const std::lock_guard lock(mutex_);
        const unsigned before = misses_[place];
        misses_[place] = is_ready ? 0 : before + 1;
        if (!is_ready && before < 6) {
            notes_.add(nodes_[place]->name() + " gave no 200 to its readiness question");
        }
    }

    std::vector<std::unique_ptr<node>>& nodes_;
    record& notes_;
    std::mutex mutex_;
    std::vector<unsigned> misses_;
};

} // namespace review

#endif
