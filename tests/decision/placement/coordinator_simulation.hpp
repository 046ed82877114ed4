#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "wrenswitch/decision/placement/engine_admission.hpp"
#include "wrenswitch/decision/placement/engine_placer.hpp"

namespace wrenswitch::testing {

inline constexpr instant simulation_start{seconds(50)};

/// Requests of one kind: a Poisson stream from one account.
struct request_kind_load {
    std::string account;
    unsigned priority = 0;
    tokens prompt_tokens = 0;
    tokens output_tokens = 0;
    microseconds objective{};
    microseconds max_event_gap{};
    double per_second = 0.0;
    /// The rate is multiplied by this between 2 and 8 s.
    double burst_factor = 1.0;
};

/// What became of the requests of one account. The value of a response is 1 in time and 0.35 if it
/// is late.
struct kind_result {
    unsigned requests = 0;
    unsigned in_time = 0;
    unsigned late = 0;
    unsigned refused = 0;
    unsigned held = 0;

    double share() const { return (in_time + 0.35 * late) / std::max(1U, requests); }
    double admitted_share() const { return 1.0 - double(refused) / std::max(1U, requests); }
};

/// The engines of one coordinator under load, in virtual time. An engine processes prompts one
/// after the other; a stream gets one event while three chunks of 2,048 tokens are processed.
class coordinator_simulation {
public:
    coordinator_simulation(std::size_t engines, double tokens_per_ms, bool with_admission)
        : tokens_per_ms_(tokens_per_ms), with_admission_(with_admission), engines_(engines) {
        for (std::size_t index = 0; index < engines; ++index) {
            ids_.push_back("e" + std::to_string(index));
        }
    }

    std::map<std::string, kind_result> run(const std::vector<request_kind_load>& kinds,
                                           unsigned seed) {
        std::mt19937 random(seed);
        for (const request_kind_load& kind : kinds) {
            std::exponential_distribution<double> gap(1.0);
            double at_ms = 0.0;
            while (true) {
                const bool in_burst = at_ms >= 2000.0 && at_ms < 8000.0;
                const double rate = kind.per_second * (in_burst ? kind.burst_factor : 1.0);
                at_ms += 1000.0 * gap(random) / rate;
                if (at_ms >= 12'000.0) {
                    break;
                }
                const std::uint64_t id = ++last_id_;
                schedule(simulation_start + from_seconds(at_ms / 1000.0),
                         [this, kind, id](instant now) { arrive(now, kind, id); });
            }
        }
        while (!events_.empty()) {
            const auto next = events_.extract(events_.begin());
            next.mapped()(next.key());
        }
        return results_;
    }

    std::vector<std::pair<instant, microseconds>> refusals;

private:
    struct held_request {
        request_kind_load kind;
        std::uint64_t id = 0;
        instant arrived{};
    };
    struct running_stream {
        std::string account;
        double max_gap_ms = 0.0;
        bool is_first_in_time = false;
        bool is_interrupted = false;
    };
    struct engine {
        instant busy_until{};
        std::map<std::uint64_t, running_stream> streams;
    };

    void schedule(instant at, std::function<void(instant)> action) {
        events_.emplace(at, std::move(action));
    }

    void arrive(instant now, const request_kind_load& kind, std::uint64_t id) {
        results_[kind.account].requests += 1;
        const bool is_most_urgent = std::none_of(
            held_.begin(), held_.end(),
            [&kind](const held_request& each) { return each.kind.priority <= kind.priority; });
        if (!is_most_urgent) {
            retry_held(now);
        }
        place(now, {kind, id, now});
    }

    /// Retries held requests in order, as the coordinator does.
    void retry_held(instant now) {
        std::vector<held_request> waiting;
        waiting.swap(held_);
        std::sort(waiting.begin(), waiting.end(), [&](const auto& left, const auto& right) {
            const auto work = [&](const held_request& each) {
                return admission_.admitted_work(now, service_, each.kind.account,
                                                each.kind.priority);
            };
            return std::tuple(left.kind.priority, work(left), left.arrived) <
                   std::tuple(right.kind.priority, work(right), right.arrived);
        });
        bool blocked = false;
        for (const held_request& each : waiting) {
            if (blocked && now - each.arrived < max_hold(each.kind.objective)) {
                held_.push_back(each);
            } else {
                blocked = !place(now, each);
            }
        }
    }

    /// Retries held requests every 10 ms, as the coordinator's timer does.
    void poll_held(instant at) {
        schedule(at, [this](instant now) {
            retry_held(now);
            polls_ = !held_.empty();
            if (polls_) {
                poll_held(now + milliseconds(10));
            }
        });
    }

