#include "wrenswitch/decision/gateway/target_pool.hpp"

#include <boost/test/unit_test.hpp>
#include <set>

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};

/// Three targets of a plain service in two failure domains, and four engines.
struct pool_fixture {
    random_source random{3};
    target_pool_settings settings;
    std::unique_ptr<target_pool> pool;

    pool_fixture() {
        settings.failure_domain = "d1";
        pool = std::make_unique<target_pool>(settings, random);
        pool->apply(target("p1", "plain", "d1"));
        pool->apply(target("p2", "plain", "d1"));
        pool->apply(target("p3", "plain", "d2"));
        for (const char* id : {"e1", "e2", "e3", "e4"}) {
            pool->apply(target(id, "engine", "d1"));
        }
    }

    static gateway_target target(const char* id, const char* service, const char* domain) {
        return {id, service, "127.0.0.1:1", domain, 6, false, {}};
    }

    std::string pick(const char* service = "plain", std::vector<std::string> tried = {},
                     instant at = now) {
        const target_choice choice = pool->pick(at, service, tried);
        return choice.target == nullptr ? "" : choice.target->id;
    }

    std::string pick_engine(const engine_request& request, instant at = now) {
        return choose(*pool, request, at).target->id;
    }

    static target_choice choose(target_pool& from, const engine_request& request,
                                instant at = now) {
        return from.pick_engine(
            at, "engine", request, {}, [](std::string_view) { return true; }, turn_owner::keeper);
    }

    void send_to(const char* id) { pool->sent(id); }

