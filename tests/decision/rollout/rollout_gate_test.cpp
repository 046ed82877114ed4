#include "wrenswitch/decision/rollout/rollout_gate.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

namespace {

using namespace wrenswitch;

constexpr instant start{seconds(100)};
constexpr double allowed_share = 0.1;

/// A roll-out from "v1" to "v2", whose requests go where the gate says.
struct gate_fixture {
    rollout_order order{"app", "v2", seconds(8), 7};
    rollout_gate gate{start, order, allowed_share};
    std::uint64_t next_session = 1;
    std::uint64_t exposed = 0;
    std::uint64_t asked = 0;

    void tell(rollout_phase phase, microseconds left = seconds(6), double part = 0.4,
              instant at = start) {
        rollout_stand stand;
        stand.service = "app";
        stand.order = 7;
        stand.version = "v2";
        stand.phase = phase;
        stand.canary_part = part;
        stand.group_size = 2;
        stand.group_seed = 11;
        stand.left = left;
        gate.take(at, stand);
    }

    rollout_request request(const std::string& route = "read", bool can_move = true) {
        return {route, next_session++, can_move, false, false, false};
    }

    static bool is_to_new(const std::optional<version_constraint>& limit) {
        return limit && limit->rule == version_rule::only;
    }

    static bool is_to_old(const std::optional<version_constraint>& limit) {
        return limit && limit->rule == version_rule::other_than;
    }

    /// One request that goes where it should and reaches its target. True if that is of "v2".
    bool serve(const rollout_request& request, rollout_gate::answer how_at_new, instant now = start,
               const std::string& target = "n1") {
        const auto limit = gate.limit_for(now, request);
        const bool to_new = is_to_new(limit);
        asked += 1;
        if (!limit || !gate.begin(now, request, to_new ? "v2" : "v1", to_new ? target : "o1")) {
            return false;
        }
        gate.note_reached();
        exposed += to_new ? 1 : 0;
        gate.end(request, to_new ? "v2" : "v1", to_new ? target : "o1",
                 to_new ? how_at_new : rollout_gate::answer::well, milliseconds(20), std::nullopt);
        return to_new;
    }

