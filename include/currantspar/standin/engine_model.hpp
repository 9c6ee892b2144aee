#ifndef CURRANTSPAR_STANDIN_ENGINE_MODEL_HPP
#define CURRANTSPAR_STANDIN_ENGINE_MODEL_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "currantspar/base/random.hpp"
#include "currantspar/core/engine_events.hpp"
#include "currantspar/standin/piece_memory.hpp"

namespace currantspar::standin {

/// How fast an engine is and what it holds.
struct engine_model_options
{
    engine_id id;
    agreement::engine_goal goal; ///< at start
    bool checks_fence = true;
    double prefill_tokens_per_second = 16000;
    duration decode_step = std::chrono::milliseconds(9);                ///< of a batch of one
    duration decode_step_per_sequence = std::chrono::microseconds(120); ///< for each more
    std::uint32_t prefill_chunk = 512; ///< tokens of prefill beside each decode step of a mixed engine
    std::uint32_t batch_most = 64;
    std::uint32_t queue_most = 256;
    std::uint32_t pieces_total = 400;
    std::uint32_t piece_tokens = 2000;
    duration change_time = std::chrono::seconds(6);         ///< an order takes the engine away for this long
    duration report_every = std::chrono::milliseconds(250); ///< reports are taken this often
    duration report_lag = std::chrono::milliseconds(250);   ///< and shown this late
    duration clock_offset{};                                ///< of the engine's own clock
    double speed = 1.0;                                     ///< below 1: a slow engine
    bool refuses_when_busy = false; ///< answers `refused_busy` to an order that would cut work
    double mixed_prefill_share =
        0.8; ///< of the prefill rate, that a mixed engine reaches with its small chunks
    std::uint32_t tokens_per_output = 1; ///< more: gives out only each so-many-th token, and the first
};

/// A request as an engine gets it.
struct engine_work
{
    engine_request_id request;
    std::uint32_t prompt_tokens = 0;
    std::vector<std::uint64_t> prefix_pieces;
    std::uint32_t output_tokens = 0; ///< total tokens of the whole answer
    std::uint32_t from_position = 0; ///< tokens before this one are given, as a prefix
    unsigned priority = 1;
    bool prefill_only = false; ///< ends with `exported` after the prompt was computed
    bool kv_imported = false;  ///< the prompt's cache came from another engine: no prefill
    std::string prompt;        ///< makes the answer's tokens; the same at every engine
};

enum class work_answer
{
    accepted,
    refused_full,
    refused_closed,  ///< changing, leaving or in a role that doesn't take this work
    unknown_request, ///< resume of a request that the engine doesn't have
};

/// Something an engine gives out.
struct engine_output
{
    enum class what
    {
        tokens,
        finished, ///< the end marker; `position` is the total
        exported, ///< prefill is done and its cache can be fetched under the request's name
    };

    engine_request_id request;
    what kind = what::tokens;
    std::uint32_t position = 0; ///< of the token
    std::string token;
};

/// The token at a position of the answer to a prompt: the same on every engine, so that answers can be
/// checked.
[[nodiscard]] std::string answer_token(const std::string& prompt, std::uint32_t position);
/// The first tokens of the answer to a prompt, joined.
[[nodiscard]] std::string answer_text(const std::string& prompt, std::uint32_t tokens);

/// A model engine with continuous batching: prefill and decode share it by role, the prefix cache is counted
/// in pieces, reports are late, an order takes it away for seconds. It has no clock and no threads: time
/// comes with each call and never goes back. Not thread safe.
class engine_model
{
public:
    explicit engine_model(engine_model_options options);

    // Work.
    work_answer submit(const engine_work& work, instant now);
    /// Goes on giving out a request's tokens from a position, after its connection broke.
    work_answer resume(const engine_request_id& request, std::uint32_t from_position, instant now);
    void cancel(const engine_request_id& request, instant now);
    /// When something will next come out; instant::max() when nothing runs.
    [[nodiscard]] instant next_output() const;
    /// Everything that came out up to `now`, in order.
    [[nodiscard]] std::vector<engine_output> advance(instant now);

    // Control.
    core::order_answer order(order_id id, fence held, const agreement::engine_goal& goal, instant now);
    [[nodiscard]] core::engine_state state(instant now);
    /// The newest report that the lag lets out.
    [[nodiscard]] policy::engine_report report(instant now);
    [[nodiscard]] policy::cache_event_batch cache_events(std::uint64_t from_sequence, instant now);
    [[nodiscard]] engine_time clock(instant now) const;

