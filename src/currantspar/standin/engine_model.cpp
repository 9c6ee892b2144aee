#include "currantspar/standin/engine_model.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "currantspar/base/hash.hpp"

namespace currantspar::standin {

namespace {

/// Requests whose tokens can be asked for again after they finished.
constexpr std::size_t finished_kept = 1024;

std::string token_text(std::uint64_t seed, std::uint32_t position)
{
    const std::uint64_t mixed = random_generator(seed + position)();
    std::array<char, 16> text{};
    const int length = std::snprintf(text.data(), text.size(), " %06x", static_cast<unsigned>(mixed >> 40U));
    return {text.data(), static_cast<std::size_t>(length)};
}

} // namespace

std::string answer_token(const std::string& prompt, std::uint32_t position)
{
    return token_text(fast_hash(prompt), position);
}

std::string answer_text(const std::string& prompt, std::uint32_t tokens)
{
    std::string text;
    for (std::uint32_t position = 0; position < tokens; ++position) {
        text += answer_token(prompt, position);
    }
    return text;
}

engine_model::engine_model(engine_model_options options)
    : options_(std::move(options)), memory_(options_.pieces_total)
{
    target_ = options_.goal;
    reports_.emplace_back(instant{}, make_report(instant{}));
    const std::uint64_t phase = fast_hash(options_.id.str());
    report_due_ = instant(duration(
        static_cast<std::int64_t>(phase % static_cast<std::uint64_t>(options_.report_every.count()))));
}

bool engine_model::takes(const engine_work& work) const
{
    if (condition() != policy::engine_condition::serving) {
        return false;
    }
    switch (options_.goal.role) {
    case config::engine_role::prefill:
        return work.prefill_only;
    case config::engine_role::decode:
        return work.kv_imported && !work.prefill_only;
    case config::engine_role::mixed:
        break;
    }
    return true;
}

work_answer engine_model::submit(const engine_work& work, instant now)
{
    run_until(now);
    if (down(now) || !takes(work)) {
        return work_answer::refused_closed;
    }
    if (queue_.size() >= options_.queue_most) {
        return work_answer::refused_full;
    }
    const auto [found, fresh] = sequences_.try_emplace(work.request);
    if (!fresh) {
        return work_answer::accepted;
    }
    sequence& added = found->second;
    added.work = work;
    added.text_seed = fast_hash(work.prompt);
    added.position = work.from_position;
    added.arrival = ++arrivals_;
    const std::uint32_t hits = work.kv_imported ? 0 : memory_.cached_prefix(work.prefix_pieces);
    const std::uint32_t known = work.prompt_tokens + work.from_position;
    added.prefill_left =
        work.kv_imported ? 0 : std::max(1U, known - std::min(known, hits * options_.piece_tokens));
    const auto place = std::upper_bound(queue_.begin(), queue_.end(), &added,
                                        [](const sequence* left, const sequence* right) {
                                            return std::pair(left->work.priority, left->arrival) <
                                                   std::pair(right->work.priority, right->arrival);
                                        });
    queue_.insert(place, &added);
    if (!stepping_) {
        start_step(now);
    }
    return work_answer::accepted;
}

work_answer engine_model::resume(const engine_request_id& request, std::uint32_t from_position, instant now)
{
    run_until(now);
    const auto give = [&](std::uint64_t seed, std::uint32_t end) {
        for (std::uint32_t at = from_position; at < end; ++at) {
            outputs_.push_back({request, engine_output::what::tokens, at, token_text(seed, at)});
        }
    };
    if (const auto running = sequences_.find(request); running != sequences_.end()) {
        give(running->second.text_seed, running->second.position);
        return work_answer::accepted;
    }
    const auto done = std::find_if(finished_.rbegin(), finished_.rend(),
                                   [&](const finished_request& entry) { return entry.request == request; });
    if (done == finished_.rend()) {
        return work_answer::unknown_request;
    }
    if (done->exported) {
        outputs_.push_back({request, engine_output::what::exported, 0, {}});
        return work_answer::accepted;
    }
    give(done->text_seed, done->total);
    outputs_.push_back({request, engine_output::what::finished, done->total, {}});
    return work_answer::accepted;
}

void engine_model::cancel(const engine_request_id& request, instant now)
{
    run_until(now);
    const auto found = sequences_.find(request);
    if (found != sequences_.end()) {
        drop(found->second);
    }
}

bool engine_model::exported(const engine_request_id& request) const
{
    return std::any_of(finished_.begin(), finished_.end(), [&](const finished_request& entry) {
        return entry.exported && entry.request == request;
    });
}

instant engine_model::next_output() const
{
    if (!outputs_.empty()) {
        return now_;
    }
    return stepping_ ? step_end_ : instant::max();
}

std::vector<engine_output> engine_model::advance(instant now)
{
    run_until(now);
    return std::exchange(outputs_, {});
}

void engine_model::run_until(instant now)
{
    now = std::max(now, now_);
    const instant oldest_needed = now - options_.report_lag - 2 * options_.report_every;
    for (;;) {
        const instant step = stepping_ ? step_end_ : instant::max();
        const instant change = changing_ ? change_end_ : instant::max();
        if (step == instant::max() && change == instant::max() && report_due_ < oldest_needed) {
            const auto skipped = (oldest_needed - report_due_) / options_.report_every;
            report_due_ += skipped * options_.report_every;
        }
        const instant next = std::min({step, change, report_due_});
        if (next > now) {
            break;
        }
        now_ = std::max(now_, next);
        if (next == report_due_) {
            take_report(next);
        } else if (next == change) {
            end_change();
        } else {
            finish_step();
        }
    }
    now_ = now;
}

duration engine_model::scaled(duration at_full_speed) const
{
    return from_seconds(to_seconds(at_full_speed) / options_.speed);
}

void engine_model::admit()
{
    while (!queue_.empty() && prefilling_.size() + decoding_.size() < options_.batch_most) {
        sequence& next = *queue_.front();
        const engine_work& work = next.work;
        const std::uint32_t hits = work.kv_imported ? 0 : memory_.cached_prefix(work.prefix_pieces);
        const std::uint32_t known = work.prompt_tokens + work.from_position;
        const std::uint32_t whole = work.prefill_only ? known : work.prompt_tokens + work.output_tokens;
        const std::uint32_t needed = std::max(static_cast<std::uint32_t>(work.prefix_pieces.size()),
                                              std::max(known, whole) / options_.piece_tokens + 1);
        if (!memory_.reserve(work.prefix_pieces, hits, needed)) {
            return;
        }
        queue_.erase(queue_.begin());
        next.shared_pieces = hits;
        next.owned_pieces = needed - hits;
        if (work.kv_imported) {
            decoding_.push_back(&next);
            continue;
        }
        next.prefill_left = std::max(1U, known - std::min(known, hits * options_.piece_tokens));
        prefilling_.push_back(&next);
    }
}

void engine_model::start_step(instant at)
{
    admit();
    note_cache_changes(at);
    step_prefill_.clear();
    std::uint32_t room = options_.prefill_chunk;
    for (sequence* entry : prefilling_) {
        const std::uint32_t tokens = std::min(room, entry->prefill_left);
        if (tokens == 0) {
            break;
        }
        step_prefill_.push_back({entry, tokens});
        room -= tokens;
    }
    stepping_ = !step_prefill_.empty() || !decoding_.empty();
    if (!stepping_) {
        return;
    }
    const bool mixed = options_.goal.role == config::engine_role::mixed;
    const double rate = options_.prefill_tokens_per_second * (mixed ? options_.mixed_prefill_share : 1);
    constexpr double half_tick = 0.5e-6; ///< seconds; rounds to the nearest
    duration takes_time = from_seconds((options_.prefill_chunk - room) / rate + half_tick);
    if (!decoding_.empty()) {
        takes_time += options_.decode_step +
                      static_cast<std::int64_t>(decoding_.size() - 1) * options_.decode_step_per_sequence;
    }
    step_end_ = std::max(at, paused_until_) + std::max(scaled(takes_time), duration(1));
}

void engine_model::finish_step()
{
    std::size_t kept = 0;
    std::vector<sequence*> ended;
    for (sequence* entry : decoding_) {
        give_token(*entry);
        if (entry->position >= entry->work.output_tokens) {
            ended.push_back(entry);
        } else {
            decoding_[kept++] = entry;
        }
    }
    decoding_.resize(kept);
    for (const prefill_part& part : std::exchange(step_prefill_, {})) {
        part.of->prefill_left -= part.tokens;
        prefill_total_ += part.tokens;
        if (part.of->prefill_left == 0) {
            finish_prefill(*part.of);
        }
    }
    for (sequence* entry : ended) {
        finish(*entry, engine_output::what::finished);
    }
    start_step(step_end_);
}

void engine_model::finish_prefill(sequence& done)
{
    prefilling_.erase(std::find(prefilling_.begin(), prefilling_.end(), &done));
    const std::uint32_t moved = memory_.share(done.work.prefix_pieces, done.shared_pieces);
    done.shared_pieces += moved;
    done.owned_pieces -= moved;
    if (done.work.prefill_only) {
        finish(done, engine_output::what::exported);
        return;
    }
    give_token(done);
    if (done.position >= done.work.output_tokens) {
        finish(done, engine_output::what::finished);
        return;
    }
    decoding_.push_back(&done);
}

void engine_model::give_token(sequence& from)
{
    const std::uint32_t count = from.position - from.work.from_position;
    if (count % options_.tokens_per_output == 0) {
        std::string text = options_.tokens_per_output == 1 ? token_text(from.text_seed, from.position) : "";
        outputs_.push_back({from.work.request, engine_output::what::tokens, from.position, std::move(text)});
    }
    from.position += 1;
    decode_total_ += 1;
}

void engine_model::finish(sequence& done, engine_output::what how)
{
    const bool exports = how == engine_output::what::exported;
    outputs_.push_back({done.work.request, how, done.position, {}});
    finished_.push_back({done.work.request, done.text_seed, done.position, exports});
    if (finished_.size() > finished_kept) {
        finished_.pop_front();
    }
    drop(done);
}

void engine_model::drop(sequence& gone)
{
    std::erase(queue_, &gone);
    std::erase(prefilling_, &gone);
    std::erase(decoding_, &gone);
    std::erase_if(step_prefill_, [&](const prefill_part& part) { return part.of == &gone; });
    memory_.release(gone.work.prefix_pieces, gone.shared_pieces, gone.owned_pieces);
    sequences_.erase(sequences_.find(gone.work.request));
}

void engine_model::drop_all()
{
    requests_cut_ += sequences_.size();
    sequences_.clear();
    queue_.clear();
    prefilling_.clear();
    decoding_.clear();
    step_prefill_.clear();
    stepping_ = false;
    memory_.clear();
}

} // namespace currantspar::standin
