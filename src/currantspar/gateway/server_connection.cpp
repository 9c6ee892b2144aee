#include "currantspar/gateway/server_connection.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

#include "currantspar/base/hash.hpp"
#include "currantspar/io/clock.hpp"

namespace currantspar::gateway {

namespace {

/// Responses that belong to other requests; a server that sends more before the right one is not waited for.
constexpr unsigned max_skipped_responses = 4;

/// The `timeout` parameter of a Keep-Alive field.
std::optional<std::chrono::seconds> keep_alive_timeout(const http_fields& fields)
{
    const std::string* value = find_field(fields, "Keep-Alive");
    if (value == nullptr) {
        return std::nullopt;
    }
    constexpr std::string_view key = "timeout=";
    const std::size_t at = value->find(key);
    if (at == std::string::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const char* begin = value->data() + at + key.size();
    const auto parsed = std::from_chars(begin, value->data() + value->size(), seconds);
    if (parsed.ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

} // namespace

class server_pool::connection : public tcp_connection
{
public:
    connection(ACE_Reactor& reactor, server_pool& pool, std::string address)
        : tcp_connection(reactor), pool_(pool), address_(std::move(address))
    {}

    bool open(const io::socket_address& to, instant now)
    {
        opened_ = now;
        return connect(to, pool_.options_.receive_buffer);
    }

    void begin(exchange_id exchange, outgoing_request request, exchange_sink& sink)
    {
        exchange_ = exchange;
        sink_ = &sink;
        requests_ += 1;
        if (pool_.options_.responses_have_ids) {
            carried_.push_back(fast_hash(request.id));
            names_all_ = names_all_ && !request.id.empty();
        }
        written_ = false;
        is_head_ = request.is_head;
        begin_response();
        skipped_responses_ = 0;
        in_.clear();
        write_owned(std::move(request.bytes));
    }

    void abandon()
    {
        sink_ = nullptr;
        close();
    }

    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] exchange_id exchange() const { return exchange_; }
    /// The number of requests sent so far.
    [[nodiscard]] std::size_t requests() const { return requests_; }
    [[nodiscard]] bool connected() const { return connected_; }
    [[nodiscard]] instant opened() const { return opened_; }
    [[nodiscard]] instant usable_until() const { return usable_until_; }
    [[nodiscard]] bool usable(instant now) const { return is_open() && now < usable_until_; }

    /// False when a response on this connection could belong to an earlier request instead.
    [[nodiscard]] bool may_carry(const outgoing_request& request) const
    {
        if (!pool_.options_.responses_have_ids) {
            return true;
        }
        return !request.id.empty() &&
               std::find(carried_.begin(), carried_.end(), fast_hash(request.id)) == carried_.end();
    }

    /// True when it carries no further request: it has carried the most, or one whose response names none.
    [[nodiscard]] bool is_used_up() const
    {
        return !names_all_ || carried_.size() >= pool_.options_.max_requests_per_connection;
    }

    void fail(const std::string& detail)
    {
        close();
        exchange_sink* sink = std::exchange(sink_, nullptr);
        pool_.drop(*this);
        if (sink != nullptr) {
            sink->request_failed(written_, detail);
        }
    }

protected:
    void on_connected() override
    {
        connected_ = true;
        if (sink_ != nullptr && !sink_->may_be_written()) {
            fail("given up before it was written");
        }
    }

    void on_sent() override
    {
        if (sink_ != nullptr && !written_) {
            written_ = true;
            sink_->request_written();
        }
    }

    void on_bytes(std::string_view bytes) override
    {
        if (sink_ == nullptr) {
            // Bytes on an idle connection belong to no request.
            fail("unexpected bytes");
            return;
        }
        in_.append(bytes);
        read_responses();
    }

    void on_closed(std::error_code problem) override
    {
        // A server that ends the connection before it has read the request may have been stopped in the
        // middle of a response that only this end delimits.
        const bool in_order = !problem && !ended_before_output();
        if (sink_ != nullptr && in_order && reader_->end_of_connection() && head_delivered_ && !skipping_) {
            pool_.drop(*this);
            exchange_sink* sink = std::exchange(sink_, nullptr);
            sink->response_complete();
            return;
        }
        fail(failure_detail(problem));
    }

private:
    [[nodiscard]] std::string failure_detail(std::error_code problem) const
    {
        if (!connected_) {
            return "connect failed: " + problem.message();
        }
        if (problem == std::errc::connection_reset) {
            return "connection reset";
        }
        return problem ? "connection failed: " + problem.message() : "connection closed";
    }

    void read_responses()
    {
        while (sink_ != nullptr) {
            if (!head_delivered_ && !read_head()) {
                return;
            }
            const read_progress progress = reader_->read(in_);
            if (!is_sound(progress)) {
                return;
            }
            deliver_body();
            if (sink_ == nullptr || progress == read_progress::incomplete) {
                return;
            }
            if (!skipping_) {
                complete();
                return;
            }
            if (++skipped_responses_ > max_skipped_responses) {
                fail("too many responses to other requests");
                return;
            }
            begin_response();
        }
    }

    void begin_response()
    {
        reader_.emplace(pool_.options_.response_limits, is_head_);
        head_delivered_ = false;
        skipping_ = false;
    }

    /// Returns whether a head was read and delivered, and the request is still open.
    bool read_head()
    {
        if (!is_sound(reader_->read_head(in_)) || !reader_->head_done()) {
            return false;
        }
        head_delivered_ = true;
        update_idle_time();
        if (pool_.observer_) {
            pool_.observer_(reader_->status(), reader_->fields());
        }
        skipping_ = !sink_->response_head(reader_->status(), reader_->fields());
        if (sink_ != nullptr && !skipping_) {
            limit_body(sink_->max_body_bytes());
        }
        return sink_ != nullptr;
    }

    void limit_body(std::size_t most)
    {
        body_bytes_left_ = most;
        if (most == unlimited_body_bytes) {
            reader_->allow_endless_body();
        }
        if (!is_head_ && reader_->content_length().value_or(0) > most) {
            fail("response body is too large");
        }
    }

    /// Fails the request unless the response can be read on.
    bool is_sound(read_progress progress)
    {
        if (progress == read_progress::incomplete || progress == read_progress::complete) {
            return true;
        }
        fail("response is malformed or too large");
        return false;
    }

    void deliver_body()
    {
        const std::string body = reader_->take_body();
        if (body.empty() || skipping_) {
            return;
        }
        if (body.size() > body_bytes_left_) {
            fail("response body is too large");
            return;
        }
        body_bytes_left_ -= body.size();
        sink_->response_body(body);
    }

    void complete()
    {
        const bool reusable = in_.empty() && reader_->keep_alive() && unsent() == 0;
        exchange_sink* sink = std::exchange(sink_, nullptr);
        if (reusable) {
            pool_.release(*this);
        } else {
            close();
            pool_.drop(*this);
        }
        sink->response_complete();
    }

    void update_idle_time()
    {
        const auto advertised = keep_alive_timeout(reader_->fields());
        const duration keep = advertised
                                  ? std::max(duration{}, duration(*advertised) - pool_.options_.idle_margin)
                                  : pool_.options_.max_idle_time;
        idle_time_ = keep;
    }

    friend class server_pool;

    server_pool& pool_;
    std::string address_;
    exchange_id exchange_ = 0;
    std::size_t requests_ = 0;
    std::vector<std::uint64_t> carried_; ///< hashes of the ids of its requests
    bool names_all_ = true;              ///< each of its requests had an id, where responses have one
    exchange_sink* sink_ = nullptr;
    std::optional<response_reader> reader_;
    std::string in_;
    bool connected_ = false;
    bool written_ = false;
    bool is_head_ = false; ///< the request's method is HEAD
    bool head_delivered_ = false;
    bool skipping_ = false;
    unsigned skipped_responses_ = 0;
    std::size_t body_bytes_left_ = 0; ///< of the limit on the current response's body
    duration idle_time_{};
    instant opened_{};
    instant usable_until_{};
};

server_pool::server_pool(ACE_Reactor& reactor, server_pool_options options)
    : reactor_(reactor), options_(options)
{}

server_pool::~server_pool() = default;

server_pool::connection* server_pool::take_idle(const std::string& address, const outgoing_request& request,
                                                instant now)
{
    std::vector<connection*>& idle = idle_[address];
    for (std::size_t index = idle.size(); index-- > 0;) {
        connection* kept = idle[index];
        if (!kept->usable(now)) {
            kept->close();
            drop(*kept);
        } else if (kept->may_carry(request)) {
            idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(index));
            return kept;
        }
    }
    return nullptr;
}

exchange_id server_pool::start(const std::string& address, outgoing_request request, exchange_sink& sink,
                               instant now)
{
    now_ = now;
    const exchange_id exchange = ++last_exchange_;
    if (connection* kept = take_idle(address, request, now)) {
        busy_.emplace(exchange, kept);
        sink.connection_kept(kept->requests());
        kept->begin(exchange, std::move(request), sink);
        return exchange;
    }
    auto created = std::make_unique<connection>(reactor_, *this, address);
    connection& added = *created;
    connections_.emplace(&added, std::move(created));
    busy_.emplace(exchange, &added);
    connects_ += 1;
    const auto parsed = io::parse_address(address);
    const bool opened = parsed && added.open(*parsed, now);
    added.begin(exchange, std::move(request), sink);
    if (!opened) {
        // on_tick() reports the failure, because request_failed isn't called from within start().
        added.close();
    }
    return exchange;
}

bool server_pool::has_idle(const std::string& address) const
{
    const auto kept = idle_.find(address);
    return kept != idle_.end() && !kept->second.empty();
}

void server_pool::cancel(exchange_id exchange)
{
    const auto found = busy_.find(exchange);
    if (found != busy_.end()) {
        connection& cancelled = *found->second;
        cancelled.abandon();
        drop(cancelled);
    }
}

void server_pool::release(connection& idle)
{
    busy_.erase(idle.exchange());
    now_ = io::monotonic_now();
    idle.usable_until_ = now_ + idle.idle_time_;
    std::vector<connection*>& kept = idle_[idle.address()];
    if (kept.size() >= options_.max_idle_connections || idle.idle_time_ <= duration{} || idle.is_used_up()) {
        idle.close();
        drop(idle);
        return;
    }
    kept.push_back(&idle);
}

void server_pool::drop(connection& closed)
{
    busy_.erase(closed.exchange());
    const auto kept = idle_.find(closed.address());
    if (kept != idle_.end()) {
        std::erase(kept->second, &closed);
    }
    const auto found = connections_.find(&closed);
    if (found != connections_.end()) {
        closed_.push_back(std::move(found->second));
        connections_.erase(found);
    }
}

void server_pool::on_tick(instant now)
{
    now_ = now;
    std::vector<connection*> overdue;
    for (const auto& [exchange, busy] : busy_) {
        busy->check_window(now);
        if (!busy->is_open() || (!busy->connected() && now - busy->opened() > options_.connect_timeout)) {
            overdue.push_back(busy);
        }
    }
    for (connection* late : overdue) {
        late->fail("connect timed out");
    }
    std::vector<connection*> stale;
    for (const auto& [address, idle] : idle_) {
        for (connection* kept : idle) {
            if (!kept->usable(now)) {
                stale.push_back(kept);
            }
        }
    }
    for (connection* old : stale) {
        old->close();
        drop(*old);
    }
    closed_.clear();
}

} // namespace currantspar::gateway