    void serve_many(int number, rollout_gate::answer how = rollout_gate::answer::well) {
        for (int turn = 0; turn < number; ++turn) {
            serve(request(turn % 4 == 0 ? "rare" : "read"), how);
        }
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(rollout_gate_test, gate_fixture)

BOOST_AUTO_TEST_CASE(waiting_roll_out_uses_the_old_version) {
    serve_many(1000);
    BOOST_TEST(exposed == 0U);
    BOOST_TEST(is_to_old(gate.limit_for(start, request())));
    BOOST_TEST(gate.report(start + seconds(1)).reached == 1000U);
    BOOST_TEST((gate.report(start + seconds(1)).known_for == seconds(1)));
}

BOOST_AUTO_TEST_CASE(canary_uses_most_of_its_part_and_no_more) {
    tell(rollout_phase::canary);
    serve_many(10'000);
    const double part = allowed_share * 0.9 * 0.4;
    BOOST_TEST(static_cast<double>(exposed) <= part * 10'000);
    BOOST_TEST(static_cast<double>(exposed) >= 0.9 * part * 10'000);
    BOOST_TEST(gate.report(start).exposed == exposed);
}

BOOST_AUTO_TEST_CASE(bound_holds_at_every_moment_in_every_phase_before_the_deadline) {
    for (const rollout_phase phase :
         {rollout_phase::waiting, rollout_phase::canary, rollout_phase::moving}) {
        tell(phase, milliseconds(300), 1.0);
        for (int turn = 0; turn < 2000; ++turn) {
            serve(request("read", turn % 3 == 0), rollout_gate::answer::well);
            BOOST_TEST(static_cast<double>(exposed) <=
                       0.9 * allowed_share * static_cast<double>(gate.report(start).reached + 1));
        }
    }
    BOOST_TEST(exposed > 300U);
}

BOOST_AUTO_TEST_CASE(requests_that_reached_no_target_give_no_budget_and_cost_it) {
    tell(rollout_phase::canary, seconds(6), 1.0);
    for (int turn = 0; turn < 1000; ++turn) {
        const rollout_request each = request();
        gate.begin(start, each, "v1", "o1");
        gate.end(each, "v1", "o1", rollout_gate::answer::silent, std::nullopt, std::nullopt);
    }
    BOOST_TEST(!gate.begin(start, request(), "v2", "n1"));
    for (int turn = 0; turn < 12; ++turn) {
        gate.note_reached();
    }
    BOOST_TEST(gate.begin(start, request(), "v2", "n1"));
    // It was sent, and nothing tells whether it came there.
    BOOST_TEST(!gate.begin(start, request(), "v2", "n1"));
}

BOOST_AUTO_TEST_CASE(session_stays_with_its_version_while_the_budget_allows) {
    tell(rollout_phase::canary, seconds(6), 1.0);
    std::map<std::uint64_t, std::set<bool>> versions;
    for (int turn = 0; turn < 40'000; ++turn) {
        rollout_request each = request();
        each.session = static_cast<std::uint64_t>(turn % 400);
        versions[each.session].insert(serve(each, rollout_gate::answer::well));
    }
    const auto at_new = std::count_if(versions.begin(), versions.end(), [](const auto& entry) {
        return entry.second.contains(true);
    });
    // A part of 0.09 of 400 sessions, and half as many more, which use up the budget.
    BOOST_TEST(at_new >= 36);
    BOOST_TEST(at_new <= 80);
}

BOOST_AUTO_TEST_CASE(every_route_gets_its_part_though_one_session_has_all_of_it) {
    tell(rollout_phase::canary, seconds(6), 1.0);
    std::map<std::string, int> at_new;
    for (int turn = 0; turn < 10'000; ++turn) {
        rollout_request each = request(turn % 10 == 0 ? "rare" : "read");
        each.session = turn % 10 == 0 ? 1 : 2;
        at_new[each.route] += serve(each, rollout_gate::answer::well) ? 1 : 0;
    }
    BOOST_TEST(at_new["rare"] >= 40);
    BOOST_TEST(at_new["rare"] <= 140);
    BOOST_TEST(at_new["read"] >= 400);
}

BOOST_AUTO_TEST_CASE(canary_follows_a_part_that_rises) {
    tell(rollout_phase::canary, seconds(6), 0.1);
    serve_many(4000);
    const std::uint64_t before = exposed;
    tell(rollout_phase::canary, seconds(4), 0.4);
    serve_many(2000);
    // From 36 to 216 of 6000, which is more than the part itself within this time.
    BOOST_TEST(before >= 28U);
    BOOST_TEST(exposed >= 160U);
    BOOST_TEST(exposed <= 216U);
}

BOOST_AUTO_TEST_CASE(request_that_was_sent_before_goes_to_the_old_version) {
    tell(rollout_phase::canary, seconds(6), 1.0);
    serve_many(1000);
    for (int turn = 0; turn < 200; ++turn) {
        rollout_request each = request();
        each.again = true;
        BOOST_TEST(is_to_old(gate.limit_for(start, each)));
        gate.note_reached();
    }
}

BOOST_AUTO_TEST_CASE(canary_goes_to_its_group_and_the_move_to_all) {
    tell(rollout_phase::canary, seconds(6), 1.0);
    for (int turn = 0; turn < 100; ++turn) {
        gate.note_reached();
    }
    const auto limit = gate.limit_for(start, request());
    BOOST_REQUIRE(is_to_new(limit));
    BOOST_TEST(limit->group_size == 2U);
    BOOST_TEST(limit->group_seed == 11U);
    tell(rollout_phase::moving);
    const auto moved = gate.limit_for(start + seconds(6), request("read", false));
    BOOST_REQUIRE(is_to_new(moved));
    BOOST_TEST(moved->group_size == 0U);
}

BOOST_AUTO_TEST_CASE(move_takes_first_what_lasts_and_can_not_go_on_elsewhere) {
    serve_many(1000);
    tell(rollout_phase::moving, seconds(2));
    rollout_request stream = request("stream", false);
    stream.lasts = true;
    BOOST_TEST(is_to_old(gate.limit_for(start, stream)));
    const instant near_end = start + milliseconds(900);
    BOOST_TEST(is_to_new(gate.limit_for(near_end, stream)));
    BOOST_TEST(is_to_old(gate.limit_for(near_end, request("read", false))));
    BOOST_TEST(is_to_old(gate.limit_for(near_end, request("read", true))));
    BOOST_TEST(!gate.report(near_end).moved);
    const instant late = start + milliseconds(1700);
    BOOST_TEST(is_to_new(gate.limit_for(late, request("read", false))));
    BOOST_TEST(is_to_new(gate.limit_for(late, request("read", true))));
    BOOST_TEST(gate.report(late).moved);
}

BOOST_AUTO_TEST_CASE(last_moments_have_no_version_for_what_the_bound_leaves_no_place_for) {
    tell(rollout_phase::moving, milliseconds(300));
    BOOST_TEST(!gate.limit_for(start, request("read", false)).has_value());
    BOOST_TEST(!gate.begin(start, request("read", false), "v1", "o1"));
    BOOST_TEST(is_to_old(gate.limit_for(start, request("read", true))));
    BOOST_TEST(gate.begin(start, request("read", true), "v1", "o1"));
    BOOST_TEST(is_to_new(gate.limit_for(start + milliseconds(300), request("read", false))));
}

BOOST_AUTO_TEST_CASE(after_the_deadline_everything_goes_to_a_version_that_is_held_for_good) {
    tell(rollout_phase::moving, milliseconds(300));
    const instant after = start + milliseconds(301);
    for (int turn = 0; turn < 50; ++turn) {
        BOOST_TEST(serve(request("read", turn % 2 == 0), rollout_gate::answer::well, after));
    }
    tell(rollout_phase::canary, microseconds(-1), 0.4, after);
    for (int turn = 0; turn < 50; ++turn) {
        serve(request(), rollout_gate::answer::well, after);
    }
    BOOST_TEST(exposed == 50U);
}

BOOST_AUTO_TEST_CASE(entry_has_not_moved_while_something_runs_at_old_targets_that_can_not_go_on) {
    const rollout_request lasting = request("stream", false);
    BOOST_TEST(gate.begin(start, lasting, "v1", "o1"));
    gate.note_bound_to_old();
    tell(rollout_phase::moving, milliseconds(100));
    BOOST_TEST(!gate.report(start).moved);
    gate.end(lasting, "v1", "o1", rollout_gate::answer::well, std::nullopt, std::nullopt);
    BOOST_TEST(!gate.report(start).moved);
    gate.note_unbound();
    BOOST_TEST(gate.report(start).moved);
}

BOOST_AUTO_TEST_CASE(completed_roll_out_uses_the_new_version_and_the_old_one_in_need) {
    tell(rollout_phase::completed);
    const auto limit = gate.limit_for(start, request());
    BOOST_REQUIRE(is_to_new(limit));
    BOOST_TEST(limit->group_size == 0U);
    BOOST_TEST(is_to_old(gate.limit_without_candidates(*limit)));
    for (int turn = 0; turn < 20; ++turn) {
        BOOST_TEST(serve(request(), rollout_gate::answer::well));
    }
    // A release without an order may follow.
    const auto later = gate.limit_for(start + seconds(11), request());
    BOOST_TEST((later && later->rule == version_rule::any));
}

BOOST_AUTO_TEST_CASE(final_phase_stays_whatever_is_told_later) {
    tell(rollout_phase::rolled_back);
    for (const rollout_phase phase :
         {rollout_phase::canary, rollout_phase::moving, rollout_phase::completed}) {
        tell(phase, microseconds(0), 1.0);
        serve_many(500);
    }
    BOOST_TEST(exposed == 0U);
    BOOST_TEST(!gate.begin(start, request(), "v2", "n1"));
    BOOST_TEST(!gate.limit_without_candidates({version_rule::other_than, "v2", 0, 0, {}}));
}

BOOST_AUTO_TEST_CASE(word_on_another_order_is_ignored) {
    rollout_stand stand = gate.stand();
    stand.phase = rollout_phase::completed;
    stand.order = 8;
    BOOST_TEST(!gate.take(start, stand));
    stand.order = 7;
    stand.version = "v3";
    BOOST_TEST(!gate.take(start, stand));
    BOOST_TEST((gate.stand().phase == rollout_phase::waiting));
}

BOOST_AUTO_TEST_CASE(withdrawn_order_ends_the_exposure_and_a_completed_one_stays) {
    tell(rollout_phase::canary);
    BOOST_TEST(gate.withdraw(start));
    serve_many(500);
    BOOST_TEST(exposed == 0U);
    rollout_gate done(start, order, allowed_share);
    rollout_stand stand = done.stand();
    stand.phase = rollout_phase::completed;
    done.take(start, stand);
    BOOST_TEST(!done.withdraw(start));
    BOOST_TEST((done.stand().phase == rollout_phase::completed));
}

BOOST_AUTO_TEST_CASE(without_old_targets_the_new_ones_get_requests_within_the_bound) {
    const version_constraint old_only{version_rule::other_than, "v2", 0, 0, {}};
    BOOST_TEST(!gate.limit_without_candidates(old_only));
    for (int turn = 0; turn < 24; ++turn) {
        gate.note_reached();
    }
    int sent = 0;
    for (int turn = 0; turn < 10; ++turn) {
        const auto limit = gate.limit_without_candidates(old_only);
        sent += limit && gate.begin(start, request(), "v2", "n1") ? 1 : 0;
    }
    BOOST_TEST(sent == 2);
}

BOOST_AUTO_TEST_CASE(entry_that_is_sure_by_its_own_answers_stops_at_once_and_says_so) {
    tell(rollout_phase::canary, seconds(6), 1.0);
    int bad = 0;
    for (int turn = 0; turn < 5000; ++turn) {
        bad += serve(request(), rollout_gate::answer::badly, start, turn % 2 == 0 ? "n1" : "n2")
                   ? 1
                   : 0;
    }
    BOOST_TEST(bad == 25);
    BOOST_TEST(gate.report(start).found_bad);
    tell(rollout_phase::moving, microseconds(-1));
    BOOST_TEST(is_to_old(gate.limit_for(start, request("read", false))));
}

BOOST_AUTO_TEST_CASE(one_bad_target_among_several_is_not_the_versions_fault) {
    tell(rollout_phase::canary, seconds(6), 1.0);
    for (int turn = 0; turn < 5000; ++turn) {
        const bool grey = turn % 2 == 0;
        serve(request(), grey ? rollout_gate::answer::badly : rollout_gate::answer::well, start,
              grey ? "n1" : "n2");
    }
    BOOST_TEST(gate.evidence().of_new_version().badly >= 100U);
    BOOST_TEST(!gate.report(start).found_bad);
}

BOOST_AUTO_TEST_CASE(failures_that_the_old_version_has_as_well_are_not_the_new_ones) {
    tell(rollout_phase::canary, seconds(6), 1.0);
    for (int turn = 0; turn < 5000; ++turn) {
        const rollout_request each = request();
        const auto limit = gate.limit_for(start, each);
        const bool to_new = is_to_new(limit);
        const std::string target = turn % 2 == 0 ? "n1" : "n2";
        gate.begin(start, each, to_new ? "v2" : "v1", target);
        gate.note_reached();
        gate.end(each, to_new ? "v2" : "v1", target,
                 turn % 7 == 0 ? rollout_gate::answer::badly : rollout_gate::answer::well,
                 std::nullopt, std::nullopt);
    }
    BOOST_TEST(gate.evidence().of_new_version().badly >= 25U);
    BOOST_TEST(!gate.report(start).found_bad);
}

BOOST_AUTO_TEST_CASE(version_that_was_in_force_before_the_order_serves_on) {
    gate.note_in_force();
    const auto limit = gate.limit_for(start, request());
    BOOST_TEST((limit && limit->rule == version_rule::any));
    BOOST_TEST(gate.begin(start, request("read", false), "v2", "n1"));
    tell(rollout_phase::moving, milliseconds(100));
    BOOST_TEST(gate.begin(start, request("read", false), "v2", "n1"));
}

BOOST_AUTO_TEST_CASE(version_in_force_serves_on_when_its_order_is_withdrawn_or_answers_fail) {
    gate.note_in_force();
    for (int turn = 0; turn < 200; ++turn) {
        const rollout_request each = request();
        gate.begin(start, each, "v2", turn % 2 == 0 ? "n1" : "n2");
        gate.end(each, "v2", turn % 2 == 0 ? "n1" : "n2",
                 turn % 4 == 0 ? rollout_gate::answer::badly : rollout_gate::answer::well,
                 std::nullopt, std::nullopt);
    }
    BOOST_TEST(!gate.report(start).found_bad);
    gate.withdraw(start);
    BOOST_TEST((gate.limit_for(start, request())->rule == version_rule::any));
    BOOST_TEST(gate.begin(start, request(), "v2", "n1"));
    BOOST_TEST(gate.excluded_after().empty());
}

BOOST_AUTO_TEST_CASE(versions_of_orders_before_get_nothing_in_any_phase) {
    BOOST_TEST(gate.excluded_after().contains("v2"));
    rollout_gate next(start, {"app", "v3", seconds(8), 8}, allowed_share, gate.excluded_after());
    for (const rollout_phase phase : {rollout_phase::waiting, rollout_phase::canary,
                                      rollout_phase::moving, rollout_phase::completed}) {
        rollout_stand stand = gate.stand();
        stand.order = 8;
        stand.version = "v3";
        stand.phase = phase;
        next.take(start, stand);
        for (const microseconds later : {microseconds(0), microseconds(seconds(60))}) {
            const auto limit = next.limit_for(start + later, request());
            BOOST_TEST((!limit || !limit->admits("v2")));
        }
    }
    tell(rollout_phase::completed);
    BOOST_TEST(gate.excluded_after().empty());
}

BOOST_AUTO_TEST_CASE(request_that_chose_a_version_before_the_next_order_does_not_begin_there) {
    rollout_gate next(start, {"app", "v3", seconds(8), 8}, allowed_share, gate.excluded_after());
    const rollout_request waiting = request();
    BOOST_TEST(!next.begin(start, waiting, "v2", "n1"));
    BOOST_TEST(next.begin(start, waiting, "v1", "o1"));
    next.note_in_force();
    BOOST_TEST(!next.begin(start, waiting, "v2", "n1"));
}

BOOST_AUTO_TEST_CASE(request_that_waited_does_not_begin_at_an_old_target_once_it_is_completed) {
    const rollout_request waiting = request("read", false);
    tell(rollout_phase::completed);
    BOOST_TEST(!gate.begin(start, waiting, "v1", "o1"));
    BOOST_TEST(gate.begin(start, waiting, "v2", "n1"));
}

BOOST_AUTO_TEST_CASE(version_that_the_decider_holds_for_bad_gets_nothing_in_need_either) {
    tell(rollout_phase::canary, seconds(6), 1.0);
    serve_many(1000);
    rollout_stand stopped = gate.stand();
    stopped.phase = rollout_phase::waiting;
    stopped.held_for_bad = true;
    gate.take(start, stopped);
    BOOST_TEST(!gate.limit_without_candidates(*gate.limit_for(start, request())).has_value());
    BOOST_TEST(!gate.begin(start, request(), "v2", "n1"));
}

BOOST_AUTO_TEST_CASE(canary_goes_on_while_the_version_is_moved_to) {
    tell(rollout_phase::canary);
    serve_many(1000);
    const std::uint64_t before = exposed;
    tell(rollout_phase::moving, milliseconds(3000), 1.0);
    serve_many(2000);
    const double part = allowed_share * 0.9 * 0.4;
    BOOST_TEST(static_cast<double>(exposed) <= part * 3000);
    BOOST_TEST(static_cast<double>(exposed - before) >= 0.5 * part * 2000);
}

BOOST_AUTO_TEST_CASE(evidence_is_kept_by_route_and_by_target_of_the_new_version) {
    tell(rollout_phase::canary, seconds(6), 1.0);
    serve_many(1000);
    const auto& counts = gate.evidence().counts;
    const auto at_new = counts.find({"read", "n1"});
    const auto at_old = counts.find({"read", ""});
    BOOST_REQUIRE((at_new != counts.end() && at_old != counts.end()));
    BOOST_TEST(at_new->second.sent == at_new->second.well);
    BOOST_TEST(at_new->second.first.total() == at_new->second.well);
    BOOST_TEST(at_old->second.sent + at_new->second.sent == 750U);
}

BOOST_AUTO_TEST_SUITE_END()
