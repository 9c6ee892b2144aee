#include "currantspar/io/log.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <climits>
#include <map>
#include <mutex>

#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

#include "currantspar/base/json.hpp"
#include "currantspar/base/wire_text.hpp"
#include "currantspar/io/clock.hpp"

// The library keeps its state in this process-wide storage.
INITIALIZE_EASYLOGGINGPP // NOLINT

    namespace currantspar::io
{

    namespace {

    constexpr unsigned lines_per_event = 100; ///< in one window
    constexpr duration window = std::chrono::seconds(1);
    /// Callers and servers choose some values, for example the id of a request.
    constexpr std::size_t max_value_bytes = 1024;
    constexpr std::array<std::string_view, 4> level_names = {"debug", "info", "warning", "error"};

    struct repeat_count
    {
        instant began{};
        unsigned lines = 0;
        unsigned suppressed = 0;
    };

    /// The format, the level and the counts of repeated events of the process.
    class log_settings
    {
    public:
        static log_settings& instance()
        {
            static log_settings settings;
            return settings;
        }

        void configure(const std::string& level, config::log_format format)
        {
            const std::lock_guard lock(mutex_);
            format_ = format;
            for (std::size_t index = 0; index < level_names.size(); ++index) {
                if (level_names[index] == level) {
                    lowest_ = static_cast<log_level>(index);
                }
            }
            el::Configurations library;
            library.setToDefault();
            library.setGlobally(el::ConfigurationType::Format, "%msg");
            library.setGlobally(el::ConfigurationType::ToFile, "false");
            library.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
            el::Loggers::reconfigureLogger("default", library);
        }

        /// The line to write, or nothing when the event is below the level or repeats too often.
        std::string line(log_level level, std::string_view event, std::vector<log_field> fields)
        {
            const std::lock_guard lock(mutex_);
            if (level < lowest_) {
                return {};
            }
            repeat_count& count = counts_[std::string(event)];
            const instant now = monotonic_now();
            if (now - count.began >= window) {
                count.began = now;
                count.lines = 0;
            }
            if (count.lines >= lines_per_event) {
                count.suppressed += 1;
                return {};
            }
            count.lines += 1;
            if (count.suppressed > 0) {
                fields.push_back({"suppressed", std::to_string(std::exchange(count.suppressed, 0))});
            }
            return format_ == config::log_format::json ? as_json(level, event, fields)
                                                       : as_pairs(level, event, fields);
        }

    private:
        /// Cuts a value of printable text.
        static std::string cut(const std::string& value)
        {
            if (value.size() <= max_value_bytes) {
                return value;
            }
            return value.substr(0, max_value_bytes) + "... (" + std::to_string(value.size()) + " bytes)";
        }

        /// True for text that needs no quotes.
        static bool is_plain(std::string_view value)
        {
            return std::all_of(value.begin(), value.end(), [](char each) {
                return each > ' ' && each <= '~' && each != '"' && each != '\\' && each != '=';
            });
        }

        static std::string as_json(log_level level, std::string_view event,
                                   const std::vector<log_field>& fields)
        {
            nlohmann::ordered_json out = {{"wall_ms", wall_now().time_since_epoch().count()},
                                          {"level", level_names[static_cast<std::size_t>(level)]},
                                          {"event", event}};
            for (const log_field& field : fields) {
                out[field.key] = cut(field.value);
            }
            return out.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
        }

        static std::string as_pairs(log_level level, std::string_view event,
                                    const std::vector<log_field>& fields)
        {
            std::string out = "wall_ms=" + std::to_string(wall_now().time_since_epoch().count());
            out.append(" level=").append(level_names[static_cast<std::size_t>(level)]);
            out.append(" event=").append(event);
            for (const log_field& field : fields) {
                out.append(" ").append(field.key).append("=");
                out.append(is_plain(field.value) ? cut(field.value)
                                                 : escaped_excerpt(field.value, max_value_bytes));
            }
            return out;
        }

        std::mutex mutex_;
        log_level lowest_ = log_level::info;
        config::log_format format_ = config::log_format::key_value;
        std::map<std::string, repeat_count> counts_;
    };

