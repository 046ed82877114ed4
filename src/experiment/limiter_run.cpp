#include "experiment/limiter_run.hpp"

#include <algorithm>
#include <random>

namespace wrenswitch::experiment {
namespace {

constexpr std::size_t least_answer = 20;
constexpr std::size_t most_answer = 200;
constexpr double mean_answer = (least_answer + most_answer) / 2.0;
constexpr std::size_t prompt_tokens = 100;
constexpr microseconds aim = milliseconds(31);
constexpr microseconds longest_wait = seconds(10);
constexpr double milliseconds_a_second = 1e3;

/// What the engine can give in tokens a second with its step just at the aim.
double capacity_of(const stand::engine_speed& speed, double factor) {
    const double step = as_seconds(aim) * factor;
    const double sequences =
        (step - as_seconds(speed.step_base)) / as_seconds(speed.step_per_sequence);
    const double bounded = std::clamp(sequences, 1.0, static_cast<double>(speed.most_sequences));
    const double real_step =
        (as_seconds(speed.step_base) + bounded * as_seconds(speed.step_per_sequence)) / factor;
    return bounded / real_step;
}

stand::engine_speed engine_speed_used() {
    stand::engine_speed speed;
    speed.step_base = milliseconds(5);
    speed.step_per_sequence = microseconds(400);
    speed.step_per_prompt_token = microseconds(10);
    speed.most_sequences = 512;
    speed.memory_tokens = 200'000;
    return speed;
}

}  // namespace

std::vector<limiter_phase> limiter_run::phases() {
    std::vector<limiter_phase> list{{seconds(120), 1.0, 0.85},
                                    {seconds(120), 3.0, 0.85},
                                    {seconds(120), 0.5, 0.85},
                                    {seconds(60), 1.0, 0.85}};
    // A disturbed engine: its speed jumps every few seconds.
    for (const double speed : {0.7, 1.2, 0.6, 1.0, 0.5, 1.3, 0.8, 1.0}) {
        list.push_back({seconds(8), speed, 0.85});
    }
    list.push_back({seconds(60), 1.0, 0.85});
    list.push_back({seconds(10), 1.0, 3.0});
    list.push_back({seconds(90), 1.0, 0.85});
    return list;
}

limiter_run::limiter_run(const limiter_factory& limiter, microseconds most_wait, std::uint64_t seed)
    : random_(seed),
      speed_(engine_speed_used()),
      engine_(speed_),
      queue_({512, most_wait, seconds(2)}),
      limiter_(limiter()) {}

const limiter_phase& limiter_run::phase_at(microseconds now) const {
    static const std::vector<limiter_phase> all = phases();
    microseconds begin{0};
    for (const limiter_phase& phase : all) {
        if (now < begin + phase.length) {
            return phase;
        }
        begin += phase.length;
    }
    return all.back();
}

limiter_score limiter_run::run() {
    microseconds end{0};
    for (const limiter_phase& phase : phases()) {
        end += phase.length;
        if (phase.load > 1.0) {
            burst_end_ = end;
        }
    }
    plan_next_arrival(now_);
    while (now_ < end) {
        engine_.set_speed_factor(phase_at(now_).speed);
        if (engine_.idle()) {
            now_ = std::max(now_, next_arrival_);
            close_second(now_);
            arrive(now_);
            continue;
        }
        now_ += engine_.begin_step();
        while (next_arrival_ <= now_) {
            arrive(next_arrival_);
        }
        engine_.end_step();
        for (const queued_request& late :
             queue_.remove_unmeetable(instant(now_), microseconds(0))) {
            ++score_.refused;
            requests_.erase(raw(late.attempt));
        }
        pump(now_);
        close_second(now_);
    }
    score_.utilisation = given_tokens_ / possible_tokens_;
    score_.recovery_s =
        recovered_ ? as_seconds(*recovered_ - burst_end_) : as_seconds(end - burst_end_);
    return std::move(score_);
}

void limiter_run::plan_next_arrival(microseconds now) {
    const limiter_phase& phase = phase_at(now);
    const double rate = phase.load * capacity_of(speed_, phase.speed) / mean_answer;
    std::exponential_distribution<double> gap(rate);
    constexpr double microseconds_a_second = 1e6;
    next_arrival_ =
        now +
        microseconds(1 + static_cast<std::int64_t>(gap(random_.engine()) * microseconds_a_second));
}

void limiter_run::arrive(microseconds time) {
    const std::uint64_t id = next_id_++;
    request_state state;
    state.arrived = time;
    state.wanted = least_answer + random_.below(most_answer - least_answer);
    offered_tokens_ += static_cast<double>(state.wanted);
    second_offered_ += static_cast<double>(state.wanted);
    ++score_.requests;
    queued_request queued;
    queued.attempt = attempt_id{id};
    queued.client_account = "account-" + std::to_string(id % 10);
    queued.token_bound = static_cast<tokens>(state.wanted);
    queued.arrived_at = instant(time);
    queued.deadline = instant(time + longest_wait);
    requests_[id] = state;
    std::optional<queued_request> evicted;
    if (queue_.push(queued, evicted) != refusal_reason::none) {
        ++score_.refused;
        requests_.erase(id);
    }
    pump(time);
    plan_next_arrival(time);
}

void limiter_run::pump(microseconds now) {
    while (in_flight_ < limiter_->limit()) {
        const auto next = queue_.pop(instant(now));
        if (!next) {
            return;
        }
        const std::uint64_t id = raw(next->attempt);
        request_state& state = requests_.at(id);
        state.started = now;
        ++in_flight_;
        stand::engine_sequence sequence;
        sequence.id = id;
        sequence.prompt_tokens = prompt_tokens;
        sequence.wanted_tokens = state.wanted;
        sequence.on_token = [this, id](std::size_t, bool last) { on_token(id, last, now_); };
        engine_.add(std::move(sequence));
    }
}

void limiter_run::on_token(std::uint64_t id, bool last, microseconds now) {
    request_state& state = requests_.at(id);
    if (state.given++ == 0) {
        state.first = now;
    } else {
        second_gap_sum_ += as_seconds(now - state.last);
        ++second_gaps_;
    }
    state.last = now;
    second_given_ += 1.0;
    if (!last) {
        return;
    }
    const microseconds between =
        state.given > 1 ? (state.last - state.first) / static_cast<std::int64_t>(state.given - 1)
                        : microseconds(0);
    score_.first_token_ms.add(as_seconds(state.first - state.arrived) * milliseconds_a_second);
    score_.between_tokens_ms.add(as_seconds(between) * milliseconds_a_second);
    limiter_sample sample;
    sample.now = instant(now);
    sample.time_to_first_token = state.first - state.started;
    sample.inter_token_latency = between;
    sample.in_flight = in_flight_;
    sample.reported_queue = static_cast<double>(engine_.queue());
    sample.reported_memory = engine_.memory_share();
    limiter_->observe(sample);
    --in_flight_;
    requests_.erase(id);
}

/// Takes stock once a second: what was possible, and whether the engine was overloaded.
void limiter_run::close_second(microseconds now) {
    while (std::chrono::duration_cast<seconds>(now).count() > second_) {
        const microseconds time = seconds(second_);
        const double capacity = capacity_of(speed_, phase_at(time).speed);
        // Work that could not be given at once may be given later, but not for ever.
        const double wanted = backlog_ + second_offered_;
        const double possible = std::min(wanted, capacity);
        backlog_ = std::min(wanted - possible, capacity * as_seconds(longest_wait));
        possible_tokens_ += possible;
        given_tokens_ += second_given_;
        const double mean_gap =
            second_gaps_ == 0 ? 0.0 : second_gap_sum_ / static_cast<double>(second_gaps_);
        const bool over = mean_gap > as_seconds(aim);
        score_.overload_episodes += over && !overloaded_ ? 1 : 0;
        overloaded_ = over;
        constexpr double back_share = 0.8;
        const bool back = time >= burst_end_ && !over && queue_.size() < 16 &&
                          second_given_ >= back_share * std::min(second_offered_, capacity);
        if (back && !recovered_) {
            recovered_ = time;
        }
        second_offered_ = 0.0;
        second_given_ = 0.0;
        second_gap_sum_ = 0.0;
        second_gaps_ = 0;
        ++second_;
    }
}

}  // namespace wrenswitch::experiment
