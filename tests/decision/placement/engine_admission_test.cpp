#include "wrenswitch/decision/placement/engine_admission.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "wrenswitch/decision/placement/engine_placer.hpp"

namespace {

using namespace wrenswitch;

constexpr instant start{seconds(50)};
const std::string service = "llm";

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
                schedule(start + from_seconds(at_ms / 1000.0),
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
                return admission_.admitted_work(now, service, each.kind.account,
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
            with_admission_ ? admission_.urgency_weight(now, service, kind.priority) : 1.0;
        std::vector<engine_candidate> candidates;
        for (const std::string& id : ids_) {
            candidates.push_back({id, 64});
        }
        const engine_choice choice = placer_.choose(now, service, candidates, {}, request);
        const std::string& target = ids_[choice.index];
        const competing_request competing{service,
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
            placer_.begin_attempt(now, service, target, request, choice.uncached_tokens, true);
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

request_kind_load urgent_kind(double per_second) {
    return {"urgent", 0, 830, 100, milliseconds(250), milliseconds(300), per_second};
}

request_kind_load less_urgent_kind(double per_second, double burst_factor = 1.0) {
    return {"bulk", 2, 9200, 60, milliseconds(800), milliseconds(400), per_second, burst_factor};
}

void print(const char* title, const std::map<std::string, kind_result>& results) {
    for (const auto& [account, result] : results) {
        BOOST_TEST_MESSAGE(title << " " << account << " requests " << result.requests << " in time "
                                 << result.in_time << " late " << result.late << " refused "
                                 << result.refused << " held " << result.held << " share "
                                 << result.share());
    }
}

double total_share(const std::map<std::string, kind_result>& results) {
    double sum = 0.0;
    for (const auto& [account, result] : results) {
        sum += result.share();
    }
    return sum / double(results.size());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(engine_admission_test)

BOOST_AUTO_TEST_CASE(burst_of_less_urgent_kind_leaves_urgent_kind_its_value) {
    // Guards against a burst whose prompts fill the engines' queues, so that the urgent kind earns
    // less than the kind that causes it. 2 engines, bulk at 0.4 to 0.6 of their capacity, in the
    // burst at 2.5 times that, beside 16 urgent requests per second.
    for (const double speed : {36.7, 110.0}) {
        for (const double load : {0.4, 0.6}) {
            const double per_second = load * 2 * 1000.0 * speed / 9200.0;
            const std::vector<request_kind_load> kinds{urgent_kind(16),
                                                       less_urgent_kind(per_second, 2.5)};
            for (unsigned seed = 1; seed <= 2; ++seed) {
                BOOST_TEST_CONTEXT("speed " << speed << " load " << load << " seed " << seed) {
                    const auto before = coordinator_simulation(2, speed, false).run(kinds, seed);
                    auto with = coordinator_simulation(2, speed, true).run(kinds, seed);
                    print("before", before);
                    print("with", with);
                    BOOST_TEST(with["urgent"].share() >= with["bulk"].share() - 0.10);
                    BOOST_TEST(with["urgent"].refused == 0U);
                    BOOST_TEST(total_share(with) >= total_share(before));
                    BOOST_TEST(with["bulk"].admitted_share() >= 0.25);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(account_at_five_times_its_load_does_not_take_the_share_of_others) {
    // Guards against one account whose requests make those of equal priority late. Four accounts
    // together use 0.7 of the capacity; then one of them sends five times as much.
    const double speed = 110.0;
    const double per_second = 0.7 / 4 * 2 * 1000.0 * speed / 9200.0;
    std::vector<request_kind_load> kinds;
    for (const char* account : {"a", "b", "c", "flood"}) {
        kinds.push_back(less_urgent_kind(per_second));
        kinds.back().account = account;
    }
    kinds.back().burst_factor = 5.0;
    for (unsigned seed = 1; seed <= 3; ++seed) {
        const auto before = coordinator_simulation(2, speed, false).run(kinds, seed);
        auto with = coordinator_simulation(2, speed, true).run(kinds, seed);
        print("before", before);
        print("with", with);
        for (const char* account : {"a", "b", "c"}) {
            BOOST_TEST(with[account].share() >= before.at(account).share() + 0.10);
            BOOST_TEST(with[account].share() >= with["flood"].share() + 0.10);
            BOOST_TEST(with[account].refused == 0U);
            BOOST_TEST(with[account].share() >= 0.80);
        }
        BOOST_TEST(with["flood"].admitted_share() >= 0.25);
    }
}

BOOST_AUTO_TEST_CASE(without_pressure_nothing_is_held_or_refused) {
    // Guards against a loss by the decision itself on usual days: 0.15 of the engines' capacity.
    for (const double speed : {36.7, 110.0}) {
        for (unsigned seed = 1; seed <= 3; ++seed) {
            auto results =
                coordinator_simulation(2, speed, true)
                    .run({urgent_kind(4), less_urgent_kind(0.15 * 2000 * speed / 9200)}, seed);
            print("calm", results);
            BOOST_TEST(results["urgent"].refused + results["bulk"].refused == 0U);
            BOOST_TEST(results["urgent"].held + results["bulk"].held == 0U);
        }
    }
}

/// A service whose engines have a backlog and which receives urgent requests.
struct admission_fixture {
    engine_admission admission;
    std::uint64_t last_attempt = 0;

    static competing_request request(const std::string& account, unsigned priority) {
        return {service,         account,    priority,        9300.0, milliseconds(800),
                microseconds(0), seconds(5), microseconds(0), true};
    }

    static competing_request urgent() {
        competing_request result = request("urgent", 0);
        result.work_tokens = 930.0;
        result.first_event_objective = milliseconds(250);
        return result;
    }

    static engine_estimate estimate(double backlog_ms, double prefill_ms = 84.0) {
        engine_estimate result;
        result.engine = "e1";
        result.first_event_ms = backlog_ms + prefill_ms + 20.0;
        result.backlog_ms = backlog_ms;
        result.other_backlog_ms = backlog_ms + 1000.0;
        result.prefill_ms = prefill_ms;
        result.late_probability = late_probability(result.first_event_ms, 800.0, 0.2);
        return result;
    }

    void admit(instant now, const competing_request& accepted, double prefill_ms) {
        admission.record_admitted(now, ++last_attempt, accepted, estimate(0.0, prefill_ms));
    }

    /// Records urgent requests during the 4 s before the start.
    void receive_urgent(unsigned per_second) {
        for (unsigned index = 0; index < 4 * per_second; ++index) {
            admit(start - seconds(4) + index * microseconds(1'000'000 / per_second), urgent(), 8.0);
        }
    }
};

BOOST_FIXTURE_TEST_CASE(late_request_that_harms_nobody_is_admitted, admission_fixture) {
    // Late answers have value: a request that is late is no reason to refuse it.
    const auto decision = admission.decide(start, request("bulk", 2), estimate(3000.0));
    BOOST_TEST((decision.outcome == admission_outcome::admit));
}

BOOST_FIXTURE_TEST_CASE(request_that_cannot_meet_its_deadline_is_refused, admission_fixture) {
    const auto decision = admission.decide(start, request("bulk", 2), estimate(7000.0));
    BOOST_TEST((decision.outcome == admission_outcome::refuse));
    // The backlog has decreased by then as far as the first event needs.
    BOOST_TEST((decision.wait >= milliseconds(6000)));
    BOOST_TEST((decision.wait <= milliseconds(6500)));
    const auto later = admission.decide(start + decision.wait, request("bulk", 2),
                                        estimate(7000.0 - as_milliseconds(decision.wait)));
    BOOST_TEST((later.outcome == admission_outcome::admit));
}

BOOST_FIXTURE_TEST_CASE(most_urgent_request_is_never_refused_for_others, admission_fixture) {
    receive_urgent(30);
    const auto decision = admission.decide(start, urgent(), estimate(400.0, 8.0));
    BOOST_TEST((decision.outcome == admission_outcome::admit));
}

BOOST_FIXTURE_TEST_CASE(request_is_held_if_backlog_drains_within_a_quarter_of_its_objective,
                        admission_fixture) {
    receive_urgent(30);
    admit(start, request("bulk", 2), 84.0);
    const auto decision = admission.decide(start, request("bulk", 2), estimate(200.0));
    BOOST_REQUIRE((decision.outcome == admission_outcome::hold));
    BOOST_TEST((decision.wait <= milliseconds(200)));
    BOOST_TEST(decision.harm > decision.value);
    const auto later = admission.decide(start + decision.wait, request("bulk", 2),
                                        estimate(200.0 - as_milliseconds(decision.wait)));
    BOOST_TEST((later.outcome == admission_outcome::admit));
}

BOOST_FIXTURE_TEST_CASE(request_is_not_held_longer_than_a_quarter_of_its_objective,
                        admission_fixture) {
    receive_urgent(30);
    admit(start, request("bulk", 2), 84.0);
    competing_request held = request("bulk", 2);
    held.held = milliseconds(200);
    const auto decision = admission.decide(start, held, estimate(200.0));
    BOOST_TEST((decision.outcome == admission_outcome::refuse));
}

BOOST_FIXTURE_TEST_CASE(refused_requests_are_admitted_at_the_time_that_they_were_given,
                        admission_fixture) {
    // Guards against a Retry-After at which the caller is refused again.
    receive_urgent(30);
    for (int index = 0; index < 4; ++index) {
        admit(start, request("bulk", 2), 84.0);
    }
    const double backlog_ms = 900.0;
    for (int index = 0; index < 3; ++index) {
        const auto decision = admission.decide(start, request("bulk", 2), estimate(backlog_ms));
        BOOST_REQUIRE((decision.outcome == admission_outcome::refuse));
        // Requests that were refused before come first and take the engine for their prefill.
        const double elapsed_ms = as_milliseconds(decision.wait);
        const double left_ms = std::max(0.0, backlog_ms - elapsed_ms) + 84.0 * index;
        engine_admission copy = admission;
        const auto later = copy.decide(start + decision.wait, request("bulk", 2),
                                       estimate(std::max(0.0, left_ms)));
        BOOST_TEST((later.outcome != admission_outcome::refuse));
        BOOST_TEST((decision.wait < seconds(3)));
    }
}

BOOST_FIXTURE_TEST_CASE(account_is_admitted_a_quarter_as_often_as_the_rest, admission_fixture) {
    // The floor: the engines are always too full for the less urgent kind.
    unsigned admitted = 0;
    for (int index = 0; index < 400; ++index) {
        const instant now = start + index * milliseconds(25);
        admit(now, urgent(), 8.0);
        const auto decision = admission.decide(now, request("bulk", 2), estimate(2000.0));
        if (decision.outcome == admission_outcome::admit) {
            admit(now, request("bulk", 2), 84.0);
            admitted += 1;
        }
    }
    BOOST_TEST(admitted >= 100U);
    BOOST_TEST(admitted <= 120U);
}

BOOST_FIXTURE_TEST_CASE(first_coordinator_that_is_asked_neither_holds_nor_counts,
                        admission_fixture) {
    receive_urgent(30);
    admit(start, request("bulk", 2), 84.0);
    competing_request first = request("bulk", 2);
    first.is_last_query = false;
    for (int index = 0; index < 10; ++index) {
        const auto decision = admission.decide(start, first, estimate(200.0));
        BOOST_TEST((decision.outcome == admission_outcome::refuse));
    }
    const auto last = admission.decide(start, request("bulk", 2), estimate(200.0));
    BOOST_TEST((last.outcome == admission_outcome::hold));
}

BOOST_FIXTURE_TEST_CASE(running_urgent_streams_count, admission_fixture) {
    competing_request stream = urgent();
    stream.max_event_gap = milliseconds(300);
    for (int index = 0; index < 10; ++index) {
        admit(start, stream, 8.0);
    }
    admit(start, request("bulk", 2), 84.0);
    // Requests that arrive later find another engine free.
    engine_estimate best = estimate(500.0, 400.0);
    best.other_backlog_ms = 0.0;
    best.pause_ms = 400.0;
    const auto decision = admission.decide(start, request("bulk", 2), best);
    BOOST_TEST((decision.outcome == admission_outcome::refuse));
    for (std::uint64_t attempt = 1; attempt <= 10; ++attempt) {
        admission.end_attempt(attempt);
    }
    const auto after_end = admission.decide(start, request("bulk", 2), best);
    BOOST_TEST((after_end.outcome == admission_outcome::admit));
}

BOOST_FIXTURE_TEST_CASE(tracked_accounts_are_bounded, admission_fixture) {
    for (int index = 0; index < 1000; ++index) {
        admit(start + index * milliseconds(1), request("account" + std::to_string(index), 2), 84.0);
    }
    BOOST_TEST(admission.tracked() <= 256U);
}

BOOST_AUTO_TEST_SUITE_END()
