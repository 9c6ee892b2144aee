#include "currantspar/io/log.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <future>
#include <utility>

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include "currantspar/base/wire_text.hpp"

namespace currantspar::io {

namespace {

/// Puts a pipe in the place of standard output and logs into it, until it is destroyed.
class piped_output
{
public:
    piped_output() : saved_(::dup(STDOUT_FILENO))
    {
        BOOST_REQUIRE(::pipe(ends_.data()) == 0);
        ::dup2(ends_[1], STDOUT_FILENO);
        ::close(ends_[1]);
        configure_log("info", config::log_format::key_value, log_target::standard_output);
    }
    ~piped_output()
    {
        configure_log("info", config::log_format::key_value, log_target::standard_error);
        ::dup2(saved_, STDOUT_FILENO);
        ::close(saved_);
        close_reader();
    }
    piped_output(const piped_output&) = delete;
    piped_output& operator=(const piped_output&) = delete;

    /// Reads what is there now.
    std::string read()
    {
        std::string out;
        std::array<char, 65536> buffer{};
        pollfd ready{ends_[0], POLLIN, 0};
        while (::poll(&ready, 1, 50) > 0) {
            const ssize_t got = ::read(ends_[0], buffer.data(), buffer.size());
            if (got <= 0) {
                break;
            }
            out.append(buffer.data(), static_cast<std::size_t>(got));
        }
        return out;
    }

    void close_reader()
    {
        if (ends_[0] >= 0) {
            ::close(std::exchange(ends_[0], -1));
        }
    }

private:
    int saved_;
    std::array<int, 2> ends_{-1, -1};
};

/// Logs more than a pipe and the waiting lines hold. Few lines an event, as repeated events are counted
/// instead.
void log_a_lot(const std::string& name)
{
    for (int event = 0; event < 40; ++event) {
        for (int line = 0; line < 40; ++line) {
            log_event(log_level::info, name + std::to_string(event), {{"text", std::string(300, 'x')}});
        }
    }
}

bool ends_soon(std::future<void>& work)
{
    return work.wait_for(std::chrono::seconds(2)) == std::future_status::ready;
}

} // namespace

BOOST_AUTO_TEST_SUITE(log_tests)

/// Guards against a log that isn't read: the write to the full pipe stopped the whole process.
BOOST_AUTO_TEST_CASE(a_log_that_is_not_read_holds_up_nobody)
{
    piped_output output;
    const std::uint64_t before = dropped_log_lines();
    auto work = std::async(std::launch::async, [] { log_a_lot("unread-"); });
    const bool ended = ends_soon(work);
    BOOST_TEST(ended);
    std::string text = output.read();
    work.wait();
    const std::uint64_t dropped = dropped_log_lines() - before;
    BOOST_TEST(dropped > 0U);
    flush_log();
    text += output.read();
    log_event(log_level::info, "read-again");
    text += output.read();
    // Whole lines only, and a line that counts the missing ones.
    BOOST_REQUIRE(text.ends_with("\n"));
    std::size_t lines = 0;
    for (std::size_t begin = 0; begin < text.size(); ++lines) {
        const std::size_t end = text.find('\n', begin);
        const std::string line = text.substr(begin, end - begin);
        BOOST_TEST(line.starts_with("wall_ms="));
        const bool is_long = line.find("event=unread-") != std::string::npos;
        BOOST_TEST((!is_long || line.ends_with(std::string(300, 'x'))));
        begin = end + 1;
    }
    BOOST_TEST(lines == 1600U - dropped + 2U);
    BOOST_TEST(text.find("event=log_resumed dropped_lines=" + std::to_string(dropped)) != std::string::npos);
    BOOST_TEST(text.find("event=read-again") != std::string::npos);
}

/// A reader that goes away ends nothing, and holds nobody up.
BOOST_AUTO_TEST_CASE(a_log_whose_reader_went_away_is_dropped)
{
    ::signal(SIGPIPE, SIG_IGN);
    piped_output output;
    output.close_reader();
    const std::uint64_t before = dropped_log_lines();
    auto work = std::async(std::launch::async, [] { log_a_lot("gone-"); });
    BOOST_TEST(ends_soon(work));
    work.wait();
    BOOST_TEST(dropped_log_lines() - before >= 1600U);
}

/// Guards against values of callers and servers that act as a line of their own, act on the reader's
/// terminal, or fill the log.
BOOST_AUTO_TEST_CASE(a_value_stays_on_its_line_and_is_cut)
{
    const std::string hostile = "a\r\nwall_ms=1 event=forged\x1b[2J\x7f\xc2\x85\xff" + std::string(2000, 'x');
    for (const auto format : {config::log_format::key_value, config::log_format::json}) {
        piped_output output;
        configure_log("info", format, log_target::standard_output);
        log_event(log_level::info, "before"); // and what other tests left
        static_cast<void>(output.read());
        log_event(log_level::info, "hostile-value",
                  {{"value", hostile}, {"escape", "\x1b[2J"}, {"plain", "a/b"}});
        const std::string text = output.read();
        BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 1);
        BOOST_TEST(is_printable(text.substr(0, text.size() - 1)));
        BOOST_TEST(std::all_of(text.begin(), text.end(),
                               [](char each) { return each == '\n' || (each >= ' ' && each <= '~'); }));
        BOOST_TEST(text.size() < 2000U);
        BOOST_TEST(text.find("a/b") != std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace currantspar::io
