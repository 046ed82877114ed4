#include "wrenswitch/decision/rollout/rollout_gate.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

namespace {

using namespace wrenswitch;

constexpr instant start{seconds(100)};
constexpr double allowed_share = 0.1;

/// A rollout from "v1" to "v2", with requests sent as the gate directs.
struct gate_fixture {
    rollout_order order{"app", "v2", seconds(8), 7};
    rollout_gate gate{start, order, allowed_share};
    std::uint64_t next_session = 1;
    std::uint64_t exposed = 0;
    std::uint64_t attempted_count = 0;

    void send_directive(rollout_phase phase, microseconds remaining = seconds(6),
                        double canary_fraction = 0.4, instant at = start) {
        rollout_directive directive;
        directive.service = "app";
        directive.order = 7;
        directive.version = "v2";
        directive.phase = phase;
        directive.canary_fraction = canary_fraction;
        directive.group_size = 2;
        directive.group_seed = 11;
        directive.remaining = remaining;
        gate.apply(at, directive);
    }

    rollout_request request(const std::string& route = "read", bool retryable = true) {
        return {route, next_session++, retryable, false, false, false};
    }

    static bool is_to_new(const std::optional<version_constraint>& constraint) {
        return constraint && constraint->rule == version_rule::only;
    }

    static bool is_to_old(const std::optional<version_constraint>& constraint) {
        return constraint && constraint->rule == version_rule::other_than;
    }

    /// Sends one request as directed and lets it reach its target. True if the target has "v2".
    bool serve(const rollout_request& request, rollout_gate::outcome new_version_result,
               instant now = start, const std::string& target = "n1") {
        const auto constraint = gate.constraint_for(now, request);
        const bool to_new = is_to_new(constraint);
        attempted_count += 1;
        if (!constraint ||
            !gate.begin_attempt(now, request, to_new ? "v2" : "v1", to_new ? target : "o1")) {
            return false;
        }
        gate.note_reached();
        exposed += to_new ? 1 : 0;
        gate.end_attempt(request, to_new ? "v2" : "v1", to_new ? target : "o1",
                         to_new ? new_version_result : rollout_gate::outcome::succeeded,
                         milliseconds(20), std::nullopt);
        return to_new;
    }

