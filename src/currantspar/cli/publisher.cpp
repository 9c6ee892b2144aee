#include "publisher.hpp"

#include <algorithm>
#include <charconv>

#include "currantspar/base/hash.hpp"
#include "currantspar/config/parse.hpp"

namespace currantspar::cli {

namespace {

constexpr std::string_view base_line_start = "// edited from revision ";
constexpr duration first_pause = std::chrono::milliseconds(200);
constexpr duration longest_pause = std::chrono::seconds(3);
/// A record whose append had no answer may show up this much later.
constexpr unsigned reads_before_repeat = 2;

const agreement::publish_result* find_verdict(const agreement::agreed_state& state, const publish_id& id)
{
    const auto found = std::find_if(state.history.begin(), state.history.end(),
                                    [&](const agreement::publish_result& result) { return result.id == id; });
    return found == state.history.end() ? nullptr : &*found;
}

/// One publish on its way.
class publish_run
{
public:
    publish_run(const log_access& log, instant give_up_at) : log_(log), give_up_at_(give_up_at) {}

    result<agreement::publish_result> run(const agreement::publish_record& record)
    {
        while (true) {
            if (const auto* verdict = read_verdict(record.id)) {
                return *verdict;
            }
            if (log_.now() >= give_up_at_) {
                return give_up(record);
            }
            if (may_append_) {
                append(record);
            }
            pause();
        }
    }

private:
    const agreement::publish_result* read_verdict(const publish_id& id)
    {
        const auto read = log_.read_to_head();
        last_error_ = read ? std::string() : read.error().message;
        if (!read) {
            return nullptr;
        }
        reads_since_append_ += 1;
        may_append_ = !sent_ || reads_since_append_ > reads_before_repeat;
        return find_verdict(log_.state(), id);
    }

    void append(const agreement::publish_record& record)
    {
        const core::append_outcome outcome = log_.append(record);
        may_append_ = false;
        if (outcome != core::append_outcome::refused) {
            sent_ = true;
            reads_since_append_ = 0;
            pause_ = duration::zero();
        }
    }

    void pause()
    {
        log_.pause(std::clamp(give_up_at_ - log_.now(), duration::zero(), pause_));
        pause_ = std::clamp(pause_ * 2, first_pause, longest_pause);
    }

    [[nodiscard]] result<agreement::publish_result> give_up(const agreement::publish_record& record) const
    {
        const std::string reason = last_error_.empty() ? "the log refuses appends" : last_error_;
        if (!sent_) {
            return fail(error_kind::unavailable, "not published: " + reason);
        }
        return fail(error_kind::timeout, "it isn't known whether the text was published: " + reason +
                                             "; try again with --id " + record.id.str() + " --base " +
                                             std::to_string(record.base.value()));
    }

    const log_access& log_;
    instant give_up_at_;
    duration pause_{};
    bool sent_ = false;
    bool may_append_ = false;
    unsigned reads_since_append_ = 0;
    std::string last_error_;
};

} // namespace

std::optional<revision> base_line(std::string_view text)
{
    if (!text.starts_with(base_line_start)) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const char* const first = text.data() + base_line_start.size();
    const auto [stop, fault] = std::from_chars(first, text.data() + text.size(), value);
    return fault == std::errc{} ? std::optional(revision(value)) : std::nullopt;
}

std::string without_base_line(const std::string& text)
{
    return base_line(text) ? text.substr(text.find('\n') + 1) : text;
}

std::string with_base_line(const std::string& text, revision base)
{
    return std::string(base_line_start) + std::to_string(base.value()) + "\n" + without_base_line(text);
}

result<agreement::publish_result> publish(const log_access& log, const std::string& text,
                                          const publish_options& options)
{
    const instant give_up_at = log.now() + options.limit;
    if (const auto read = log.read_to_head(); !read) {
        return tl::unexpected(read.error());
    }
    const agreement::agreed_state& state = log.state();
    const publish_id id = options.id.empty() ? publish_id(random_hex()) : options.id;
    const revision base = options.base.value_or(base_line(text).value_or(state.current));
    const std::string base_text = base == state.current ? state.text : std::string();
    agreement::publish_record record =
        agreement::make_publish(id, base, base_text, without_base_line(text), options.author);
    record.schema_version = config::current_schema_version;
    return publish_run(log, give_up_at).run(record);
}

} // namespace currantspar::cli