    /// False if the request is held.
    bool place(instant now, const held_request& each) {
        const request_kind_load& kind = each.kind;
        engine_request request;
        request.prompt = {kind.prompt_tokens,
                          2 * kind.output_tokens,
                          kind.output_tokens,
                          {{1000 + each.id, kind.prompt_tokens}}};
        request.engine = {3, 0, 0.0};
        request.first_event_objective = kind.objective;
        request.max_event_gap = kind.max_event_gap;
        request.loss_weight =
            with_admission_ ? admission_.urgency_weight(now, service_, kind.priority) : 1.0;
        std::vector<engine_candidate> candidates;
        for (const std::string& id : ids_) {
            candidates.push_back({id, 64});
        }
        const engine_choice choice = placer_.choose(now, service_, candidates, {}, request);
        const std::string& target = ids_[choice.index];
        const competing_request competing{service_,
                                          kind.account,
                                          kind.priority,
                                          double(kind.prompt_tokens + kind.output_tokens),
                                          kind.objective,
                                          kind.max_event_gap,
                                          seconds(5) - (now - each.arrived),
                                          now - each.arrived,
                                          true,
                                          held_.size() < 32};
        const engine_estimate estimate{target,
                                       choice.cost.first_event_ms,
                                       choice.cost.backlog_ms,
                                       choice.other_backlog_ms,
                                       choice.cost.prefill_ms,
                                       choice.cost.pause_ms,
                                       choice.cost.pending_pause_ms,
                                       choice.cost.late_probability,
                                       ids_.size()};
        if (with_admission_) {
            const admission_decision decision = admission_.decide(now, competing, estimate);
            if (decision.outcome == admission_outcome::refuse) {
                results_[kind.account].refused += 1;
                refusals.emplace_back(now, decision.wait);
                return true;
            }
            if (decision.outcome == admission_outcome::hold) {
                held_.push_back(each);
                results_[kind.account].held += each.arrived == now ? 1 : 0;
                if (!std::exchange(polls_, true)) {
                    poll_held(now + milliseconds(10));
                }
                return false;
            }
        }
        start_on(now, each, request, choice, competing, estimate);
        return true;
    }

    void start_on(instant now, const held_request& each, const engine_request& request,
                  const engine_choice& choice, const competing_request& competing,
                  const engine_estimate& estimate) {
        const request_kind_load& kind = each.kind;
        const std::string target = ids_[choice.index];
        const std::uint64_t attempt =
            placer_.begin_attempt(now, service_, target, request, choice.uncached_tokens, true);
        if (with_admission_) {
            admission_.record_admitted(now, attempt, competing, estimate);
        }
        engine& state = engines_[choice.index];
        const double prefill_ms = double(choice.uncached_tokens) / tokens_per_ms_;
        const instant prefill_start = std::max(now, state.busy_until);
        state.busy_until = prefill_start + from_seconds(prefill_ms / 1000.0);
        const double pause_ms = std::min(prefill_ms, 3 * 2048.0 / tokens_per_ms_);
        schedule(prefill_start, [&state, pause_ms](instant) {
            for (auto& [id, stream] : state.streams) {
                stream.is_interrupted = stream.is_interrupted || pause_ms > stream.max_gap_ms;
            }
        });
        const instant first_event = state.busy_until + milliseconds(20);
        schedule(first_event,
                 [this, &state, kind, target, attempt, arrived = each.arrived](instant at) {
                     placer_.record_first_event(at, target, attempt);
                     state.streams[attempt] = {kind.account, as_milliseconds(kind.max_event_gap),
                                               at - arrived <= kind.objective, false};
                     retry_held(at);
                 });
        schedule(first_event + kind.output_tokens * milliseconds(10), [this, &state, target,
                                                                       attempt](instant at) {
            placer_.end_attempt(at, target, attempt);
            admission_.end_attempt(attempt);
            const running_stream stream = state.streams.extract(attempt).mapped();
            kind_result& result = results_[stream.account];
            (stream.is_first_in_time && !stream.is_interrupted ? result.in_time : result.late) += 1;
            retry_held(at);
        });
    }

    const std::string service_ = "llm";
    double tokens_per_ms_;
    bool with_admission_;
    engine_placer placer_;
    engine_admission admission_;
    std::vector<std::string> ids_;
    std::vector<engine> engines_;
    std::multimap<instant, std::function<void(instant)>> events_;
    std::vector<held_request> held_;
    bool polls_ = false;
    std::map<std::string, kind_result> results_;
    std::uint64_t last_id_ = 0;
};

}  // namespace wrenswitch::testing