    void serve_many(int number, rollout_gate::outcome result = rollout_gate::outcome::succeeded) {
        for (int index = 0; index < number; ++index) {
            serve(request(index % 4 == 0 ? "rare" : "read"), result);
        }
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(rollout_gate_test, gate_fixture)

BOOST_AUTO_TEST_CASE(waiting_rollout_uses_old_version) {
    serve_many(1000);
    BOOST_TEST(exposed == 0U);
    BOOST_TEST(is_to_old(gate.constraint_for(start, request())));
    BOOST_TEST(gate.report(start + seconds(1)).reached == 1000U);
    BOOST_TEST((gate.report(start + seconds(1)).known_for == seconds(1)));
}

BOOST_AUTO_TEST_CASE(canary_uses_most_of_its_fraction_and_no_more) {
    send_directive(rollout_phase::canary);
    serve_many(10'000);
    const double canary_fraction = allowed_share * 0.9 * 0.4;
    BOOST_TEST(static_cast<double>(exposed) <= canary_fraction * 10'000);
    BOOST_TEST(static_cast<double>(exposed) >= 0.9 * canary_fraction * 10'000);
    BOOST_TEST(gate.report(start).exposed == exposed);
}

BOOST_AUTO_TEST_CASE(exposure_bound_holds_in_every_phase_before_deadline) {
    for (const rollout_phase phase :
         {rollout_phase::waiting, rollout_phase::canary, rollout_phase::moving}) {
        send_directive(phase, milliseconds(300), 1.0);
        for (int index = 0; index < 2000; ++index) {
            serve(request("read", index % 3 == 0), rollout_gate::outcome::succeeded);
            BOOST_TEST(static_cast<double>(exposed) <=
                       0.9 * allowed_share * static_cast<double>(gate.report(start).reached + 1));
        }
    }
    BOOST_TEST(exposed > 300U);
}

BOOST_AUTO_TEST_CASE(undelivered_requests_consume_budget_without_adding_to_it) {
    send_directive(rollout_phase::canary, seconds(6), 1.0);
    for (int index = 0; index < 1000; ++index) {
        const rollout_request sent = request();
        gate.begin_attempt(start, sent, "v1", "o1");
        gate.end_attempt(sent, "v1", "o1", rollout_gate::outcome::inconclusive, std::nullopt,
                         std::nullopt);
    }
    BOOST_TEST(!gate.begin_attempt(start, request(), "v2", "n1"));
    for (int index = 0; index < 12; ++index) {
        gate.note_reached();
    }
    BOOST_TEST(gate.begin_attempt(start, request(), "v2", "n1"));
    // It was sent, and it is unknown whether it arrived.
    BOOST_TEST(!gate.begin_attempt(start, request(), "v2", "n1"));
}

BOOST_AUTO_TEST_CASE(session_stays_with_its_version_within_budget) {
    send_directive(rollout_phase::canary, seconds(6), 1.0);
    std::map<std::uint64_t, std::set<bool>> versions;
    for (int index = 0; index < 40'000; ++index) {
        rollout_request sent = request();
        sent.session = static_cast<std::uint64_t>(index % 400);
        versions[sent.session].insert(serve(sent, rollout_gate::outcome::succeeded));
    }
    const auto at_new = std::count_if(versions.begin(), versions.end(), [](const auto& entry) {
        return entry.second.contains(true);
    });
    // A share of 0.09 of 400 sessions, and half as many more to use up the budget.
    BOOST_TEST(at_new >= 36);
    BOOST_TEST(at_new <= 80);
}

BOOST_AUTO_TEST_CASE(single_session_per_route_still_gives_every_route_its_share) {
    send_directive(rollout_phase::canary, seconds(6), 1.0);
    std::map<std::string, int> at_new;
    for (int index = 0; index < 10'000; ++index) {
        rollout_request sent = request(index % 10 == 0 ? "rare" : "read");
        sent.session = index % 10 == 0 ? 1 : 2;
        at_new[sent.route] += serve(sent, rollout_gate::outcome::succeeded) ? 1 : 0;
    }
    BOOST_TEST(at_new["rare"] >= 40);
    BOOST_TEST(at_new["rare"] <= 140);
    BOOST_TEST(at_new["read"] >= 400);
}

BOOST_AUTO_TEST_CASE(raised_canary_fraction_is_used_up) {
    send_directive(rollout_phase::canary, seconds(6), 0.1);
    serve_many(4000);
    const std::uint64_t before = exposed;
    send_directive(rollout_phase::canary, seconds(4), 0.4);
    serve_many(2000);
    // From 36 to 216 of 6000, which is more than the canary's share within this period.
    BOOST_TEST(before >= 28U);
    BOOST_TEST(exposed >= 160U);
    BOOST_TEST(exposed <= 216U);
}

BOOST_AUTO_TEST_CASE(resent_request_goes_to_old_version) {
    send_directive(rollout_phase::canary, seconds(6), 1.0);
    serve_many(1000);
    for (int index = 0; index < 200; ++index) {
        rollout_request sent = request();
        sent.already_sent = true;
        BOOST_TEST(is_to_old(gate.constraint_for(start, sent)));
        gate.note_reached();
    }
}

BOOST_AUTO_TEST_CASE(canary_limited_to_its_group_and_moving_phase_to_none) {
    send_directive(rollout_phase::canary, seconds(6), 1.0);
    for (int index = 0; index < 100; ++index) {
        gate.note_reached();
    }
    const auto constraint = gate.constraint_for(start, request());
    BOOST_REQUIRE(is_to_new(constraint));
    BOOST_TEST(constraint->group_size == 2U);
    BOOST_TEST(constraint->group_seed == 11U);
    send_directive(rollout_phase::moving);
    const auto moving_constraint = gate.constraint_for(start + seconds(6), request("read", false));
    BOOST_REQUIRE(is_to_new(moving_constraint));
    BOOST_TEST(moving_constraint->group_size == 0U);
}

BOOST_AUTO_TEST_CASE(moving_phase_redirects_unretryable_streams_first) {
    serve_many(1000);
    send_directive(rollout_phase::moving, seconds(2));
    rollout_request stream = request("stream", false);
    stream.streaming = true;
    BOOST_TEST(is_to_old(gate.constraint_for(start, stream)));
    const instant near_end = start + milliseconds(900);
    BOOST_TEST(is_to_new(gate.constraint_for(near_end, stream)));
    BOOST_TEST(is_to_old(gate.constraint_for(near_end, request("read", false))));
    BOOST_TEST(is_to_old(gate.constraint_for(near_end, request("read", true))));
    BOOST_TEST(!gate.report(near_end).moved);
    const instant late = start + milliseconds(1700);
    BOOST_TEST(is_to_new(gate.constraint_for(late, request("read", false))));
    BOOST_TEST(is_to_new(gate.constraint_for(late, request("read", true))));
    BOOST_TEST(gate.report(late).moved);
}

BOOST_AUTO_TEST_CASE(cutover_beyond_exposure_bound_refuses_unretryable_request) {
    send_directive(rollout_phase::moving, milliseconds(300));
    BOOST_TEST(!gate.constraint_for(start, request("read", false)).has_value());
    BOOST_TEST(!gate.begin_attempt(start, request("read", false), "v1", "o1"));
    BOOST_TEST(is_to_old(gate.constraint_for(start, request("read", true))));
    BOOST_TEST(gate.begin_attempt(start, request("read", true), "v1", "o1"));
    BOOST_TEST(is_to_new(gate.constraint_for(start + milliseconds(300), request("read", false))));
}

BOOST_AUTO_TEST_CASE(good_version_past_deadline_gets_all_requests) {
    send_directive(rollout_phase::moving, milliseconds(300));
    const instant after = start + milliseconds(301);
    for (int index = 0; index < 50; ++index) {
        BOOST_TEST(serve(request("read", index % 2 == 0), rollout_gate::outcome::succeeded, after));
    }
    send_directive(rollout_phase::canary, microseconds(-1), 0.4, after);
    for (int index = 0; index < 50; ++index) {
        serve(request(), rollout_gate::outcome::succeeded, after);
    }
    BOOST_TEST(exposed == 50U);
}

BOOST_AUTO_TEST_CASE(pinned_request_at_old_target_delays_moved_report) {
    const rollout_request lasting = request("stream", false);
    BOOST_TEST(gate.begin_attempt(start, lasting, "v1", "o1"));
    gate.add_pinned_request();
    send_directive(rollout_phase::moving, milliseconds(100));
    BOOST_TEST(!gate.report(start).moved);
    gate.end_attempt(lasting, "v1", "o1", rollout_gate::outcome::succeeded, std::nullopt,
                     std::nullopt);
    BOOST_TEST(!gate.report(start).moved);
    gate.remove_pinned_request();
    BOOST_TEST(gate.report(start).moved);
}

BOOST_AUTO_TEST_CASE(completed_rollout_uses_new_version_and_falls_back_to_old) {
    send_directive(rollout_phase::completed);
    const auto constraint = gate.constraint_for(start, request());
    BOOST_REQUIRE(is_to_new(constraint));
    BOOST_TEST(constraint->group_size == 0U);
    BOOST_TEST(is_to_old(gate.fallback_constraint(*constraint)));
    for (int index = 0; index < 20; ++index) {
        BOOST_TEST(serve(request(), rollout_gate::outcome::succeeded));
    }
    // A release without an order may follow.
    const auto later = gate.constraint_for(start + seconds(11), request());
    BOOST_TEST((later && later->rule == version_rule::any));
}

BOOST_AUTO_TEST_CASE(final_phase_ignores_later_directives) {
    send_directive(rollout_phase::rolled_back);
    for (const rollout_phase phase :
         {rollout_phase::canary, rollout_phase::moving, rollout_phase::completed}) {
        send_directive(phase, microseconds(0), 1.0);
        serve_many(500);
    }
    BOOST_TEST(exposed == 0U);
    BOOST_TEST(!gate.begin_attempt(start, request(), "v2", "n1"));
    BOOST_TEST(!gate.fallback_constraint({version_rule::other_than, "v2", 0, 0, {}}));
}

BOOST_AUTO_TEST_CASE(directive_for_another_order_is_ignored) {
    rollout_directive directive = gate.directive();
    directive.phase = rollout_phase::completed;
    directive.order = 8;
    BOOST_TEST(!gate.apply(start, directive));
    directive.order = 7;
    directive.version = "v3";
    BOOST_TEST(!gate.apply(start, directive));
    BOOST_TEST((gate.directive().phase == rollout_phase::waiting));
}

BOOST_AUTO_TEST_CASE(withdrawn_order_ends_exposure_unless_completed) {
    send_directive(rollout_phase::canary);
    BOOST_TEST(gate.withdraw(start));
    serve_many(500);
    BOOST_TEST(exposed == 0U);
    rollout_gate completed_gate(start, order, allowed_share);
    rollout_directive directive = completed_gate.directive();
    directive.phase = rollout_phase::completed;
    completed_gate.apply(start, directive);
    BOOST_TEST(!completed_gate.withdraw(start));
    BOOST_TEST((completed_gate.directive().phase == rollout_phase::completed));
}

BOOST_AUTO_TEST_CASE(missing_old_targets_send_requests_to_new_ones_within_bound) {
    const version_constraint old_only{version_rule::other_than, "v2", 0, 0, {}};
    BOOST_TEST(!gate.fallback_constraint(old_only));
    for (int index = 0; index < 24; ++index) {
        gate.note_reached();
    }
    int sent = 0;
    for (int index = 0; index < 10; ++index) {
        const auto constraint = gate.fallback_constraint(old_only);
        sent += constraint && gate.begin_attempt(start, request(), "v2", "n1") ? 1 : 0;
    }
    BOOST_TEST(sent == 2);
}

BOOST_AUTO_TEST_CASE(conclusive_local_failures_stop_exposure_and_are_reported) {
    send_directive(rollout_phase::canary, seconds(6), 1.0);
    int bad = 0;
    for (int index = 0; index < 5000; ++index) {
        bad += serve(request(), rollout_gate::outcome::failed, start, index % 2 == 0 ? "n1" : "n2")
                   ? 1
                   : 0;
    }
    BOOST_TEST(bad == 25);
    BOOST_TEST(gate.report(start).found_bad);
    send_directive(rollout_phase::moving, microseconds(-1));
    BOOST_TEST(is_to_old(gate.constraint_for(start, request("read", false))));
}

BOOST_AUTO_TEST_CASE(single_bad_target_among_several_does_not_condemn_version) {
    send_directive(rollout_phase::canary, seconds(6), 1.0);
    for (int index = 0; index < 5000; ++index) {
        const bool faulty = index % 2 == 0;
        serve(request(), faulty ? rollout_gate::outcome::failed : rollout_gate::outcome::succeeded,
              start, faulty ? "n1" : "n2");
    }
    BOOST_TEST(gate.evidence().of_new_version().failed >= 100U);
    BOOST_TEST(!gate.report(start).found_bad);
}

BOOST_AUTO_TEST_CASE(failures_common_to_both_versions_do_not_condemn_new_one) {
    send_directive(rollout_phase::canary, seconds(6), 1.0);
    for (int index = 0; index < 5000; ++index) {
        const rollout_request sent = request();
        const auto constraint = gate.constraint_for(start, sent);
        const bool to_new = is_to_new(constraint);
        const std::string target = index % 2 == 0 ? "n1" : "n2";
        gate.begin_attempt(start, sent, to_new ? "v2" : "v1", target);
        gate.note_reached();
        gate.end_attempt(
            sent, to_new ? "v2" : "v1", target,
            index % 7 == 0 ? rollout_gate::outcome::failed : rollout_gate::outcome::succeeded,
            std::nullopt, std::nullopt);
    }
    BOOST_TEST(gate.evidence().of_new_version().failed >= 25U);
    BOOST_TEST(!gate.report(start).found_bad);
}

BOOST_AUTO_TEST_CASE(already_deployed_version_keeps_serving) {
    gate.mark_already_deployed();
    const auto constraint = gate.constraint_for(start, request());
    BOOST_TEST((constraint && constraint->rule == version_rule::any));
    BOOST_TEST(gate.begin_attempt(start, request("read", false), "v2", "n1"));
    send_directive(rollout_phase::moving, milliseconds(100));
    BOOST_TEST(gate.begin_attempt(start, request("read", false), "v2", "n1"));
}

BOOST_AUTO_TEST_CASE(already_deployed_version_keeps_serving_after_withdrawal_or_failures) {
    gate.mark_already_deployed();
    for (int index = 0; index < 200; ++index) {
        const rollout_request sent = request();
        gate.begin_attempt(start, sent, "v2", index % 2 == 0 ? "n1" : "n2");
        gate.end_attempt(
            sent, "v2", index % 2 == 0 ? "n1" : "n2",
            index % 4 == 0 ? rollout_gate::outcome::failed : rollout_gate::outcome::succeeded,
            std::nullopt, std::nullopt);
    }
    BOOST_TEST(!gate.report(start).found_bad);
    gate.withdraw(start);
    BOOST_TEST((gate.constraint_for(start, request())->rule == version_rule::any));
    BOOST_TEST(gate.begin_attempt(start, request(), "v2", "n1"));
    BOOST_TEST(gate.excluded_after().empty());
}

BOOST_AUTO_TEST_CASE(versions_of_earlier_orders_are_excluded_in_every_phase) {
    BOOST_TEST(gate.excluded_after().contains("v2"));
    rollout_gate next_gate(start, {"app", "v3", seconds(8), 8}, allowed_share,
                           gate.excluded_after());
    for (const rollout_phase phase : {rollout_phase::waiting, rollout_phase::canary,
                                      rollout_phase::moving, rollout_phase::completed}) {
        rollout_directive directive = gate.directive();
        directive.order = 8;
        directive.version = "v3";
        directive.phase = phase;
        next_gate.apply(start, directive);
        for (const microseconds later : {microseconds(0), microseconds(seconds(60))}) {
            const auto constraint = next_gate.constraint_for(start + later, request());
            BOOST_TEST((!constraint || !constraint->admits("v2")));
        }
    }
    send_directive(rollout_phase::completed);
    BOOST_TEST(gate.excluded_after().empty());
}

BOOST_AUTO_TEST_CASE(request_that_chose_excluded_version_is_not_sent) {
    rollout_gate next_gate(start, {"app", "v3", seconds(8), 8}, allowed_share,
                           gate.excluded_after());
    const rollout_request waiting = request();
    BOOST_TEST(!next_gate.begin_attempt(start, waiting, "v2", "n1"));
    BOOST_TEST(next_gate.begin_attempt(start, waiting, "v1", "o1"));
    next_gate.mark_already_deployed();
    BOOST_TEST(!next_gate.begin_attempt(start, waiting, "v2", "n1"));
}

BOOST_AUTO_TEST_CASE(waiting_request_is_not_sent_to_old_target_after_completion) {
    const rollout_request waiting = request("read", false);
    send_directive(rollout_phase::completed);
    BOOST_TEST(!gate.begin_attempt(start, waiting, "v1", "o1"));
    BOOST_TEST(gate.begin_attempt(start, waiting, "v2", "n1"));
}

BOOST_AUTO_TEST_CASE(version_rejected_by_decider_gets_no_fallback_requests) {
    send_directive(rollout_phase::canary, seconds(6), 1.0);
    serve_many(1000);
    rollout_directive stopped = gate.directive();
    stopped.phase = rollout_phase::waiting;
    stopped.version_bad = true;
    gate.apply(start, stopped);
    BOOST_TEST(!gate.fallback_constraint(*gate.constraint_for(start, request())).has_value());
    BOOST_TEST(!gate.begin_attempt(start, request(), "v2", "n1"));
}

BOOST_AUTO_TEST_CASE(canary_traffic_continues_during_moving_phase) {
    send_directive(rollout_phase::canary);
    serve_many(1000);
    const std::uint64_t before = exposed;
    send_directive(rollout_phase::moving, milliseconds(3000), 1.0);
    serve_many(2000);
    const double canary_fraction = allowed_share * 0.9 * 0.4;
    BOOST_TEST(static_cast<double>(exposed) <= canary_fraction * 3000);
    BOOST_TEST(static_cast<double>(exposed - before) >= 0.5 * canary_fraction * 2000);
}

BOOST_AUTO_TEST_CASE(evidence_is_counted_by_route_and_new_version_target) {
    send_directive(rollout_phase::canary, seconds(6), 1.0);
    serve_many(1000);
    const auto& counts = gate.evidence().counts;
    const auto at_new = counts.find({"read", "n1"});
    const auto at_old = counts.find({"read", ""});
    BOOST_REQUIRE((at_new != counts.end() && at_old != counts.end()));
    BOOST_TEST(at_new->second.sent == at_new->second.succeeded);
    BOOST_TEST(at_new->second.first_event.total() == at_new->second.succeeded);
    BOOST_TEST(at_old->second.sent + at_new->second.sent == 750U);
}

BOOST_AUTO_TEST_SUITE_END()
