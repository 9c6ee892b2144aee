#include "connect_probe.hpp"

#include <utility>

#include "currantspar/gateway/tcp_connection.hpp"

namespace currantspar::gateway {

namespace {

constexpr duration probe_timeout = std::chrono::milliseconds(400);

} // namespace

class connect_probes::probe : public tcp_connection
{
public:
    probe(ACE_Reactor& reactor, result_handler done, instant deadline)
        : tcp_connection(reactor), done_(std::move(done)), deadline_(deadline)
    {}

    void open(const std::string& address)
    {
        const auto parsed = io::parse_address(address);
        refused_at_once_ = parsed && !connect(*parsed) && errno == ECONNREFUSED;
    }

    void on_tick(instant now)
    {
        if (refused_at_once_) {
            finish(relay::probe_result::refused);
        } else if (now >= deadline_ || !is_open()) {
            finish(relay::probe_result::timed_out);
        }
    }

    [[nodiscard]] bool finished() const { return done_ == nullptr; }

protected:
    void on_connected() override
    {
        close();
        finish(relay::probe_result::connected);
    }
    void on_bytes(std::string_view) override {}
    void on_closed(std::error_code problem) override
    {
        // Other errors, such as an unreachable network, say nothing about the server's process.
        finish(problem == std::errc::connection_refused ? relay::probe_result::refused
                                                        : relay::probe_result::timed_out);
    }

private:
    void finish(relay::probe_result result)
    {
        if (const result_handler done = std::exchange(done_, nullptr)) {
            close();
            done(result);
        }
    }

    result_handler done_;
    instant deadline_;
    bool refused_at_once_ = false;
};

connect_probes::connect_probes(ACE_Reactor& reactor) : reactor_(reactor) {}

connect_probes::~connect_probes() = default;

void connect_probes::start(const std::string& address, result_handler done, instant now)
{
    probes_.push_back(std::make_unique<probe>(reactor_, std::move(done), now + probe_timeout));
    probes_.back()->open(address);
}

void connect_probes::on_tick(instant now)
{
    // A handler may start further probes, which invalidates iterators, so the loop uses an index.
    for (std::size_t index = 0; index < probes_.size(); ++index) {
        if (!probes_[index]->finished()) {
            probes_[index]->on_tick(now);
        }
    }
    std::erase_if(probes_, [](const auto& each) { return each->finished(); });
}

} // namespace currantspar::gateway
