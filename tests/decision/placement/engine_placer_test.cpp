#include "wrenswitch/decision/placement/engine_placer.hpp"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <set>

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};
const std::string service = "llm";

/// Six engines that each hold 200,000 tokens and can copy from each other.
struct placer_fixture {
    engine_placer placer;
    std::vector<std::string> ids{"e1", "e2", "e3", "e4", "e5", "e6"};
    bool copies = true;

    engine_request request(tokens prompt, tokens output, std::uint64_t session,
                           std::uint64_t part_id) const {
        engine_request result;
        result.prompt = {
            prompt, 2 * output, output, {{session, prompt / 2}, {part_id, prompt - prompt / 2}}};
        result.engine = {3, 200'000, copies ? 0.002 : 0.0};
        result.first_event_objective = seconds(4);
        result.max_event_gap = milliseconds(300);
        return result;
    }

    engine_request long_prompt(std::uint64_t part_id) const {
        return request(30'000, 50, part_id, part_id + 1);
    }
    engine_request stream(std::uint64_t part_id) const {
        return request(800, 300, part_id, part_id + 1);
    }

    engine_choice choose(const engine_request& incoming, instant at = now) {
        return choose_with(placer, incoming, at);
    }

    engine_choice choose_with(engine_placer& chooser, const engine_request& incoming,
                              instant at = now) const {
        std::vector<engine_candidate> candidates;
        std::vector<copy_source> sources;
        for (const std::string& id : ids) {
            candidates.push_back({id, 64, 0.0});
            sources.push_back({id});
        }
        return chooser.choose(at, service, candidates, sources, incoming);
    }

    /// The time to the first event on an engine with the initial prefill model.
    static microseconds first_event_after(tokens prompt, tokens uncached_tokens) {
        const prefill_model model;
        return microseconds(
            static_cast<std::int64_t>(1000.0 * model.first_event_ms(prompt, uncached_tokens)));
    }

    /// Starts an attempt on an engine such that its first event arrives at this time.
    std::uint64_t start_attempt_with_first_event_at(instant at, const std::string& id,
                                                    const engine_request& incoming,
                                                    tokens uncached_tokens) {
        const instant started_at =
            at - first_event_after(incoming.prompt.prompt_tokens, uncached_tokens);
        const std::uint64_t attempt =
            placer.begin_attempt(started_at, service, id, incoming, uncached_tokens, true);
        placer.record_first_event(at, id, attempt);
        return attempt;
    }

    std::string place(const engine_request& incoming, instant at = now) {
        const engine_choice choice = choose(incoming, at);
        const std::string& id = ids[choice.index];
        start_attempt_with_first_event_at(at, id, incoming, choice.uncached_tokens);
        return id;
    }

    /// Places a request with the expected prefill time and a response that takes 10 ms per token.
    std::string serve(const engine_request& incoming, instant at) {
        const engine_choice choice = choose(incoming, at);
        const std::string& id = ids[choice.index];
        const std::uint64_t attempt =
            placer.begin_attempt(at, service, id, incoming, choice.uncached_tokens, true);
        const instant first =
            at + first_event_after(incoming.prompt.prompt_tokens, choice.uncached_tokens);
        scheduled_.emplace(first, [this, id, attempt](instant when) {
            placer.record_first_event(when, id, attempt);
        });
        scheduled_.emplace(
            first + expected_output(incoming.prompt) * milliseconds(10),
            [this, id, attempt](instant when) { placer.end_attempt(when, id, attempt); });
        return id;
    }

    /// Runs all scheduled events up to this time.
    void run_events_until(instant at) {
        while (!scheduled_.empty() && scheduled_.begin()->first <= at) {
            const auto next = scheduled_.extract(scheduled_.begin());
            next.mapped()(next.key());
        }
    }

    std::multimap<instant, std::function<void(instant)>> scheduled_;

    void start_attempt_at(const std::string& id, const engine_request& incoming) {
        start_attempt_with_first_event_at(now, id, incoming, incoming.prompt.prompt_tokens);
    }

    /// Runs a request on an engine to its end.
    void complete_attempt_at(const std::string& id, const engine_request& incoming) {
        placer.end_attempt(
            now, id,
            start_attempt_with_first_event_at(now, id, incoming, incoming.prompt.prompt_tokens));
    }

    /// Records spans of events with this interval.
    void record_events(const std::string& id, int interval_ms) {
        for (int round = 0; round < 20; ++round) {
            placer.record_event_span(
                now, id, event_interval_estimator::events_per_span * milliseconds(interval_ms));
        }
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(engine_placer_test, placer_fixture)

BOOST_AUTO_TEST_CASE(long_prompt_avoids_engines_with_streams) {
    for (const char* id : {"e1", "e2", "e3", "e4", "e5"}) {
        start_attempt_at(id, stream(100));
    }
    for (std::uint64_t part_id = 1000; part_id < 1020; part_id += 2) {
        BOOST_TEST(ids[choose(long_prompt(part_id)).index] == "e6");
    }
}

BOOST_AUTO_TEST_CASE(stream_avoids_engines_with_recent_long_prompts) {
    for (const char* id : {"e1", "e2", "e4", "e5", "e6"}) {
        complete_attempt_at(id, long_prompt(100));
    }
    for (std::uint64_t part_id = 1000; part_id < 1020; part_id += 2) {
        BOOST_TEST(ids[choose(stream(part_id), now + milliseconds(100)).index] == "e3");
    }
}

BOOST_AUTO_TEST_CASE(long_prompts_and_streams_use_separate_engines) {
    std::map<std::string, int> prompt_counts;
    std::map<std::string, int> stream_counts;
    std::uint64_t part_id = 1;
    for (int round = 0; round < 60; ++round) {
        const instant at = now + round * milliseconds(500);
        const bool is_settled = round >= 20;
        run_events_until(at);
        prompt_counts[serve(long_prompt(part_id += 2), at)] += is_settled ? 1 : 0;
        run_events_until(at + milliseconds(100));
        for (int repeat = 0; repeat < 3; ++repeat) {
            stream_counts[serve(stream(part_id += 2), at + milliseconds(100))] +=
                is_settled ? 1 : 0;
        }
    }
    int shared = 0;
    for (const auto& [id, count] : prompt_counts) {
        shared += std::min(count, stream_counts[id]);
    }
    BOOST_TEST(shared <= 4);
}

BOOST_AUTO_TEST_CASE(streams_without_long_prompts_use_all_engines) {
    std::set<std::string> used;
    for (std::uint64_t part_id = 2; part_id < 400; part_id += 2) {
        used.insert(place(stream(part_id)));
    }
    BOOST_TEST(used.size() == ids.size());
}

BOOST_AUTO_TEST_CASE(long_prompt_shares_an_engine_with_streams_if_it_is_the_only_one) {
    ids = {"e1"};
    start_attempt_at("e1", stream(100));
    BOOST_TEST(choose(long_prompt(1000)).index == 0U);
}

BOOST_AUTO_TEST_CASE(slow_engine_gets_no_long_prompt) {
    for (const std::string& id : ids) {
        start_attempt_at(id, stream(100));
        record_events(id, id == "e2" ? 40 : 25);
    }
    for (std::uint64_t part_id = 1000; part_id < 1020; part_id += 2) {
        BOOST_TEST(ids[choose(long_prompt(part_id)).index] != "e2");
    }
}

BOOST_AUTO_TEST_CASE(reported_slowdown_multiplies_the_prefill_time_and_fades) {
    ids = {"e1"};
    const double usual_ms = choose(long_prompt(1000)).cost.first_event_ms;
    placer.record_slowdown(now, "e1", 2.5);
    BOOST_TEST(choose(long_prompt(1000)).cost.first_event_ms == 2.5 * usual_ms,
               boost::test_tools::tolerance(0.01));
    BOOST_TEST(choose(long_prompt(1000), now + seconds(5)).cost.first_event_ms == usual_ms,
               boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(engine_that_reports_a_slowdown_gets_no_long_prompt) {
    choose(long_prompt(900));
    placer.record_slowdown(now, "e2", 2.5);
    for (std::uint64_t part_id = 1000; part_id < 1040; part_id += 2) {
        BOOST_TEST(ids[choose(long_prompt(part_id)).index] != "e2");
    }
}

// A slowed prefill must not make all engines of the service look slow.
BOOST_AUTO_TEST_CASE(reported_slowdown_is_not_learnt_as_prefill_time) {
    const double before_ms = placer.prefill_ms(service, 9000);
    instant at = now;
    for (std::uint64_t part_id = 1000; part_id < 1040; part_id += 2) {
        const engine_request incoming = request(9000, 50, part_id, part_id + 1);
        const std::uint64_t attempt = placer.begin_attempt(at, service, "e1", incoming, 9000, true);
        at += first_event_after(9000, 9000) * 5 / 2;
        placer.record_slowdown(at, "e1", 2.5);
        placer.record_first_event(at, "e1", attempt);
        placer.end_attempt(at, "e1", attempt);
        at += seconds(5);
    }
    BOOST_TEST(placer.prefill_ms(service, 9000) == before_ms, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(prompt_cached_on_another_engine_is_copied) {
    complete_attempt_at("e4", request(12'000, 50, 100, 101));
    const engine_request again = request(12'000, 50, 100, 200);
    const engine_choice choice = choose(again);
    if (ids[choice.index] == "e4") {
        BOOST_TEST(choice.copy_from.empty());
    } else {
        BOOST_TEST(choice.copy_from == "e4");
    }
    BOOST_TEST(choice.uncached_tokens == 6000);
}

BOOST_AUTO_TEST_CASE(prompt_goes_to_the_engine_that_caches_it_if_engines_cannot_copy) {
    copies = false;
    complete_attempt_at("e4", request(12'000, 50, 100, 101));
    const engine_choice choice = choose(request(12'000, 50, 100, 200), now + seconds(10));
    BOOST_TEST(ids[choice.index] == "e4");
    BOOST_TEST(choice.copy_from.empty());
}

BOOST_AUTO_TEST_CASE(unknown_session_goes_to_the_same_engine_from_every_entry) {
    engine_placer other;
    for (std::uint64_t session = 1; session < 40; ++session) {
        const engine_request incoming = request(800, 100, session, session + 1000);
        BOOST_TEST(choose(incoming).index == choose_with(other, incoming).index);
    }
}

BOOST_AUTO_TEST_CASE(long_prompt_avoids_engines_with_pending_prefills) {
    for (const char* id : {"e1", "e2", "e3", "e4", "e5"}) {
        placer.begin_attempt(now, service, id, long_prompt(100), 30'000, true);
    }
    BOOST_TEST(ids[choose(long_prompt(1000)).index] == "e6");
}

BOOST_AUTO_TEST_CASE(prefill_times_are_not_learnt_if_other_requests_are_unknown) {
    const engine_request incoming = request(3000, 50, 1, 2);
    const double before = choose(incoming).cost.first_event_ms;
    for (int round = 0; round < 50; ++round) {
        const std::uint64_t attempt =
            placer.begin_attempt(now, service, "e1", incoming, 3000, false);
        placer.record_first_event(now + seconds(2), "e1", attempt);
        placer.end_attempt(now + seconds(2), "e1", attempt);
    }
    BOOST_TEST(choose(request(3000, 50, 5, 6)).cost.first_event_ms <= before);
}

BOOST_AUTO_TEST_CASE(engine_with_failed_requests_is_avoided) {
    std::vector<engine_candidate> candidates{{"e1", 64, 0.9}, {"e2", 64, 0.0}};
    for (std::uint64_t part_id = 2; part_id < 40; part_id += 2) {
        BOOST_TEST(placer.choose(now, service, candidates, {}, stream(part_id)).index == 1U);
    }
}

BOOST_AUTO_TEST_CASE(engine_with_an_overdue_first_event_is_avoided) {
    ids = {"e1", "e2"};
    placer.begin_attempt(now, service, "e1", stream(100), 800, true);
    for (std::uint64_t part_id = 1000; part_id < 1040; part_id += 2) {
        BOOST_TEST(ids[choose(stream(part_id), now + seconds(3)).index] == "e2");
    }
}

BOOST_AUTO_TEST_CASE(engine_without_free_slots_is_avoided) {
    ids = {"e1", "e2"};
    for (int round = 0; round < 70; ++round) {
        start_attempt_at("e1", request(100, 300, 7, 8));
    }
    for (std::uint64_t part_id = 1000; part_id < 1040; part_id += 2) {
        BOOST_TEST(ids[choose(request(100, 300, part_id, part_id + 1)).index] == "e2");
    }
}

BOOST_AUTO_TEST_CASE(engine_without_free_memory_is_avoided) {
    ids = {"e1", "e2"};
    for (std::uint64_t part_id = 100; part_id < 130; part_id += 2) {
        start_attempt_at("e1", request(14'000, 50, part_id, part_id + 1));
    }
    engine_request large = request(14'000, 50, 900, 901);
    large.max_event_gap = {};
    large.first_event_objective = {};
    BOOST_TEST(ids[choose(large).index] == "e2");
}

BOOST_AUTO_TEST_SUITE_END()
