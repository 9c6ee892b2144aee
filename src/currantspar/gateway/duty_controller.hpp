#ifndef CURRANTSPAR_GATEWAY_DUTY_CONTROLLER_HPP
#define CURRANTSPAR_GATEWAY_DUTY_CONTROLLER_HPP

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "currantspar/gateway/server_connection.hpp"
#include "currantspar/gateway/wire_protocol.hpp"
#include "currantspar/relay/duty.hpp"
#include "currantspar/relay/lease.hpp"
#include "unary_call.hpp"

namespace currantspar::gateway {

struct duty_controller_options
{
    duration settle_time =
        std::chrono::milliseconds(1500); ///< from the start to the first read, until the peers are known
    /// Added to the delay of the read before a claim per live node of lower rank. Shorter than the delay of
    /// the claim, because the time from the read to the claim is longer than that.
    duration read_stagger = std::chrono::milliseconds(500);
    duration claim_stagger =
        std::chrono::milliseconds(1500); ///< added to the claim delay per live node of lower rank
    duration store_timeout = std::chrono::milliseconds(900);
    duration call_timeout = std::chrono::seconds(2);
    duration initial_backoff =
        std::chrono::milliseconds(200); ///< after a call that the API rejected or left unanswered
    duration max_backoff = std::chrono::seconds(1);
};

/// Performs the duties of which one node at a time is the holder: claims the lease while a duty is pending,
/// appends the duties' records to the topic of the claims, and makes their calls to the cloud API with the
/// lease's fencing token. Does nothing without an address of the API or without duties. Not thread safe.
class duty_controller
{
public:
    /// `pool` carries the calls to the store and to the API, whose responses name no request. The references
    /// must outlive this object.
    duty_controller(server_pool& pool, const wire_protocol& wire, const gateway_settings& settings,
                    duty_controller_options options = {});
    ~duty_controller();

    /// Adds a duty, which must outlive this object.
    void add(relay::duty& added) { duties_.push_back(&added); }
    /// Keeps the lease in this store from now on.
    void use_store(const std::string& address) { store_address_ = address; }
    /// `rank` is the number of live nodes that claim the lease before this one.
    void on_tick(std::size_t rank, instant now);
    /// A response of the store named its era.
    void on_store_era(std::uint64_t era);

private:
    class api_call;

    /// The latest record of each key, as far as the pages of the listing were read.
    struct listing
    {
        std::vector<keyed_record> records;
        std::uint64_t end = 0;
        std::uint64_t era = 0;
    };

    [[nodiscard]] bool may_try(std::size_t rank, instant now) const;
    void advance_lease(bool requested, instant now);
    void list(const std::string& after_key);
    void on_page(const std::string& after_key, const http_response* response);
    void on_listed();
    void claim();
    void on_claim_ended(const http_response* response);
    void run_step(instant now);
    void append(relay::duty& of, const relay::duty_record& record);
    void start_call(relay::duty& of, const relay::duty_call& requested);
    void on_call_ended(const http_response* response, bool written);
    void finish_call(relay::duty_outcome outcome, instant now);
    void check_holder(instant now);
    void call_store(result<std::string> request, unary_calls::response_handler done);

    server_pool& pool_;
    const wire_protocol& wire_;
    std::string node_;
    std::string store_address_;
    duty_settings settings_;
    duty_controller_options options_;
    relay::lease lease_;
    std::vector<relay::duty*> duties_;
    std::size_t next_duty_ = 0; ///< asked first for the next step
    bool holder_ = false;       ///< claimed the lease, and no newer claim is known
    bool busy_ = false;         ///< a call to the store or the API is in flight
    listing listing_;
    std::optional<std::uint64_t> seen_claim_; ///< offset of the newest claim of another node
    unary_calls calls_;
    std::unique_ptr<api_call> call_; ///< the last one to the API
    /// A call was rejected either because of its token or for another reason; the topic tells which.
    bool rejection_unclear_ = false;
    const char* lost_reason_ = "claimed_elsewhere";
    unsigned failures_ = 0; ///< consecutive calls to the API without a result
    std::optional<instant> started_at_;
    std::optional<instant> pending_since_;
    instant step_due_{};
};

} // namespace currantspar::gateway

#endif
