#include <cstdlib>
#include <iostream>

#include "../standins/platform.hpp"

// Servers begin to answer long uploads before they have read them, in answers that end with their channel.
// For some seconds, one of eight servers resets a part of its answers on the way. Looks for such answers that
// arrive as complete successes.

namespace {

using namespace review;

constexpr auto upload_deadline = milliseconds(2500);
constexpr auto contact = milliseconds(3000);
constexpr auto calm_time = milliseconds(4000);
constexpr auto trouble_time = milliseconds(6500);
constexpr auto load_after = milliseconds(4000);
constexpr unsigned requesters = 8;
constexpr unsigned server_count = 8;
/// Within the limit of the configuration.
constexpr std::size_t upload_bytes = 4190000;
/// In bytes, of the links to the servers.
constexpr int small_window = 65536;
/// What a server has read of an upload when it begins to answer.
constexpr auto early_read_time = milliseconds(5);
constexpr auto answer_pause = milliseconds(60);
/// The server that resets answers, and the share of them.
const char* const troubled_server = "i-3";
constexpr unsigned reset_percent = 45;

const char* const configuration = R"({"version":7,"routes":[
{"name":"r-upload","host":"desk.example","path_prefix":"/upload/","type":"non_idempotent","timeout_ms":2500,
 "target_latency_ms":500,"priority":2,"service":"desk","max_attempts":1,"sticky":false,"resumable":false}],
"services":[{"name":"desk","health_path":"/healthz","max_connections":200,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

record notes("review/2/record.txt");
std::atomic<bool> in_trouble = false;
std::atomic<bool> load_over = false;
std::atomic<unsigned> troubled_answers = 0;
std::atomic<unsigned> resets = 0;
std::atomic<unsigned> whole = 0;
std::atomic<unsigned> failed = 0;
std::atomic<unsigned> truncated = 0;

std::string answer_body(const std::string& id)
{
    return "begin of the receipt for " + id + "; 5 plots of 5 are entered; end of the receipt for " + id;
}

/// Returns whether the answer of this number is reset: never more than the share of those so far.
bool is_reset(unsigned number)
{
    return (number + 1) * reset_percent / 100 > number * reset_percent / 100;
}

/// Answers an upload whose body is still on its way, and reads on afterwards.
bool answer_early(server& from, connection& to, const message& asked)
{
    const std::string id = field(asked.head, "X-Attempt-Id");
    notes.add(from.id() + " ran " + id);
    const std::string body = answer_body(id);
    const fields head = {{"X-Attempt-Id", id}, {"X-Server-Signature", "sig." + id}, {"Connection", "close"}};
    std::this_thread::sleep_for(early_read_time);
    to.send(write_head("HTTP/1.1 200 OK", head) + body.substr(0, body.size() / 2));
    std::this_thread::sleep_for(answer_pause);
    if (in_trouble && from.id() == troubled_server && is_reset(troubled_answers++)) {
        resets += 1;
        notes.add(from.id() + " resets the channel in the middle of its answer to " + id);
        to.reset();
        return false;
    }
    to.send(body.substr(body.size() / 2));
    std::size_t left = std::stoul(field(asked.head, "Content-Length"));
    to.skip(left, steady::now() + upload_deadline);
    notes.add(from.id() + " answered " + id + " whole");
    return false;
}

class requester
{
public:
    requester(unsigned number, balancer& balance, std::vector<std::unique_ptr<node>>& nodes)
        : number_(number), balance_(balance), nodes_(nodes)
    {}

    void run()
    {
        while (!load_over) {
            upload("u" + std::to_string(number_) + "-" + std::to_string(++requests_));
            std::this_thread::sleep_for(milliseconds(20));
        }
    }

private:
    void upload(const std::string& id)
    {
        const std::size_t place = balance_.choose(number_ + requests_);
        const int handle = connect_to(nodes_[place]->front());
        if (handle < 0) {
            return;
        }
        connection channel(handle);
        const fields head = {{"Host", "desk.example"},
                             {"X-Attempt-Id", id},
                             {"X-Deadline-Ms", std::to_string(upload_deadline.count())}};
        const auto begun = steady::now();
        notes.add(id + " sent to " + nodes_[place]->name());
        channel.send(write_message("POST /upload/2f HTTP/1.1", head, std::string(upload_bytes, 'p')));
        message answer;
        const read_end end = channel.read(answer, begun + upload_deadline);
        judge(id, end, answer);
    }

    static void judge(const std::string& id, read_end end, const message& answer)
    {
        const std::string status = answer.start.size() < 12 ? "nothing" : answer.start.substr(9, 3);
        const bool is_success = end == read_end::complete && answer.status() >= 200 && answer.status() < 300;
        if (!is_success) {
            failed += 1;
            notes.add(id + " answered " + status + (end == read_end::complete ? "" : ", not complete"));
            return;
        }
        const bool is_whole =
            answer.body == answer_body(id) && field(answer.head, "X-Server-Signature") == "sig." + id;
        (is_whole ? whole : truncated) += 1;
        notes.add(id + " answered " + status +
                  (is_whole ? " whole" : " WITH ANOTHER BODY: '" + answer.body + "'"));
    }

    unsigned number_;
    balancer& balance_;
    std::vector<std::unique_ptr<node>>& nodes_;
    unsigned requests_ = 0;
};

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;
/// Fewer resets than this say nothing.
constexpr unsigned least_resets = 3;

int play(bool trouble, const std::string& folder)
{
    // What the threads of the stand-ins use lives until the process ends.
    static store platform;
    platform.open();
    platform.put("keyed.op", "config", configuration);
    static std::vector<std::unique_ptr<server>> servers;
    for (unsigned place = 0; place < server_count; ++place) {
        servers.push_back(
            std::make_unique<server>(platform, "i-" + std::to_string(place), "desk", "", answer_early));
        servers.back()->answer_before_body(small_window);
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
    std::vector<std::thread> callers;
    for (unsigned number = 0; number < requesters; ++number) {
        callers.emplace_back([&, number] { requester(number, balance, nodes).run(); });
    }
    std::this_thread::sleep_for(calm_time);
    in_trouble = trouble;
    std::this_thread::sleep_for(trouble_time);
    in_trouble = false;
    std::this_thread::sleep_for(load_after);
    load_over = true;
    for (std::thread& each : callers) {
        each.join();
    }
    for (const auto& each : nodes) {
        each->kill();
    }
    notes.add(std::to_string(resets) + " answers reset; " + std::to_string(whole) + " successes whole, " +
              std::to_string(truncated) + " successes with another body, " + std::to_string(failed) +
              " failures");
    if (whole == 0 || (trouble && resets < least_resets)) {
        return not_run;
    }
    return truncated > 0 ? broken : held;
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
