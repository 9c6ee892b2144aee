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
        if (now >= due_ && (!idle_ || wanted_once_)) {
            begin(now);
        }
        return;
    }
    const duration held = listing_ || receiving() ? duration{} : options_.wait;
    if (now - heard_ > held + options_.response_timeout) {
        pool_.cancel(std::exchange(exchange_, 0));
        failed("no answer", now);
    }
}

void store_watch::restart(instant now)
{
    pool_.cancel(std::exchange(exchange_, 0));
    wanted_once_ = true;
    due_ = now;
}

void store_watch::on_peer_update(instant now)
{
    pool_.cancel(std::exchange(exchange_, 0));
    wanted_once_ = false;
    succeeded(now);
}

void store_watch::read_once(instant now)
{
    wanted_once_ = true;
    if (exchange_ == 0 && failures_ == 0) {
        due_ = now;
    }
}

void store_watch::begin(instant now)
{
    answer_ = {};
    begun_ = now;
    heard_ = now;
    asked_from_ = next_;
    const std::string request =
        listing_ ? wire_.encode_listing(topic_, after_key_) : wire_.encode_read(topic_, next_, options_.wait);
    exchange_ = pool_.start(store_, request, *this, now);
}

bool store_watch::response_head(int status, const http_fields& fields)
{
    heard_ = io::monotonic_now();
    answer_.status = status;
    answer_.fields = fields;
    return true;
}

void store_watch::response_body(std::string_view bytes)
{
    heard_ = io::monotonic_now();
    answer_.body.append(bytes);
}

void store_watch::response_complete()
{
    exchange_ = 0;
    const instant now = io::monotonic_now();
    if (listing_) {
        take_newest(now);
    } else {
        take_records(now);
    }
}

void store_watch::request_failed(bool, const std::string& detail)
{
    exchange_ = 0;
    failed(detail, io::monotonic_now());
}

void store_watch::take_newest(instant now)
{
    auto page = wire_.decode_listing(answer_);
    if (!page) {
        failed(page.error().message, now);
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
    wanted_once_ = false;
    handlers_.listed(std::exchange(pages_, {}), now);
    handlers_.read_completed(begun_);
}

void store_watch::take_records(instant now)
{
    const auto batch = wire_.decode_read(answer_, asked_from_);
    if (!batch) {
        failed(batch.error().message, now);
        return;
    }
    succeeded(now);
    if (batch->compacted) {
        listing_ = true;
        wanted_once_ = true;
        after_key_.clear();
        due_ = now;
        return;
    }
    wanted_once_ = false;
    advance(batch->next);
    due_ = now + options_.period;
    if (!batch->records.empty()) {
        handlers_.changed(batch->records, now);
    }
    handlers_.read_completed(begun_);
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
