#include "wrenswitch/decision/placement/engine_placer.hpp"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <set>

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};
const std::string service = "llm";

/// Six engines with memory for 200,000 tokens that can copy from each other.
struct placer_fixture {
    engine_placer placer;
    std::vector<std::string> ids{"e1", "e2", "e3", "e4", "e5", "e6"};
    bool copies = true;

    engine_request request(tokens prompt, tokens output, std::uint64_t session,
                           std::uint64_t own) const {
        engine_request made;
        made.shape = {
            prompt, 2 * output, output, {{session, prompt / 2}, {own, prompt - prompt / 2}}};
        made.engine = {3, 200'000, copies ? 0.002 : 0.0};
        made.first_event_aim = seconds(4);
        made.longest_pause = milliseconds(300);
        return made;
    }

    engine_request long_prompt(std::uint64_t own) const {
        return request(30'000, 50, own, own + 1);
    }
    engine_request stream(std::uint64_t own) const { return request(800, 300, own, own + 1); }

    engine_choice choose(const engine_request& asked, instant at = now) {
        return choose_with(placer, asked, at);
    }

    engine_choice choose_with(engine_placer& with, const engine_request& asked,
                              instant at = now) const {
        std::vector<engine_candidate> candidates;
        std::vector<engine_source> sources;
        for (const std::string& id : ids) {
            candidates.push_back({id, 64, 0.0});
            sources.push_back({id});
        }
        return with.choose(at, service, candidates, sources, asked);
    }

    /// As long as an engine of the usual kind takes.
    static microseconds first_event_after(tokens prompt, tokens unread) {
        const reading_model usual;
        return microseconds(
            static_cast<std::int64_t>(1000.0 * usual.first_event_ms(prompt, unread)));
    }

    /// A request begins at an engine so that its first event comes at this time.
    std::uint64_t answer_at(instant at, const std::string& id, const engine_request& asked,
                            tokens unread) {
        const instant begun = at - first_event_after(asked.shape.prompt, unread);
        const std::uint64_t run = placer.begin(begun, service, id, asked, unread, true);
        placer.first_event(at, id, run);
        return run;
    }

    std::string place(const engine_request& asked, instant at = now) {
        const engine_choice choice = choose(asked, at);
        const std::string& id = ids[choice.index];
        answer_at(at, id, asked, choice.unread);
        return id;
    }

    /// Places a request whose prompt is read in time and whose answer takes 10 ms a token.
    std::string serve(const engine_request& asked, instant at) {
        const engine_choice choice = choose(asked, at);
        const std::string& id = ids[choice.index];
        const std::uint64_t run = placer.begin(at, service, id, asked, choice.unread, true);
        const instant first = at + first_event_after(asked.shape.prompt, choice.unread);
        due_.emplace(first, [this, id, run](instant when) { placer.first_event(when, id, run); });
        due_.emplace(first + expected_output(asked.shape) * milliseconds(10),
                     [this, id, run](instant when) { placer.end(when, id, run); });
        return id;
    }

    /// Lets all happen that is due until this time.
    void pass_until(instant at) {
        while (!due_.empty() && due_.begin()->first <= at) {
            const auto next = due_.extract(due_.begin());
            next.mapped()(next.key());
        }
    }

    std::multimap<instant, std::function<void(instant)>> due_;

    void run_at(const std::string& id, const engine_request& asked) {
        answer_at(now, id, asked, asked.shape.prompt);
    }

    /// A request runs at an engine and ends.
    void leave_at(const std::string& id, const engine_request& asked) {
        placer.end(now, id, answer_at(now, id, asked, asked.shape.prompt));
    }

    /// Spans of events that came with this gap.
    void events(const std::string& id, int gap_ms) {
        for (int turn = 0; turn < 20; ++turn) {
            placer.next_events(now, id, event_pace::span_events * milliseconds(gap_ms));
        }
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(engine_placer_test, placer_fixture)

BOOST_AUTO_TEST_CASE(long_prompt_keeps_away_from_streams) {
    for (const char* id : {"e1", "e2", "e3", "e4", "e5"}) {
        run_at(id, stream(100));
    }
    for (std::uint64_t own = 1000; own < 1020; own += 2) {
        BOOST_TEST(ids[choose(long_prompt(own)).index] == "e6");
    }
}

BOOST_AUTO_TEST_CASE(stream_keeps_away_from_where_long_prompts_were_read_of_late) {
    for (const char* id : {"e1", "e2", "e4", "e5", "e6"}) {
        leave_at(id, long_prompt(100));
    }
    for (std::uint64_t own = 1000; own < 1020; own += 2) {
        BOOST_TEST(ids[choose(stream(own), now + milliseconds(100)).index] == "e3");
    }
}

BOOST_AUTO_TEST_CASE(long_prompts_and_streams_part_company) {
    std::map<std::string, int> longs;
    std::map<std::string, int> streams;
    std::uint64_t own = 1;
    for (int turn = 0; turn < 60; ++turn) {
        const instant at = now + turn * milliseconds(500);
        const bool settled = turn >= 20;
        pass_until(at);
        longs[serve(long_prompt(own += 2), at)] += settled ? 1 : 0;
        pass_until(at + milliseconds(100));
        for (int more = 0; more < 3; ++more) {
            streams[serve(stream(own += 2), at + milliseconds(100))] += settled ? 1 : 0;
        }
    }
    int together = 0;
    for (const auto& [id, count] : longs) {
        together += std::min(count, streams[id]);
    }
    BOOST_TEST(together <= 4);
}

BOOST_AUTO_TEST_CASE(streams_alone_spread) {
    std::set<std::string> used;
    for (std::uint64_t own = 2; own < 400; own += 2) {
        used.insert(place(stream(own)));
    }
    BOOST_TEST(used.size() == ids.size());
}

BOOST_AUTO_TEST_CASE(long_prompts_meet_streams_where_there_is_no_other_room) {
    ids = {"e1"};
    run_at("e1", stream(100));
    BOOST_TEST(choose(long_prompt(1000)).index == 0U);
}

BOOST_AUTO_TEST_CASE(slow_engine_gets_the_streams_and_no_long_prompt) {
    for (const std::string& id : ids) {
        run_at(id, stream(100));
        events(id, id == "e2" ? 40 : 25);
    }
    for (std::uint64_t own = 1000; own < 1020; own += 2) {
        BOOST_TEST(ids[choose(long_prompt(own)).index] != "e2");
    }
}

BOOST_AUTO_TEST_CASE(prompt_kept_elsewhere_is_copied_and_not_read) {
    leave_at("e4", request(12'000, 50, 100, 101));
    const engine_request again = request(12'000, 50, 100, 200);
    const engine_choice choice = choose(again);
    if (ids[choice.index] == "e4") {
        BOOST_TEST(choice.copy_from.empty());
    } else {
        BOOST_TEST(choice.copy_from == "e4");
    }
    BOOST_TEST(choice.unread == 6000);
}

BOOST_AUTO_TEST_CASE(prompt_is_read_where_it_is_kept_if_engines_cannot_copy) {
    copies = false;
    leave_at("e4", request(12'000, 50, 100, 101));
    const engine_choice choice = choose(request(12'000, 50, 100, 200), now + seconds(10));
    BOOST_TEST(ids[choice.index] == "e4");
    BOOST_TEST(choice.copy_from.empty());
}

BOOST_AUTO_TEST_CASE(session_nobody_has_seen_goes_to_the_same_engine_from_every_entry) {
    engine_placer other;
    for (std::uint64_t session = 1; session < 40; ++session) {
        const engine_request asked = request(800, 100, session, session + 1000);
        BOOST_TEST(choose(asked).index == choose_with(other, asked).index);
    }
}

BOOST_AUTO_TEST_CASE(engines_that_read_are_left_to_the_one_that_does_not) {
    for (const char* id : {"e1", "e2", "e3", "e4", "e5"}) {
        placer.begin(now, service, id, long_prompt(100), 30'000, true);
    }
    BOOST_TEST(ids[choose(long_prompt(1000)).index] == "e6");
}

BOOST_AUTO_TEST_CASE(reading_times_are_not_learnt_where_other_requests_are_unknown) {
    const engine_request asked = request(3000, 50, 1, 2);
    const double before = choose(asked).price.first_event_ms;
    for (int turn = 0; turn < 50; ++turn) {
        const std::uint64_t run = placer.begin(now, service, "e1", asked, 3000, false);
        placer.first_event(now + seconds(2), "e1", run);
        placer.end(now + seconds(2), "e1", run);
    }
    BOOST_TEST(choose(request(3000, 50, 5, 6)).price.first_event_ms <= before);
}

BOOST_AUTO_TEST_CASE(engine_that_fails_its_requests_is_avoided) {
    std::vector<engine_candidate> candidates{{"e1", 64, 0.9}, {"e2", 64, 0.0}};
    for (std::uint64_t own = 2; own < 40; own += 2) {
        BOOST_TEST(placer.choose(now, service, candidates, {}, stream(own)).index == 1U);
    }
}

BOOST_AUTO_TEST_CASE(engine_that_owes_an_answer_is_avoided) {
    ids = {"e1", "e2"};
    placer.begin(now, service, "e1", stream(100), 800, true);
    for (std::uint64_t own = 1000; own < 1040; own += 2) {
        BOOST_TEST(ids[choose(stream(own), now + seconds(3)).index] == "e2");
    }
}

BOOST_AUTO_TEST_CASE(full_engine_is_avoided) {
    ids = {"e1", "e2"};
    for (int turn = 0; turn < 70; ++turn) {
        run_at("e1", request(100, 300, 7, 8));
    }
    for (std::uint64_t own = 1000; own < 1040; own += 2) {
        BOOST_TEST(ids[choose(request(100, 300, own, own + 1)).index] == "e2");
    }
}

BOOST_AUTO_TEST_CASE(engine_without_memory_left_is_avoided) {
    ids = {"e1", "e2"};
    for (std::uint64_t own = 100; own < 130; own += 2) {
        run_at("e1", request(14'000, 50, own, own + 1));
    }
    engine_request large = request(14'000, 50, 900, 901);
    large.longest_pause = {};
    large.first_event_aim = {};
    BOOST_TEST(ids[choose(large).index] == "e2");
}

BOOST_AUTO_TEST_SUITE_END()
