#include "duty_controller.hpp"

#include <algorithm>
#include <string_view>
#include <variant>

#include "currantspar/io/clock.hpp"
#include "currantspar/io/log.hpp"

namespace currantspar::gateway {

namespace {

constexpr std::string_view claim_key = "holder";
/// The API counts the calls of a second from another moment than this node.
constexpr double call_rate_margin = 1.1;

relay::lease_options to_lease_options(const gateway_settings& settings,
                                      const duty_controller_options& options)
{
    relay::lease_options lease;
    lease.min_gap = settings.duties.lease_gap;
    lease.response_timeout = options.store_timeout;
    lease.first_start = settings.first_start;
    lease.renewable = true;
    return lease;
}

std::string kind_of(const relay::duty_call& call)
{
    return std::holds_alternative<relay::usage_report>(call) ? "usage" : "capacity";
}

std::string subject_of(const relay::duty_call& call)
{
    if (const auto* report = std::get_if<relay::usage_report>(&call)) {
        return std::to_string(report->window);
    }
    const auto& order = std::get<relay::capacity_order>(call);
    return order.service.str() + "/" + order.data_centre.str() + (order.reclaimable ? "/reclaimable" : "");
}

std::string_view outcome_name(relay::duty_outcome outcome)
{
    switch (outcome) {
    case relay::duty_outcome::accepted:
        return "accepted";
    case relay::duty_outcome::conflict:
        return "conflict";
    case relay::duty_outcome::unavailable:
        return "unavailable";
    case relay::duty_outcome::unanswered:
        return "unanswered";
    }
    return {};
}

} // namespace

/// One call to the API, which is written only while its token is in force.
class duty_controller::api_call : public exchange_sink
{
public:
    api_call(duty_controller& owner, relay::duty& of, relay::duty_call requested, std::uint64_t token)
        : owner_(owner), of_(of), requested_(std::move(requested)), token_(token)
    {}
    ~api_call() override { owner_.pool_.cancel(exchange_); }

    void start(std::string request, instant deadline, instant now)
    {
        deadline_ = deadline;
        exchange_ = owner_.pool_.start(owner_.settings_.address, {std::move(request), {}}, *this, now);
    }
    void on_tick(instant now)
    {
        if (!finished_ && now >= deadline_) {
            owner_.pool_.cancel(exchange_);
            finish(nullptr);
        }
    }
    [[nodiscard]] bool may_be_written() const override
    {
        return owner_.lease_.token(io::suspend_aware_now()) == token_;
    }
    void request_written() override { written_ = true; }
    bool response_head(int status, const http_fields& fields) override
    {
        response_.status = status;
        response_.fields = fields;
        return true;
    }
    [[nodiscard]] std::size_t max_body_bytes() const override { return max_body; }
    void response_body(std::string_view bytes) override { response_.body.append(bytes); }
    void response_complete() override { finish(&response_); }
    void request_failed(bool, const std::string&) override { finish(nullptr); }

    [[nodiscard]] relay::duty& of() const { return of_; }
    [[nodiscard]] const relay::duty_call& requested() const { return requested_; }
    [[nodiscard]] std::uint64_t token() const { return token_; }

private:
    static constexpr std::size_t max_body = 65536;

    void finish(const http_response* response)
    {
        if (!std::exchange(finished_, true)) {
            owner_.on_call_ended(response, written_);
        }
    }

