#include "bench/support/child_process.hpp"

#include <csignal>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace currantspar::bench {

namespace {

constexpr int signal_base = 128;
constexpr int not_started = 127;

/// Turns the forked child into the command. Only calls that are safe after a fork of a process with threads.
[[noreturn]] void become(char* const* words, int output, pid_t starter)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != starter) {
        ::_exit(not_started);
    }
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    // What the starter listens at and is connected to must end with the starter.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execv(words[0], words);
    ::_exit(not_started);
}

} // namespace

child_process::child_process(const std::vector<std::string>& command, const std::string& output_file)
{
    std::vector<char*> words;
    for (const std::string& word : command) {
        words.push_back(const_cast<char*>(word.c_str())); // NOLINT: execv's own convention
    }
    words.push_back(nullptr);
    const int output = ::open(output_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    const pid_t starter = ::getpid();
    id_ = ::fork();
    if (id_ == 0) {
        become(words.data(), output, starter);
    }
    ::close(output);
    if (id_ < 0) {
        throw std::runtime_error("can't start a process");
    }
}

child_process::~child_process()
{
    if (!exit_code()) {
        signal(SIGKILL);
        ::waitpid(id_, nullptr, 0);
    }
}

void child_process::signal(int number)
{
    if (!exit_code()) {
        ::kill(id_, number);
    }
}

std::optional<int> child_process::exit_code()
{
    int status = 0;
    if (!code_ && ::waitpid(id_, &status, WNOHANG) == id_) {
        code_ = WIFSIGNALED(status) ? signal_base + WTERMSIG(status) : WEXITSTATUS(status);
    }
    return code_;
}

std::optional<int> child_process::wait(std::chrono::milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!exit_code() && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return code_;
}

} // namespace currantspar::bench
