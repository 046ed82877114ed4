#include "wrenswitch/decision/gateway/target_pool.hpp"

#include <boost/test/unit_test.hpp>
#include <set>

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};

/// A pool with three targets of a plain service in two failure domains, and four engines.
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
            at, "engine", request, {}, [](std::string_view) { return true; },
            permit_share::coordinator);
    }

    void send_to(const char* id) { pool->on_sent(id); }

    static engine_request prompt(std::uint64_t session, std::uint64_t own) {
        engine_request request;
        request.prompt = {3000, 100, 50, {{1, 1000}, {session, 1000}, {own, 1000}}};
        request.engine = {3, 200'000, 0.0};
        request.first_event_objective = milliseconds(600);
        return request;
    }

    static engine_request long_prompt() {
        engine_request request = prompt(0, 0);
        request.prompt = {40'000, 100, 50, {{500, 20'000}, {501, 20'000}}};
        return request;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(target_pool_test, pool_fixture)

BOOST_AUTO_TEST_CASE(idle_targets_of_the_own_domain_are_preferred) {
    std::set<std::string> chosen;
    for (int attempt = 0; attempt < 100; ++attempt) {
        chosen.insert(pick());
    }
    BOOST_TEST((chosen == std::set<std::string>{"p1", "p2"}));
}

BOOST_AUTO_TEST_CASE(target_whose_address_was_taken_over_is_not_used) {
    gateway_target older = target("old", "other", "d1");
    gateway_target newer = target("young", "other", "d1");
    older.address = newer.address = "127.0.0.1:7";
    pool->apply(older, 3);
    BOOST_TEST(pick("other") == "old");
    pool->apply(newer, 9);
    for (int attempt = 0; attempt < 20; ++attempt) {
        BOOST_TEST(pick("other") == "young");
    }
    BOOST_TEST(pick("other", {"young"}).empty());
}

/// Each target renews its entry every few seconds at every gateway. If a renewal looks at all
/// targets, the work grows with their square.
BOOST_AUTO_TEST_CASE(renewal_of_a_target_costs_little_more_among_many) {
    const auto shortest_renewal = [this](int count) {
        target_pool many({}, random);
        std::vector<gateway_target> targets;
        for (int number = 0; number < count; ++number) {
            gateway_target each;
            each.id = "t" + std::to_string(number);
            each.service = "s";
            each.address = "127.0.0.1:" + std::to_string(number);
            targets.push_back(each);
            many.apply(each, static_cast<std::uint64_t>(number));
        }
        constexpr int renewals = 2000;
        auto shortest = std::chrono::steady_clock::duration::max();
        for (int round = 0; round < 5; ++round) {
            const auto began = std::chrono::steady_clock::now();
            for (int number = 0; number < renewals; ++number) {
                many.apply(targets[static_cast<std::size_t>(number % count)],
                           static_cast<std::uint64_t>(count + number));
            }
            shortest = std::min(shortest, std::chrono::steady_clock::now() - began);
        }
        return shortest;
    };
    BOOST_TEST((shortest_renewal(3200) < 10 * shortest_renewal(50)));
}

BOOST_AUTO_TEST_CASE(latest_target_at_address_is_used_in_any_order_of_records) {
    gateway_target older = target("old", "other", "d1");
    gateway_target newer = target("young", "other", "d1");
    older.address = newer.address = "127.0.0.1:7";
    pool->apply(newer, 9);
    pool->apply(older, 3);
    for (int attempt = 0; attempt < 20; ++attempt) {
        BOOST_TEST(pick("other") == "young");
    }
}

BOOST_AUTO_TEST_CASE(busy_target_is_avoided) {
    for (int attempt = 0; attempt < 3; ++attempt) {
        send_to("p1");
        send_to("p2");
    }
    BOOST_TEST(pick() == "p3");
}

BOOST_AUTO_TEST_CASE(reported_load_counts_only_while_fresh) {
    pool->on_load_report(now, "p1", {6, 4, 6, false});
    pool->on_load_report(now, "p2", {6, 4, 6, false});
    BOOST_TEST(pick() == "p3");
    BOOST_TEST(pick("plain", {}, now + settings.report_lifetime + seconds(1)) != "p3");
}

BOOST_AUTO_TEST_CASE(draining_target_gets_no_requests) {
    gateway_target draining = target("p1", "plain", "d1");
    draining.draining = true;
    pool->apply(draining);
    for (int attempt = 0; attempt < 50; ++attempt) {
        BOOST_TEST(pick() != "p1");
    }
}

BOOST_AUTO_TEST_CASE(unlisted_target_gets_no_requests_while_others_are_listed) {
    pool->remove(now, "p1");
    for (int attempt = 0; attempt < 50; ++attempt) {
        BOOST_TEST(pick() != "p1");
    }
}

BOOST_AUTO_TEST_CASE(unlisted_targets_are_used_when_the_list_lost_them_all) {
    for (const char* id : {"p1", "p2", "p3"}) {
        pool->remove(now, id);
    }
    BOOST_TEST(!pick().empty());
}

/// A target that had left the list was used for as long as it was remembered.
BOOST_AUTO_TEST_CASE(unlisted_target_is_not_used_for_longer_than_it_takes_requests) {
    for (const char* id : {"p1", "p2", "p3"}) {
        pool->remove(now, id);
    }
    const instant last = now + settings.unlisted_use - microseconds(1);
    BOOST_TEST(!pick("plain", {}, last).empty());
    BOOST_TEST(pool->has_untried(last, "plain", {}, {}));
    const instant gone = now + settings.unlisted_use;
    BOOST_TEST(pick("plain", {}, gone).empty());
    BOOST_TEST(!pool->has_untried(gone, "plain", {}, {}));
    pool->apply(target("p2", "plain", "d1"));
    BOOST_TEST(pick("plain", {}, gone) == "p2");
}

BOOST_AUTO_TEST_CASE(unlisted_engine_is_not_chosen_for_longer_than_it_takes_requests) {
    for (const char* id : {"e1", "e2", "e3", "e4"}) {
        pool->remove(now, id);
    }
    const instant gone = now + settings.unlisted_use;
    BOOST_TEST((choose(*pool, prompt(1, 2)).target != nullptr));
    BOOST_TEST((choose(*pool, prompt(1, 2), gone).target == nullptr));
    BOOST_TEST(pool->rendezvous_engine(gone, "engine", prompt(1, 2), {}).empty());
}

BOOST_AUTO_TEST_CASE(target_that_a_restored_list_lost_is_not_used_at_all) {
    for (const char* id : {"p1", "p2", "p3"}) {
        pool->remove_lost(now, id);
    }
    BOOST_TEST(pick().empty());
}

BOOST_AUTO_TEST_CASE(tried_targets_are_skipped) {
    BOOST_TEST(pick("plain", {"p1", "p2"}) == "p3");
    BOOST_TEST(pick("plain", {"p1", "p2", "p3"}).empty());
}

BOOST_AUTO_TEST_CASE(failed_target_is_ejected_and_returns) {
    pool->on_failure(now, "p1");
    pool->on_failure(now, "p2");
    BOOST_TEST(pick() == "p3");
    std::set<std::string> later;
    for (int attempt = 0; attempt < 50; ++attempt) {
        later.insert(pick("plain", {}, now + seconds(30)));
    }
    BOOST_TEST(later.contains("p1"));
}

BOOST_AUTO_TEST_CASE(all_failed_targets_are_still_offered) {
    for (const char* id : {"p1", "p2", "p3"}) {
        pool->on_failure(now, id);
    }
    BOOST_TEST(!pick().empty());
}

BOOST_AUTO_TEST_CASE(target_that_fails_its_requests_is_avoided) {
    for (int attempt = 0; attempt < 10; ++attempt) {
        pool->on_response(now, "p1", false);
    }
    for (int attempt = 0; attempt < 50; ++attempt) {
        BOOST_TEST(pick() != "p1");
    }
}

BOOST_AUTO_TEST_CASE(old_failures_of_a_target_are_forgotten) {
    for (int attempt = 0; attempt < 10; ++attempt) {
        pool->on_response(now, "p1", false);
    }
    std::set<std::string> later;
    for (int attempt = 0; attempt < 50; ++attempt) {
        later.insert(pick("plain", {}, now + seconds(60)));
    }
    BOOST_TEST(later.contains("p1"));
}

BOOST_AUTO_TEST_CASE(target_that_fails_repeatedly_is_avoided_beyond_its_ejection) {
    for (int attempt = 0; attempt < 4; ++attempt) {
        pool->on_failure(now, "p1");
        pool->on_response(now, "p1", true);
    }
    for (int attempt = 0; attempt < 50; ++attempt) {
        BOOST_TEST(pick("plain", {}, now + milliseconds(1500)) != "p1");
    }
}

BOOST_AUTO_TEST_CASE(requests_of_one_session_use_the_same_engine) {
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

BOOST_AUTO_TEST_CASE(two_gateways_choose_the_same_engine_without_communication) {
    random_source other_random(99);
    target_pool other(settings, other_random);
    for (const char* id : {"e4", "e2", "e1", "e3"}) {
        other.apply(target(id, "engine", "d1"));
    }
    for (std::uint64_t session = 10; session < 40; ++session) {
        const engine_request request = prompt(session, 5);
        const target_choice chosen = choose(other, request);
        BOOST_TEST(chosen.target->id == pick_engine(prompt(session, 6)));
    }
}

BOOST_AUTO_TEST_CASE(engine_that_processes_long_prompt_is_avoided) {
    const std::string home = pick_engine(prompt(77, 1));
    const engine_request request = long_prompt();
    pool->begin_attempt(now, home, request, request.prompt.prompt_tokens, true);
    BOOST_TEST(pick_engine(prompt(77, 2)) != home);
}

BOOST_AUTO_TEST_CASE(processed_prompt_no_longer_counts_as_load) {
    const std::string home = pick_engine(prompt(77, 1));
    const engine_request request = long_prompt();
    const std::uint64_t attempt_number =
        pool->begin_attempt(now, home, request, request.prompt.prompt_tokens, true);
    pool->record_first_event(now, home, attempt_number);
    pool->end_attempt(now, home, attempt_number);
    BOOST_TEST(pick_engine(prompt(77, 2)) == home);
}

BOOST_AUTO_TEST_CASE(engine_copies_from_draining_engine) {
    engine_request request = prompt(77, 1);
    request.engine.copy_ms_per_token = 0.002;
    const std::string home = pick_engine(request);
    pool->end_attempt(now, home,
                      pool->begin_attempt(now, home, request, request.prompt.prompt_tokens, true));
    gateway_target draining = target(home.c_str(), "engine", "d1");
    draining.draining = true;
    pool->apply(draining);
    engine_request next = prompt(77, 2);
    next.engine.copy_ms_per_token = 0.002;
    const target_choice choice = choose(*pool, next);
    BOOST_TEST(choice.target->id != home);
    BOOST_REQUIRE(choice.copy_from != nullptr);
    BOOST_TEST(choice.copy_from->id == home);
}

BOOST_AUTO_TEST_CASE(copy_source_known_only_to_this_gateway_is_used) {
    engine_request first = prompt(77, 1);
    first.engine.copy_ms_per_token = 0.002;
    pool->begin_attempt(now, "e1", first, first.prompt.prompt_tokens, false);
    engine_request next = prompt(77, 2);
    next.engine.copy_ms_per_token = 0.002;
    target_choice choice;
    choice.target = pool->find("e2");
    choice.uncached_tokens = next.prompt.prompt_tokens;
    pool->improve_copy_source(now, next, choice);
    BOOST_REQUIRE(choice.copy_from != nullptr);
    BOOST_TEST(choice.copy_from->id == "e1");
    BOOST_TEST(choice.uncached_tokens == 1000);
}

BOOST_AUTO_TEST_CASE(copy_source_is_unchanged_if_little_would_be_gained) {
    engine_request first = prompt(77, 1);
    first.engine.copy_ms_per_token = 0.002;
    pool->begin_attempt(now, "e1", first, first.prompt.prompt_tokens, false);
    target_choice choice;
    choice.target = pool->find("e2");
    // The engine will have the shared parts cached; only the last part, which is unique to the
    // request, is missing.
    choice.uncached_tokens = 1000;
    pool->improve_copy_source(now, first, choice);
    BOOST_TEST((choice.copy_from == nullptr));
    // Engines that can't copy process the prompt themselves.
    engine_request without_copying = prompt(77, 2);
    choice.uncached_tokens = without_copying.prompt.prompt_tokens;
    pool->improve_copy_source(now, without_copying, choice);
    BOOST_TEST((choice.copy_from == nullptr));
}

BOOST_AUTO_TEST_CASE(only_engines_that_pass_the_filter_are_chosen) {
    for (std::uint64_t session = 10; session < 40; ++session) {
        const target_choice choice = pool->pick_engine(
            now, "engine", prompt(session, 1), {}, [](std::string_view id) { return id == "e3"; },
            permit_share::coordinator);
        BOOST_TEST(choice.target->id == "e3");
    }
    BOOST_TEST((pool->pick_engine(
                        now, "engine", prompt(1, 1), {}, [](std::string_view) { return false; },
                        permit_share::coordinator)
                    .target == nullptr));
}

BOOST_AUTO_TEST_CASE(prompts_without_session_use_any_rendezvous_engine) {
    engine_request without_session = prompt(1, 1);
    without_session.prompt.parts.clear();
    std::set<std::string_view> found;
    for (int attempt = 0; attempt < 100; ++attempt) {
        found.insert(pool->rendezvous_engine(now, "engine", without_session, {}));
    }
    BOOST_TEST(found.size() == 4U);
}

BOOST_AUTO_TEST_CASE(rendezvous_engine_of_session_is_the_chosen_one_while_all_are_idle) {
    for (std::uint64_t session = 10; session < 40; ++session) {
        const engine_request request = prompt(session, 5);
        BOOST_TEST(pool->rendezvous_engine(now, "engine", request, {}) == pick_engine(request));
    }
    BOOST_TEST(pool->rendezvous_engine(now, "unknown", prompt(1, 2), {}).empty());
}

BOOST_AUTO_TEST_CASE(draining_unlisted_or_foreign_target_is_not_usable) {
    BOOST_TEST(pool->is_usable(now, "e1", "engine"));
    BOOST_TEST(!pool->is_usable(now, "e1", "plain"));
    BOOST_TEST(!pool->is_usable(now, "unknown", "engine"));
    pool->remove(now, "e1");
    BOOST_TEST(!pool->is_usable(now, "e1", "engine"));
    gateway_target draining = target("e2", "engine", "d1");
    draining.draining = true;
    pool->apply(draining);
    BOOST_TEST(!pool->is_usable(now, "e2", "engine"));
}

BOOST_AUTO_TEST_CASE(unresponsive_target_gets_only_repeatable_requests) {
    pool->on_unresponsive(now, "p1");
    const instant later = now + seconds(1);
    for (int attempt = 0; attempt < 50; ++attempt) {
        BOOST_TEST(pick("plain", {}, later) != "p1");
    }
    BOOST_TEST(pool->pick(later, "plain", {}, {}, true).target->id == "p1");
    // Only one probe at a time: while it is in flight, the next request goes elsewhere.
    send_to("p1");
    BOOST_TEST(pool->pick(later, "plain", {}, {}, true).target->id != "p1");
    pool->on_finished("p1");
    pool->on_response(later, "p1", true);
    std::set<std::string> chosen;
    for (int attempt = 0; attempt < 100; ++attempt) {
        chosen.insert(pick("plain", {}, later + seconds(30)));
    }
    BOOST_TEST(chosen.contains("p1"));
}

BOOST_AUTO_TEST_CASE(unresponsive_targets_are_used_if_all_are_unresponsive) {
    for (const char* id : {"p1", "p2", "p3"}) {
        pool->on_unresponsive(now, id);
    }
    BOOST_TEST(!pick().empty());
    BOOST_TEST(!pick("plain", {}, now + seconds(1)).empty());
}

BOOST_AUTO_TEST_CASE(evacuated_domain_gets_no_requests_until_evacuation_ends) {
    BOOST_TEST(pool->set_evacuated(now, "d1", true));
    BOOST_TEST(!pool->set_evacuated(now, "d1", true));
    for (int attempt = 0; attempt < 50; ++attempt) {
        BOOST_TEST(pick() == "p3");
    }
    BOOST_TEST((choose(*pool, prompt(7, 8)).target == nullptr));
    BOOST_TEST(pool->rendezvous_engine(now, "engine", prompt(7, 8), {}).empty());
    BOOST_TEST(!pool->is_usable(now, "e1", "engine"));
    BOOST_TEST(pool->set_evacuated(now, "d1", false));
    BOOST_TEST(!pool->set_evacuated(now, "d1", false));
    BOOST_TEST((choose(*pool, prompt(7, 8)).target != nullptr));
}

BOOST_AUTO_TEST_CASE(evacuation_applies_to_targets_listed_later_and_to_unlisted_ones) {
    pool->set_evacuated(now, "d3", true);
    pool->apply(target("e9", "late", "d3"));
    BOOST_TEST(pick("late").empty());
    pool->remove(now, "e9");
    BOOST_TEST(pick("late").empty());
}

BOOST_AUTO_TEST_CASE(two_domains_are_evacuated_and_restored_independently) {
    pool->set_evacuated(now, "d1", true);
    pool->set_evacuated(now, "d2", true);
    BOOST_TEST(pick().empty());
    pool->set_evacuated(now, "d2", false);
    BOOST_TEST(pick() == "p3");
    BOOST_TEST(pool->is_evacuated("d1"));
}

BOOST_AUTO_TEST_CASE(engines_count_as_cold_after_evacuation_ends) {
    pool->set_warmup(now, "engine", {seconds(3), 10.0});
    pool->set_evacuated(now, "d1", true);
    pool->set_evacuated(now, "d1", false);
    // Four engines with nine permits a second each, none of which is available at once. A request
    // that gets none within its objective of 600 ms is refused.
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
        for (std::size_t index = 1; index < times.size(); ++index) {
            BOOST_TEST((times[index] - times[index - 1] >= microseconds(111'111)));
        }
    }
    BOOST_TEST((choose(*pool, prompt(7, 8), now + seconds(3)).wait == microseconds(0)));
}

BOOST_AUTO_TEST_CASE(new_coordinator_does_not_issue_permits_of_its_predecessor) {
    pool->set_warmup(now, "engine", {seconds(3), 10.0});
    pool->mark_cold(now, "e1", seconds(3));
    pool->defer_cold_permits(now + seconds(1));
    engine_request request = prompt(7, 8);
    const target_choice choice = pool->pick_engine(
        now + seconds(1), "engine", request, {}, [](std::string_view id) { return id == "e1"; },
        permit_share::coordinator);
    BOOST_TEST((choice.wait == microseconds(111'111)));
}

BOOST_AUTO_TEST_CASE(requests_beyond_the_rate_of_cold_engine_go_to_warm_ones) {
    pool->set_warmup(now, "engine", {seconds(3), 10.0});
    pool->mark_cold(now, "e1", seconds(3));
    unsigned sent_to_cold = 0;
    for (std::uint64_t attempt = 0; attempt < 200; ++attempt) {
        const instant at = now + milliseconds(5 * attempt);
        sent_to_cold += pick_engine(prompt(100 + attempt, attempt), at) == "e1" ? 1 : 0;
    }
    BOOST_TEST(sent_to_cold <= 12U);
}

BOOST_AUTO_TEST_CASE(gateways_that_choose_independently_share_rate_of_cold_target) {
    // 26 gateways learn of the cold target at the same moment and send requests for three seconds.
    std::map<int, unsigned> by_second;
    for (std::uint64_t gateway = 0; gateway < 26; ++gateway) {
        random_source own(gateway + 1);
        target_pool_settings shared;
        shared.gateway_count = [] { return 26U; };
        target_pool gateway_pool(shared, own);
        gateway_pool.apply(target("c1", "cold", "d1"));
        gateway_pool.set_warmup(now, "cold", {seconds(3), 9.6});
        gateway_pool.mark_cold(now, "c1", seconds(3));
        for (int ms = 0; ms < 3000; ms += 5) {
            const target_choice choice = gateway_pool.pick(now + milliseconds(ms), "cold", {});
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

BOOST_AUTO_TEST_CASE(gateways_that_can_not_reach_coordinator_share_small_part_of_the_rate) {
    // These gateways share 0.15 of a rate of 9.6 per second: 1.4 requests per second for all 26
    // together.
    unsigned sent = 0;
    for (std::uint64_t gateway = 0; gateway < 26; ++gateway) {
        random_source own(gateway + 1);
        target_pool_settings shared;
        shared.gateway_count = [] { return 26U; };
        target_pool gateway_pool(shared, own);
        gateway_pool.apply(target("c1", "engine", "d1"));
        gateway_pool.set_warmup(now, "engine", {seconds(3), 9.6});
        gateway_pool.mark_cold(now, "c1", seconds(3));
        for (int ms = 0; ms < 2400; ms += 5) {
            const target_choice choice = gateway_pool.pick_engine(
                now + milliseconds(ms), "engine", prompt(7, 8), {},
                [](std::string_view) { return true; }, permit_share::fallback);
            sent += choice.target != nullptr ? 1 : 0;
        }
    }
    BOOST_TEST(sent <= 12U);
}

BOOST_AUTO_TEST_CASE(cold_target_known_before_its_warmup_rate_gives_no_immediate_permit) {
    unsigned sent = 0;
    for (std::uint64_t gateway = 0; gateway < 26; ++gateway) {
        random_source own(gateway + 1);
        target_pool_settings shared;
        shared.gateway_count = [] { return 26U; };
        target_pool gateway_pool(shared, own);
        gateway_pool.apply(target("c1", "cold", "d1"));
        gateway_pool.mark_cold(now, "c1", seconds(3));
        gateway_pool.set_warmup(now, "cold", {seconds(3), 9.6});
        const target_choice choice = gateway_pool.pick(now, "cold", {});
        sent += choice.target != nullptr && choice.wait < milliseconds(100) ? 1 : 0;
    }
    BOOST_TEST(sent <= 5U);
}

BOOST_AUTO_TEST_CASE(gateways_that_do_not_know_each_other_send_nothing_to_cold_target) {
    // 26 gateways start together and know the cold target at once, but each other only after 200
    // ms.
    std::map<int, unsigned> by_second;
    for (std::uint64_t gateway = 0; gateway < 26; ++gateway) {
        random_source own(gateway + 1);
        std::size_t known = 0;
        target_pool_settings shared;
        shared.gateway_count = [&known] { return known; };
        target_pool gateway_pool(shared, own);
        gateway_pool.apply(target("c1", "cold", "d1"));
        gateway_pool.set_warmup(now, "cold", {seconds(3), 9.6});
        gateway_pool.mark_cold(now, "c1", seconds(3));
        for (int ms = 0; ms < 3000; ms += 5) {
            known = ms < 200 ? 0 : 26;
            const instant at = now + milliseconds(ms);
            gateway_pool.refresh_gateway_count(at);
            const target_choice choice = gateway_pool.pick(at, "cold", {});
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

BOOST_AUTO_TEST_CASE(directory_found_empty_does_not_raise_share_of_cold_target) {
    // 26 gateways find the directory empty after the first second. Each has a permit every 3.4 s,
    // and no wait lasts beyond the end of the warm-up.
    unsigned sent = 0;
    for (std::uint64_t gateway = 0; gateway < 26; ++gateway) {
        random_source own(gateway + 1);
        std::size_t known = 26;
        target_pool_settings shared;
        shared.gateway_count = [&known] { return known; };
        target_pool gateway_pool(shared, own);
        gateway_pool.apply(target("c1", "cold", "d1"));
        gateway_pool.set_warmup(now, "cold", {seconds(3), 9.6});
        gateway_pool.mark_cold(now, "c1", seconds(3));
        for (int ms = 0; ms < 2600; ms += 5) {
            known = ms < 1000 ? 26 : 0;
            const instant at = now + milliseconds(ms);
            gateway_pool.refresh_gateway_count(at);
            sent += gateway_pool.pick(at, "cold", {}).target != nullptr ? 1 : 0;
        }
    }
    BOOST_TEST(sent >= 10U);
    BOOST_TEST(sent <= 26U);
}

BOOST_AUTO_TEST_CASE(service_without_warmup_rate_does_not_limit_cold_targets) {
    pool->mark_cold(now, "p3", seconds(3));
    for (int attempt = 0; attempt < 20; ++attempt) {
        BOOST_TEST(pick("plain", {"p1", "p2"}) == "p3");
    }
}

BOOST_AUTO_TEST_CASE(unlisted_idle_target_expires) {
    pool->remove(now, "p1");
    BOOST_TEST(pool->expire_unlisted(now).empty());
    BOOST_TEST(pool->expire_unlisted(now + seconds(60)).size() == 1U);
    BOOST_TEST(pool->find("p1") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
