#include "currantspar/gateway/store_watch.hpp"

#include "currantspar/io/clock.hpp"

namespace currantspar::gateway {

store_watch::store_watch(server_pool& pool, const wire_protocol& wire, std::string store, shared_topic topic,
                         store_watch_options options, store_watch_handlers handlers)
    : pool_(pool), wire_(wire), store_(std::move(store)), topic_(topic), options_(options),
      handlers_(std::move(handlers))
{}

store_watch::~store_watch()
{
    pool_.cancel(exchange_);
}

void store_watch::on_tick(instant now)
{
    if (!std::exchange(started_, true)) {
        due_ = now + options_.initial_delay;
    }
    if (exchange_ == 0) {
        if (now >= due_ && (!idle_ || read_requested_)) {
            begin(now);
        }
        return;
    }
    const duration held = listing_ || receiving() ? duration{} : options_.wait;
    if (now - last_byte_at_ > held + options_.response_timeout) {
        pool_.cancel(std::exchange(exchange_, 0));
        failed("response timed out", now);
    }
}

void store_watch::restart(instant now)
{
    pool_.cancel(std::exchange(exchange_, 0));
    read_requested_ = true;
    due_ = now;
}

void store_watch::on_peer_update(instant now)
{
    pool_.cancel(std::exchange(exchange_, 0));
    read_requested_ = false;
    succeeded(now);
}

void store_watch::read_once(instant now)
{
    read_requested_ = true;
    if (exchange_ == 0 && failures_ == 0) {
        due_ = now;
    }
}

void store_watch::read_at(instant due)
{
    read_requested_ = true;
    due_ = due;
}

void store_watch::list_again()
{
    listing_ = true;
    after_key_.clear();
    pages_.clear();
}

void store_watch::on_era(std::uint64_t era)
{
    if (!era_) {
        // A response to the first read that is of an earlier era will be dropped.
        era_ = era;
    }
    if (era <= *era_) {
        return;
    }
    era_ = era;
    pool_.cancel(std::exchange(exchange_, 0));
    list_again();
}

bool store_watch::check_era(instant now)
{
    const std::uint64_t era = wire_.decode_store_era(response_.fields);
    if (!era_) {
        era_ = era;
    }
    if (era < *era_) {
        // Sent before the store was rolled back, and delayed.
        due_ = now + options_.initial_backoff;
        return false;
    }
    if (era == *era_) {
        return true;
    }
    era_ = era;
    const bool begins_listing = listing_ && after_key_.empty();
    list_again();
    read_requested_ = true;
    due_ = now;
    handlers_.era_changed(era, now);
    return begins_listing;
}

void store_watch::begin(instant now)
{
    response_ = {};
    read_started_at_ = now;
    last_byte_at_ = now;
    request_offset_ = next_;
    auto request =
        listing_ ? wire_.encode_listing(topic_, after_key_) : wire_.encode_read(topic_, next_, options_.wait);
    if (!request) {
        failed(request.error().message, now);
        return;
    }
    exchange_ = pool_.start(store_, {std::move(*request), {}}, *this, now);
}

std::size_t store_watch::max_body_bytes() const
{
    // Decoding takes several times the memory of the body.
    constexpr std::size_t max_page_bytes = 4194304;
    return max_page_bytes;
}

bool store_watch::response_head(int status, const http_fields& fields)
{
    last_byte_at_ = io::monotonic_now();
    response_.status = status;
    response_.fields = fields;
    return true;
}

void store_watch::response_body(std::string_view bytes)
{
    last_byte_at_ = io::monotonic_now();
    response_.body.append(bytes);
}

void store_watch::response_complete()
{
    exchange_ = 0;
    const instant now = io::monotonic_now();
    if (listing_) {
        on_listing(now);
    } else {
        on_records(now);
    }
}

void store_watch::request_failed(bool, const std::string& detail)
{
    exchange_ = 0;
    failed(detail, io::monotonic_now());
}

void store_watch::on_listing(instant now)
{
    auto page = wire_.decode_listing(response_);
    if (!page) {
        failed(page.error().message, now);
        return;
    }
    if (!check_era(now)) {
        return;
    }
    if (after_key_.empty()) {
        pages_.clear();
        next_ = page->end;
    }
    pages_.insert(pages_.end(), page->records.begin(), page->records.end());
    succeeded(now);
    if (page->has_more && !page->records.empty()) {
        after_key_ = page->records.back().key;
        due_ = now;
        return;
    }
    after_key_.clear();
    listing_ = false;
    due_ = now + std::max(options_.period, options_.post_listing_delay);
    read_requested_ = false;
    handlers_.listed(std::exchange(pages_, {}), now);
    handlers_.read_completed(read_started_at_);
}

void store_watch::on_records(instant now)
{
    const auto batch = wire_.decode_read(response_, request_offset_);
    if (!batch) {
        failed(batch.error().message, now);
        return;
    }
    if (!check_era(now)) {
        return;
    }
    succeeded(now);
    if (batch->compacted) {
        list_again();
        read_requested_ = true;
        due_ = now;
        return;
    }
    read_requested_ = false;
    advance(batch->next);
    due_ = now + options_.period;
    if (!batch->records.empty()) {
        handlers_.changed(batch->records, now);
    }
    handlers_.read_completed(read_started_at_);
}

void store_watch::succeeded(instant now)
{
    failures_ = 0;
    if (!std::exchange(store_reachable_, true)) {
        handlers_.recovered(now);
    }
}

void store_watch::failed(const std::string& reason, instant now)
{
    const duration pause = options_.initial_backoff * (1U << std::min(failures_, 4U));
    due_ = now + std::min(pause, options_.max_backoff);
    failures_ += 1;
    if (std::exchange(store_reachable_, false) || failures_ == 1) {
        handlers_.read_failed(reason, now);
    }
}

} // namespace currantspar::gateway
