#include <cstdlib>
#include <iostream>
#include <random>

#include "../standins/platform.hpp"

// For some seconds, one of four decoding model servers answers streams with a sound head and then with bytes
// without end. Watches what the other requests of the gateways get.

namespace {

using namespace review;

constexpr auto order_timeout = milliseconds(1200);
constexpr auto order_deadline = milliseconds(2500);
constexpr auto stream_deadline = milliseconds(6000);
/// The gap after which a requester leaves a stream: four times its objective.
constexpr auto stream_gap = milliseconds(2400);
constexpr auto answer_slack = milliseconds(500);
constexpr auto contact = milliseconds(3000);
constexpr auto calm_time = milliseconds(5000);
constexpr auto trouble_time = milliseconds(8000);
constexpr auto load_after = milliseconds(7000);
/// The server whose answers have no end.
const char* const troubled_server = "i-5";
constexpr unsigned requesters = 36;
constexpr unsigned events_of_stream = 12;
/// Fewer unanswered requests than this say nothing.
constexpr unsigned least_unanswered = 8;

const char* const configuration = R"({"version":7,"routes":[
{"name":"r-order","host":"desk.example","path_prefix":"/order/","type":"non_idempotent","timeout_ms":1200,
 "target_latency_ms":150,"priority":2,"service":"desk","max_attempts":1,"sticky":false,"resumable":false},
{"name":"r-fit","host":"desk.example","path_prefix":"/fit/","type":"streaming","timeout_ms":6000,
 "target_latency_ms":600,"priority":2,"service":"model","max_attempts":1,"sticky":true,"resumable":false,
 "gap_target_ms":200}],