    // Faults.
    /// Loses all work and cache; comes back after `down_for`, in an unknown condition.
    void crash(instant now, duration down_for);
    /// Stops all work for a time, then goes on.
    void pause(instant now, duration for_time);
    void set_speed(double speed, instant now);
    void set_leaving(bool leaving) { leaving_ = leaving; }
    void set_report_lag(duration lag) { options_.report_lag = lag; }
    void set_checks_fence(bool checks) { options_.checks_fence = checks; }
    /// Cache events from now on are lost, leaving a gap in the sequence numbers.
    void lose_cache_events(bool lose) { losing_cache_events_ = lose; }
    [[nodiscard]] bool down(instant now) const { return now < down_until_; }
    [[nodiscard]] bool paused(instant now) const { return now < paused_until_; }
    /// Whether a request is queued or running here.
    [[nodiscard]] bool holds(const engine_request_id& request) const { return sequences_.contains(request); }
    /// Whether the cache of a prefill-only request can be fetched.
    [[nodiscard]] bool exported(const engine_request_id& request) const;

    [[nodiscard]] const engine_model_options& options() const { return options_; }
    /// Orders that took effect while work was in flight, or against a greater fence: for the checks.
    [[nodiscard]] std::uint64_t requests_cut() const { return requests_cut_; }
    /// Every order that was accepted, in order, for the checks.
    struct accepted_order
    {
        order_id id;
        fence held;
        agreement::engine_goal goal;
        instant at{};
        instant done{};
    };
    [[nodiscard]] const std::vector<accepted_order>& accepted_orders() const { return accepted_orders_; }

private:
    struct sequence
    {
        engine_work work;
        std::uint64_t text_seed = 0;
        std::uint32_t prefill_left = 0; ///< prompt tokens still to compute, as far as known
        std::uint32_t position = 0;     ///< of the next token
        std::uint32_t shared_pieces = 0;
        std::uint32_t owned_pieces = 0;
        std::uint64_t arrival = 0;
    };
    struct finished_request
    {
        engine_request_id request;
        std::uint64_t text_seed = 0;
        std::uint32_t total = 0;
        bool exported = false;
    };
    struct prefill_part
    {
        sequence* of = nullptr;
        std::uint32_t tokens = 0;
    };
    struct cache_event
    {
        std::uint64_t number = 0;
        instant at{};
        policy::cache_event_batch::change change;
    };

    void run_until(instant now);
    void admit();
    void start_step(instant at);
    void finish_step();
    void finish_prefill(sequence& done);
    void give_token(sequence& from);
    void finish(sequence& done, engine_output::what how);
    void drop(sequence& gone);
    void drop_all();
    void end_change();
    void take_report(instant at);
    void note_cache_changes(instant at);
    [[nodiscard]] bool takes(const engine_work& work) const;
    [[nodiscard]] duration scaled(duration at_full_speed) const;
    [[nodiscard]] policy::engine_condition condition() const;
    [[nodiscard]] policy::engine_report make_report(instant at) const;

    engine_model_options options_;
    bool losing_cache_events_ = false;
    std::uint64_t requests_cut_ = 0;
    std::vector<accepted_order> accepted_orders_;

    piece_memory memory_;
    std::map<engine_request_id, sequence> sequences_;
    std::vector<sequence*> queue_; ///< by priority, then arrival
    std::vector<sequence*> prefilling_;
    std::vector<sequence*> decoding_;
    std::deque<finished_request> finished_;
    std::uint64_t arrivals_ = 0;

    instant now_{};
    bool stepping_ = false;
    instant step_end_{};
    std::vector<prefill_part> step_prefill_;
    std::vector<engine_output> outputs_;

    bool changing_ = false;
    bool settled_ = true; ///< false after a crash until an order sets the role
    bool leaving_ = false;
    agreement::engine_goal target_;
    instant change_end_{};
    order_id last_order_;
    fence highest_fence_;
    std::uint64_t boot_ = 1;
    instant down_until_{};
    instant paused_until_{};

    instant report_due_{};
    std::deque<std::pair<instant, policy::engine_report>> reports_;
    std::uint64_t next_cache_event_ = 1;
    std::deque<cache_event> cache_events_;
    std::uint64_t prefill_total_ = 0;
    std::uint64_t decode_total_ = 0;
};

} // namespace currantspar::standin

#endif