    duty_controller& owner_;
    relay::duty& of_;
    relay::duty_call requested_;
    std::uint64_t token_;
    instant deadline_{};
    http_response response_;
    exchange_id exchange_ = 0;
    bool written_ = false;
    bool finished_ = false;
};

duty_controller::duty_controller(server_pool& pool, const wire_protocol& wire,
                                 const gateway_settings& settings, duty_controller_options options)
    : pool_(pool), wire_(wire), node_(settings.node), store_address_(settings.store_address),
      settings_(settings.duties), options_(options), lease_(to_lease_options(settings, options))
{}

duty_controller::~duty_controller() = default;

void duty_controller::on_store_era(std::uint64_t era)
{
    if (holder_ && era > lease_.era()) {
        lost_reason_ = "store_era_changed";
    }
    lease_.on_era(era, io::suspend_aware_now());
}

void duty_controller::on_tick(std::size_t rank, instant now)
{
    if (settings_.address.empty() || duties_.empty()) {
        return;
    }
    if (!started_at_) {
        started_at_ = now;
    }
    calls_.on_tick(now);
    if (call_) {
        call_->on_tick(now);
    }
    if (busy_ || now - *started_at_ < options_.settle_time) {
        return;
    }
    const instant clock = io::suspend_aware_now();
    check_holder(clock);
    if (lease_.token(clock) && lease_.end_known()) {
        run_step(clock);
        return;
    }
    const bool pending = std::any_of(duties_.begin(), duties_.end(),
                                     [&](const relay::duty* each) { return each->pending(clock); });
    if (!pending) {
        pending_since_.reset();
    } else if (!pending_since_) {
        pending_since_ = clock;
    }
    if (!pending || may_try(rank, clock)) {
        // What a holder is in doubt about is read in any case.
        advance_lease(pending || rejection_unclear_ || lease_.token(clock), clock);
    }
}

bool duty_controller::may_try(std::size_t rank, instant now) const
{
    if (lease_.newest_is_own()) {
        return true;
    }
    const duration stagger = lease_.end_known() ? options_.claim_stagger : options_.read_stagger;
    return now - *pending_since_ >= stagger * static_cast<std::int64_t>(rank);
}

void duty_controller::check_holder(instant now)
{
    if (!holder_ || lease_.newest_is_own()) {
        return;
    }
    holder_ = false;
    rejection_unclear_ = false;
    io::log_event(io::log_level::info, "lease_lost",
                  {{"authority", "duties"}, {"reason", std::exchange(lost_reason_, "claimed_elsewhere")}});
    for (relay::duty* each : duties_) {
        each->on_lost(now);
    }
}

// The lease.

void duty_controller::advance_lease(bool requested, instant now)
{
    switch (lease_.next(requested, now)) {
    case relay::lease_action::none:
        return;
    case relay::lease_action::read:
        list({});
        return;
    case relay::lease_action::claim:
        claim();
        return;
    }
}

void duty_controller::call_store(result<std::string> request, unary_calls::response_handler done)
{
    busy_ = true;
    calls_.start(
        pool_, store_address_, std::move(request), options_.store_timeout,
        [this, done = std::move(done)](const http_response* response) {
            busy_ = false;
            done(response);
        },
        io::monotonic_now());
}

void duty_controller::list(const std::string& after_key)
{
    call_store(wire_.encode_listing(shared_topic::duties, after_key),
               [this, after_key](const http_response* response) { on_page(after_key, response); });
}

void duty_controller::on_page(const std::string& after_key, const http_response* response)
{
    const auto page = response == nullptr ? fail(error_kind::timeout, "response timed out")
                                          : wire_.decode_listing(*response);
    if (!page) {
        lease_.on_failed(io::suspend_aware_now());
        return;
    }
    const std::uint64_t era = wire_.decode_store_era(response->fields);
    if (after_key.empty()) {
        // An append between two pages lets the claim fail that expects the end of the first page.
        listing_ = {{}, page->end, era};
    } else if (era != listing_.era) {
        on_store_era(era);
        lease_.on_failed(io::suspend_aware_now());
        return;
    }
    listing_.records.insert(listing_.records.end(), page->records.begin(), page->records.end());
    if (page->has_more && !page->records.empty()) {
        list(page->records.back().key);
        return;
    }
    on_listed();
}

void duty_controller::on_listed()
{
    const instant now = io::suspend_aware_now();
    std::optional<std::uint64_t> newest_claim;
    std::vector<relay::duty_record> records;
    for (const keyed_record& each : listing_.records) {
        if (each.key == claim_key) {
            newest_claim = each.offset;
        } else if (each.value) {
            records.push_back({each.key, *each.value});
        }
    }
    on_store_era(listing_.era);
    lease_.on_read(newest_claim, listing_.end, listing_.era, now);
    check_holder(now);
    if (!lease_.end_known()) {
        return; // a response from before a rollback of the store
    }
    if (!lease_.newest_is_own() && newest_claim && newest_claim != seen_claim_) {
        // Another holder is alive, so that only the lowest ranks look again soon.
        seen_claim_ = newest_claim;
        pending_since_ = now;
    }
    if (std::exchange(rejection_unclear_, false)) {
        // No higher token was given out, so the call was rejected for another reason.
        finish_call(relay::duty_outcome::conflict, now);
    }
    for (relay::duty* each : duties_) {
        each->on_records(records, now);
    }
}

void duty_controller::claim()
{
    call_store(wire_.encode_conditional_append(shared_topic::duties, std::string(claim_key), node_,
                                               lease_.expected_end()),
               [this](const http_response* response) { on_claim_ended(response); });
}

void duty_controller::on_claim_ended(const http_response* response)
{
    const instant now = io::suspend_aware_now();
    const auto offset = response == nullptr ? fail(error_kind::timeout, "response timed out")
                                            : wire_.decode_append(*response);
    if (!offset) {
        lease_.on_failed(now);
        io::log_event(io::log_level::info, "lease_not_claimed",
                      {{"authority", "duties"}, {"reason", offset.error().message}});
        return;
    }
    const std::uint64_t era = wire_.decode_store_era(response->fields);
    on_store_era(era);
    lease_.on_claimed(*offset, era, now);
    const auto token = lease_.token(now);
    io::log_event(io::log_level::info, "lease_claimed",
                  {{"authority", "duties"},
                   {"offset", std::to_string(*offset)},
                   {"era", std::to_string(era)},
                   {"token", token ? std::to_string(*token) : "none"},
                   {"renewed", holder_ ? "true" : "false"}});
    holder_ = holder_ || lease_.newest_is_own();
}

// Steps of the holder.

void duty_controller::run_step(instant now)
{
    if (now < step_due_) {
        return;
    }
    for (std::size_t count = 0; count < duties_.size(); ++count) {
        relay::duty& asked = *duties_[next_duty_];
        next_duty_ = (next_duty_ + 1) % duties_.size();
        const auto step = asked.next(now);
        if (!step) {
            continue;
        }
        if (const auto* record = std::get_if<relay::duty_record>(&*step)) {
            append(asked, *record);
        } else {
            start_call(asked, std::get<relay::duty_call>(*step));
        }
        return;
    }
}

void duty_controller::append(relay::duty& of, const relay::duty_record& record)
{
    call_store(wire_.encode_conditional_append(shared_topic::duties, record.key, record.value,
                                               lease_.expected_end()),
               [this, &of, record](const http_response* response) {
                   const auto offset = response == nullptr ? fail(error_kind::timeout, "response timed out")
                                                           : wire_.decode_append(*response);
                   const instant now = io::suspend_aware_now();
                   if (!offset) {
                       io::log_event(io::log_level::warning, "duty_not_recorded",
                                     {{"key", record.key}, {"reason", offset.error().message}});
                       lease_.on_doubt();
                       step_due_ = std::max(step_due_, now + options_.initial_backoff);
                       return;
                   }
                   const std::uint64_t era = wire_.decode_store_era(response->fields);
                   on_store_era(era);
                   lease_.on_appended(*offset, era, now);
                   if (lease_.newest_is_own()) {
                       of.on_recorded(record, now);
                   }
               });
}

void duty_controller::start_call(relay::duty& of, const relay::duty_call& requested)
{
    const instant clock = io::suspend_aware_now();
    const auto token = lease_.token(clock);
    if (!token) {
        of.on_called(requested, relay::duty_outcome::unavailable, clock);
        return;
    }
    const duty_holder holder{node_, *token};
    const auto encode = [&](const auto& each) {
        if constexpr (std::is_same_v<std::decay_t<decltype(each)>, relay::usage_report>) {
            return wire_.encode_usage(each, holder);
        } else {
            return wire_.encode_capacity_order(each, holder);
        }
    };
    auto request = std::visit(encode, requested);
    step_due_ = clock + from_seconds(call_rate_margin / std::max(settings_.calls_per_second, 0.1));
    if (!request) {
        io::log_event(io::log_level::error, "call_not_encoded",
                      {{"address", settings_.address}, {"reason", request.error().message}});
        of.on_called(requested, relay::duty_outcome::unavailable, clock);
        return;
    }
    busy_ = true;
    call_ = std::make_unique<api_call>(*this, of, requested, *token);
    const instant now = io::monotonic_now();
    call_->start(std::move(*request), now + options_.call_timeout, now);
}

void duty_controller::on_call_ended(const http_response* response, bool written)
{
    const instant now = io::suspend_aware_now();
    relay::duty_outcome outcome = relay::duty_outcome::unanswered;
    if (response != nullptr) {
        outcome = wire_.decode_duty_response(*response);
    } else if (!written) {
        outcome = relay::duty_outcome::unavailable;
    }
    busy_ = false;
    io::log_event(io::log_level::info, "duty_called",
                  {{"duty", kind_of(call_->requested())},
                   {"subject", subject_of(call_->requested())},
                   {"token", std::to_string(call_->token())},
                   {"outcome", std::string(outcome_name(outcome))}});
    if (outcome != relay::duty_outcome::conflict || !settings_.fencing_checked) {
        finish_call(outcome, now);
    } else if (std::holds_alternative<relay::capacity_order>(call_->requested())) {
        // Either there is no capacity, or another node holds the lease: the topic tells.
        rejection_unclear_ = true;
        lease_.on_doubt();
    } else {
        lost_reason_ = "superseded";
        lease_.on_superseded();
    }
}

void duty_controller::finish_call(relay::duty_outcome outcome, instant now)
{
    if (outcome == relay::duty_outcome::unavailable || outcome == relay::duty_outcome::unanswered) {
        const duration backoff = options_.initial_backoff * (1U << std::min(failures_, 4U));
        step_due_ = std::max(step_due_, now + std::min(backoff, options_.max_backoff));
        failures_ += 1;
    } else {
        failures_ = 0;
    }
    call_->of().on_called(call_->requested(), outcome, now);
}

} // namespace currantspar::gateway