    std::atomic<int> target_descriptor = STDERR_FILENO;

    /// Lines that the target doesn't take at once wait here; further ones are dropped and counted.
    constexpr std::size_t max_waiting_bytes = 65536;

    /// Writes whole lines to the log's target without ever waiting for its reader.
    class line_output
    {
    public:
        static line_output& instance()
        {
            static line_output output;
            return output;
        }

        void write(const std::string& line)
        {
            const std::lock_guard lock(mutex_);
            flush();
            if (dropped_ > 0 && waiting_.empty()) {
                waiting_ = log_settings::instance().line(
                               log_level::warning, "log_resumed",
                               {{"dropped_lines", std::to_string(std::exchange(dropped_, 0))}}) +
                           "\n";
            }
            if (waiting_.size() + line.size() + 1 > max_waiting_bytes) {
                count_dropped(1);
                return;
            }
            waiting_.append(line).append("\n");
            flush();
        }

        void write_waiting()
        {
            const std::lock_guard lock(mutex_);
            flush();
        }

        [[nodiscard]] std::uint64_t dropped_total() const { return dropped_total_; }

    private:
        void count_dropped(std::uint64_t lines)
        {
            dropped_ += lines;
            dropped_total_ += lines;
        }

        /// Writes as long as the target takes bytes at once.
        void flush()
        {
            std::size_t written = 0;
            while (written < waiting_.size()) {
                pollfd target{target_descriptor, POLLOUT, 0};
                if (::poll(&target, 1, 0) <= 0) {
                    break;
                }
                // A pipe that is ready for writing takes this many bytes without blocking.
                const std::size_t part = std::min<std::size_t>(waiting_.size() - written, PIPE_BUF);
                const ssize_t taken = ::write(target.fd, waiting_.data() + written, part);
                if (taken < 0) {
                    if (errno != EAGAIN && errno != EINTR) {
                        // Nobody will read them, for example after EPIPE.
                        const std::string_view rest = std::string_view(waiting_).substr(written);
                        count_dropped(static_cast<std::uint64_t>(std::count(rest.begin(), rest.end(), '\n')));
                        written = waiting_.size();
                    }
                    break;
                }
                written += static_cast<std::size_t>(taken);
            }
            waiting_.erase(0, written);
        }

        std::mutex mutex_;
        std::string waiting_;
        std::uint64_t dropped_ = 0; ///< since the last line that was taken
        std::atomic<std::uint64_t> dropped_total_ = 0;
    };

    /// Passes the library's lines on to the output.
    class line_writer : public el::LogDispatchCallback
    {
    protected:
        void handle(const el::LogDispatchData* data) override
        {
            line_output::instance().write(data->logMessage()->message());
        }
    };

    void install_line_writer()
    {
        static const bool once = [] {
            el::Helpers::installLogDispatchCallback<line_writer>("line_writer");
            log_settings::instance().configure("info", config::log_format::key_value);
            return true;
        }();
        static_cast<void>(once);
    }

    } // namespace

    void configure_log(const std::string& level, config::log_format format, log_target target)
    {
        target_descriptor = target == log_target::standard_output ? STDOUT_FILENO : STDERR_FILENO;
        install_line_writer();
        log_settings::instance().configure(level, format);
    }

    void flush_log()
    {
        line_output::instance().write_waiting();
    }

    std::uint64_t dropped_log_lines()
    {
        return line_output::instance().dropped_total();
    }

    void log_event(log_level level, std::string_view event, const std::vector<log_field>& fields)
    {
        install_line_writer();
        const std::string line = log_settings::instance().line(level, event, fields);
        if (line.empty()) {
            return;
        }
        switch (level) {
        case log_level::debug:
            LOG(DEBUG) << line;
            break;
        case log_level::info:
            LOG(INFO) << line;
            break;
        case log_level::warning:
            LOG(WARNING) << line;
            break;
        case log_level::error:
            LOG(ERROR) << line;
            break;
        }
    }

} // namespace currantspar::io