"services":[{"name":"desk","health_path":"/healthz","max_connections":200,"protocol":"h1","tls":false},
{"name":"model","health_path":"/healthz","max_connections":720,"protocol":"h1","tls":false,"engine":{"slots":64,
 "kv_capacity_tokens":451819,"kv_bytes":163840,"link_mbps":1600000.0,"kv_retention_s":5.0,"role_switch_s":3.0,
 "models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

record notes("review/1/record.txt");
std::atomic<bool> in_trouble = false;
std::atomic<bool> load_over = false;

/// Bytes of no meaning, the same in each run.
std::string noise(std::size_t size)
{
    std::mt19937_64 random(28);
    std::string out;
    while (out.size() < size) {
        const std::uint64_t drawn = random();
        out.append(reinterpret_cast<const char*>(&drawn), sizeof drawn);
    }
    return out;
}

fields answer_head(const std::string& id)
{
    return {{"X-Attempt-Id", id}, {"X-Server-Signature", "sig." + id}};
}

bool answer_order(server& from, connection& to, const message& asked)
{
    const std::string id = field(asked.head, "X-Attempt-Id");
    std::this_thread::sleep_for(milliseconds(30));
    notes.add(from.id() + " ran " + id);
    return to.send(write_message("HTTP/1.1 200 OK", answer_head(id), "booked " + id));
}

bool answer_endlessly(server& from, connection& to, const std::string& id)
{
    notes.add(from.id() + " answers " + id + " with bytes without end");
    fields head = answer_head(id);
    head.emplace_back("Content-Type", "text/event-stream");
    to.send(write_head("HTTP/1.1 200 OK", head));
    const std::string bytes = noise(4194304);
    std::uint64_t sent = 0;
    while (to.send(bytes)) {
        sent += bytes.size();
    }
    notes.add(from.id() + " found the channel of " + id + " closed after " + std::to_string(sent >> 20U) +
              " MiB");
    return false;
}

bool answer_stream(server& from, connection& to, const message& asked)
{
    const std::string id = field(asked.head, "X-Attempt-Id");
    notes.add(from.id() + " ran " + id);
    if (in_trouble && from.id() == troubled_server) {
        return answer_endlessly(from, to, id);
    }
    fields head = answer_head(id);
    head.emplace_back("Content-Type", "text/event-stream");
    head.emplace_back("Transfer-Encoding", "chunked");
    to.send(write_head("HTTP/1.1 200 OK", head));
    for (unsigned event = 1; event <= events_of_stream; ++event) {
        std::this_thread::sleep_for(milliseconds(25));
        to.send(
            write_chunk("id: " + std::to_string(event) + "\ndata: word " + std::to_string(event) + "\n\n"));
    }
    return to.send(write_chunk(""));
}

/// The requests of one node from the beginning of the trouble on.
struct tally
{
    std::atomic<unsigned> sent = 0;
    std::atomic<unsigned> late = 0;       ///< unanswered at their route's timeout
    std::atomic<unsigned> unanswered = 0; ///< and also half a second later
};

/// Keeps one channel to a node and sends one request after the other on it.
class requester
{
public:
    requester(unsigned number, balancer& balance, std::vector<std::unique_ptr<node>>& nodes,
              std::vector<tally>& tallies)
        : number_(number), balance_(balance), nodes_(nodes), tallies_(tallies), random_(number)
    {}

    void run()
    {
        while (!load_over) {
            if (!channel_) {
                place_ = balance_.choose(number_ + channels_++);
                const int handle = connect_to(nodes_[place_]->front());
                if (handle < 0) {
                    std::this_thread::sleep_for(milliseconds(100));
                    continue;
                }
                channel_ = std::make_unique<connection>(handle);
            }
            const std::string id = "r" + std::to_string(number_) + "-" + std::to_string(++requests_);
            const bool sound = number_ % 3 != 0 ? order(id) : stream(id);
            if (!sound) {
                channel_.reset();
            }
            std::this_thread::sleep_for(milliseconds(100 + random_() % 200));
        }
    }

private:
    std::string request(const std::string& path, const std::string& id, milliseconds deadline,
                        fields more) const
    {
        fields head = {{"Host", "desk.example"},
                       {"X-Attempt-Id", id},
                       {"X-Deadline-Ms", std::to_string(deadline.count())}};
        head.insert(head.end(), more.begin(), more.end());
        return write_message("POST " + path + " HTTP/1.1", head, "body of " + id);
    }

    /// Books an order and judges when the answer comes.
    bool order(const std::string& id)
    {
        const auto begun = steady::now();
        notes.add(id + " order sent to " + nodes_[place_]->name());
        if (!channel_->send(request("/order/2f", id, order_deadline, {}))) {
            return false;
        }
        const bool counts = begun >= counted_from;
        message answer;
        const read_end end = channel_->read(answer, begun + order_deadline);
        const auto took = std::chrono::duration_cast<milliseconds>(steady::now() - begun);
        tally& of = tallies_[place_];
        const bool answered = end == read_end::complete;
        if (counts) {
            of.sent += 1;
            of.late += !answered || took > order_timeout ? 1 : 0;
            of.unanswered += !answered || took > order_timeout + answer_slack ? 1 : 0;
        }
        notes.add(id + (answered ? " answered " + answer.start.substr(9, 3) : " not answered") + " after " +
                  std::to_string(took.count()) + " ms by " + nodes_[place_]->name());
        return answered && lower(field(answer.head, "Connection")) != "close";
    }

    bool stream(const std::string& id)
    {
        const auto begun = steady::now();
        notes.add(id + " stream sent to " + nodes_[place_]->name());
        const fields model = {{"X-Model", "m"},
                              {"X-Token-Count", "1460,80"},
                              {"X-Prefix-Hash", "5c1e07a2:800,91bd3f06:410," + std::to_string(number_) +
                                                    std::to_string(requests_) + ":250"}};
        if (!channel_->send(request("/fit/2f", id, stream_deadline, model))) {
            return false;
        }
        message answer;
        const auto leave = [&](steady::time_point last) {
            return std::min(last + stream_gap, begun + stream_deadline);
        };
        auto last_event = begun;
        if (channel_->read_head(answer, leave(last_event)) != read_end::complete) {
            return ended(id, "without a head", begun);
        }
        if (answer.status() != 200) {
            notes.add(id + " answered " + answer.start.substr(9, 3));
            return false;
        }
        std::uint64_t bytes = 0;
        for (;;) {
            std::string chunk;
            const read_end end = channel_->read_chunk(chunk, leave(last_event));
            if (end != read_end::complete || steady::now() >= leave(last_event)) {
                return ended(id, "after " + std::to_string(bytes) + " bytes", begun);
            }
            if (chunk.empty()) {
                notes.add(id + " stream complete");
                return lower(field(answer.head, "Connection")) != "close";
            }
            bytes += chunk.size();
            if (chunk.starts_with("id: ")) {
                last_event = steady::now();
            }
        }
    }

    bool ended(const std::string& id, const std::string& how, steady::time_point begun) const
    {
        const auto took = std::chrono::duration_cast<milliseconds>(steady::now() - begun);
        notes.add(id + " stream left or cut " + how + " and " + std::to_string(took.count()) + " ms at " +
                  nodes_[place_]->name());
        return false;
    }

public:
    /// Requests that are sent earlier aren't judged.
    static inline steady::time_point counted_from = steady::time_point::max();

private:
    unsigned number_;
    balancer& balance_;
    std::vector<std::unique_ptr<node>>& nodes_;
    std::vector<tally>& tallies_;
    std::mt19937 random_;
    std::unique_ptr<connection> channel_;
    std::size_t place_ = 0;
    unsigned requests_ = 0;
    unsigned channels_ = 0;
};

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

int play(bool trouble, const std::string& folder)
{
    // What the threads of the stand-ins use lives until the process ends.
    static store platform;
    platform.open();
    platform.put("keyed.op", "config", configuration);
    static std::vector<std::unique_ptr<server>> servers;
    for (unsigned place = 0; place < 8; ++place) {
        const bool plain = place < 2;
        const char* stage = plain ? "" : place < 4 ? "prefill" : "decode";
        servers.push_back(std::make_unique<server>(platform, "i-" + std::to_string(place),
                                                   plain ? "desk" : "model", stage,
                                                   plain ? answer_order : answer_stream));
        servers.back()->open();
    }
    static std::vector<std::unique_ptr<node>> nodes;
    for (unsigned place = 0; place < 2; ++place) {
        nodes.push_back(std::make_unique<node>(platform, "edge-" + std::to_string(place), folder));
        nodes.back()->start();
    }
    static balancer balance(nodes, notes);
    balance.open();
    for (const auto give_up = steady::now() + std::chrono::seconds(10); !balance.all_in();) {
        if (steady::now() > give_up) {
            notes.add("the gateways don't become ready");
            return not_run;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    std::this_thread::sleep_for(contact);
    std::vector<tally> tallies(nodes.size());
    std::vector<std::thread> callers;
    const auto begun = steady::now();
    requester::counted_from = begun + calm_time;
    for (unsigned number = 0; number < requesters; ++number) {
        callers.emplace_back([&, number] { requester(number, balance, nodes, tallies).run(); });
    }
    std::this_thread::sleep_until(begun + calm_time);
    in_trouble = trouble;
    std::this_thread::sleep_until(begun + calm_time + trouble_time);
    in_trouble = false;
    std::this_thread::sleep_until(begun + calm_time + trouble_time + load_after);
    load_over = true;
    for (std::thread& each : callers) {
        each.join();
    }
    bool all_run = true;
    unsigned late = 0;
    unsigned unanswered = 0;
    for (std::size_t place = 0; place < nodes.size(); ++place) {
        const tally& of = tallies[place];
        const bool runs = nodes[place]->runs();
        notes.add(nodes[place]->name() + ": " + std::to_string(of.sent) + " orders, " +
                  std::to_string(of.late) + " unanswered at the timeout, " + std::to_string(of.unanswered) +
                  " half a second later; " + (runs ? "runs" : "ended") + "; " +
                  (nodes[place]->is_ready() ? "ready" : "not ready"));
        late += of.late;
        unanswered += of.unanswered;
        all_run = all_run && runs;
    }
    // The rule is about all machines in touch together.
    const bool breaks = late >= least_unanswered && 2 * unanswered > late;
    const int result = breaks || !all_run ? broken : held;
    for (const auto& each : nodes) {
        each->kill();
    }
    return result;
}

} // namespace

int main(int count, char** words)
{
    if (count != 3) {
        return not_run;
    }
    const bool trouble = std::string(words[2]) != "0";
    const int result = play(trouble, words[1]);
    notes.add(result == held ? "held" : result == broken ? "broken" : "not run");
    std::cout << (result == held ? "held" : result == broken ? "broken" : "not run") << std::endl;
    // The threads of the stand-ins end with the process; the gateways are gone by now.
    std::_Exit(result);
}
