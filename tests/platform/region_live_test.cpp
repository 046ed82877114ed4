#include <algorithm>
#include <csignal>

#include "platform/region_fleet.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

bool all_are(const std::vector<unsigned>& statuses, unsigned wanted) {
    return std::all_of(statuses.begin(), statuses.end(),
                       [wanted](unsigned status) { return status == wanted; });
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(region_live_test, region_fleet)

BOOST_AUTO_TEST_CASE(bound_route_arrives_only_in_its_region_from_both_entries) {
    start();
    BOOST_TEST(all_are(statuses("bound"), 200U));
    BOOST_TEST(all_are(statuses("flow"), 200U));
    BOOST_TEST(seen_in_north() == 24U);
    BOOST_TEST(seen_in_south() == 0U);
    BOOST_TEST(
        figures(south).find("gateway_sent_by_region_total{caller=\"south\",target=\"north\"} "
                            "12") != std::string::npos);
    // The same services serve what isn't bound in both.
    BOOST_TEST(all_are(statuses("again"), 200U));
    BOOST_TEST(seen_in_south() > 0U);
}

BOOST_AUTO_TEST_CASE(bound_account_arrives_only_in_its_region_on_every_route) {
    account_regions = R"(["south"])";
    configure();
    start();
    BOOST_TEST(all_are(statuses("again", "key-bound"), 200U));
    BOOST_TEST(all_are(statuses("stream", "key-bound"), 200U));
    BOOST_TEST(seen_in_north() == 0U);
    BOOST_TEST(seen_in_south() == 24U);
}

BOOST_AUTO_TEST_CASE(route_and_account_that_share_no_region_are_refused_at_once) {
    account_regions = R"(["south"])";
    configure();
    start();
    for (const char* path : {"bound", "flow"}) {
        const instant asked = monotonic_now();
        const std::string answer = ask(south, path, "key-bound");
        BOOST_TEST((monotonic_now() - asked < milliseconds(150)));
        BOOST_TEST(status_of(answer) == 503U);
        BOOST_TEST(answer.find("Retry-After: ") != std::string::npos);
    }
    BOOST_TEST(seen_in_north() + seen_in_south() == 0U);
    BOOST_TEST(south.process->field("request_ended", "outcome") == "no_target_in_allowed_regions");
    BOOST_TEST(south.process->field("request_ended", "allowed_regions") == "none");
    // Before tokens are asked for.
    BOOST_TEST(south.process->field("tokens_asked", "account").empty());
    BOOST_TEST(figures(south).find("gateway_refused_by_region_total{caller=\"south\",target=\"\"} "
                                   "2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(empty_list_and_unknown_names_are_refused_at_once) {
    start();
    for (const char* regions : {"[]", R"(["east"])", R"([""])", R"("north")"}) {
        route_regions = regions;
        configure();
        until_known();
        BOOST_TEST_CONTEXT(regions) {
            BOOST_TEST(all_are(statuses("bound", "key-free", 1), 503U));
            BOOST_TEST(all_are(statuses("flow", "key-free", 1), 503U));
            BOOST_TEST(status_of(ask(north, "again")) == 200U);
        }
    }
    BOOST_TEST(north_llm.seen.size() + south_llm.seen.size() == 0U);
    BOOST_TEST(north.process->field("limit_unreadable", "place") == "routes/bound/regions");
}

BOOST_AUTO_TEST_CASE(changed_configuration_binds_new_requests_and_cuts_none) {
    route_regions = R"(["south"])";
    configure();
    start();
    south_llm.answer = [this](const ingress_exchange_pointer& exchange) {
        exchange->begin_answer(200, south_llm.signed_headers(exchange));
        exchange->send_piece("id: 1\ndata: e1\n\n");
    };
    raw_socket running = send(north, "flow", "key-free");
    BOOST_REQUIRE(
        run_until([&] { return running.received().find("data: e1") != std::string::npos; }));
    route_regions = R"(["north"])";
    configure();
    until_known();
    BOOST_TEST(all_are(statuses("flow"), 200U));
    BOOST_TEST(south_llm.seen.size() == 1U);
    BOOST_TEST(north_llm.seen.size() == 12U);
    south_llm.exchanges[0]->send_piece("id: 2\ndata: e2\n\n");
    south_llm.exchanges[0]->end_answer();
    BOOST_TEST(run_until([&] { return running.received().ends_with("0\r\n\r\n"); }));
    BOOST_TEST(running.received().find("data: e2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(broken_stream_goes_on_only_where_old_and_new_limits_allow) {
    worker_standin other(loop, "i-other-llm");
    list(other, "llm", "south");
    route_regions = R"(["south"])";
    configure();
    start();
    answer_with_events(other);
    earn_retries(north, "flow", 2);
    other.seen.clear();
    for (worker_standin* engine : {&south_llm, &other}) {
        engine->answer = [engine](const ingress_exchange_pointer& exchange) {
            exchange->begin_answer(200, engine->signed_headers(exchange));
            exchange->send_piece("id: 1\ndata: e1\n\n");
        };
    }
    const auto in_south = [&] { return south_llm.seen.size() + other.seen.size(); };
    const auto break_stream = [&] {
        worker_standin& at = south_llm.seen.empty() ? other : south_llm;
        at.exchanges.back()->cut();
    };
    // Unchanged, the other engine goes on with it.
    raw_socket before = send(north, "flow", "key-free");
    BOOST_REQUIRE(run_until([&] { return in_south() == 1U; }));
    break_stream();
    BOOST_REQUIRE(run_until([&] { return in_south() == 2U; }));
    before.close();
    south_llm.seen.clear();
    other.seen.clear();

    raw_socket running = send(north, "flow", "key-free");
    BOOST_REQUIRE(run_until([&] { return in_south() == 1U; }));
    route_regions = R"(["north"])";
    configure();
    until_known();
    break_stream();
    BOOST_TEST(run_until([&] { return running.ended(); }));
    BOOST_TEST(!running.received().ends_with("0\r\n\r\n"));
    BOOST_TEST(in_south() == 1U);
    BOOST_TEST(seen_in_north() == 0U);
}

BOOST_AUTO_TEST_CASE(request_that_waits_for_a_cold_target_is_bound_by_a_changed_configuration) {
    // Each entry has a turn in 0.8 s: four entries are assumed to share the rate.
    cold_rate = 5.0;
    configure();
    list(north_app, "app", "north", "ready", 60'000);
    start();
    raw_socket first = send(north, "bound", "key-free");
    raw_socket second = send(north, "bound", "key-free");
    run_for(milliseconds(50));
    route_regions = R"(["south"])";
    configure();
    until_known();
    const std::size_t before = north_app.seen.size();
    BOOST_REQUIRE(before < 2U);
    BOOST_TEST(run_until([&] { return first.ended() && second.ended(); }));
    BOOST_TEST(north_app.seen.size() == before);
    BOOST_TEST(south_app.seen.empty());
    BOOST_TEST(second.received().find(" 503 ") != std::string::npos);
    BOOST_TEST(second.received().find("Retry-After: ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(retry_of_a_bound_request_stays_in_its_region) {
    start();
    earn_retries(south, "bound", 2);
    earn_retries(north, "bound", 2);
    north_app.answer = [](const ingress_exchange_pointer& exchange) { exchange->cut(); };
    BOOST_TEST(status_of(ask(south, "bound")) == 502U);
    BOOST_TEST(status_of(ask(north, "bound")) == 502U);
    BOOST_TEST(south_app.seen.empty());
    // What isn't bound goes on in the other region.
    BOOST_TEST(status_of(ask(north, "again")) == 200U);
}

BOOST_AUTO_TEST_CASE(bound_request_without_a_target_left_in_its_region_is_refused_at_once) {
    start();
    list(north_app, "app", "north", "draining");
    list(north_llm, "llm", "north", "draining");
    run_for(milliseconds(700));
    for (const char* path : {"bound", "flow"}) {
        const instant asked = monotonic_now();
        const std::string answer = ask(south, path);
        BOOST_TEST((monotonic_now() - asked < milliseconds(150)));
        BOOST_TEST(status_of(answer) == 503U);
        BOOST_TEST(answer.find("Retry-After: ") != std::string::npos);
    }
    BOOST_TEST(south.process->field("request_ended", "allowed_regions") == "north");
    BOOST_TEST(seen_in_north() + seen_in_south() == 0U);
    list(north_app, "app", "north");
    run_for(milliseconds(700));
    BOOST_TEST(status_of(ask(south, "bound")) == 200U);
}

BOOST_AUTO_TEST_CASE(memory_of_a_bound_prompt_stays_in_its_region) {
    worker_standin other(loop, "i-other-llm");
    answer_with_events(other);
    start();
    BOOST_TEST(status_of(ask(north, "flow")) == 200U);
    BOOST_REQUIRE(north_llm.seen.size() == 1U);
    // The engine that read it leaves: others may still copy from it, those of its region.
    list(north_llm, "llm", "north", "draining");
    run_for(milliseconds(700));
    BOOST_TEST(status_of(ask(north, "stream")) == 200U);
    BOOST_REQUIRE(south_llm.seen.size() == 1U);
    BOOST_TEST(south_llm.seen[0].header("Kv-Fetch").empty());
    list(other, "llm", "north");
    run_for(milliseconds(700));
    BOOST_TEST(status_of(ask(north, "flow")) == 200U);
    BOOST_REQUIRE(other.seen.size() == 1U);
    BOOST_TEST(other.seen[0].header("Kv-Fetch") == north_llm.address());
}

BOOST_AUTO_TEST_CASE(all_entries_killed_at_once_keep_the_limits_after_their_start) {
    start();
    BOOST_TEST(all_are(statuses("bound", "key-free", 1), 200U));
    for (entry& each : entries) {
        each.process->signal(SIGKILL);
    }
    start();
    BOOST_TEST(all_are(statuses("bound"), 200U));
    BOOST_TEST(all_are(statuses("flow"), 200U));
    BOOST_TEST(seen_in_south() == 0U);
}

BOOST_AUTO_TEST_CASE(late_answers_are_counted_by_the_regions_of_entry_and_target) {
    aim_ms = 500;
    configure();
    start();
    BOOST_TEST(status_of(ask(south, "bound")) == 200U);
    BOOST_TEST(figures(south).find("gateway_late_by_region_total") == std::string::npos);
    north_app.answer = [this](const ingress_exchange_pointer& exchange) {
        loop.call_after(milliseconds(600), [this, exchange] {
            exchange->answer(200, north_app.signed_headers(exchange), "");
        });
    };
    BOOST_TEST(status_of(ask(south, "bound")) == 200U);
    BOOST_TEST(
        figures(south).find("gateway_late_by_region_total{caller=\"south\",target=\"north\"} "
                            "1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(limits_hold_while_the_store_is_dark) {
    start();
    BOOST_TEST(all_are(statuses("flow", "key-free", 1), 200U));
    store.silent = true;
    BOOST_TEST(all_are(statuses("bound"), 200U));
    // Streams are paid for: no more of them than there are tokens in hand.
    for (const unsigned status : statuses("flow")) {
        BOOST_TEST((status == 200U || status == 503U));
    }
    BOOST_TEST(seen_in_south() == 0U);
}

BOOST_AUTO_TEST_CASE(entry_that_knows_no_configuration_refuses_all) {
    store.busy = true;
    launch(north);
    for (const char* path : {"bound", "flow", "again"}) {
        BOOST_REQUIRE(run_until([&] { return status_of(ask(north, path)) == 503U; }));
    }
    BOOST_TEST(seen_in_north() + seen_in_south() == 0U);
    store.busy = false;
    BOOST_REQUIRE(run_until([&] { return is_ready(north); }, seconds(15)));
    BOOST_TEST(status_of(ask(north, "bound")) == 200U);
    BOOST_TEST(seen_in_south() == 0U);
}

BOOST_AUTO_TEST_CASE(entries_without_a_table_of_regions_serve_what_is_not_bound) {
    table.clear();
    start();
    BOOST_TEST(all_are(statuses("bound", "key-free", 2), 503U));
    BOOST_TEST(all_are(statuses("flow", "key-free", 2), 503U));
    BOOST_TEST(seen_in_north() + seen_in_south() == 0U);
    BOOST_TEST(all_are(statuses("again", "key-free", 2), 200U));
    BOOST_TEST(all_are(statuses("stream", "key-free", 2), 200U));
}

BOOST_AUTO_TEST_CASE(table_that_changes_while_a_gateway_runs_needs_a_restart) {
    start();
    table = R"({"zone-north":"south","zone-south":"north"})";
    const std::string text = [&] {
        std::ifstream file(south.settings_file);
        return std::string(std::istreambuf_iterator<char>(file), {});
    }();
    std::string changed = text;
    changed.replace(changed.find(R"({"zone-north":"north")"), std::string::npos, table + "}");
    std::ofstream(south.settings_file) << changed;
    south.process->signal(SIGHUP);
    BOOST_TEST(run_until(
        [&] { return south.process->field("settings_reloaded", "needs_restart") == "yes"; }));
    BOOST_TEST(status_of(ask(south, "bound")) == 200U);
    BOOST_TEST(seen_in_south() == 0U);
}

BOOST_AUTO_TEST_CASE(cut_or_slow_way_between_regions_leaves_each_its_own_targets) {
    account_regions = R"(["south"])";
    configure();
    start();
    for (const bool cut : {false, true}) {
        for (entry& each : entries) {
            each.bus_way->delay = milliseconds(20);
            each.bus_way->silent = cut;
        }
        BOOST_TEST_CONTEXT((cut ? "cut" : "slow")) {
            forget_seen();
            for (int turn = 0; turn < 6; ++turn) {
                const instant asked = monotonic_now();
                BOOST_TEST(status_of(ask(south, "again", "key-bound")) == 200U);
                BOOST_TEST(status_of(ask(south, "stream", "key-bound")) == 200U);
                BOOST_TEST(status_of(ask(north, "bound")) == 200U);
                BOOST_TEST(status_of(ask(north, "flow")) == 200U);
                BOOST_TEST((monotonic_now() - asked < seconds(1)));
            }
            BOOST_TEST(seen_in_north() == 12U);
            BOOST_TEST(seen_in_south() == 12U);
        }
    }
}

BOOST_AUTO_TEST_CASE(region_whose_entry_and_targets_are_lost_comes_back) {
    start();
    north.process->signal(SIGKILL);
    list(north_app, "app", "north", "draining");
    list(north_llm, "llm", "north", "draining");
    run_for(milliseconds(700));
    for (int turn = 0; turn < 6; ++turn) {
        BOOST_TEST(status_of(ask(south, "again")) == 200U);
        BOOST_TEST(status_of(ask(south, "stream")) == 200U);
        BOOST_TEST(status_of(ask(south, "bound")) == 503U);
    }
    BOOST_TEST(seen_in_north() == 0U);
    launch(north);
    list(north_app, "app", "north");
    list(north_llm, "llm", "north");
    BOOST_REQUIRE(run_until([&] { return is_ready(north); }, seconds(10)));
    run_for(milliseconds(700));
    forget_seen();
    BOOST_TEST(all_are(statuses("bound"), 200U));
    BOOST_TEST(all_are(statuses("flow"), 200U));
    BOOST_TEST(seen_in_north() == 24U);
}

BOOST_AUTO_TEST_CASE(entry_tells_that_a_region_is_cut_off_and_back) {
    start();
    const auto told = [this](const std::string& event) {
        return std::any_of(entries.begin(), entries.end(), [&](const entry& each) {
            const std::string other = each.region == "north" ? "south" : "north";
            return each.process->field(event, "region") == other;
        });
    };
    const auto ask_both = [this] {
        for (const entry& each : entries) {
            for (const char* key : {"key-free", "key-bound"}) {
                ask(each, "stream", key);
            }
        }
    };
    ask_both();
    run_for(seconds(2));
    BOOST_TEST(!told("region_cut_off"));
    for (entry& each : entries) {
        each.bus_way->silent = true;
    }
    BOOST_TEST(run_until([&] { return ask_both(), told("region_cut_off"); }, seconds(10)));
    for (entry& each : entries) {
        each.bus_way->heal();
    }
    BOOST_TEST(run_until([&] { return ask_both(), told("region_back"); }, seconds(15)));
}

BOOST_AUTO_TEST_SUITE_END()
