#include "currantspar/io/log.hpp"

#include <array>
#include <atomic>
#include <map>
#include <mutex>

#include <easylogging++.h>
#include <unistd.h>

#include "currantspar/base/json.hpp"
#include "currantspar/io/clock.hpp"

// The library keeps its state in this process-wide storage.
INITIALIZE_EASYLOGGINGPP // NOLINT

    namespace currantspar::io
{

    namespace {

    constexpr unsigned lines_per_event = 100; ///< in one window
    constexpr duration window = std::chrono::seconds(1);
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
        static std::string as_json(log_level level, std::string_view event,
                                   const std::vector<log_field>& fields)
        {
            nlohmann::ordered_json out = {{"wall_ms", wall_now().time_since_epoch().count()},
                                          {"level", level_names[static_cast<std::size_t>(level)]},
                                          {"event", event}};
            for (const log_field& field : fields) {
                out[field.key] = field.value;
            }
            return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        }

        static std::string as_pairs(log_level level, std::string_view event,
                                    const std::vector<log_field>& fields)
        {
            std::string out = "wall_ms=" + std::to_string(wall_now().time_since_epoch().count());
            out.append(" level=").append(level_names[static_cast<std::size_t>(level)]);
            out.append(" event=").append(event);
            for (const log_field& field : fields) {
                const nlohmann::json quoted = field.value;
                const bool plain = field.value.find_first_of(" \"\\=\n\r\t") == std::string::npos;
                out.append(" ").append(field.key).append("=");
                out.append(plain ? field.value
                                 : quoted.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
            }
            return out;
        }

        std::mutex mutex_;
        log_level lowest_ = log_level::info;
        config::log_format format_ = config::log_format::key_value;
        std::map<std::string, repeat_count> counts_;
    };

    std::atomic<int> target_descriptor = STDERR_FILENO;
    std::atomic<std::uint64_t> lost_lines = 0;

    /// Writes the library's lines to the log's target. A line that the target doesn't take at once is lost.
    class line_writer : public el::LogDispatchCallback
    {
    protected:
        void handle(const el::LogDispatchData* data) override
        {
            const std::lock_guard lock(mutex_);
            const std::string line = data->logMessage()->message() + "\n";
            const ssize_t written = ::write(target_descriptor, line.data(), line.size());
            if (written != static_cast<ssize_t>(line.size())) {
                lost_lines += 1;
            }
        }

    private:
        std::mutex mutex_;
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
