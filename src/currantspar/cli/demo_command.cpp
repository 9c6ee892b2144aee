#include <csignal>
#include <fstream>
#include <future>
#include <iostream>
#include <thread>

#include "command.hpp"
#include "currantspar/io/log.hpp"
#include "demo_installation.hpp"
#include "fetch.hpp"
#include "log_session.hpp"
#include "publisher.hpp"

namespace currantspar::cli {

namespace {

constexpr duration ready_limit = std::chrono::seconds(20);
constexpr duration ask_every = std::chrono::milliseconds(100);
constexpr const char* chat_body =
    R"({"model": "chat", "stream": true, "max_tokens": 24, "messages": [{"role": "user", "content": "Which gasket fits a five litre cooker?"}]})";

/// What came of one call.
struct call_result
{
    int status = 0;
    std::string outcome; ///< of the header Currantspar-Outcome
    std::string body;
    unsigned pieces = 0; ///< of a streamed answer
    bool ended = false;  ///< the stream's end marker was seen
    std::string request; ///< of the answer's id
};

/// Collects an answer; prints the pieces of a streamed one as they come.
class answer_printer : public io::http_handler
{
public:
    void on_head(const io::http_head& head) override
    {
        result_.status = head.status;
        result_.outcome = head.header("currantspar-outcome");
        streamed_ = head.header("content-type").starts_with("text/event-stream");
    }

    bool on_data(std::string_view bytes) override
    {
        result_.body += bytes;
        pending_ += bytes;
        for (std::size_t end = pending_.find('\n'); streamed_ && end != std::string::npos;
             end = pending_.find('\n')) {
            take_line(pending_.substr(0, end));
            pending_.erase(0, end + 1);
        }
        return true;
    }

    void on_end(const io::transfer_end&) override { done_.set_value(result_); }

    [[nodiscard]] std::future<call_result> result() { return done_.get_future(); }

private:
    void take_line(const std::string& line)
    {
        constexpr std::string_view prefix = "data: ";
        if (!line.starts_with(prefix)) {
            return;
        }
        const std::string data = line.substr(prefix.size());
        if (data.starts_with("[DONE]")) {
            result_.ended = true;
            return;
        }
        const auto chunk = nlohmann::json::parse(data, nullptr, false);
        if (!chunk.is_object() || !chunk.contains("choices")) {
            return;
        }
        result_.request = chunk.value("id", "");
        const auto piece =
            chunk.value(nlohmann::json::json_pointer("/choices/0/delta/content"), std::string());
        if (!piece.empty()) {
            ++result_.pieces;
            std::cout << piece << ' ' << std::flush;
        }
    }

    call_result result_;
    std::string pending_;
    bool streamed_ = false;
    std::promise<call_result> done_;
};

call_result call(io::http_client& http, const std::string& address, const std::string& path,
                 const std::string& body, std::vector<io::http_header> headers = {})
{
    io::http_request request;
    request.method = "POST";
    request.url = "http://" + address + path;
    request.headers = std::move(headers);
    request.headers.push_back({"Authorization", std::string("Bearer ") + demo_key});
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = std::make_shared<const std::string>(body);
    const auto printer = std::make_shared<answer_printer>();
    auto done = printer->result();
    http.start(std::move(request), printer);
    return done.get();
}

/// The demo's run, step by step; each step says what it does.
class demo
{
public:
    int run(bool once, const std::string& variables_path)
    {
        if (const auto started = installation_.start(); !started) {
            return report(started.error());
        }
        print_addresses();
        bool good = publish_text() && wait_ready() && stream_answer() && book_twice();
        if (good && !once) {
            print_next_steps();
            write_variables(variables_path);
            wait_for_signal();
        }
        good = check_ledger() && good;
        std::cout << "stopping the nodes gracefully\n";
        good = installation_.stop() && good;
        std::cout << (good ? "demo: everything worked\n" : "demo: FAILED\n");
        return static_cast<int>(good ? exit_code::done : exit_code::failed);
    }

private:
    void print_addresses() const
    {
        std::cout << "log service at " << installation_.log_address() << "\n";
        const auto callers = installation_.caller_addresses();
        const auto admins = installation_.admin_addresses();
        for (std::size_t i = 0; i < callers.size(); ++i) {
            std::cout << "node " << i + 1 << ": callers at " << callers[i] << ", admin at http://"
                      << admins[i] << "/\n";
        }
    }

    bool publish_text()
    {
        const std::string text = installation_.text();
        log_session session(installation_.log_address());
        publish_options options;
        options.author = "demo";
        const auto verdict = publish(access_to(session), text, options);
        if (!verdict || verdict->verdict != agreement::publish_verdict::accepted) {
            std::cout << "the text was not published: "
                      << (verdict ? verdict->detail : verdict.error().message) << '\n';
            return false;
        }
        std::cout << "published the text of examples/demo.json with the addresses of this run: revision "
                  << verdict->current.value() << '\n';
        return true;
    }