    static engine_request prompt(std::uint64_t session, std::uint64_t own) {
        engine_request request;
        request.shape = {3000, 100, 50, {{1, 1000}, {session, 1000}, {own, 1000}}};
        request.engine = {3, 200'000, 0.0};
        request.first_event_aim = milliseconds(600);
        return request;
    }

    static engine_request long_prompt() {
        engine_request request = prompt(0, 0);
        request.shape = {40'000, 100, 50, {{500, 20'000}, {501, 20'000}}};
        return request;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(target_pool_test, pool_fixture)

BOOST_AUTO_TEST_CASE(idle_targets_of_the_own_domain_are_preferred) {
    std::set<std::string> chosen;
    for (int turn = 0; turn < 100; ++turn) {
        chosen.insert(pick());
    }
    BOOST_TEST((chosen == std::set<std::string>{"p1", "p2"}));
}

BOOST_AUTO_TEST_CASE(target_whose_address_has_another_is_not_used) {
    gateway_target old = target("old", "other", "d1");
    gateway_target young = target("young", "other", "d1");
    old.address = young.address = "127.0.0.1:7";
    pool->apply(old, 3);
    BOOST_TEST(pick("other") == "old");
    pool->apply(young, 9);
    for (int turn = 0; turn < 20; ++turn) {
        BOOST_TEST(pick("other") == "young");
    }
    BOOST_TEST(pick("other", {"young"}).empty());
}

BOOST_AUTO_TEST_CASE(target_listed_last_is_used_in_whatever_order_the_list_comes) {
    gateway_target old = target("old", "other", "d1");
    gateway_target young = target("young", "other", "d1");
    old.address = young.address = "127.0.0.1:7";
    pool->apply(young, 9);
    pool->apply(old, 3);
    for (int turn = 0; turn < 20; ++turn) {
        BOOST_TEST(pick("other") == "young");
    }
}

BOOST_AUTO_TEST_CASE(busy_target_is_avoided) {
    for (int turn = 0; turn < 3; ++turn) {
        send_to("p1");
        send_to("p2");
    }
    BOOST_TEST(pick() == "p3");
}

BOOST_AUTO_TEST_CASE(reported_load_counts_only_while_fresh) {
    pool->reported(now, "p1", {6, 4, 6, false});
    pool->reported(now, "p2", {6, 4, 6, false});
    BOOST_TEST(pick() == "p3");
    BOOST_TEST(pick("plain", {}, now + settings.report_life + seconds(1)) != "p3");
}

BOOST_AUTO_TEST_CASE(leaving_target_gets_nothing) {
    gateway_target leaving = target("p1", "plain", "d1");
    leaving.leaving = true;
    pool->apply(leaving);
    for (int turn = 0; turn < 50; ++turn) {
        BOOST_TEST(pick() != "p1");
    }
}

BOOST_AUTO_TEST_CASE(unlisted_target_gets_nothing_while_others_are_listed) {
    pool->remove(now, "p1");
    for (int turn = 0; turn < 50; ++turn) {
        BOOST_TEST(pick() != "p1");
    }
}

BOOST_AUTO_TEST_CASE(unlisted_targets_are_used_when_the_list_lost_them_all) {
    for (const char* id : {"p1", "p2", "p3"}) {
        pool->remove(now, id);
    }
    BOOST_TEST(!pick().empty());
}

BOOST_AUTO_TEST_CASE(tried_targets_are_left_out) {
    BOOST_TEST(pick("plain", {"p1", "p2"}) == "p3");
    BOOST_TEST(pick("plain", {"p1", "p2", "p3"}).empty());
}

BOOST_AUTO_TEST_CASE(failed_target_rests_and_comes_back) {
    pool->failed(now, "p1");
    pool->failed(now, "p2");
    BOOST_TEST(pick() == "p3");
    std::set<std::string> later;
    for (int turn = 0; turn < 50; ++turn) {
        later.insert(pick("plain", {}, now + seconds(30)));
    }
    BOOST_TEST(later.contains("p1"));
}

BOOST_AUTO_TEST_CASE(all_failed_targets_are_still_offered) {
    for (const char* id : {"p1", "p2", "p3"}) {
        pool->failed(now, id);
    }
    BOOST_TEST(!pick().empty());
}

BOOST_AUTO_TEST_CASE(target_that_fails_its_requests_is_avoided) {
    for (int turn = 0; turn < 10; ++turn) {
        pool->answered(now, "p1", false);
    }
    for (int turn = 0; turn < 50; ++turn) {
        BOOST_TEST(pick() != "p1");
    }
}

BOOST_AUTO_TEST_CASE(old_failures_of_a_target_are_forgotten) {
    for (int turn = 0; turn < 10; ++turn) {
        pool->answered(now, "p1", false);
    }
    std::set<std::string> later;
    for (int turn = 0; turn < 50; ++turn) {
        later.insert(pick("plain", {}, now + seconds(60)));
    }
    BOOST_TEST(later.contains("p1"));
}

BOOST_AUTO_TEST_CASE(target_that_breaks_off_is_avoided_beyond_its_rest) {
    for (int turn = 0; turn < 4; ++turn) {
        pool->failed(now, "p1");
        pool->answered(now, "p1", true);
    }
    for (int turn = 0; turn < 50; ++turn) {
        BOOST_TEST(pick("plain", {}, now + milliseconds(1500)) != "p1");
    }
}

BOOST_AUTO_TEST_CASE(requests_of_one_session_meet_at_one_engine) {
    const std::string first = pick_engine(prompt(77, 1));
    for (std::uint64_t own = 2; own < 30; ++own) {
        BOOST_TEST(pick_engine(prompt(77, own)) == first);
    }
}

BOOST_AUTO_TEST_CASE(sessions_spread_over_engines) {
    std::set<std::string> chosen;
    for (std::uint64_t session = 10; session < 60; ++session) {
        chosen.insert(pick_engine(prompt(session, session + 1000)));
    }
    BOOST_TEST(chosen.size() == 4U);
}

BOOST_AUTO_TEST_CASE(two_entries_choose_the_same_engine_without_talking) {
    random_source other_random(99);
    target_pool other(settings, other_random);
    for (const char* id : {"e4", "e2", "e1", "e3"}) {
        other.apply(target(id, "engine", "d1"));
    }
    for (std::uint64_t session = 10; session < 40; ++session) {
        const engine_request asked = prompt(session, 5);
        const target_choice chosen = choose(other, asked);
        BOOST_TEST(chosen.target->id == pick_engine(prompt(session, 6)));
    }
}

BOOST_AUTO_TEST_CASE(engine_with_a_long_prompt_to_read_is_avoided) {
    const std::string home = pick_engine(prompt(77, 1));
    const engine_request asked = long_prompt();
    pool->begin_run(now, home, asked, asked.shape.prompt, true);
    BOOST_TEST(pick_engine(prompt(77, 2)) != home);
}

BOOST_AUTO_TEST_CASE(read_prompt_no_longer_counts) {
    const std::string home = pick_engine(prompt(77, 1));
    const engine_request asked = long_prompt();
    const std::uint64_t run = pool->begin_run(now, home, asked, asked.shape.prompt, true);
    pool->first_event(now, home, run);
    pool->end_run(now, home, run);
    BOOST_TEST(pick_engine(prompt(77, 2)) == home);
}

BOOST_AUTO_TEST_CASE(engine_copies_from_one_that_leaves) {
    engine_request asked = prompt(77, 1);
    asked.engine.copy_ms_per_token = 0.002;
    const std::string home = pick_engine(asked);
    pool->end_run(now, home, pool->begin_run(now, home, asked, asked.shape.prompt, true));
    gateway_target leaving = target(home.c_str(), "engine", "d1");
    leaving.leaving = true;
    pool->apply(leaving);
    engine_request next = prompt(77, 2);
    next.engine.copy_ms_per_token = 0.002;
    const target_choice choice = choose(*pool, next);
    BOOST_TEST(choice.target->id != home);
    BOOST_REQUIRE(choice.copy_from != nullptr);
    BOOST_TEST(choice.copy_from->id == home);
}

BOOST_AUTO_TEST_CASE(source_that_the_keeper_did_not_know_is_named_for_the_copy) {
    engine_request first = prompt(77, 1);
    first.engine.copy_ms_per_token = 0.002;
    pool->begin_run(now, "e1", first, first.shape.prompt, false);
    engine_request next = prompt(77, 2);
    next.engine.copy_ms_per_token = 0.002;
    target_choice choice;
    choice.target = pool->find("e2");
    choice.unread = next.shape.prompt;
    pool->improve_source(now, next, choice);
    BOOST_REQUIRE(choice.copy_from != nullptr);
    BOOST_TEST(choice.copy_from->id == "e1");
    BOOST_TEST(choice.unread == 1000);
}

BOOST_AUTO_TEST_CASE(source_is_left_as_it_is_if_little_would_be_gained) {
    engine_request first = prompt(77, 1);
    first.engine.copy_ms_per_token = 0.002;
    pool->begin_run(now, "e1", first, first.shape.prompt, false);
    target_choice choice;
    choice.target = pool->find("e2");
    // The engine will have the shared parts; the last one is the request's own.
    choice.unread = 1000;
    pool->improve_source(now, first, choice);
    BOOST_TEST((choice.copy_from == nullptr));
    // Engines that can't copy read.
    engine_request reads = prompt(77, 2);
    choice.unread = reads.shape.prompt;
    pool->improve_source(now, reads, choice);
    BOOST_TEST((choice.copy_from == nullptr));
}

BOOST_AUTO_TEST_CASE(only_engines_that_pass_the_filter_are_chosen) {
    for (std::uint64_t session = 10; session < 40; ++session) {
        const target_choice choice = pool->pick_engine(
            now, "engine", prompt(session, 1), {}, [](std::string_view id) { return id == "e3"; },
            turn_owner::keeper);
        BOOST_TEST(choice.target->id == "e3");
    }
    BOOST_TEST((pool->pick_engine(
                        now, "engine", prompt(1, 1), {}, [](std::string_view) { return false; },
                        turn_owner::keeper)
                    .target == nullptr));
}

BOOST_AUTO_TEST_CASE(prompts_without_a_session_meet_at_any_engine) {
    engine_request lone = prompt(1, 1);
    lone.shape.parts.clear();
    std::set<std::string_view> met;
    for (int turn = 0; turn < 100; ++turn) {
        met.insert(pool->meeting_engine(now, "engine", lone, {}));
    }
    BOOST_TEST(met.size() == 4U);
}

BOOST_AUTO_TEST_CASE(session_meets_at_the_engine_that_is_chosen_while_all_are_idle) {
    for (std::uint64_t session = 10; session < 40; ++session) {
        const engine_request asked = prompt(session, 5);
        BOOST_TEST(pool->meeting_engine(now, "engine", asked, {}) == pick_engine(asked));
    }
    BOOST_TEST(pool->meeting_engine(now, "unknown", prompt(1, 2), {}).empty());
}

BOOST_AUTO_TEST_CASE(leaving_unlisted_or_foreign_target_is_not_usable) {
    BOOST_TEST(pool->usable("e1", "engine"));
    BOOST_TEST(!pool->usable("e1", "plain"));
    BOOST_TEST(!pool->usable("unknown", "engine"));
    pool->remove(now, "e1");
    BOOST_TEST(!pool->usable("e1", "engine"));
    gateway_target leaving = target("e2", "engine", "d1");
    leaving.leaving = true;
    pool->apply(leaving);
    BOOST_TEST(!pool->usable("e2", "engine"));
}

BOOST_AUTO_TEST_CASE(silent_target_gets_only_requests_that_may_be_repeated) {
    pool->silent(now, "p1");
    const instant later = now + seconds(1);
    for (int turn = 0; turn < 50; ++turn) {
        BOOST_TEST(pick("plain", {}, later) != "p1");
    }
    BOOST_TEST(pool->pick(later, "plain", {}, {}, true).target->id == "p1");
    // One at a time: while it is out, the next goes elsewhere.
    send_to("p1");
    BOOST_TEST(pool->pick(later, "plain", {}, {}, true).target->id != "p1");
    pool->finished("p1");
    pool->answered(later, "p1", true);
    std::set<std::string> chosen;
    for (int turn = 0; turn < 100; ++turn) {
        chosen.insert(pick("plain", {}, later + seconds(30)));
    }
    BOOST_TEST(chosen.contains("p1"));
}

BOOST_AUTO_TEST_CASE(silent_targets_are_used_if_all_are_silent) {
    for (const char* id : {"p1", "p2", "p3"}) {
        pool->silent(now, id);
    }
    BOOST_TEST(!pick().empty());
    BOOST_TEST(!pick("plain", {}, now + seconds(1)).empty());
}

BOOST_AUTO_TEST_CASE(emptied_domain_gets_nothing_until_it_is_back) {
    BOOST_TEST(pool->set_emptied(now, "d1", true));
    BOOST_TEST(!pool->set_emptied(now, "d1", true));
    for (int turn = 0; turn < 50; ++turn) {
        BOOST_TEST(pick() == "p3");
    }
    BOOST_TEST((choose(*pool, prompt(7, 8)).target == nullptr));
    BOOST_TEST(pool->meeting_engine(now, "engine", prompt(7, 8), {}).empty());
    BOOST_TEST(!pool->usable("e1", "engine"));
    BOOST_TEST(pool->set_emptied(now, "d1", false));
    BOOST_TEST(!pool->set_emptied(now, "d1", false));
    BOOST_TEST((choose(*pool, prompt(7, 8)).target != nullptr));
}

BOOST_AUTO_TEST_CASE(emptied_domain_binds_targets_that_are_listed_later_or_lost_by_the_list) {
    pool->set_emptied(now, "d3", true);
    pool->apply(target("e9", "late", "d3"));
    BOOST_TEST(pick("late").empty());
    pool->remove(now, "e9");
    BOOST_TEST(pick("late").empty());
}

BOOST_AUTO_TEST_CASE(two_domains_are_emptied_and_back_each_by_itself) {
    pool->set_emptied(now, "d1", true);
    pool->set_emptied(now, "d2", true);
    BOOST_TEST(pick().empty());
    pool->set_emptied(now, "d2", false);
    BOOST_TEST(pick() == "p3");
    BOOST_TEST(pool->is_emptied("d1"));
}

BOOST_AUTO_TEST_CASE(engines_of_a_domain_that_is_back_count_as_cold) {
    pool->set_warmup(now, "engine", {seconds(3), 10.0});
    pool->set_emptied(now, "d1", true);
    pool->set_emptied(now, "d1", false);
    // Four engines with nine turns a second each, of which none is there at once. What
    // doesn't get one within its aim of 600 ms is refused.
    std::map<std::string, std::vector<instant>> sent;
    unsigned refused = 0;
    for (int ms = 0; ms < 1000; ms += 5) {
        const instant at = now + milliseconds(ms);
        const target_choice choice = choose(*pool, prompt(7, 8), at);
        refused += choice.all_cold ? 1 : 0;
        if (choice.target != nullptr) {
            BOOST_TEST((choice.wait <= milliseconds(600)));
            sent[choice.target->id].push_back(at + choice.wait);
        }
    }
    BOOST_TEST(refused > 100U);
    BOOST_TEST(sent.size() == 4U);
    for (const auto& [engine, times] : sent) {
        BOOST_TEST((times.front() >= now + microseconds(111'111)));
        for (std::size_t at = 1; at < times.size(); ++at) {
            BOOST_TEST((times[at] - times[at - 1] >= microseconds(111'111)));
        }
    }
    BOOST_TEST((choose(*pool, prompt(7, 8), now + seconds(3)).wait == microseconds(0)));
}

BOOST_AUTO_TEST_CASE(new_keeper_does_not_give_turns_that_its_predecessor_gave) {
    pool->set_warmup(now, "engine", {seconds(3), 10.0});
    pool->note_cold(now, "e1", seconds(3));
    pool->hold_back_turns(now + seconds(1));
    engine_request only = prompt(7, 8);
    const target_choice choice = pool->pick_engine(
        now + seconds(1), "engine", only, {}, [](std::string_view id) { return id == "e1"; },
        turn_owner::keeper);
    BOOST_TEST((choice.wait == microseconds(111'111)));
}

BOOST_AUTO_TEST_CASE(cold_engine_leaves_its_surplus_to_warm_ones) {
    pool->set_warmup(now, "engine", {seconds(3), 10.0});
    pool->note_cold(now, "e1", seconds(3));
    unsigned cold = 0;
    for (std::uint64_t turn = 0; turn < 200; ++turn) {
        const instant at = now + milliseconds(5 * turn);
        cold += pick_engine(prompt(100 + turn, turn), at) == "e1" ? 1 : 0;
    }
    BOOST_TEST(cold <= 12U);
}

BOOST_AUTO_TEST_CASE(entries_that_choose_alone_share_what_a_cold_target_bears) {
    // 26 entries that all know of it at the same moment and press on for three seconds.
    std::map<int, unsigned> by_second;
    for (std::uint64_t entry = 0; entry < 26; ++entry) {
        random_source own(entry + 1);
        target_pool_settings shared;
        shared.entries = [] { return 26U; };
        target_pool alone(shared, own);
        alone.apply(target("c1", "cold", "d1"));
        alone.set_warmup(now, "cold", {seconds(3), 9.6});
        alone.note_cold(now, "c1", seconds(3));
        for (int ms = 0; ms < 3000; ms += 5) {
            const target_choice choice = alone.pick(now + milliseconds(ms), "cold", {});
            if (choice.target != nullptr) {
                by_second[static_cast<int>(as_seconds(milliseconds(ms) + choice.wait))] += 1;
            }
        }
    }
    by_second.erase(3);
    for (const auto& [second, arrivals] : by_second) {
        BOOST_TEST(arrivals >= 1U);
        BOOST_TEST(arrivals <= 14U);
    }
}

BOOST_AUTO_TEST_CASE(entries_that_can_not_ask_a_keeper_share_a_small_part_of_the_rate) {
    // Of 9.6 a second 0.15 are theirs, 1.4 a second for all 26 together.
    unsigned sent = 0;
    for (std::uint64_t entry = 0; entry < 26; ++entry) {
        random_source own(entry + 1);
        target_pool_settings shared;
        shared.entries = [] { return 26U; };
        target_pool alone(shared, own);
        alone.apply(target("c1", "engine", "d1"));
        alone.set_warmup(now, "engine", {seconds(3), 9.6});
        alone.note_cold(now, "c1", seconds(3));
        for (int ms = 0; ms < 2400; ms += 5) {
            const target_choice choice = alone.pick_engine(
                now + milliseconds(ms), "engine", prompt(7, 8), {},
                [](std::string_view) { return true; }, turn_owner::stand_in);
            sent += choice.target != nullptr ? 1 : 0;
        }
    }
    BOOST_TEST(sent <= 12U);
}

BOOST_AUTO_TEST_CASE(cold_target_that_is_known_before_its_bound_gives_no_turn_at_once) {
    unsigned sent = 0;
    for (std::uint64_t entry = 0; entry < 26; ++entry) {
        random_source own(entry + 1);
        target_pool_settings shared;
        shared.entries = [] { return 26U; };
        target_pool starting(shared, own);
        starting.apply(target("c1", "cold", "d1"));
        starting.note_cold(now, "c1", seconds(3));
        starting.set_warmup(now, "cold", {seconds(3), 9.6});
        const target_choice choice = starting.pick(now, "cold", {});
        sent += choice.target != nullptr && choice.wait < milliseconds(100) ? 1 : 0;
    }
    BOOST_TEST(sent <= 5U);
}

BOOST_AUTO_TEST_CASE(entries_that_do_not_know_each_other_yet_send_nothing_to_a_cold_target) {
    // 26 entries that start together, know of a cold target at once and of each other after 200 ms.
    std::map<int, unsigned> by_second;
    for (std::uint64_t entry = 0; entry < 26; ++entry) {
        random_source own(entry + 1);
        std::size_t known = 0;
        target_pool_settings shared;
        shared.entries = [&known] { return known; };
        target_pool starting(shared, own);
        starting.apply(target("c1", "cold", "d1"));
        starting.set_warmup(now, "cold", {seconds(3), 9.6});
        starting.note_cold(now, "c1", seconds(3));
        for (int ms = 0; ms < 3000; ms += 5) {
            known = ms < 200 ? 0 : 26;
            const instant at = now + milliseconds(ms);
            starting.count_entries(at);
            const target_choice choice = starting.pick(at, "cold", {});
            BOOST_TEST((choice.target == nullptr || known > 0));
            BOOST_TEST((choice.target != nullptr || choice.all_cold));
            if (choice.target != nullptr) {
                by_second[static_cast<int>(as_seconds(milliseconds(ms) + choice.wait))] += 1;
            }
        }
    }
    by_second.erase(3);
    for (const auto& [second, arrivals] : by_second) {
        BOOST_TEST(arrivals <= 14U);
    }
}

BOOST_AUTO_TEST_CASE(directory_that_is_found_empty_gives_no_entry_more_of_a_cold_target) {
    // 26 entries that know of nobody from the second second on. Each has a turn in 3.4 s, and waits
    // end where the target is warm.
    unsigned sent = 0;
    for (std::uint64_t entry = 0; entry < 26; ++entry) {
        random_source own(entry + 1);
        std::size_t known = 26;
        target_pool_settings shared;
        shared.entries = [&known] { return known; };
        target_pool forgetful(shared, own);
        forgetful.apply(target("c1", "cold", "d1"));
        forgetful.set_warmup(now, "cold", {seconds(3), 9.6});
        forgetful.note_cold(now, "c1", seconds(3));
        for (int ms = 0; ms < 2600; ms += 5) {
            known = ms < 1000 ? 26 : 0;
            const instant at = now + milliseconds(ms);
            forgetful.count_entries(at);
            sent += forgetful.pick(at, "cold", {}).target != nullptr ? 1 : 0;
        }
    }
    BOOST_TEST(sent >= 10U);
    BOOST_TEST(sent <= 26U);
}

BOOST_AUTO_TEST_CASE(service_without_a_bound_has_no_cold_targets) {
    pool->note_cold(now, "p3", seconds(3));
    for (int turn = 0; turn < 20; ++turn) {
        BOOST_TEST(pick("plain", {"p1", "p2"}) == "p3");
    }
}

BOOST_AUTO_TEST_CASE(unlisted_idle_target_is_forgotten_after_a_while) {
    pool->remove(now, "p1");
    BOOST_TEST(pool->take_forgotten(now).empty());
    BOOST_TEST(pool->take_forgotten(now + seconds(60)).size() == 1U);
    BOOST_TEST(pool->find("p1") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
