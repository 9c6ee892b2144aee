#include "log_session.hpp"

#include <thread>

#include "currantspar/io/clock.hpp"

namespace currantspar::cli {

log_session::log_session(const std::string& address)
    : client_(io::make_http_log_client(http_, {address}, [this](core::event_body event) {
          const std::lock_guard lock(mutex_);
          events_.push_back(std::move(event));
          arrived_.notify_one();
      }))
{}

log_session::~log_session() = default;

/// The client answers every call, at the latest after its own limit.
core::event_body log_session::wait()
{
    std::unique_lock lock(mutex_);
    arrived_.wait(lock, [&] { return !events_.empty(); });
    core::event_body event = std::move(events_.front());
    events_.pop_front();
    return event;
}

result<void> log_session::read_to_head()
{
    while (true) {
        client_->read({replica_.next_read()});
        const core::event_body event = wait();
        if (const auto* failed = std::get_if<core::log_read_failed>(&event)) {
            return fail(error_kind::unavailable, "the log doesn't answer: " + failed->reason);
        }
        const auto& read = std::get<core::log_read>(event);
        replica_.on_batch(read.batch);
        if (replica_.caught_up()) {
            return {};
        }
        if (read.batch.records.empty()) {
            return fail(error_kind::unavailable,
                        "the log has neither its first record nor a whole checkpoint; nothing can be judged");
        }
    }
}

core::append_outcome log_session::append(agreement::record_body record)
{
    const append_id id(++last_append_);
    client_->append({id, {std::move(record)}});
    return std::get<core::append_finished>(wait()).outcome;
}

log_access access_to(log_session& session)
{
    return {[&session] { return session.read_to_head(); },
            [&session](agreement::record_body record) { return session.append(std::move(record)); },
            [&session]() -> const agreement::agreed_state& { return session.state(); },
            [](duration time) { std::this_thread::sleep_for(time); }, io::monotonic_now};
}

} // namespace currantspar::cli