    bool wait_ready()
    {
        const auto end = std::chrono::steady_clock::now() + ready_limit;
        while (std::chrono::steady_clock::now() < end) {
            const auto answers = fetch_statuses(http_, installation_.admin_addresses());
            const bool ready = std::all_of(answers.begin(), answers.end(), [](const node_answer& answer) {
                return answer.status && answer.status->ready && answer.status->current.value() != 0;
            });
            if (ready) {
                std::cout << "in force at all nodes\n";
                return true;
            }
            std::this_thread::sleep_for(ask_every);
        }
        std::cout << "the nodes didn't get ready\n";
        return false;
    }

    bool stream_answer()
    {
        std::cout << "a caller asks node 1; the answer streams:\n  " << std::flush;
        const call_result answer =
            call(http_, installation_.caller_addresses()[0], "/v1/chat/completions", chat_body);
        std::cout << "\n  status " << answer.status << ", " << answer.pieces << " pieces, "
                  << (answer.ended ? "whole" : "NOT WHOLE: " + answer.body) << '\n';
        return answer.status == 200 && answer.ended && answer.pieces > 0;
    }

    /// The same booking at two nodes: it runs once.
    bool book_twice()
    {
        const std::vector<io::http_header> headers{{"Idempotency-Key", "demo-booking-1"},
                                                   {"X-Test-Tag", "demo-booking-1"}};
        const auto callers = installation_.caller_addresses();
        const call_result first = call(http_, callers[1], "/orders/bookings", R"({"gaskets": 12})", headers);
        const call_result second = call(http_, callers[2], "/orders/bookings", R"({"gaskets": 12})", headers);
        const std::uint64_t ran = installation_.executions("demo-booking-1");
        std::cout << "a booking with one Idempotency-Key at nodes 2 and 3: status " << first.status << " and "
                  << second.status << ", ran " << ran << " time" << (ran == 1 ? "" : "s") << '\n';
        return first.status == 200 && second.status == 200 && ran == 1;
    }

    bool check_ledger()
    {
        std::uint64_t accepted = 0;
        std::uint64_t answered = 0;
        std::int64_t difference = 0;
        for (const node_answer& answer : fetch_statuses(http_, installation_.admin_addresses())) {
            if (!answer.status) {
                continue;
            }
            for (const node::service_status& service : answer.status->services) {
                accepted += service.accepted;
                answered += service.answered;
                difference += service.difference;
            }
        }
        std::cout << "ledger: " << accepted << " accepted, " << answered << " answered, difference "
                  << difference << '\n';
        return difference == 0;
    }

    void print_next_steps() const
    {
        const auto callers = installation_.caller_addresses();
        const std::string nodes = node_arguments();
        std::cout << "\nTry from a second terminal:\n"
                  << "  curl -N http://" << callers[0] << "/v1/chat/completions -H 'Authorization: Bearer "
                  << demo_key << "' -H 'Content-Type: application/json' -d '" << chat_body << "'\n"
                  << "  build/currantspar status" << nodes << '\n'
                  << "  build/currantspar timeline" << nodes << '\n'
                  << "  build/currantspar show --text --log " << installation_.log_address()
                  << " > demo.json\n"
                  << "  build/currantspar publish demo.json --log " << installation_.log_address()
                  << " --wait" << nodes << '\n';
        std::cout << "Ctrl-C stops the demo.\n" << std::flush;
    }

    /// Shell variables for the commands of the docs.
    void write_variables(const std::string& path) const
    {
        if (!path.empty()) {
            std::ofstream(path) << "LOG=" << installation_.log_address() << "\nNODES='" << node_arguments()
                                << "'\nCALLER=" << installation_.caller_addresses()[0]
                                << "\nADMIN=" << installation_.admin_addresses()[0] << "\nKEY=" << demo_key
                                << '\n';
        }
    }

    [[nodiscard]] std::string node_arguments() const
    {
        std::string text;
        for (const std::string& address : installation_.admin_addresses()) {
            text += " --node " + address;
        }
        return text;
    }

    static void wait_for_signal()
    {
        sigset_t stop_signals;
        sigemptyset(&stop_signals);
        sigaddset(&stop_signals, SIGINT);
        sigaddset(&stop_signals, SIGTERM);
        int received = 0;
        sigwait(&stop_signals, &received);
        std::cout << '\n';
    }

    demo_installation installation_;
    io::http_client http_;
};

/// Threads started later inherit this, so that only wait_for_signal gets these signals.
void block_stop_signals()
{
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGINT);
    sigaddset(&stop_signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

} // namespace

int run_demo(const arguments& given)
{
    argument_parser parser(given,
                           "Runs three nodes with stand-ins in this process, publishes a text and answers a "
                           "streamed request.");
    TCLAP::CmdLine& line = parser.line();
    TCLAP::SwitchArg once("o", "once", "leave after the first answer, with code 0 when everything worked",
                          line);
    TCLAP::ValueArg<std::string> variables(
        "", "variables", "write the addresses to this file as shell variables", false, "", "FILE", line);
    TCLAP::ValueArg<std::string> level("", "log-level", "debug, info, warning or error", false, "error",
                                       "LEVEL", line);
    parser.parse();
    block_stop_signals();
    io::configure_log(level.getValue(), config::log_format::key_value);
    return demo().run(once.getValue(), variables.getValue());
}

} // namespace currantspar::cli
